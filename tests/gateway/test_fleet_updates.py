"""Guard against updates to gateways that are larger or more frequent than needed."""

from types import SimpleNamespace

import msgspec
import pytest
import trio
from gateway_fakes import make_entry
from test_control_watch import StandInReplica, make_service, make_update

from wisteriaworks import codec
from wisteriaworks.fleet_updates import MAX_PACKED, UpdatePacker, unpack_update
from wisteriaworks.generated.messages import Delegate, Watch
from wisteriaworks.server_directory import ServerDirectory

SERVERS = [
    make_entry(f"i-{n:010x}", f"huvo{n}a", f"domain-{n % 6}", address=f"10.1.{n}.9:80")
    for n in range(450)
]
DELEGATES = tuple(
    Delegate(f"front-plovdiv-a-{n}", f"10.1.0.{n}:7581", "plovdiv-a", 14.5, True, True)
    for n in range(30)
)


def make_directory():
    directory = ServerDirectory()
    directory.replace(SERVERS, 0.0, 0.0)
    return directory


def test_packed_lists_are_a_third_of_the_plain_ones():
    """The lists for 200 gateways were most of the bytes between failure domains."""
    packer = UpdatePacker()
    changes, packed = packer.pack_changes(make_directory(), 0, 1.0)
    assert 3 * len(packed) < len(codec.encode(make_update(1, servers=changes.servers)))
    packed_delegates = packer.pack_delegates(DELEGATES)
    assert 3 * len(packed_delegates) < len(
        codec.encode(make_update(1, delegates=DELEGATES))
    )
    update = make_update(
        1, full=True, packed_changes=packed, packed_delegates=packed_delegates
    )
    unpacked = unpack_update(codec.decode(codec.encode(update)))
    assert unpacked.servers == tuple(SERVERS)
    assert unpacked.delegates == DELEGATES


def test_gateways_with_the_same_state_share_a_packed_list():
    packer, directory = UpdatePacker(), make_directory()
    first = packer.pack_changes(directory, 0, 1.0)
    assert packer.pack_changes(directory, 0, 1.05) is first
    directory.replace(SERVERS[1:], 2.0, 2.0)
    later = packer.pack_changes(directory, first[0].revision, 2.0)
    assert later[0].removed == (SERVERS[0].id,)
    for number in range(3 * MAX_PACKED):
        packer.pack_changes(directory, 0, 3.0 + number)
    assert len(packer._changes) == MAX_PACKED


def test_list_of_an_earlier_term_is_not_sent():
    """The next list may have the same revisions and other servers."""
    packer, directory = UpdatePacker(), make_directory()
    packer.pack_changes(directory, 0, 1.0)
    directory.clear()
    directory.replace([*SERVERS[1:], make_entry("new")], 1.0, 1.0)
    changes, _ = packer.pack_changes(directory, 0, 1.0)
    assert SERVERS[0] not in changes.servers


def test_unchanged_list_is_not_sent():
    directory = make_directory()
    changes, packed = UpdatePacker().pack_changes(directory, directory.revision, 1.0)
    assert (changes.servers, changes.removed, packed) == ((), (), b"")


@pytest.mark.parametrize("data", [b"\x01x", b"\x90", codec.encode(Watch("g", 0))])
def test_unreadable_list_is_an_error(data):
    with pytest.raises((ValueError, msgspec.MsgspecError)):
        unpack_update(make_update(1, packed_changes=data))


async def test_gateway_of_an_older_version_gets_plain_lists():
    for reads_packed in (False, True):
        service = make_service(StandInReplica(), make_directory())
        watch = Watch("g", 0, reads_packed=reads_packed)
        service._watches.append(watch)
        service._update_watches()
        update, _ = service._make_update(watch, 0, 0)
        assert bool(update.servers) is not reads_packed
        assert unpack_update(update).servers == tuple(SERVERS)


async def test_gateway_that_connects_does_not_cause_updates_to_all(
    nursery, autojump_clock
):
    """With 200 gateways a change of leader caused 40,000 updates."""
    service = make_service(StandInReplica(), make_directory())
    service._node.machine = SimpleNamespace(
        version=0, applied_index=1, domains_out=(), gateways=50, delegates=0
    )
    nursery.start_soon(service.announce_delegates)
    sent = []
    for number in range(50):
        watch = Watch(f"g{number}", 0, "a", f"p:{number}", 10.0 + 90.0 * (number < 6))
        handler = service.list_handlers()[Watch]
        nursery.start_soon(handler, watch, sent.append)
    await trio.sleep(0.4)
    # One for each gateway, and one more with the delegates for all.
    assert len(sent) <= 100
    assert sum(bool(update.delegates) for update in sent) >= 50
