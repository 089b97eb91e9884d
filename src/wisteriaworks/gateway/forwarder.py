"""Run queries: send to servers, wait for answers, and let go of the rest."""

import itertools
import math
import random
from dataclasses import dataclass

import trio

from wisteriaworks.events import Event, log_event
from wisteriaworks.gateway.cold_limit import ColdLimit
from wisteriaworks.gateway.extra_budget import ExtraBudget
from wisteriaworks.gateway.fetch import Fetch, FetchPolicy
from wisteriaworks.gateway.hedge_clock import HedgeClock
from wisteriaworks.gateway.model import (
    Answered,
    Failed,
    Failure,
    Refused,
    name_outcome,
)
from wisteriaworks.gateway.query import Query, Reason, Unserved
from wisteriaworks.gateway.server_stats import ServerStats
from wisteriaworks.gateway.server_table import ServerTable
from wisteriaworks.gateway.upstream import Exchange, ServerPool, estimate_opening
from wisteriaworks.log_limit import LogLimiter

# A send whose result is not needed any more keeps its connection this long, so
# that no new one is needed; then the connection counts as silent.
ABANDONED_S = 0.6
# Servers may work this long for a caller that has gone.
CANCEL_AFTER_S = 0.1
SWEEP_INTERVAL_S = 0.25
# Share of a server's connections that all gateways use together.
CONNECTION_SHARE = 0.9


@dataclass(slots=True)
class Fleet:
    """Hold what is known of the servers and what may be sent to them."""

    table: ServerTable
    stats: ServerStats
    budget: ExtraBudget
    cold: ColdLimit

    @classmethod
    def create(cls, cfg, rng, now):
        """Return the fleet of a gateway that knows no server yet."""
        return cls(
            ServerTable(),
            ServerStats(cfg.domain, rng),
            ExtraBudget(cfg.budget, now),
            ColdLimit(cfg.budget),
        )

    def set_gateways(self, count, position):
        """Share the budgets between gateways, of which this is number ``position``."""
        self.budget.gateways = self.cold.gateways = max(1, count)
        self.cold.position = position


