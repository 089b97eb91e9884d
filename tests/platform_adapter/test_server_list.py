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
    ],
)
def test_unusable_entry_is_skipped(entry):
    servers = read(entry, VALID_ENTRY).servers
    assert [server.id for server in servers] == ["i-1"]


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"instances": 5}', b"\xff"])
def test_unreadable_page_is_an_error(body):
    with pytest.raises(ValueError):
        read_list_page(body)


def test_pages_are_asked_for_by_token():
    assert read(token="p 50").next_token == "p 50"
    assert make_list_path("p 50") == "/instances?pageToken=p+50"
    assert make_list_path("") == "/instances"
