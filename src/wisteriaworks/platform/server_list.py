"""Format of the platform's list of servers.

Load pattern: among the entries are some of other writers, with any bytes.
"""

import math
import re
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec

from wisteriaworks.document_checks import is_valid_address
from wisteriaworks.generated.messages import ListedServer

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
# Entries with larger values are of no server. The values are added up and sent on as
# 64-bit numbers.
MAX_NAME_LENGTH = 256
MAX_CONCURRENCY = 1_000_000
MAX_COLD_MS = 86_400_000
# A string, or a character that separates entries.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{},]', re.DOTALL)


@dataclass(frozen=True, slots=True)
class ListPage:
    """Represent the usable entries of a page and the token of the next page."""

    servers: tuple[ListedServer, ...]
    next_token: str


class _Page(msgspec.Struct):
    instances: tuple[msgspec.Raw, ...]
    next_page_token: str | None = msgspec.field(name="nextPageToken", default=None)


class _Entry(msgspec.Struct):
    id: str
    service: str
    address: str
    zone: str
    state: str
    # Number of requests that the server runs at once, not how many it accepts.
    max_concurrency: int = msgspec.field(name="maxConcurrency")
    cold_remaining_ms: float = msgspec.field(name="coldRemainingMs", default=0.0)
    # Absent on platforms without rollouts. Read apart, so that one that is no text
    # does not hide the server.
    version: msgspec.Raw = msgspec.Raw(b"")


_PAGES = msgspec.json.Decoder(_Page)
_ENTRIES = msgspec.json.Decoder(_Entry)
_VERSIONS = msgspec.json.Decoder(str)


def make_list_path(token):
    """Return the path and query string of a page of the list."""
    return "/instances" + ("?" + urlencode({"pageToken": token}) if token else "")


def read_list_page(body):
    """Return a page. Raises ValueError if the page itself can't be read.

    An entry that can't be read, or that has an unknown state, is skipped.
    """
    try:
        page = _PAGES.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        page = _read_separately(body)
    entries = (_read_entry(raw) for raw in page.instances)
    servers = tuple(entry for entry in entries if entry is not None)
    return ListPage(servers, page.next_page_token or "")


def _read_separately(body):
    """Return a page of which at least one entry is no valid JSON.

    The decoder checks all entries while it separates them, so that one of them makes
    the others unreadable. Here they are separated by brackets and commas only.
    """
    spans = _find_entries(body)
    raw_entries = tuple(msgspec.Raw(body[start:end]) for start, end in spans)
    rest = body[: spans[0][0]] + body[spans[-1][1] :] if spans else body
    try:
        page = _PAGES.decode(rest)
    except RecursionError as exc:
        raise ValueError("the page is nested too deeply") from exc
    return _Page(raw_entries, page.next_page_token)


def _find_entries(body):
    """Return the start and end of each entry of the page."""
    spans, depth, key, start = [], 0, b"", None
    for match in _TOKEN.finditer(body):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
            if depth == 2 and key == b'"instances"' and token == b"[":
                start = match.end()
        elif token in (b"]", b"}"):
            depth -= 1
            if start is not None and depth == 1:
                return [*spans, (start, match.start())]
        elif token == b",":
            if start is not None and depth == 2:
                spans.append((start, match.start()))
                start = match.end()
        elif depth == 1:
            key = token
    return []


def _read_entry(raw):
    try:
        entry = _ENTRIES.decode(raw)
    except (ValueError, RecursionError):
        return None
    if not _is_usable(entry):
        return None
    return ListedServer(
        id=entry.id,
        service=entry.service,
        address=entry.address,
        domain=entry.zone,
        slots=max(1, entry.max_concurrency),
        draining=_IS_DRAINING_BY_STATE[entry.state],
        cold_s=max(0.0, entry.cold_remaining_ms / 1000),
        version=_read_version(entry.version),
    )


def _read_version(raw):
    """Return the version of a server, or "" if it is unknown."""
    try:
        version = _VERSIONS.decode(raw)
    except (ValueError, RecursionError):
        return ""
    return version if len(version) <= MAX_NAME_LENGTH else ""


def _is_usable(entry):
    names = (entry.id, entry.service, entry.address, entry.zone)
    return (
        entry.state in _IS_DRAINING_BY_STATE
        and all(len(name) <= MAX_NAME_LENGTH for name in names)
        and entry.id.isascii()
        and entry.id.isprintable()
        and is_valid_address(entry.address)
        and entry.max_concurrency <= MAX_CONCURRENCY
        and math.isfinite(entry.cold_remaining_ms)
        and entry.cold_remaining_ms <= MAX_COLD_MS
    )
