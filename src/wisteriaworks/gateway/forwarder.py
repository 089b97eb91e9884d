"""Keep the connections, limits and statistics of a gateway, and run its queries."""

import itertools
import math
import random
from dataclasses import dataclass, field

import trio

from wisteriaworks.balancing.distance import (
    NearShards,
    compute_near_limit,
    is_group_loaded,
)
from wisteriaworks.balancing.traffic import TrafficKind, TrafficMeter, ignore_bytes
from wisteriaworks.events import Event, log_event
from wisteriaworks.gateway.cold_limit import ColdLimit
from wisteriaworks.gateway.fetch import Fetch, FetchPolicy
from wisteriaworks.gateway.fleet_shares import (
    FleetShares,
    list_delegated_services,
    list_routed_services,
)
from wisteriaworks.gateway.group_query import GroupQuery
from wisteriaworks.gateway.hedge_delay import HedgeDelayEstimator
from wisteriaworks.gateway.model import Failed, Failure, name_outcome
from wisteriaworks.gateway.query import Query
from wisteriaworks.gateway.query_run import QueryRun
from wisteriaworks.gateway.retry_budget import RetryBudget
from wisteriaworks.gateway.return_time import ReturnTime
from wisteriaworks.gateway.server_stats import ServerStats
from wisteriaworks.gateway.server_table import ServerTable
from wisteriaworks.gateway.upstream import ServerPool, estimate_connect_cost
from wisteriaworks.generated.messages import EarlierRun
from wisteriaworks.ingress.answer_memory import AnswerMemory
from wisteriaworks.log_limit import LogLimiter
from wisteriaworks.rollouts.version_filter import VersionFilter

SWEEP_INTERVAL_S = 0.25
# Share of a server's connections that all gateways use together.
CONNECTION_SHARE = 0.9
RUN_ID_BITS = 62


def _ignore_servers_used(count):
    pass


@dataclass(slots=True)
class ServerFleet:
    """Store the known servers, their statistics and the limits on sends."""

    table: ServerTable
    stats: ServerStats
    budget: RetryBudget
    cold: ColdLimit
    shares: FleetShares = field(default_factory=FleetShares)
    delegated_services: frozenset = frozenset()
    # Absent if the settings have no limits on rollouts.
    versions: VersionFilter | None = None
    _connection_limits: dict = field(default_factory=dict)

    @classmethod
    def create(cls, cfg, rng, now):
        """Return the initial fleet of a gateway, without servers."""
        table, stats = ServerTable(), ServerStats(cfg.domain, rng)
        versions = None
        if cfg.rollouts is not None:
            run = rng.getrandbits(RUN_ID_BITS)
            versions = VersionFilter(cfg.rollouts, cfg.name, run, rng, table, stats)
        budget, cold = RetryBudget(cfg.budget, now), ColdLimit(cfg.budget)
        return cls(table, stats, budget, cold, versions=versions)

    def set_shares(self, shares, position, now):
        """Divide the limits between gateways; this one has number ``position``."""
        if shares != self.shares:
            self._connection_limits.clear()
        self.shares = shares
        self.budget.set_shares(shares, now)
        self.cold.gateway_count = max(1, shares.gateway_count)
        self.cold.position = position

    def set_document(self, document, now):
        """Select the services that delegates send to, and drop unknown ones."""
        self._connection_limits.clear()
        self.delegated_services = list_delegated_services(document)
        self.budget.set_delegated_services(self.delegated_services, now)
        self.budget.retain(set(document.services), list_routed_services(document), now)

    def limit_connections(self, server, document):
        """Return how many connections to a server this gateway may open, or None.

        None is returned if the configuration does not name the service.
        """
        name = server.entry.service
        limit = self._connection_limits.get(name)
        service = document.services.get(name)
        if limit is None and service is not None:
            limit = self._connection_limits[name] = self.shares.compute_connections(
                CONNECTION_SHARE * service.connections, name in self.delegated_services
            )
        return limit


