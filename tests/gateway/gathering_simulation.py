"""Simulation of queries that gateways hand to one another, on simulated time.

The gateways' programs, messages and decisions are the real ones. Connections between
gateways and the servers are simulated, so that each may be late, stall or refuse at
any moment.
"""

import collections
import contextlib
import functools
import itertools
import math
import random
import zlib
from dataclasses import dataclass, field
from types import SimpleNamespace

import trio
import trio.testing
from gateway_fakes import (
    make_answer,
    make_document,
    make_entry,
    make_route,
    make_settings,
)

from wisteriaworks import rpc
from wisteriaworks.gateway.app import GatewayApp
from wisteriaworks.gateway.delegate_client import DelegateClient
from wisteriaworks.gateway.delegation import DelegateSelector
from wisteriaworks.gateway.forwarder import Forwarder
from wisteriaworks.gateway.gather_run import Gatherer
from wisteriaworks.gateway.model import Answered, CallerRequest, Refused
from wisteriaworks.gateway.request_log import RequestLog
from wisteriaworks.gateway.retry_budget import RetryBudget
from wisteriaworks.gateway.route_index import RouteIndex
from wisteriaworks.gateway.server_table import make_known_servers
from wisteriaworks.generated.messages import Delegate, GatherParts
from wisteriaworks.generated.settings import BudgetSettings
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.platform import wire

OWN_LINK_MBPS, FAST_LINK_MBPS = 1.0, 1000.0
SHARDS = tuple(f"s{number}" for number in range(12))
ATTEMPTS = 2
# Each shard has a server in each of them.
DOMAINS = "abc"
OBJECTIVE_MS = 100
DEADLINE_S = 3.0
SERVER_LINK_S = 0.001
# Time after which no message of a query is on its way any more.
QUIET_S = 8.0


@dataclass(frozen=True, slots=True)
class Stall:
    """Represent a span in which nothing leaves or reaches a gateway."""

    begin_s: float
    length_s: float

    def delay(self, at):
        """Return a time, or the end of the stall if it lies within."""
        end = self.begin_s + self.length_s
        return end if self.begin_s <= at < end else at


@dataclass(frozen=True, slots=True)
class Arrival:
    """Represent the arrival of a request at a server, which may refuse it.

    ``deadline_at`` is the deadline that the gateway states when it sends.
    """

    request_id: bytes
    shard: str
    server_id: str
    ran: bool
    at: float
    deadline_at: float


@dataclass
class SimulatedGateway:
    """Represent one gateway; ``lag_s`` delays everything from and to it.

    ``lists`` are the domains of the servers that it knows, and ``lost_at`` is when the
    connections to it end.
    """

    name: str
    domain: str = "a"
    lag_s: float = 0.0005
    stalls: tuple[Stall, ...] = ()
    lists: str = DOMAINS
    lost_at: float = math.inf
    forwarder: Forwarder = None
    app: GatewayApp = None
    delegates: DelegateClient = None
    counted_repeats: int = 0

    def delay(self, at):
        """Return when a message that passes this gateway at a time goes on."""
        at += self.lag_s
        for stall in sorted(self.stalls, key=lambda stall: stall.begin_s):
            at = stall.delay(at)
        return at


@dataclass
class SimulatedServers:
    """Answer the requests of all gateways.

    ``answer_after_s`` and ``refuses`` are called with a server's id.
    """

    answer_after_s: object = staticmethod(lambda server_id: 0.01)
    refuses: object = staticmethod(lambda server_id: False)
    arrivals: list = field(default_factory=list)

    def count_servers(self):
        """Return the number of servers that ran, by request and shard."""
        used = collections.defaultdict(set)
        for arrival in self.arrivals:
            if arrival.ran:
                used[arrival.request_id, arrival.shard].add(arrival.server_id)
        return {key: len(servers) for key, servers in used.items()}

    def count_repeats(self):
        """Return the number of arrivals beyond the first of each request and shard."""
        return len(self.arrivals) - len(
            {(arrival.request_id, arrival.shard) for arrival in self.arrivals}
        )


