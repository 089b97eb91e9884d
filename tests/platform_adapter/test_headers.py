"""Guard against requests that reach servers altered, or with a wrong deadline."""

import dataclasses

import pytest

from wisteriaworks.platform.headers import encode_request, read_key, read_request

HEADERS = [
    (b"host", b"h.example"),
    (b"x-wisteriaworks-request-id", b"id1"),
    (b"x-wisteriaworks-deadline-ms", b"800"),
    (b"x-wisteriaworks-expected-instance", b"i-forged"),
    (b"connection", b"keep-alive, x-hop"),
    (b"x-hop", b"1"),
    (b"accept", b"*/*"),
]


def make_scope(**fields):
    defaults = {
        "method": "POST",
        "raw_path": b"/p/a%2Fb",
        "query_string": b"x=1&y=%20",
        "headers": HEADERS,
    }
    return defaults | fields


def encode(scope, body=b"body"):
    request = read_request(scope, body, now=5.0)
    return request, b"".join(encode_request(request, "i-7", 123))


def test_request_is_forwarded_unchanged():
    request, data = encode(make_scope())
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /p/a%2Fb?x=1&y=%20 HTTP/1.1"
    assert body == b"body"
    assert {b"host: h.example", b"accept: */*", b"content-length: 4"} <= set(lines)
    assert request.deadline_at == 5.8


def test_gateway_headers_replace_those_of_the_caller():
    _, data = encode(make_scope())
    assert b"x-wisteriaworks-deadline-ms: 123\r\n" in data
    assert b"x-wisteriaworks-expected-instance: i-7\r\n" in data
    assert data.count(b"x-wisteriaworks-request-id: id1") == 1
    assert b"forged" not in data
    assert b"800" not in data


@pytest.mark.parametrize("account", ["ralo620", ""])
def test_server_learns_the_account_and_never_the_key(account):
    """A caller must not pass for another account, whether accounts are used or not."""
    forged = [(b"X-Wisteriaworks-Tenant-Id", b"forged"), (b"x-hop", b"1")]
    secret = (b"X-Wisteriaworks-Credential", b"secret")
    scope = make_scope(headers=[*HEADERS, *forged, secret])
    request, _ = encode(scope)
    assert b"secret" not in repr(request).encode()
    request = dataclasses.replace(request, account=account)
    data = b"".join(encode_request(request, "i-7", 123)).lower()
    assert b"secret" not in data
    assert b"forged" not in data
    assert (b"x-wisteriaworks-tenant-id: ralo620\r\n" in data) is bool(account)
    assert read_key(scope["headers"]) == b"secret"
    assert read_key([*scope["headers"], secret]) is None


def test_hop_by_hop_headers_are_dropped():
    _, data = encode(make_scope())
    assert b"x-hop" not in data
    assert b"connection" not in data


def test_get_without_a_body_has_no_length():
    _, data = encode(make_scope(method="GET"), b"")
    assert b"content-length" not in data


def test_caller_without_a_deadline_waits_without_limit():
    headers = [item for item in HEADERS if b"deadline" not in item[0]]
    request, _ = encode(make_scope(headers=headers))
    assert request.deadline_at == float("inf")