class Forwarder:
    """Send requests to servers. ``wire`` encodes them and names headers."""

    def __init__(self, cfg, wire, nursery, metrics):
        self._limiter = LogLimiter()
        self._sends = metrics.create_counter(
            "wisteria.gateway.sends", "Sends to servers by kind and outcome"
        )
        self._rng = random.Random(cfg.seed or None)
        self.fleet = Fleet.create(cfg, self._rng, trio.current_time())
        self._wire = wire
        self._nursery = nursery
        self._pools = {}
        self._hedges = {}
        self._numbers = itertools.count()
        self._abandoned = set()
        self.fleet.stats.estimate_wait = self._estimate_wait

    def note_servers(self, document):
        """Drop what belongs to servers that left the list."""
        ids = set(self.fleet.table.list_ids())
        for server_id in [key for key in self._pools if key not in ids]:
            self._pools.pop(server_id).close()
        self.fleet.stats.keep(ids)
        self.fleet.cold.keep(ids)
        self.fleet.budget.keep(set(document.services))

    def get_hedges(self, route):
        """Return what is known of the times of a route's answers."""
        hedges = self._hedges.get(route.name)
        if hedges is None or hedges.objective_ms != route.objective_ms:
            hedges = HedgeClock(route.objective_ms, route.timeout_ms)
            self._hedges[route.name] = hedges
        return hedges

    def note_send(self, is_repeat, outcome):
        """Count the outcome of one send."""
        kind = "repeat" if is_repeat else "first"
        self._sends.add(1, {"kind": kind, "outcome": outcome})

    def note_avoided(self, server, outcome, pause_s, now):
        """Write a line for a server that is avoided from now on, if it is."""
        if pause_s and self._limiter.admit(Event.SERVER_AVOIDED.value.number, now):
            log_event(
                Event.SERVER_AVOIDED,
                server=server.id,
                service=server.listed.service,
                address=server.listed.address,
                outcome=name_outcome(outcome),
                pause_ms=math.floor(pause_s * 1000),
            )

    async def run(self, request, route, services, document, arrived_at):
        """Return the result of a request."""
        timeout_at = arrived_at + route.timeout_ms / 1000
        deadline_at = min(request.deadline_at, timeout_at)
        now = trio.current_time()
        hedges = self.get_hedges(route)
        hedge_after_s, typical_s = hedges.choose(now), hedges.read_typical(now)
        fetches = {
            service: Fetch(
                FetchPolicy(
                    service=service,
                    idempotent=route.idempotent,
                    attempts=route.attempts,
                    cold_per_s=document.services[service].cold_per_s,
                    hedge_after_s=hedge_after_s,
                    typical_s=typical_s,
                ),
                self.fleet,
            )
            for service in services
        }
        query = Query(route, fetches, arrived_at, deadline_at)
        run = _Run(self, request, route, query, deadline_at, document, typical_s)
        return await run.run()

    async def sweep(self):
        """Close connections on which an abandoned send stays unanswered."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            now = trio.current_time()
            for item in tuple(self._abandoned):
                pool, exchange, until = item
                if exchange.is_done:
                    self._abandoned.discard(item)
                elif now >= until:
                    self._abandoned.discard(item)
                    exchange.finish(Failed(Failure.TIMED_OUT, may_have_run=True))
                    pool.cancel(exchange)

    def abandon(self, pool, exchange, keep_s):
        """Let a send end by itself, or close its connection after a time.

        One that still waits for a connection is dropped at once.
        """
        if exchange.conn is None:
            exchange.finish(Failed(Failure.ABANDONED, may_have_run=False))
            pool.cancel(exchange)
            return
        self._abandoned.add((pool, exchange, trio.current_time() + keep_s))

    def get_pool(self, server, document):
        """Return the connections to a server."""
        pool = self._pools.get(server.id)
        if pool is None:
            pool = ServerPool(server.listed.address, self._wire.names, self._nursery)
            self._pools[server.id] = pool
        service = document.services.get(server.listed.service)
        if service is not None:
            share = CONNECTION_SHARE * service.connections
            pool.limit = max(1, int(share / self.fleet.budget.gateways))
        return pool

    def count_connections(self):
        """Return the number of connections, open or being opened."""
        return sum(pool.size for pool in self._pools.values())

    def next_number(self):
        """Return a number for one send."""
        return next(self._numbers)

    def encode(self, request, server, left_s):
        """Return a request as bytes for one server."""
        left_ms = max(1, math.floor(left_s * 1000))
        return self._wire.encode_request(request, server.id, left_ms)

    def _estimate_wait(self, server_id, work_s, now):
        pool = self._pools.get(server_id)
        if pool is None:
            return estimate_opening(work_s)
        return pool.estimate_wait(work_s, now)


class _Run:
    """Run one query."""

    def __init__(
        self, forwarder, request, route, query, deadline_at, document, typical_s
    ):
        self._typical_s = typical_s
        self._forwarder = forwarder
        self._request = request
        self._route = route
        self._query = query
        self._deadline_at = deadline_at
        self._document = document
        self._changed = trio.Event()
        self._open = {}
        self._is_ended = False

    async def run(self):
        keep_s = CANCEL_AFTER_S
        try:
            result = await self._run()
            keep_s = ABANDONED_S
            return result
        finally:
            self._is_ended = True
            for pool, exchange in tuple(self._open.values()):
                self._forwarder.abandon(pool, exchange, keep_s)

    async def _run(self):
        query = self._query
        now = trio.current_time()
        sends = query.begin(now)
        if not sends:
            return Unserved(Reason.NO_SERVER, may_have_run=False)
        for fetch, send in sends:
            self._send(fetch, send, now)
        while (result := query.settle(trio.current_time())) is None:
            self._changed = trio.Event()
            with trio.move_on_at(query.find_next_time()):
                await self._changed.wait()
            self._note_time()
        return result

    def _note_time(self):
        now = trio.current_time()
        for fetch in self._query.fetches.values():
            send = fetch.note_time(now)
            if send is not None:
                self._send(fetch, send, now)

    def _send(self, fetch, send, now):
        forwarder, server = self._forwarder, send.server
        number = forwarder.next_number()
        pool = forwarder.get_pool(server, self._document)

        def encode():
            left_s = self._deadline_at - trio.current_time()
            return forwarder.encode(self._request, server, left_s)

        def on_outcome(outcome):
            self._note_outcome(fetch, send, number, now, outcome)

        exchange = Exchange(
            method=self._request.method,
            request_id=self._request.id,
            encode=encode,
            on_outcome=on_outcome,
            deadline_at=self._deadline_at,
        )
        self._open[number] = (pool, exchange)
        forwarder.fleet.stats.begin(server.id, number, now)
        pool.submit(exchange)

    def _note_outcome(self, fetch, send, number, began_at, outcome):
        now = trio.current_time()
        self._open.pop(number, None)
        self._forwarder.note_send(send.is_repeat, name_outcome(outcome))
        server = send.server
        self._learn(server, number, began_at, outcome, now)
        if self._is_ended:
            # Nobody waits for the answer, so nothing is sent again.
            return
        send = fetch.note_outcome(server.id, outcome, now)
        if send is not None:
            self._send(fetch, send, now)
        # A new send has a time of its own at which it is late, and a fetch that
        # has no send left has one at which it sends again.
        is_due = send is not None or not (fetch.is_over or fetch.is_running)
        if is_due or (fetch.is_over and self._query.settle(now)):
            self._changed.set()

    def _learn(self, server, number, began_at, outcome, now):
        """Note what an outcome says of its server."""
        stats = self._forwarder.fleet.stats
        match outcome:
            case Answered(answer) if answer.status < 500:
                stats.succeed(server.id, number, now, self._typical_s)
                self._forwarder.get_hedges(self._route).observe(now - began_at, now)
            case Refused(answer) if answer.is_misdirected:
                stats.note_gone(server.id, number, now)
            case Refused():
                stats.refuse(server.id, number, now)
            case Failed(failure=Failure.ABANDONED):
                stats.forget(server.id, number)
            case Failed(failure=failure):
                silent = failure in (Failure.TIMED_OUT, Failure.NO_CONNECTION)
                pause_s = stats.fail(server.id, number, now, is_silent=silent)
                self._forwarder.note_avoided(server, outcome, pause_s, now)
            case _:
                pause_s = stats.fail(server.id, number, now)
                self._forwarder.note_avoided(server, outcome, pause_s, now)