class Forwarder:
    """Send requests to servers.

    ``wire`` encodes requests and defines the header names. ``memory`` is the
    AnswerMemory of the process.
    """

    def __init__(self, cfg, wire, nursery, metrics, memory=None):
        self._limiter = LogLimiter()
        self._sends = metrics.create_counter(
            "wisteria.gateway.sends", "Sends to servers by kind and outcome"
        )
        self._rng = random.Random(cfg.seed or None)
        self.fleet = ServerFleet.create(cfg, self._rng, trio.current_time())
        self._near_shards = NearShards(self.fleet.table, cfg.domain)
        self._domain = cfg.domain
        self.traffic = TrafficMeter(metrics)
        self._wire = wire
        self._nursery = nursery
        self._pools = {}
        self._delay_estimators = {}
        self._send_ids = itertools.count()
        self._abandoned = set()
        self.return_time = ReturnTime()
        self._memory = memory or AnswerMemory(math.inf)
        self.fleet.stats.estimate_wait = self._estimate_wait
        # Returns the Failure because of which a request can't be sent now, or None.
        self.check_key = lambda request: None

    def prune_servers(self, document):
        """Drop the state of servers and services that are no longer listed."""
        ids = set(self.fleet.table.list_ids())
        for server_id in [key for key in self._pools if key not in ids]:
            self._pools.pop(server_id).close()
        self.fleet.stats.retain(ids)
        self.fleet.cold.retain(ids)
        self.fleet.set_document(document, trio.current_time())

    def get_delay_estimator(self, route):
        """Return the hedge delay estimator of a route."""
        delay_estimator = self._delay_estimators.get(route.name)
        if (
            delay_estimator is None
            or delay_estimator.objective_ms != route.objective_ms
        ):
            delay_estimator = HedgeDelayEstimator(route.objective_ms, route.timeout_ms)
            self._delay_estimators[route.name] = delay_estimator
        return delay_estimator

    def record_send_outcome(self, is_repeat, outcome):
        """Count the outcome of one send."""
        kind = "repeat" if is_repeat else "first"
        self._sends.add(1, {"kind": kind, "outcome": outcome})

    def log_avoided(self, server, outcome, pause_s, now):
        """Log that a server is avoided from now on, if ``pause_s`` is not 0."""
        if pause_s and self._limiter.admit(Event.SERVER_AVOIDED.value.number, now):
            log_event(
                Event.SERVER_AVOIDED,
                server=server.id,
                service=server.entry.service,
                address=server.entry.address,
                outcome=name_outcome(outcome),
                pause_ms=math.floor(pause_s * 1000),
            )

    async def run(self, request, route, services, document, times):
        """Return the result of a request; ``times`` are its AnswerTimes."""
        fetches = self._make_fetches(route, services, document, times)
        query = Query(route, fetches, times)
        return await QueryRun(self, request, route, query, times, document).run()

    async def run_group(
        self, query, positions, earlier, on_progress, on_cancelled=_ignore_servers_used
    ):
        """Return the final GroupProgress of some shards of a ShardQuery.

        ``on_progress`` is called with the progress once the query is due, and with
        each part after that. ``earlier`` are the EarlierSends of another gateway.
        Servers that are listed later get no request of the group. ``on_cancelled`` is
        called with the most servers used for any shard.
        """
        route, document = query.route, query.document
        services = [route.shards[position] for position in positions]
        fetches = self._make_fetches(
            route, services, document, query.times, earlier.run, is_group=True
        )
        group = GroupQuery(route, fetches, query.times)
        run = QueryRun(
            self, query.request, route, group, query.times, document, on_progress
        )
        try:
            return await run.run()
        except trio.Cancelled:
            used = (fetch.servers_used for fetch in fetches.values())
            on_cancelled(max(used, default=0))
            raise

    def _make_fetches(
        self,
        route,
        services,
        document,
        times,
        earlier=EarlierRun.NONE,
        is_group=False,
    ):
        now = trio.current_time()
        delay_estimator = self.get_delay_estimator(route)
        available_s = times.partial_at - now if route.shards else math.inf
        hedge_after_s = delay_estimator.compute_delay(now, available_s)
        median_s = delay_estimator.read_median(now)
        prefers_near = self._near_shards.covers(route.shards)
        return {
            service: Fetch(
                FetchPolicy(
                    service=service,
                    idempotent=route.idempotent,
                    attempts=self._count_attempts(route, service, earlier),
                    cold_per_s=document.services[service].cold_per_s,
                    hedge_after_s=hedge_after_s,
                    median_s=median_s,
                    # Gateways of an older version also hand on groups that were not
                    # accepted, which have most likely not been sent.
                    is_repeat=earlier is EarlierRun.ACCEPTED,
                    prefers_near=prefers_near,
                    due_at=times.partial_at,
                    server_ids=self._list_ids(service) if is_group else None,
                ),
                self.fleet,
            )
            for service in services
        }

    def _list_ids(self, service):
        return frozenset(s.id for s in self.fleet.table.list_service(service))

    def _count_attempts(self, route, service, earlier):
        """Return to how many servers of a service the request may be sent.

        The gateway that had the query before may have used another server.
        """
        servers = self.fleet.table.count(service)
        if earlier is not EarlierRun.NONE and servers > route.attempts:
            return max(1, route.attempts - 1)
        return route.attempts

    async def sweep(self):
        """Close connections whose abandoned send is not answered in time."""
        while True:
            due_at = trio.current_time() + SWEEP_INTERVAL_S
            await trio.sleep_until(due_at)
            now = trio.current_time()
            self.return_time.lag.observe(now - due_at)
            for item in tuple(self._abandoned):
                pool, exchange, until = item
                if exchange.is_done:
                    self._abandoned.discard(item)
                elif now >= until:
                    self._abandoned.discard(item)
                    exchange.finish(Failed(Failure.TIMED_OUT, may_have_run=True))
                    pool.cancel(exchange)

    def abandon(self, pool, exchange, keep_s):
        """Stop waiting for a send and leave it ``keep_s`` seconds for its answer.

        If the answer has not arrived by then, the connection is closed. A send that
        still waits for a connection is dropped at once.
        """
        if exchange.conn is None:
            exchange.finish(Failed(Failure.ABANDONED, may_have_run=False))
            pool.cancel(exchange)
            return
        self._abandoned.add((pool, exchange, trio.current_time() + keep_s))

    def get_pool(self, server, document):
        """Return the connection pool of a server."""
        pool = self._pools.get(server.id)
        if pool is None:
            pool = ServerPool(
                server.entry.address,
                self._wire.response_format,
                self._nursery,
                self._memory,
                self._meter_pool(server),
            )
            self._pools[server.id] = pool
        limit = self.fleet.limit_connections(server, document)
        if limit is not None:
            pool.limit = limit
        return pool

    def _meter_pool(self, server):
        if server.entry.domain == self._domain:
            return ignore_bytes
        return self.traffic.get_meter(TrafficKind.PARTS)

    def is_near_loaded(self, query, positions):
        """Return whether the servers of the own domain should not get a group.

        That is the case if many of them are not expected to answer in time.
        """
        shards, route, now = query.route.shards, query.route, trio.current_time()
        delay_estimator = self.get_delay_estimator(route)
        median_s = delay_estimator.read_median(now)
        due_at = query.times.partial_at
        hedge_after_s = delay_estimator.compute_delay(now, due_at - now)
        limit_s = compute_near_limit(
            now, due_at, hedge_after_s, median_s, is_repeat=False
        )
        stats, table = self.fleet.stats, self.fleet.table
        near = [
            server
            for position in positions
            for server in table.list_usable(shards[position])
            if server.entry.domain == self._domain
        ]
        return is_group_loaded(
            near, lambda server: stats.is_near_in_time(server, now, median_s, limit_s)
        )

    def count_connections(self):
        """Return the number of connections, open or being opened."""
        return sum(pool.size for pool in self._pools.values())

    def next_send_id(self):
        """Return a unique id for one send."""
        return next(self._send_ids)

    def encode(self, request, server, left_s):
        """Return the head and the body of a request for one server as bytes."""
        left_ms = max(1, math.floor(left_s * 1000))
        return self._wire.encode_request(request, server.id, left_ms)

    def _estimate_wait(self, server_id, work_s, now):
        pool = self._pools.get(server_id)
        if pool is None:
            return estimate_connect_cost(work_s)
        return pool.estimate_wait(work_s, now)
