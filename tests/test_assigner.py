"""Guard against two holders of a server, and against needless hand-overs."""

import msgspec
import pytest
import trio

from wisteriaworks import assigner
from wisteriaworks.assigner import Assigner
from wisteriaworks.control_node import ControlNode
from wisteriaworks.control_service import ControlService
from wisteriaworks.generated.commands import PutConfiguration
from wisteriaworks.generated.document import Document, Index, Server
from wisteriaworks.generated.messages import (
    EntryState,
    Heartbeat,
    NotLeader,
    Release,
    ServerReport,
    ServerState,
)
from wisteriaworks.generated.settings import ControlSettings
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.sessions import LEASE_MARGIN

LEASE_S = 4.0
BEAT_S = 0.5
# Between two heartbeats, so that their order does not matter.
START_S = 5.1


class MemoryReplica:
    """Apply each proposal at once, as the leader of a term that tests set."""

    leader_address = "c:1"
    members = ()

    def __init__(self, machine):
        self.machine = machine
        self.is_leader, self.term, self.index = True, 1, 0

    async def propose(self, data):
        await trio.lowlevel.checkpoint()
        self.index += 1
        return self.machine.apply(self.index, data)

    async def confirm_leader(self):
        await trio.lowlevel.checkpoint()


class Entry:
    """Beat until stopped, and release what it is asked to."""

    def __init__(self, call, name, domain):
        self._call = call
        self.beat = Heartbeat(
            0, name, domain, f"{name}:1", EntryState.ACTIVE, 0, 0, True
        )
        self.reports = {}
        self.held = {}
        self.routes = None
        self.scope = trio.CancelScope()
        self.last_beat_at = None

    async def run(self):
        released = ()
        with self.scope:
            while True:
                self.last_beat_at = trio.current_time()
                released = await self._heartbeat(released)
                await trio.sleep(BEAT_S)

    async def _heartbeat(self, released):
        beat = msgspec.structs.replace(
            self.beat, released=released, reports=tuple(self.reports.values())
        )
        reply = await self._call(beat)
        version = reply.route_version
        self.beat = msgspec.structs.replace(
            self.beat, session=reply.session, route_version=version
        )
        routes = {r.server: r for r in reply.routes}
        self.routes = routes if reply.full else {**(self.routes or {}), **routes}
        self.held = {
            name: route
            for name, route in self.routes.items()
            if route.holder == reply.session and name not in reply.release
        }
        return tuple(Release(n, self.routes[n].epoch) for n in reply.release)


class System:
    """Run the assigner with entries on the mock clock."""

    def __init__(self, nursery):
        cfg = ControlSettings(
            name="c", domain="a", address="c:1", admin="", data_folder=""
        )
        self.node = ControlNode(cfg, create_unexported_metrics())
        self.node.replica = MemoryReplica(self.node.machine)
        self.nursery = nursery
        self._handlers = ControlService(self.node).list_handlers()

    async def call(self, message):
        return await self._handlers[type(message)](message, None)

    async def put(self, domains, sets):
        servers = tuple(
            Server(
                name=f"s{n}{domain}",
                address=f"127.0.0.{n + 1}:90",
                domain=domain,
                replica_set=f"r{n}",
                slots=2,
                connections=2,
            )
            for n in range(sets)
            for domain in domains
        )
        document = Document(indexes={"i": Index(servers=servers)})
        operation_id = "019b0000-0000-7000-8000-000000000000"
        self.node.wall_ms = lambda: 0x019B00000000
        await self.node.propose(PutConfiguration(operation_id, 0, document))

    def add(self, name, domain):
        entry = Entry(self.call, name, domain)
        self.nursery.start_soon(entry.run)
        return entry

    def list_holders(self):
        holdings = self.node.machine.holdings.values()
        return {h.server: h.session for h in holdings}


@pytest.fixture
async def system(autojump_clock, nursery):
    system = System(nursery)
    await system.put("ab", 4)
    nursery.start_soon(Assigner(system.node).run)
    return system


async def test_first_assignment_waits_for_more_than_one_entry(system, autojump_clock):
    one = system.add("one", "a")
    await trio.sleep(0.8)
    two = system.add("two", "b")
    await trio.sleep(4.0)
    assert {len(one.held), len(two.held)} == {4}
    assert {h.epoch for h in system.node.machine.holdings.values()} == {1}


async def test_servers_of_a_dead_entry_wait_for_its_lease(system, autojump_clock):
    """The entry may still send until its own lease has run out."""
    one, two = system.add("one", "a"), system.add("two", "b")
    await trio.sleep(START_S)
    lost = set(one.held)
    one.scope.cancel()
    await trio.sleep_until(one.last_beat_at + LEASE_S * LEASE_MARGIN - 0.05)
    assert {system.list_holders()[name] for name in lost} == {one.beat.session}
    await trio.sleep(BEAT_S + 2 * assigner.INTERVAL_S)
    assert lost <= set(two.held)