class _SimulatedPool:
    """Take the place of the connections to one server."""

    def __init__(self, gateway, servers, entry, nursery):
        self._gateway = gateway
        self._servers = servers
        self._entry = entry
        self._nursery = nursery

    def submit(self, exchange):
        """Send a request."""
        exchange.conn = self
        head, _ = exchange.encode()
        deadline_at = trio.current_time() + _read_left_s(head)
        self._nursery.start_soon(self._serve, exchange, deadline_at)

    def cancel(self, exchange):
        """Cancel a request, which the server may still run."""
        exchange.is_done = True

    async def _serve(self, exchange, deadline_at):
        await trio.sleep_until(self._gateway.delay(trio.current_time()) + SERVER_LINK_S)
        now, server_id = trio.current_time(), self._entry.id
        refuses = self._servers.refuses(server_id)
        self._servers.arrivals.append(
            Arrival(
                exchange.request_id,
                self._entry.service,
                server_id,
                not refuses,
                now,
                deadline_at,
            )
        )
        fields = {"request_id": exchange.request_id, "not_run": refuses}
        outcome = Refused(make_answer(status=503, **fields))
        if not refuses:
            await trio.sleep(self._servers.answer_after_s(server_id))
            signature = server_id.encode()
            outcome = Answered(
                make_answer(body=bytes(16), signature=signature, **fields)
            )
        await trio.sleep_until(self._gateway.delay(trio.current_time()))
        exchange.finish(outcome)


def _read_left_s(head):
    lines = head.lower().split(b"\r\n")
    (left_ms,) = [
        line.partition(b":")[2]
        for line in lines
        if line.startswith(b"x-wisteriaworks-deadline-ms:")
    ]
    return int(left_ms) / 1000


class _SimulatedForwarder(Forwarder):
    def __init__(self, gateway, servers, nursery):
        # Gateways with the same seed would choose the same servers.
        seed = zlib.crc32(gateway.name.encode())
        cfg = make_settings(name=gateway.name, domain=gateway.domain, seed=seed)
        metrics = create_unexported_metrics()
        super().__init__(cfg, wire, nursery, metrics)
        self._gateway = gateway
        self._servers = servers

    def get_pool(self, server, document):
        return _SimulatedPool(self._gateway, self._servers, server.entry, self._nursery)

    def _estimate_wait(self, server_id, work_s, now):
        return 0.0


