"""Guard against two holders of a server, and against needless moves of servers."""

import msgspec
import pytest
import trio
from control_fakes import (
    HEARTBEAT_S,
    Entry,
    make_document,
    make_proposal,
    make_settings,
)

from wisteriaworks import assigner
from wisteriaworks.control_node import ControlNode
from wisteriaworks.control_service import ControlService
from wisteriaworks.errors import NotLeaderError
from wisteriaworks.generated import document as doc, messages
from wisteriaworks.generated.messages import EntryState, NotLeader, ServerState
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.sessions import LEASE_MARGIN_FACTOR

LEASE_S = 4.0
# Time after which all servers are held. Not a multiple of HEARTBEAT_S, so that no
# event coincides with a heartbeat.
START_S = 5.1
SETS = 4


class MemoryReplica:
    """Apply each proposal at once, as the leader of a term set by the test."""

    leader_address = "c:1"
    members = ()

    def __init__(self, machine):
        self.machine = machine
        self.is_leader, self.term, self.index = True, 1, 0
        self.can_confirm = True

    async def propose(self, data):
        await trio.lowlevel.checkpoint()
        self.index += 1
        return self.machine.apply(self.index, data)

    async def confirm_leader(self):
        await trio.lowlevel.checkpoint()
        if not self.can_confirm:
            raise NotLeaderError("d:1")


class System:
    """Run the assigner and entries on the mock clock."""

    def __init__(self, nursery):
        self.node = ControlNode(make_settings(), create_unexported_metrics())
        self.machine = self.node.machine
        self.replica = self.node.replica = MemoryReplica(self.machine)
        self._nursery = nursery
        self._handlers = ControlService(self.node).list_handlers()

    async def call(self, message):
        return await self._handlers[type(message)](message, None)

    def add(self, *names):
        entries = [Entry(self.call, name, name[0]) for name in names]
        for entry in entries:
            self._nursery.start_soon(entry.run)
        return entries

    async def start(self, *names):
        """Return entries once they hold all servers."""
        entries = self.add(*names)
        await trio.sleep(START_S)
        assert sum(len(entry.list_held_servers()) for entry in entries) == 2 * SETS
        return entries

    def list_holders(self):
        return {h.server: h.session for h in self.machine.holdings.values()}

    def list_requested(self):
        releases = self.node.get_leader_state().releases.values()
        return {name for names in releases for name in names}


@pytest.fixture
async def system(autojump_clock, nursery):
    system = System(nursery)
    await system.call(make_proposal(0, make_document(["ab"] * SETS)))
    nursery.start_soon(assigner.Assigner(system.node).run)
    return system


async def test_first_assignment_waits_for_more_entries(system, autojump_clock):
    [one] = system.add("a1")
    await trio.sleep(0.8)
    [two] = system.add("b1")
    await trio.sleep(START_S)
    assert one.list_held_servers() == {f"s{n}a0" for n in range(SETS)}
    assert two.list_held_servers() == {f"s{n}b1" for n in range(SETS)}
    assert {h.epoch for h in system.machine.holdings.values()} == {1}


async def test_servers_of_a_failed_entry_are_kept_until_its_lease_expires(
    system, autojump_clock
):
    """The entry may use its servers until its own lease has expired."""
    one, two = await system.start("a1", "b1")
    lost = one.list_held_servers()
    one.scope.cancel()
    await trio.sleep_until(one.last_heartbeat_at + LEASE_S * LEASE_MARGIN_FACTOR - 0.05)
    assert {system.list_holders()[name] for name in lost} == {one.message.session}
    await trio.sleep(HEARTBEAT_S + 2 * assigner.INTERVAL_S)
    assert lost <= two.list_held_servers()


async def test_new_leader_renews_all_sessions(system, autojump_clock):
    """The previous leader may have renewed the sessions until it failed."""
    one, _ = await system.start("a1", "b1")
    one.scope.cancel()
    await trio.sleep_until(one.last_heartbeat_at + LEASE_S)
    system.replica.term = 2
    await trio.sleep(LEASE_S * LEASE_MARGIN_FACTOR - assigner.INTERVAL_S)
    assert one.message.session in system.machine.sessions
    await trio.sleep(4 * assigner.INTERVAL_S)
    assert one.message.session not in system.machine.sessions


async def test_suspended_leader_closes_no_session(system, autojump_clock):
    """Heartbeats received during the suspension are still unread."""
    one, _ = await system.start("a1", "b1")
    one.scope.cancel()
    autojump_clock.jump(LEASE_S * 2)
    await trio.sleep(LEASE_S - assigner.INTERVAL_S)
    assert one.message.session in system.machine.sessions


async def test_new_leader_sends_no_routes_before_the_reports(system, autojump_clock):
    """Entries must not lose all snapshots at a change of leader.

    The new leader has no reports at first, so its routes would have no snapshots.
    """
    one, two = await system.start("a1", "b1")
    server, *_ = one.list_held_servers()
    report = messages.ServerReport(server, 1, "i", ServerState.READY, ())
    one.change(reports=(report,))
    await trio.sleep(2 * HEARTBEAT_S)
    one.change(full=False, reports=())
    system.replica.term = 2
    await trio.sleep(1.9)
    assert two.routes[server].state is ServerState.READY
    one.change(full=True, reports=(report,))
    await trio.sleep(3 * HEARTBEAT_S)
    assert two.message.route_version >> 40 == 2
    assert two.routes[server].state is ServerState.READY