async def test_new_leader_renews_all_sessions_at_its_election(system, autojump_clock):
    one = system.add("one", "a")
    system.add("two", "b")
    await trio.sleep(START_S)
    one.scope.cancel()
    await trio.sleep_until(one.last_beat_at + LEASE_S)
    system.node.replica.term = 2
    await trio.sleep(LEASE_S * LEASE_MARGIN - assigner.INTERVAL_S)
    assert one.beat.session in system.node.machine.sessions
    await trio.sleep(4 * assigner.INTERVAL_S)
    assert one.beat.session not in system.node.machine.sessions


async def test_new_leader_sends_no_routes_before_it_has_reports(system, autojump_clock):
    """Entries would lose all snapshots at each change of leader."""
    one, two = system.add("one", "a"), system.add("two", "b")
    await trio.sleep(START_S)
    server, route = next(iter(one.held.items()))
    ready = ServerReport(server, route.epoch, "i", ServerState.READY, ())
    one.reports = {server: ready}
    await trio.sleep(2 * BEAT_S)
    assert two.routes[server].state is ServerState.READY
    one.beat = msgspec.structs.replace(one.beat, full=False)
    one.reports = {}
    system.node.replica.term = 2
    await trio.sleep(1.9)
    assert two.routes[server].state is ServerState.READY
    one.beat = msgspec.structs.replace(one.beat, full=True)
    one.reports = {server: ready}
    await trio.sleep(3 * BEAT_S)
    assert two.beat.route_version >> 40 == 2
    assert two.routes[server].state is ServerState.READY


async def test_leader_that_was_deposed_names_the_new_one(system, autojump_clock):
    """A route table under another leader's term would mix up the versions."""
    one = system.add("one", "a")
    await trio.sleep(1.0)
    beat = msgspec.structs.replace(one.beat, session=0)
    one.scope.cancel()
    replica = system.node.replica
    apply = replica.propose

    async def lose(data):
        result = await apply(data)
        replica.is_leader, replica.term = False, 2
        replica.leader_address = "d:1"
        return result

    replica.propose = lose
    assert await system.call(beat) == NotLeader("d:1")


async def test_joining_entry_gets_its_share_gradually(system, autojump_clock):
    one, two = system.add("one", "a"), system.add("two", "b")
    await trio.sleep(START_S)
    three = system.add("three", "a")
    await trio.sleep(assigner.SETTLE_S - 1.0)
    assert not three.held
    for _ in range(200):
        await trio.sleep(0.05)
        holders = system.list_holders()
        free = {name for name, session in holders.items() if not session}
        assert len(free) <= assigner.MIN_MOVES
        assert not any({f"s{n}a", f"s{n}b"} <= free for n in range(4))
    assert sorted(len(entry.held) for entry in (one, two, three)) == [2, 2, 4]


async def test_retiring_entry_hands_all_servers_over(system, autojump_clock):
    one, two = system.add("one", "a"), system.add("two", "b")
    await trio.sleep(START_S)
    one.beat = msgspec.structs.replace(one.beat, state=EntryState.RETIRING)
    await trio.sleep(6 * BEAT_S)
    assert (len(one.held), len(two.held)) == (0, 8)


async def test_last_suitable_entry_keeps_its_servers(system, autojump_clock):
    one = system.add("one", "a")
    await trio.sleep(START_S)
    one.beat = msgspec.structs.replace(one.beat, state=EntryState.RETIRING)
    await trio.sleep(START_S)
    assert len(one.held) == 8


async def test_entry_without_its_answer_holds_no_server(system, autojump_clock):
    """An entry whose first answer was lost opens a second session."""
    system.add("one", "a")
    await trio.sleep(START_S)
    orphan = Heartbeat(0, "two", "b", "two:1", EntryState.ACTIVE, 0, 0, True)
    number = (await system.call(orphan)).session
    await trio.sleep(LEASE_S)
    assert number in system.node.machine.sessions
    assert number not in system.list_holders().values()


async def test_leaving_server_is_marked_in_its_route(system, autojump_clock):
    one = system.add("one", "a")
    await trio.sleep(START_S)
    system.node.leaving = frozenset({"127.0.0.1", "127.0.0.2:90", "127.0.0.3:91"})
    await trio.sleep(2 * BEAT_S)
    leaving = {name for name, route in one.routes.items() if route.leaving}
    assert leaving == {"s0a", "s0b", "s1a", "s1b"}
