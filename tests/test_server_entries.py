"""Guard against entries of other writers that take the place of a server's own."""

import itertools

import pytest
from gateway_fakes import make_entry

from wisteriaworks.gateway.server_table import ServerTable, make_known_servers
from wisteriaworks.server_directory import ServerDirectory
from wisteriaworks.server_entries import select_entries

OWN = make_entry("i1", service="s")
SERVICES = {"s": None, "t": None}
UNNAMED, NAMED = make_entry("i1", service="x"), make_entry("i1", service="t")


@pytest.mark.parametrize("order", list(itertools.permutations([OWN, UNNAMED, UNNAMED])))
def test_entry_of_a_service_that_is_not_named_takes_no_place(order):
    """The server disappeared from its service, and all of its requests failed."""
    assert select_entries(order, SERVICES, {}) == {"i1": OWN}
    assert select_entries(order, SERVICES, {"i1": UNNAMED}) == {"i1": OWN}


@pytest.mark.parametrize("order", list(itertools.permutations([OWN, NAMED, UNNAMED])))
def test_entries_of_several_named_services_leave_the_known_one(order):
    """A request on the route of the other service would run at this server."""
    assert select_entries(order, SERVICES, {"i1": OWN}) == {"i1": OWN}
    assert select_entries(order, SERVICES, {}) == {}


def test_last_entry_of_one_service_is_used():
    draining = make_entry("i1", service="s", draining=True)
    assert select_entries([OWN, draining], SERVICES, {"i1": OWN}) == {"i1": draining}


def test_only_entry_is_kept_although_its_service_is_not_named_yet():
    """A configuration that names the service must find its servers."""
    assert select_entries([UNNAMED], SERVICES, {}) == {"i1": UNNAMED}


def test_server_that_is_listed_after_another_writer_used_its_id():
    directory = ServerDirectory()
    directory.replace([UNNAMED], 0.0, 0.0, SERVICES)
    assert directory.replace([UNNAMED, OWN], 1.0, 1.0, SERVICES)
    assert [server.id for server in directory.list_service("s", 1.0)] == ["i1"]


def test_service_that_is_named_later_does_not_take_over_its_id():
    directory = ServerDirectory()
    directory.replace([OWN, UNNAMED], 0.0, 0.0, SERVICES)
    named_later = SERVICES | {UNNAMED.service: None}
    assert not directory.replace([OWN, UNNAMED], 1.0, 1.0, named_later)


def test_requests_reach_the_server_beside_the_other_entry():
    """The entry of the other writer is on the next page of the list."""
    directory = ServerDirectory()
    directory.replace([OWN, make_entry("i2", service="s"), UNNAMED], 0.0, 0.0, SERVICES)
    table = ServerTable()
    entries = directory.list_changes(0, 0.0).servers
    table.assign(make_known_servers(entries, 0.0))
    assert {server.id for server in table.list_usable("s")} == {"i1", "i2"}
