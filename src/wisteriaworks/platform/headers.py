"""Header names of the platform, and the requests and answers that use them."""

import itertools
import math
from dataclasses import dataclass

from wisteriaworks.gateway.model import CallerRequest
from wisteriaworks.gateway.response_reader import select_end_to_end_headers

REQUEST_ID = b"x-wisteriaworks-request-id"
# Milliseconds that remain until the deadline.
DEADLINE_MS = b"x-wisteriaworks-deadline-ms"
EXPECTED_SERVER = b"x-wisteriaworks-expected-instance"
SIGNATURE = b"x-wisteriaworks-server-stamp"
NOT_RUN = b"x-wisteriaworks-not-executed"
# Key of the caller's account. It is never forwarded.
KEY = b"x-wisteriaworks-credential"
# Name of the caller's account, for servers.
ACCOUNT = b"x-wisteriaworks-tenant-id"
PART_SIGNATURES = b"x-wisteriaworks-shard-stamps"
MISSING_PARTS = b"x-wisteriaworks-missing-shards"
READINESS_PATH = "/api/ready"

_MISDIRECTED_STATUS = 421
_REPLACED_HEADERS = frozenset(
    (REQUEST_ID, DEADLINE_MS, EXPECTED_SERVER, KEY, ACCOUNT, b"content-length")
)


@dataclass(frozen=True, slots=True)
class ResponseFormat:
    """Define the header names and the status that ``ResponseReader`` looks for."""

    signature: bytes = SIGNATURE
    request_id: bytes = REQUEST_ID
    not_run: bytes = NOT_RUN
    misdirected_status: int = _MISDIRECTED_STATUS


def read_request(scope, body, now):
    """Return the caller's request in an ASGI scope.

    Raises KeyError if the request id is missing, and ValueError if the deadline
    can't be read.
    """
    headers = select_end_to_end_headers(scope["headers"])
    by_name = {name.lower(): value for name, value in headers}
    left_ms = float(by_name.get(DEADLINE_MS, b"inf"))
    if math.isnan(left_ms):
        raise ValueError("the deadline is not a number")
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return CallerRequest(
        method=scope["method"].encode(),
        target=target,
        host=by_name.get(b"host", b"").decode("latin-1"),
        headers=tuple((n, v) for n, v in headers if n.lower() not in _REPLACED_HEADERS),
        body=body,
        id=by_name[REQUEST_ID],
        deadline_at=now + left_ms / 1000,
    )


def read_key(headers):
    """Return the key in the headers of a caller's request, or None.

    A request with several keys has none, since it does not say which one counts.
    """
    keys = [value for name, value in headers if name.lower() == KEY]
    return keys[0] if len(keys) == 1 else None


def encode_request(request, server_id, left_ms):
    """Return the head and the body of a request to one server as bytes.

    All servers of a request share the bytes of its body.
    """
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    lines += [b"%b: %b" % header for header in request.headers]
    lines.append(b"%b: %b" % (REQUEST_ID, request.id))
    lines.append(b"%b: %d" % (DEADLINE_MS, left_ms))
    lines.append(b"%b: %b" % (EXPECTED_SERVER, server_id.encode()))
    if request.account:
        lines.append(b"%b: %b" % (ACCOUNT, request.account.encode()))
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n", request.body


def encode_parts(parts, missing):
    """Return the headers of an answer that is merged from several shards."""
    signatures = b", ".join(itertools.chain.from_iterable(p.signatures for p in parts))
    return (
        (b"content-type", b"application/octet-stream"),
        (PART_SIGNATURES, signatures),
        (MISSING_PARTS, b"%d" % missing),
    )


def encode_retry_after(seconds):
    """Return the header that tells a caller when to retry."""
    return (b"retry-after", b"%.3f" % seconds)
