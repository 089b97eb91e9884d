"""Guard against entries of other writers that name a server, or end the list."""

import msgspec
import pytest

from wisteriaworks.platform.server_list import make_list_path, read_list_page

GOOD = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "maxConcurrency": 2,
    "state": "ready",
    "coldRemainingMs": 1500,
    "born": 1,
}


def read(*entries, token=None):
    body = msgspec.json.encode({"instances": entries, "nextPageToken": token})
    return read_list_page(body)


def test_entry_is_decoded_once():
    (server,) = read(GOOD).servers
    assert (server.id, server.domain, server.slots) == ("i-1", "a", 2)
    assert (server.draining, server.cold_s) == (False, 1.5)


def test_draining_server_is_noted():
    (server,) = read(GOOD | {"state": "draining"}).servers
    assert server.draining


@pytest.mark.parametrize(
    "entry",
    [
        {},
        None,
        7,
        "text",
        [],
        {key: value for key, value in GOOD.items() if key != "address"},
        GOOD | {"address": "not an address"},
        GOOD | {"address": 5},
        GOOD | {"state": "unheard-of"},
        GOOD | {"maxConcurrency": "many"},
        GOOD | {"id": "line\r\nbreak: 1"},
    ],
)
def test_unusable_entry_names_no_server_and_stops_nothing(entry):
    servers = read(entry, GOOD).servers
    assert [server.id for server in servers] == ["i-1"]


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"instances": 5}', b"\xff"])
def test_unreadable_page_is_an_error(body):
    with pytest.raises(ValueError):
        read_list_page(body)


def test_pages_are_asked_for_by_token():
    assert read(token="p 50").next_token == "p 50"
    assert make_list_path("p 50") == "/instances?pageToken=p+50"
    assert make_list_path("") == "/instances"
