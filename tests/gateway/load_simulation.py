"""Simulate a load of queries to shards against model servers, without I/O.

Each gateway has its own fleet, as on its own VM; the servers are shared. Queries,
fetches, statistics and budgets are those of wisteriaworks; only time, servers and
callers are simulated.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass, field

from gateway_fakes import make_entry, make_fleet, make_route

from wisteriaworks.balancing.distance import compute_near_limit, is_group_loaded
from wisteriaworks.gateway.fetch import Fetch, FetchPolicy
from wisteriaworks.gateway.fleet_shares import FleetShares
from wisteriaworks.gateway.forwarder import HedgeDelayEstimator
from wisteriaworks.gateway.model import (
    Answered,
    AnswerTimes,
    Failed,
    Failure,
    Refused,
    ServerAnswer,
)
from wisteriaworks.gateway.query import GatheredAnswer, Query
from wisteriaworks.generated.settings import BudgetSettings

ONE_WAY_S = 0.001
RETURN_S = 0.015
ANSWER = ServerAnswer(200, (), b"", b"sig", b"id", False, False, None)


@dataclass(frozen=True, slots=True)
class Load:
    """Describe a load; times in seconds, ``slow`` maps servers to time factors."""

    gateways: int = 9
    shards: int = 20
    replicas: int = 2
    queries_per_s: float = 45.0
    seconds: float = 12.0
    work_s: float = 0.0225
    objective_ms: int = 145
    minimum_coverage: float = 0.89
    slow: dict = field(default_factory=dict)
    slow_from: float = 0.0
    # Share of the answers that are lost by a connection reset.
    lost_share: float = 0.0
    slack: float = 58.0
    # Time that is reserved for the way back, and that of a new connection, which
    # each repeat needs.
    return_s: float = RETURN_S
    connect_s: float = 0.0
    # Shares of each gateway in the budgets; equal ones by default.
    shares: FleetShares | None = None
    # Speeds of the servers of a shard, in turn, and their pauses.
    speeds: tuple = (1.0,)
    stall_s: float = 0.15
    stall_period_s: float = 3.6
    # Requests that a server holds in its slots and its queue; more are refused.
    max_held: float = math.inf
    # Answers reach the statistics up to this much later.
    data_age_s: float = 0.0
    # The servers of a shard, and the gateways, are in successive domains.
    domains: int = 1
    prefers_near: bool = False
    # Whether a gateway with loaded near servers leaves a query to another domain.
    may_decline: bool = False
    # Shares of the queries by domain; equal ones by default.
    domain_weights: tuple = ()

    def find_domain(self, number):
        """Return the domain of a gateway or of a server of each shard."""
        return "abcd"[number % self.domains]

    @property
    def budget(self):
        """Return the settings of the budget."""
        return BudgetSettings(retry_ratio=0.2, window_s=10.0, slack=self.slack)

    @property
    def max_repeats(self):
        """Return the maximum number of repeated sends to a service in a window."""
        return 0.2 * self.queries_per_s * 10.0 + self.slack


class _Server:
    def __init__(self, name, rng, load):
        self._rng, self._load = rng, load
        self._factor = load.slow.get(name, 1.0)
        copy = int(name.split(".")[1])
        self._speed = load.speeds[copy % len(load.speeds)]
        self.domain = load.find_domain(copy)
        self._ends = []
        self.arrivals = []
        self._free_at = [0.0, 0.0]
        self._stall_offset = rng.random() * load.stall_period_s

    def finish(self, now):
        """Return when a request that arrives now is answered, or None if refused."""
        self.arrivals.append(now)
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        if len(self._ends) >= self._load.max_held:
            return None
        slot = min(range(len(self._free_at)), key=self._free_at.__getitem__)
        start = self._skip_stall(max(now, self._free_at[slot]))
        work_s = self._load.work_s * self._rng.lognormvariate(-0.06, 0.35)
        if self._rng.random() < 0.01:
            work_s *= 5
        if now >= self._load.slow_from:
            work_s *= self._factor
        work_s /= self._speed
        end = start + work_s
        if self._skip_stall(end) != end:
            end += self._load.stall_s
        self._free_at[slot] = end
        heapq.heappush(self._ends, end)
        return end

    def _skip_stall(self, at):
        inside = (at + self._stall_offset) % self._load.stall_period_s
        return at + self._load.stall_s - inside if inside < self._load.stall_s else at


class LoadSimulation:
    """Simulate a load and collect the results."""

    def __init__(self, load, seed=1):
        self._load = load
        self._rng = random.Random(seed)
        names = [f"i{s}.{c}" for s in range(load.shards) for c in range(load.replicas)]
        self._servers = {n: _Server(n, self._rng, load) for n in names}
        services = tuple(f"s{n}" for n in range(load.shards))
        self._route = make_route(
            shards=services,
            objective_ms=load.objective_ms,
            minimum_coverage=load.minimum_coverage,
            timeout_ms=2000,
        )
        entries = [
            make_entry(
                n,
                service="s" + n[1:].split(".")[0],
                domain=self._servers[n].domain,
            )
            for n in names
        ]
        self._gateways = [
            _Gateway(entries, load, seed * 1000 + n, load.find_domain(n))
            for n in range(load.gateways)
        ]
        self._weights = [
            load.domain_weights[n % load.domains] if load.domain_weights else 1.0
            for n in range(load.gateways)
        ]
        self._events = []
        self._numbers = itertools.count()
        self.score = 0.0
        self.queries = self.late = self.partial = 0
        self.denials = Counter()
        self.repeats = []
        self.answer_times = []
        self.refusals = self.sends = self.far_sends = self.declined = 0

    def run(self):
        """Simulate the complete load and return this object."""
        load, at = self._load, 0.0
        while at < load.seconds:
            at += self._rng.expovariate(load.queries_per_s)
            (gateway,) = self._rng.choices(self._gateways, self._weights)
            self._push(at, self._begin, gateway)
        while self._events:
            now, _, step, args = heapq.heappop(self._events)
            step(now, *args)
        return self

    @property
    def mean_score(self):
        """Return the mean score of a query: coverage squared, times 0.1 if late."""
        return self.score / self.queries

    def compute_busiest_share(self, window_s=0.1, min_arrivals=6):
        """Return the arrivals at the busiest server of a shard over their mean.

        This is the mean over all shards and windows with enough arrivals.
        """
        windows = {}
        for name, server in self._servers.items():
            shard = name.split(".")[0]
            for at in server.arrivals:
                counts = windows.setdefault((shard, int(at / window_s)), Counter())
                counts[name] += 1
        ratios = [
            max(counts.values()) * self._load.replicas / counts.total()
            for counts in windows.values()
            if counts.total() >= min_arrivals
        ]
        return sum(ratios) / len(ratios)

    def compute_answer_quantile(self, share):
        """Return a quantile of the times from a request to its answer."""
        return sorted(self.answer_times)[int(share * len(self.answer_times))]

    def count_repeats_in_busiest_window(self, service):
        """Return the maximum number of repeated sends to a service in any window."""
        times = sorted(at for at, name in self.repeats if name == service)
        window_s = self._load.budget.window_s
        return max(
            (sum(a <= t < a + window_s for t in times) for a in times), default=0
        )

    def _push(self, at, step, *args):
        heapq.heappush(self._events, (at, next(self._numbers), step, args))

    def _begin(self, now, gateway):
        if self._load.may_decline and gateway.is_near_loaded(self._route, now):
            self.declined += 1
            others = [g for g in self._gateways if g.domain != gateway.domain]
            gateway = self._rng.choice(others)
        run = _QueryRun(gateway, self._route, now, self._load.return_s)
        self.queries += 1
        for fetch, send in run.query.begin(now):
            self._send(now, run, fetch, send)
        self._handle_result(now, run)

    def _send(self, now, run, fetch, send):
        if send.is_repeat:
            self.repeats.append((now, fetch.policy.service))
        number = next(self._numbers)
        stats = run.gateway.fleet.stats
        stats.record_send(send.server.id, number, now)
        arrives_at = now + ONE_WAY_S + send.is_repeat * self._load.connect_s
        server = self._servers[send.server.id]
        self.sends += 1
        self.far_sends += server.domain != run.gateway.domain
        answered_at = server.finish(arrives_at)
        args = run, fetch, send.server.id, number, now
        if answered_at is None:
            self._push(arrives_at + ONE_WAY_S, self._refuse, *args)
        else:
            self._push(answered_at + ONE_WAY_S, self._answer, *args)

    def _refuse(self, now, run, fetch, server_id, number, began_at):
        self.refusals += 1
        run.gateway.fleet.stats.record_refusal(server_id, number, now)
        self._handle_outcome(now, run, fetch, server_id, Refused(ANSWER))

    def _learn(self, now, stats, server_id, number, answer_s, median_s):
        """Record an answer of which the statistics know late."""
        stats.record_send(server_id, number, now - answer_s)
        stats.record_success(server_id, number, now, median_s)

    def _answer(self, now, run, fetch, server_id, number, began_at):
        stats = run.gateway.fleet.stats
        outcome = Answered(ANSWER)
        if self._rng.random() < self._load.lost_share:
            outcome = Failed(Failure.BROKEN, may_have_run=True)
            stats.record_failure(server_id, number, now)
        elif self._load.data_age_s:
            stats.discard(server_id, number)
            late_s = self._rng.uniform(0, self._load.data_age_s)
            median_s = fetch.policy.median_s
            args = stats, server_id, number, now - began_at, median_s
            self._push(now + late_s, self._learn, *args)
            run.gateway.delay_estimator.observe(now - began_at, now)
        else:
            median_s = fetch.policy.median_s
            stats.record_success(server_id, number, now, median_s)
            run.gateway.delay_estimator.observe(now - began_at, now)
        self._handle_outcome(now, run, fetch, server_id, outcome)

    def _handle_outcome(self, now, run, fetch, server_id, outcome):
        if run.is_over:
            return
        send = fetch.handle_outcome(server_id, outcome, now)
        if send is not None:
            self._send(now, run, fetch, send)
        self._handle_result(now, run)

    def _wake(self, now, run):
        if run.is_over:
            return
        for fetch in run.query.fetches.values():
            send = fetch.handle_timer(now)
            if send is not None:
                self._send(now, run, fetch, send)
        self._handle_result(now, run)

    def _handle_result(self, now, run):
        result = run.query.get_result(now)
        if result is None:
            wake_at = run.query.compute_wake_at()
            if wake_at < run.wake_at or run.wake_at <= now:
                run.wake_at = wake_at
                self._push(max(now, wake_at), self._wake, run)
            return
        run.is_over = True
        self.answer_times.append(now - run.began_at)
        in_time = now - run.began_at <= self._load.objective_ms / 1000
        if isinstance(result, GatheredAnswer):
            covered = len(result.parts) / self._load.shards
            self.score += covered**2 * (1.0 if in_time else 0.1)
            self.partial += bool(result.missing)
            self.denials.update(trace.denial for trace in result.causes)
        self.late += not in_time


class _Gateway:
    def __init__(self, entries, load, seed, domain):
        self.domain = domain
        self.prefers_near = load.prefers_near
        self.fleet = make_fleet(entries, load.budget, seed, domain)
        shares = load.shares or FleetShares(load.gateways)
        self.fleet.budget.set_delegated_services({e.service for e in entries}, -60.0)
        self.fleet.set_shares(shares, 0, -60.0)
        self.delay_estimator = HedgeDelayEstimator(load.objective_ms, 2000)
        self._available_s = load.objective_ms / 1000 - load.return_s

    def is_near_loaded(self, route, now):
        """Return whether this gateway would decline a query."""
        median_s = self.delay_estimator.read_median(now)
        hedge_after_s = self.delay_estimator.compute_delay(now, self._available_s)
        limit_s = compute_near_limit(
            now, now + self._available_s, hedge_after_s, median_s, is_repeat=False
        )
        stats, table = self.fleet.stats, self.fleet.table
        near = [
            server
            for shard in route.shards
            for server in table.list_usable(shard)
            if server.entry.domain == self.domain
        ]
        return is_group_loaded(
            near, lambda server: stats.is_near_in_time(server, now, median_s, limit_s)
        )


class _QueryRun:
    def __init__(self, gateway, route, now, return_s):
        self.gateway, self.began_at = gateway, now
        self.is_over, self.wake_at = False, math.inf
        objective_s = route.objective_ms / 1000
        times = AnswerTimes.create(now + objective_s, now + 2.0, return_s)
        hedge_after_s = gateway.delay_estimator.compute_delay(
            now, times.partial_at - now
        )
        median_s = gateway.delay_estimator.read_median(now)
        fetches = {
            name: Fetch(
                FetchPolicy(
                    name,
                    True,
                    route.attempts,
                    0.0,
                    hedge_after_s,
                    median_s,
                    prefers_near=gateway.prefers_near,
                    due_at=times.partial_at,
                ),
                gateway.fleet,
            )
            for name in route.shards
        }
        self.query = Query(route, fetches, times)
