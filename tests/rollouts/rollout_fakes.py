"""A leader, gateways and servers in one process for the tests of rollouts.

The coordinator, the reporter, the filter and the state machine are the product's; the
connections, the log and the servers are replaced. Times are those of trio's MockClock.
"""

import itertools
import random
from types import SimpleNamespace

import trio
from gateway_fakes import make_answer, make_entry, make_settings

from wisteriaworks.gateway.forwarder import ServerFleet
from wisteriaworks.gateway.model import Answered, Failed, Failure, Refused
from wisteriaworks.gateway.server_table import make_known_servers
from wisteriaworks.generated.messages import OrderRollout
from wisteriaworks.generated.settings import RolloutSettings
from wisteriaworks.rollouts.coordinator import RolloutCoordinator
from wisteriaworks.rollouts.reporter import report_versions
from wisteriaworks.state_machine import StateMachine, encode_command

CFG = RolloutSettings()
LINK_S = 0.02
KEEPALIVE_S = 0.5
ROUTES = {"quick": 0.02, "page": 0.06, "report": 0.3}
DOMAINS = "abcd"


def make_entries():
    """Return three servers of each version in different domains."""
    return [
        make_entry(f"{version}-{domain}", domain=domain, version=version)
        for version, domain in itertools.product(("v1", "v2"), "abc")
    ]


class FakeServer:
    """Answer like a server that pauses for 250 ms every 6 s."""

    def __init__(self, entry, rng, behave):
        self.entry, self._rng, self._behave = entry, rng, behave
        self._pause_at = rng.uniform(0, 6)
        self.arrivals = []

    def answer(self, route, now):
        """Return the outcome of a request and the time until it."""
        self.arrivals.append(now)
        load = sum(at > now - 1 for at in self.arrivals[-20:])
        outcome, factor = self._behave(self.entry, route, now, load, self._rng)
        pause_s = max(0.0, 0.25 - (now - self._pause_at) % 6)
        work_s = ROUTES[route] * self._rng.lognormvariate(0, 0.25) * factor
        return outcome, LINK_S / 10 + pause_s + work_s


class Gateway:
    """Send to servers as a gateway does, with one repeat after a failure."""

    def __init__(self, name, run, domain, seed, entries):
        cfg = make_settings(name=name, domain=domain, rollouts=CFG)
        self.name = name
        self.fleet = ServerFleet.create(cfg, random.Random(seed * 1000 + run), 0.0)
        self.fleet.table.assign(make_known_servers(entries, trio.current_time()))
        self.versions = self.fleet.versions
        self.versions.note_listed(entries)
        self.channel = None
        self._send_ids = itertools.count()

    def choose(self, now, is_first=True, tried=()):
        """Return the server that the next send goes to, or None."""
        usable = self.fleet.table.list_usable("s")
        usable = self.versions.narrow("s", usable, now, is_first)
        usable = [server for server in usable if server.id not in tried]
        return self.fleet.stats.choose(usable, now)

    async def serve(self, system, route):
        """Send one request, and once more after a failure or refusal."""
        tried = []
        while len(tried) < 2:
            began_at = trio.current_time()
            server = self.choose(began_at, not tried, tried)
            if server is None:
                return
            tried.append(server.id)
            send_id = next(self._send_ids)
            self.versions.count_send(server)
            self.fleet.stats.record_send(server.id, send_id, began_at)
            outcome, delay_s = system.servers[server.id].answer(route, began_at)
            await trio.sleep(delay_s)
            now = trio.current_time()
            self.versions.record_outcome(route, server, outcome, began_at, now)
            if isinstance(outcome, Answered) and outcome.answer.is_success:
                self.fleet.stats.record_success(server.id, send_id, now, ROUTES[route])
                return
            if isinstance(outcome, Refused):
                self.fleet.stats.record_refusal(server.id, send_id, now)
            else:
                self.fleet.stats.record_failure(server.id, send_id, now)


