"""Guard against gateways that wait for a silent member while another one leads."""

import random
from types import SimpleNamespace

import pytest
import trio
import trio.testing
from gateway_fakes import make_entry, make_fleet, make_settings

from wisteriaworks.errors import NotLeaderError
from wisteriaworks.gateway import control_watch
from wisteriaworks.gateway.control_watch import ControlWatch
from wisteriaworks.gateway.forwarder import ServerFleet
from wisteriaworks.gateway.gateway_state import GatewayState
from wisteriaworks.generated.messages import FleetUpdate, NotLeader, Watch
from wisteriaworks.operator_commands import OperatorCommandService
from wisteriaworks.processes import find_free_ports
from wisteriaworks.rpc import RpcServer
from wisteriaworks.server_directory import ServerDirectory

WAIT_S = 30.0
PORT = find_free_ports(1)[0]


def make_update(index, **fields):
    defaults = {
        "config_version": 0,
        "document": b"",
        "domains_out": (),
        "gateways": 1,
        "position": 0,
        "list_read": False,
        "full": False,
        "servers": (),
        "removed": (),
        "members": (),
    }
    return FleetUpdate(state_index=index, **(defaults | fields))


class StandInMember:
    """Answer watches as a leader or a follower, or not at all."""

    def __init__(self, host):
        self.address = f"{host}:{PORT}"
        self.is_leader = False
        self.hint = ""
        self.is_silent = False
        self.watch_count = 0

    async def serve(self, nursery):
        server = RpcServer({Watch: self._watch})
        await nursery.start(server.serve, self.address)

    async def _watch(self, message, send):
        self.watch_count += 1
        if self.is_silent:
            await trio.sleep_forever()
        while self.is_leader:
            send(make_update(self.watch_count))
            await trio.sleep(0.05)
        return NotLeader(leader=self.hint)


@pytest.fixture
async def members(nursery):
    made = [StandInMember(f"127.0.0.{n}") for n in range(1, 7)]
    for member in made:
        await member.serve(nursery)
    return made


@pytest.fixture
def state(nursery):
    fleet = ServerFleet.create(make_settings(), random.Random(1), trio.current_time())
    return GatewayState("g1", fleet, lambda document: None)


def start_watch(nursery, members, state):
    seeds = tuple(member.address for member in members)
    watch = ControlWatch(make_settings(seeds=seeds, member_port=PORT), state)
    nursery.start_soon(watch.run)


async def wait_until(condition):
    with trio.fail_after(WAIT_S):
        while not condition():
            await trio.sleep(0.02)


async def test_silent_members_do_not_delay_finding_the_leader(
    members, nursery, state, monkeypatch
):
    """Some members may have no power while the others have elected a leader."""
    monkeypatch.setattr(control_watch, "FIRST_UPDATE_S", 1e6)
    monkeypatch.setattr(control_watch, "SEARCH_S", 1e6)
    for member in members[:3]:
        member.is_silent = True
    members[3].is_leader = True
    start_watch(nursery, members[:4], state)
    await wait_until(lambda: state.updated_at > 0)


async def test_leader_outside_the_first_members_is_found(members, nursery, state):
    members[5].is_leader = True
    start_watch(nursery, members, state)
    await wait_until(lambda: state.updated_at > 0)


async def test_leader_named_by_another_member_is_probed(members, nursery, state):
    members[5].is_leader = True
    for member in members[:3]:
        member.hint = members[5].address
    start_watch(nursery, members[:3], state)
    await wait_until(lambda: state.updated_at > 0)


async def test_next_leader_is_followed_when_one_is_lost(members, nursery, state):
    members[0].is_leader = True
    start_watch(nursery, members[:3], state)
    await wait_until(lambda: state.updated_at > 0)
    members[0].is_leader = False
    members[1].is_leader = True
    watch_count = members[1].watch_count
    await wait_until(lambda: members[1].watch_count > watch_count)
    updated_at = state.updated_at
    await wait_until(lambda: state.updated_at > updated_at)


