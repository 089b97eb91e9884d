"""Guard against a list of servers that replaces one whose reading began later."""

import math
import random

import pytest
from gateway_fakes import make_document, make_entry, make_fleet, make_route
from test_control_watch import make_update

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.document_codec import pack_document
from wisteriaworks.gateway.gateway_state import GatewayState
from wisteriaworks.gateway.server_lists import ServerLists


def make_state():
    """Return the state of a gateway without a list."""
    return GatewayState("g1", make_fleet([]), lambda document: None)


def make_list_update(*entries, age_s=0.0, full=True, removed=()):
    return make_update(
        1,
        list_read=True,
        full=full,
        servers=entries,
        removed=removed,
        list_age_s=age_s,
    )


def list_usable(state, service="s"):
    return {server.id for server in state._fleet.table.list_usable(service)}


async def test_direct_read_that_began_before_the_leaders_is_not_used():
    state, began_at = make_state(), read_boot_time() - 1.0
    state.apply_update(make_list_update(make_entry("i1", draining=True), age_s=0.5))
    state.apply_direct_list([make_entry("i1")], began_at)
    assert list_usable(state) == set()


async def test_direct_read_that_began_after_the_leaders_is_used():
    """A leader that answers again may not have read the list for a long time."""
    state, began_at = make_state(), read_boot_time() - 1.0
    state.apply_direct_list([make_entry("i1", draining=True)], began_at)
    state.apply_update(make_list_update(make_entry("i1"), age_s=30.0))
    assert list_usable(state) == set()


async def test_changes_apply_to_the_list_of_the_leader_and_not_to_another_one():
    """The leader never sends again what it sent while another list was in use."""
    state = make_state()
    entries = make_entry("i1"), make_entry("i2", draining=True)
    state.apply_update(make_list_update(*entries, age_s=30.0))
    direct = [make_entry("i1"), make_entry("i2"), make_entry("i3")]
    state.apply_direct_list(direct, read_boot_time() - 20.0)
    assert list_usable(state) == {"i1", "i2", "i3"}
    state.apply_update(make_list_update(make_entry("i4"), full=False, removed=("i1",)))
    assert list_usable(state) == {"i4"}


async def test_unchanged_list_of_the_leader_is_used_once_it_has_been_read_again():
    state = make_state()
    state.apply_update(make_list_update(make_entry("i1"), age_s=30.0))
    state.apply_direct_list([], read_boot_time() - 20.0)
    assert list_usable(state) == set()
    state.apply_update(make_list_update(age_s=19.0, full=False))
    assert list_usable(state) == {"i1"}


async def test_older_list_of_the_next_leader_is_used_once_it_has_been_read_again():
    state = make_state()
    state.apply_update(make_list_update(make_entry("i1", draining=True), age_s=1.0))
    state.apply_update(make_list_update(make_entry("i1"), age_s=3.0))
    assert list_usable(state) == set()
    changed = make_entry("i1", draining=True, address="10.0.0.9:80")
    state.apply_update(make_list_update(changed, make_entry("i2"), full=False))
    assert list_usable(state) == {"i2"}


async def test_leader_without_a_list_leaves_the_list_in_use():
    state = make_state()
    state.apply_direct_list([make_entry("i1")], read_boot_time())
    state.apply_update(make_update(1, full=True))
    assert list_usable(state) == {"i1"}


@pytest.mark.parametrize("seed", range(40))
def test_list_in_use_is_the_newest_whatever_the_order_of_arrival(seed):
    """Lists of leaders and direct reads arrive in any order after their reading."""
    rng, lists = random.Random(seed), ServerLists()
    newest, leader_read_at = -math.inf, -math.inf
    for number in range(200):
        read_at = rng.uniform(0.0, 100.0)
        match rng.randrange(3):
            case 0:
                lists.replace_leader_list({number: read_at}, read_at)
                leader_read_at = read_at
            case 1 if leader_read_at > -math.inf:
                read_at = leader_read_at = max(leader_read_at, read_at)
                ids = set(lists._leader_list.servers)
                lists.change_leader_list({number: read_at}, ids, read_at)
            case _:
                lists.add_direct_list({number: read_at}, read_at)
        newest = max(newest, read_at)
        assert lists.current.read_at == newest
        assert set(lists.current.servers.values()) == {newest}


async def test_entry_of_another_writer_in_a_direct_list_takes_no_servers_place():
    """The leader selects the entries of its list; without it the gateway does."""
    state = make_state()
    document = pack_document(make_document(make_route()))
    state.apply_update(make_update(1, config_version=1, document=document))
    entries = [make_entry("i1", service="s"), make_entry("i1", service="x")]
    state.apply_direct_list(entries, read_boot_time())
    assert list_usable(state) == {"i1"}