async def test_deposed_leader_names_the_new_one(system, autojump_clock):
    """A route table with another leader's term would mix versions of two tables."""
    [one] = await system.start("a1")
    apply = system.replica.propose

    async def lose_leadership(data):
        result = await apply(data)
        system.replica.is_leader, system.replica.term = False, 2
        system.replica.leader_address = "d:1"
        return result

    system.replica.propose = lose_leadership
    one.scope.cancel()
    heartbeat = msgspec.structs.replace(one.message, session=0)
    assert await system.call(heartbeat) == NotLeader("d:1")


@pytest.mark.parametrize(
    "message",
    [
        messages.ReadConfiguration(),
        messages.ReadStatus(),
        messages.ReadClaim("c", "id", 0.0),
        None,
    ],
)
async def test_unconfirmed_leader_answers_no_call(system, autojump_clock, message):
    """A leader that was cut off must not answer with outdated state."""
    [one] = await system.start("a1")
    one.scope.cancel()
    system.replica.can_confirm = False
    assert await system.call(message or one.message) == NotLeader("d:1")


async def test_session_of_another_entry_is_refused(system, autojump_clock):
    [one] = await system.start("a1")
    stolen = msgspec.structs.replace(one.message, name="a2")
    assert (await system.call(stolen)).session == 0


async def test_joining_entry_gets_its_share_gradually(system, autojump_clock):
    entries = await system.start("a1", "b1")
    entries += system.add("a2")
    await trio.sleep(assigner.SETTLE_S - 1.0)
    assert not entries[2].list_held_servers()
    for _ in range(200):
        await trio.sleep(0.05)
        holders = system.list_holders()
        free = {name for name, session in holders.items() if not session}
        assert len(free) <= assigner.MIN_MOVES
    assert sorted(len(entry.list_held_servers()) for entry in entries) == [2, 2, 4]


async def test_release_request_is_kept_until_the_release(system, autojump_clock):
    """Entries must not be asked to release both replicas of a set at a time."""
    one, two = await system.start("a1", "b1")
    one.is_releasing = two.is_releasing = False
    system.add("a2")
    while not (first_requested := system.list_requested()):
        await trio.sleep(assigner.INTERVAL_S)
    system.add("b2")
    two.change(state=EntryState.RETIRING)
    await trio.sleep(2.0)
    requested = system.list_requested()
    assert first_requested <= requested
    assert len({name[:2] for name in requested}) == len(requested) == SETS
    one.change(state=EntryState.RETIRING)
    one.is_releasing = two.is_releasing = True
    await trio.sleep(START_S)
    assert one.list_held_servers() == two.list_held_servers() == set()
    assert all(system.list_holders().values())


async def test_entry_in_a_domain_that_is_out_loses_its_servers(system, autojump_clock):
    one, two = await system.start("a1", "b1")
    domains = {"a": doc.Domain(state=doc.DomainState.OUT)}
    await system.call(make_proposal(1, make_document(["ab"] * SETS, domains=domains)))
    await trio.sleep(6 * HEARTBEAT_S)
    assert (len(one.list_held_servers()), len(two.list_held_servers())) == (0, 2 * SETS)


async def test_last_eligible_entry_keeps_its_servers(system, autojump_clock):
    one, two = await system.start("a1", "b1")
    one.is_releasing = two.is_releasing = False
    one.change(state=EntryState.RETIRING)
    await trio.sleep(2 * HEARTBEAT_S)
    assert system.list_requested()
    two.change(state=EntryState.RETIRING)
    await trio.sleep(2 * HEARTBEAT_S)
    assert not system.list_requested()


async def test_silent_entry_receives_nothing(system, autojump_clock):
    one, two, three = await system.start("a1", "a2", "b1")
    one.scope.cancel()
    await trio.sleep(2.0)
    before = set(system.list_holders().items())
    two.change(state=EntryState.RETIRING)
    await trio.sleep_until(one.last_heartbeat_at + LEASE_S)
    after = set(system.list_holders().items())
    assert {session for _, session in after - before} <= {0, three.message.session}
    assert len(after - before) >= 2


async def test_session_whose_reply_was_lost_gets_no_servers(system, autojump_clock):
    [one] = system.add("a1")
    await trio.sleep(0.3)
    orphan = Entry(system.call, "b1", "b")
    await orphan.send_heartbeat()
    await trio.sleep(LEASE_S - 1.0)
    assert set(system.list_holders().values()) == {one.message.session}


async def test_server_removed_from_the_document_keeps_its_holder(
    system, autojump_clock
):
    """The entry may not have learned of the removal when the server returns."""
    one, two = await system.start("a1", "b1")
    before = dict(system.machine.holdings)
    await system.call(make_proposal(1, make_document(["ab"])))
    await trio.sleep(2 * HEARTBEAT_S)
    assert set(one.routes) == {"s0a0", "s0b1"}
    await system.call(make_proposal(2, make_document(["ab"] * SETS)))
    await trio.sleep(2 * HEARTBEAT_S)
    assert system.machine.holdings == before
    assert len(one.list_held_servers()) == len(two.list_held_servers()) == SETS
    await system.call(make_proposal(3, make_document(["ab"] * (SETS - 1))))
    [three] = system.add("a2")
    await trio.sleep(assigner.SETTLE_S + 2.0)
    assert three.list_held_servers()


async def test_leaving_server_is_marked_in_its_route(system, autojump_clock):
    [one] = await system.start("a1")
    system.node.leaving_addresses = frozenset(
        {"127.0.0.1", "127.0.0.2:90", "127.0.0.3:92"}
    )
    await trio.sleep(2 * HEARTBEAT_S)
    leaving = {name for name, route in one.routes.items() if route.leaving}
    assert leaving == {"s0a0", "s0b1", "s1a0"}