async def test_only_one_member_is_followed(members, nursery, state):
    for member in members[:3]:
        member.is_leader = True
    start_watch(nursery, members[:3], state)
    await wait_until(lambda: state.updated_at > 0)
    watch_count = [member.watch_count for member in members[:3]]
    await trio.sleep(0.3)
    assert [member.watch_count for member in members[:3]] == watch_count


async def test_member_holds_a_watch_until_a_leader_is_known(nursery):
    """A gateway that polls at intervals would learn of a new leader too late."""
    replica = SimpleNamespace(leader_address=None, is_leader=False)
    node = SimpleNamespace(
        replica=replica, is_stopping=False, cfg=SimpleNamespace(address="a:1")
    )
    service = OperatorCommandService(node, ServerDirectory())
    replies = []

    async def watch():
        handler = service.list_handlers()[Watch]
        replies.append(await handler(Watch(name="g", config_version=0), None))

    nursery.start_soon(watch)
    await trio.testing.wait_all_tasks_blocked()
    assert replies == []
    replica.leader_address = "b:1"
    service.notify()
    await wait_until(lambda: replies)
    assert replies == [NotLeader(leader="b:1")]


async def test_update_of_a_deposed_leader_brings_no_server_back():
    """Its list still has a server that has left since."""
    fleet = make_fleet(())
    state = GatewayState("g1", fleet, lambda document: None)
    full = {"list_read": True, "full": True}
    state.apply_update(make_update(5, servers=(make_entry("left"),), **full))
    state.apply_update(make_update(7, list_read=True, removed=("left",)))
    updated_at = state.updated_at
    state.apply_update(make_update(6, servers=(make_entry("left"),), **full))
    assert "left" not in fleet.table
    assert state.updated_at == updated_at


async def test_members_of_an_outdated_update_are_ignored(nursery, state):
    """A deposed leader names members that may have been replaced since."""

    async def send_updates(message, send):
        send(make_update(2, members=("127.0.0.8:1",)))
        send(make_update(1, members=("127.0.0.9:1",)))
        await trio.sleep_forever()

    address = f"127.0.0.1:{find_free_ports(1)[0]}"
    await nursery.start(RpcServer({Watch: send_updates}).serve, address)
    port = int(address.rpartition(":")[2])
    watch = ControlWatch(make_settings(seeds=(address,), member_port=port), state)
    nursery.start_soon(watch.run)
    await wait_until(lambda: state.updated_at > 0)
    await trio.sleep(0.1)
    assert watch._members == ("127.0.0.8:1",)


class StandInReplica:
    """Lead or not, with a confirmation that may fail."""

    def __init__(self, is_confirmed=True):
        self.is_leader, self.term, self.leader_address = True, 1, "a:1"
        self.members = ()
        self._is_confirmed = is_confirmed

    async def confirm_leader(self):
        if not self._is_confirmed:
            self.is_leader, self.leader_address = False, "b:1"
            raise NotLeaderError("b:1")


def make_service(replica, directory):
    machine = SimpleNamespace(
        version=0, applied_index=1, domains_out=(), gateways=1, delegates=0
    )
    cfg = SimpleNamespace(address="a:1")
    node = SimpleNamespace(replica=replica, is_stopping=False, cfg=cfg, machine=machine)
    return OperatorCommandService(node, directory)


async def test_deposed_leader_sends_nothing():
    """After a suspension it knows neither the next leader nor what it has stored."""
    service = make_service(StandInReplica(is_confirmed=False), ServerDirectory())
    handler = service.list_handlers()[Watch]
    sent = []
    with trio.fail_after(WAIT_S):
        reply = await handler(Watch(name="g", config_version=0), sent.append)
    assert (sent, reply) == ([], NotLeader(leader="b:1"))


async def test_watch_of_an_earlier_term_ends(nursery):
    """The list of the next term has other revisions, so changes would be missed."""
    replica, sent, replies = StandInReplica(), [], []
    service = make_service(replica, ServerDirectory())

    async def watch():
        handler = service.list_handlers()[Watch]
        replies.append(await handler(Watch(name="g", config_version=0), sent.append))

    nursery.start_soon(watch)
    await wait_until(lambda: sent)
    replica.term = 3
    service.notify()
    await wait_until(lambda: replies)
