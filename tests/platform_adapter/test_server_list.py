"""Guard against malformed entries that count as servers, or hide other entries."""

import msgspec
import pytest

from wisteriaworks.platform.server_list import make_list_path, read_list_page

VALID_ENTRY = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "maxConcurrency": 2,
    "state": "ready",
    "coldRemainingMs": 1500,
    "unknownField": 1,
}


def read(*entries, token=None):
    body = msgspec.json.encode({"instances": entries, "nextPageToken": token})
    return read_list_page(body)


def test_entry_is_decoded_once():
    (server,) = read(VALID_ENTRY).servers
    assert (server.id, server.domain, server.slots) == ("i-1", "a", 2)
    assert (server.draining, server.cold_s) == (False, 1.5)
    assert server.version == "v1"


@pytest.mark.parametrize("version", [7, None, {"a": 1}, "v" * 1000])
def test_version_that_is_no_text_is_unknown(version):
    (server,) = read(VALID_ENTRY | {"version": version}).servers
    assert server.version == ""


def test_draining_server_is_decoded():
    (server,) = read(VALID_ENTRY | {"state": "draining"}).servers
    assert server.draining


@pytest.mark.parametrize(
    "entry",
    [
        {},
        None,
        7,
        "text",
        [],
        {key: value for key, value in VALID_ENTRY.items() if key != "address"},
        VALID_ENTRY | {"address": "not an address"},
        VALID_ENTRY | {"address": 5},
        VALID_ENTRY | {"state": "unheard-of"},
        VALID_ENTRY | {"maxConcurrency": "many"},
        VALID_ENTRY | {"id": "line\r\nbreak: 1"},
        VALID_ENTRY | {"id": "i" * 1000},
        VALID_ENTRY | {"address": "10.0.0.1:65536"},
        VALID_ENTRY | {"address": "10.0.0.1:" + "1" * 5000},
        VALID_ENTRY | {"maxConcurrency": 10**18},
        VALID_ENTRY | {"coldRemainingMs": 1e300},
    ],
)
def test_unusable_entry_is_skipped(entry):
    servers = read(entry, VALID_ENTRY).servers
    assert [server.id for server in servers] == ["i-1"]


_VALID = msgspec.json.encode(VALID_ENTRY)


@pytest.mark.parametrize(
    "entry",
    [
        b'{"id": "x-\\ud800", "service": "s", "state": "ready"}',
        b'{"id": "x\x01"}',
        b'{"id": "\\x"}',
        b'{"id": "\xff\xfe"}',
        b"\xff\xfe",
        b'{"maxConcurrency": 007}',
        b'{"maxConcurrency": 1e999, "coldRemainingMs": -1e999}',
        _VALID.replace(b":2", b":" + b"9" * 5000),
        _VALID.replace(b"1500", b"1e999"),
        _VALID.replace(b"1500", b"NaN"),
        b"[" * 2000 + b"]" * 2000,
        b'{"a":' * 2000 + b"1" + b"}" * 2000,
        # Looks like a page, or like the end of one, inside a string.
        b'{"id": 01, "service": "]}, \\"instances\\": ["}',
        b'{"instances": [' + _VALID.replace(b"i-1", b"i-9") + b'], "x": 01}',
        b"",
    ],
)
@pytest.mark.parametrize("is_first", [True, False])
def test_entry_that_is_no_json_hides_no_other_entry(entry, is_first):
    """Changes of all servers would be lost for as long as the entry is listed."""
    entries = [entry, _VALID] if is_first else [_VALID, entry]
    body = b'{"nextPageToken": "p-50", "instances": [%s]}' % b" , ".join(entries)
    page = read_list_page(body)
    assert [server.id for server in page.servers] == ["i-1"]
    assert page.next_token == "p-50"


def test_page_with_only_an_unreadable_entry_is_empty():
    assert read_list_page(b'{"instances": [007]}').servers == ()


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"instances": 5}', b"\xff"])
def test_unreadable_page_is_an_error(body):
    with pytest.raises(ValueError):
        read_list_page(body)


def test_pages_are_asked_for_by_token():
    assert read(token="p 50").next_token == "p 50"
    assert make_list_path("p 50") == "/instances?pageToken=p+50"
    assert make_list_path("") == "/instances"