class GatheringSimulation:
    """Run the gateways of callers, which are the first ones, and their delegates."""

    def __init__(self, nursery, gateways, servers, rng, callers=1):
        self._nursery = nursery
        self.gateways = gateways
        self.callers = gateways[:callers]
        self.servers = servers
        self._rng = rng
        self.route = make_route(
            shards=SHARDS,
            attempts=ATTEMPTS,
            objective_ms=OBJECTIVE_MS,
            timeout_ms=int(DEADLINE_S * 1000),
            minimum_coverage=0.5,
            top_records=5,
        )
        document = make_document(self.route, services=SHARDS)
        self._routes = RouteIndex(document, 1)
        self._ids = (b"q%d" % number for number in itertools.count())
        for gateway in gateways:
            self._start(gateway)

    def _start(self, gateway):
        forwarder = gateway.forwarder = _SimulatedForwarder(
            gateway, self.servers, self._nursery
        )
        self._count_repeats(gateway, forwarder.fleet)
        entries = [
            make_entry(f"{shard}-{domain}", service=shard, domain=domain)
            for shard in SHARDS
            for domain in gateway.lists
        ]
        forwarder.fleet.table.assign(make_known_servers(entries, -60.0))
        forwarder.fleet.set_document(self._routes.document, trio.current_time())
        is_caller = gateway in self.callers
        selector = DelegateSelector(
            gateway.name, OWN_LINK_MBPS if is_caller else FAST_LINK_MBPS, self._rng
        )
        gateway.delegates = DelegateClient(
            selector, forwarder.return_time, self._nursery
        )
        state = SimpleNamespace(
            is_initialized=True,
            routes=self._routes,
            updated_at=trio.current_time(),
        )
        log = RequestLog(state, create_unexported_metrics(), self._rng)
        gateway.app = GatewayApp(
            state,
            forwarder,
            wire,
            0,
            log,
            gatherer=Gatherer(gateway.delegates, forwarder, log),
            accounts=SimpleNamespace(accepts=lambda message, route: True),
        )

    def _count_repeats(self, gateway, fleet):
        # Started long ago, so that it may repeat.
        fleet.budget = RetryBudget(
            BudgetSettings(retry_ratio=10.0, slack=1000.0), trio.current_time() - 60.0
        )
        count_repeat = fleet.budget.count_repeat

        def count(service, now):
            gateway.counted_repeats += 1
            count_repeat(service, now)

        fleet.budget.count_repeat = count

    def list_delegates(self):
        """Tell the callers' gateways their delegates.

        The port of an address is the number of the gateway that calls it.
        """
        for number, caller in enumerate(self.callers):
            caller.delegates.set_delegates(
                [
                    Delegate(
                        gateway.name,
                        f"{gateway.name}:{number}",
                        gateway.domain,
                        FAST_LINK_MBPS,
                        gathers=True,
                        awaits_confirmation=True,
                    )
                    for gateway in self.gateways[len(self.callers) :]
                ]
            )

    async def open_stream(self, channel, deadline):
        """Connect to a gateway; takes the place of ``Channel._open``."""
        name, _, number = channel.address.partition(":")
        (peer,) = [gateway for gateway in self.gateways if gateway.name == name]
        near, near_end = trio.testing.memory_stream_pair()
        far, far_end = trio.testing.memory_stream_pair()
        handlers = {GatherParts: peer.app.groups.gather_parts}
        server = rpc.RpcServer(handlers, _raise_error)
        self._nursery.start_soon(server._accept, far)
        caller = self.callers[int(number)]
        self._nursery.start_soon(self._relay, near_end, far_end, caller, peer)
        self._nursery.start_soon(self._relay, far_end, near_end, peer, caller)
        return near

    async def _relay(self, source, sink, sender, receiver):
        send, receive = trio.open_memory_channel(float("inf"))

        async def deliver():
            with contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ):
                async for due_at, data in receive:
                    await trio.sleep_until(due_at)
                    await sink.send_all(data)
            await sink.aclose()

        lost_at = min(sender.lost_at, receiver.lost_at)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deliver)
            with trio.move_on_at(lost_at):
                async with send:
                    with contextlib.suppress(
                        trio.BrokenResourceError, trio.ClosedResourceError
                    ):
                        async for data in source:
                            now = trio.current_time()
                            due_at = receiver.delay(sender.delay(now))
                            send.send_nowait((due_at, data))

    async def ask(self, caller=0):
        """Send a query to a caller's gateway; return status, headers and body."""
        now = trio.current_time()
        request = CallerRequest(
            b"GET",
            b"/p/x",
            self.route.host,
            (),
            b"",
            next(self._ids),
            now + DEADLINE_S,
        )
        return await self.callers[caller].app._answer(
            request, self.route, self._routes, now
        )


def _raise_error(exc):
    raise exc


def run_simulation(gateways, servers, play, seed=1, callers=1):
    """Run ``play(simulation)`` until nothing is on its way; return the simulation."""

    async def main():
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                simulation = GatheringSimulation(
                    nursery, gateways, servers, random.Random(seed), callers
                )
                rpc.Channel._open, opened = (
                    functools.partialmethod(_open_simulated, simulation),
                    rpc.Channel._open,
                )
                try:
                    simulation.list_delegates()
                    await play(simulation)
                    await trio.sleep(QUIET_S)
                finally:
                    rpc.Channel._open = opened
                scope.cancel()
        return simulation

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


async def _open_simulated(channel, simulation, deadline):
    return await simulation.open_stream(channel, deadline)