class System:
    """Run a leader, gateways and servers, and record what happens."""

    # The list of servers has been read.
    revision = 1

    def __init__(self, seed, behave, gateways=78, rate=20.0, entries=None):
        self.rng = random.Random(seed)
        self.entries = entries or make_entries()
        self.servers = {
            e.id: FakeServer(e, random.Random(f"{seed}{e.id}"), behave)
            for e in self.entries
        }
        self.machine = StateMachine()
        self.arrivals, self._rate, self._index = [], rate, 0
        self.gateways = [
            Gateway(f"g{n}", 1, DOMAINS[n % 4], seed * 100 + n, self.entries)
            for n in range(gateways)
        ]
        self.machine.gateways = gateways
        self.replica = SimpleNamespace(is_leader=True, term=1, became_leader_at=-9.0)
        self.node = SimpleNamespace(
            machine=self.machine,
            replica=self.replica,
            is_stopping=False,
            propose=self.propose,
        )
        self.replica.confirm_leader = trio.lowlevel.checkpoint
        self.coordinator = self.make_coordinator()
        # Phases with the time, and with the sends that then run at old servers.
        self.phases = []
        self._changed = trio.Event()

    def make_coordinator(self):
        return RolloutCoordinator(CFG, self.node, self, self, trio.current_time)

    def list_service(self, service, now):
        return self.entries

    def list_watchers(self):
        return [g.name for g in self.gateways if g.channel is not None]

    async def propose(self, command):
        await trio.sleep(LINK_S)
        self._index += 1
        result = self.machine.apply(self._index, encode_command(command, 0))
        record = self.machine.rollouts.get("s")
        if record and (not self.phases or self.phases[-1][0] is not record.phase):
            running = sum(g.versions._followed != {} for g in self.gateways)
            running = running and sum(map(self.count_old_running, self.gateways))
            self.phases.append((record.phase, trio.current_time(), running))
        return result

    def count_old_running(self, gateway):
        stats = gateway.fleet.stats
        return sum(stats.count_waiting(e.id) for e in self.entries if "v1" in e.id)

    async def submit(self, command, make_reply):
        result = await self.propose(command)
        self.notify()
        return make_reply(result)

    def redirect_to_leader(self):
        return None

    def notify(self):
        self._changed.set()
        self._changed = trio.Event()

    async def call(self, message, timeout_s):
        """Deliver a message of a gateway to the leader, as its channel does."""
        await trio.sleep(LINK_S)
        handler = self.coordinator.list_handlers()[type(message)]
        return await handler(message, None)

    async def order(self, duration_s=12.0, target="v2"):
        message = OrderRollout("s", target, int(duration_s * 1000))
        return await self.call(message, 1.0)

    async def update(self, gateway):
        """Send updates to a gateway while it is connected."""
        while True:
            states = self.machine.rollouts.states
            await trio.sleep(LINK_S)
            if gateway.channel is not None:
                gateway.versions.note_update(trio.current_time())
                gateway.versions.apply_states(states)
            if states is not self.machine.rollouts.states:
                continue
            with trio.move_on_after(KEEPALIVE_S):
                await self._changed.wait()

    def connect(self, gateway, nursery):
        gateway.channel = self
        nursery.start_soon(self.update, gateway)
        nursery.start_soon(report_versions, gateway.versions, lambda: gateway.channel)

    async def send_requests(self, nursery):
        while True:
            await trio.sleep(self.rng.expovariate(self._rate))
            self.arrivals.append(trio.current_time())
            route = self.rng.choice(list(ROUTES))
            gateway = self.rng.choice(self.gateways)
            nursery.start_soon(gateway.serve, self, route)

    async def run(self, scenario):
        """Run ``scenario(self, nursery)`` with requests two seconds before it."""
        async with trio.open_nursery() as nursery:
            for gateway in self.gateways:
                self.connect(gateway, nursery)
            nursery.start_soon(self.coordinator.run)
            nursery.start_soon(self.send_requests, nursery)
            await trio.sleep(2)
            await scenario(self, nursery)
            nursery.cancel_scope.cancel()

    def list_arrivals(self, version):
        return sorted(
            at
            for server in self.servers.values()
            if server.entry.version == version
            for at in server.arrivals
        )


def ok(factor=1.0):
    return Answered(make_answer()), factor


def fail():
    return Answered(make_answer(status=500, signature=None)), 0.5


def refuse():
    return Refused(make_answer(status=503)), 0.1


def break_off():
    return Failed(Failure.BROKEN, may_have_run=True), 0.5
