"""Decide when a sub-query is repeated, and how often."""

import heapq
import itertools
import math
from dataclasses import dataclass

from wisteriaworks.attempts import Action, AttemptKind, ShardProgress
from wisteriaworks.budget import TokenBudget
from wisteriaworks.catalog import Replica
from wisteriaworks.latency import LatencyTable
from wisteriaworks.routing import Router

# Delay before another attempt at the same server, which may free a slot by then.
SAME_SERVER_DELAY_S = 0.005
# Bounds the attempts of one shard when every replica refuses.
RESENDS_PER_SHARD = 2
RETRIES_PER_SHARD = 2
# In each of its runs, a request may resend half of its shards, but at least this
# many. This covers the loss of one domain in four. In an outage, resends add at most
# 0.5 messages per shard to a run with 8 or more shards.
MIN_RESENDS_PER_REQUEST = 4
RESENT_SHARE = 0.5
# The late shards of one index are hedged only while they are at most
# MAX_LATE_SHARDS, or MAX_LATE_SHARE of all shards of the request if that is more.
MAX_LATE_SHARDS = 2
MAX_LATE_SHARE = 0.1


class Timers:
    """Run callbacks when they are due."""

    def __init__(self):
        self._heap = []
        self._order = itertools.count()

    def add(self, due, callback):
        """Call ``callback(now)`` once ``run_due`` is called at or after ``due``."""
        heapq.heappush(self._heap, (due, next(self._order), callback))

    def next_due(self):
        """Return the time of the next callback, or infinity."""
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self, now):
        """Run the callbacks that are due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, callback = heapq.heappop(self._heap)
            callback(now)


@dataclass(frozen=True, slots=True)
class SharedState:
    """Store the state that all requests of one entry share."""

    router: Router
    latency: LatencyTable
    hedge_budget: TokenBudget
    retry_budget: TokenBudget


def create_shared_state(rng):
    """Return the initial state of an entry."""
    return SharedState(Router(rng), LatencyTable(), TokenBudget(), TokenBudget())


@dataclass(frozen=True, slots=True)
class PlannedAttempt:
    """Describe one attempt that is to be sent."""

    kind: AttemptKind
    progress: ShardProgress
    replica: Replica
    # Delay before the attempt is sent, if it repeats one at the same server.
    delay_s: float = 0.0


class RepeatPolicy:
    """Select hedges, retries and resends of one request, within its limits."""

    def __init__(self, shared, shards):
        self._shared = shared
        self._resends = max(MIN_RESENDS_PER_REQUEST, int(shards * RESENT_SHARE))
        self._max_late_shards = max(MAX_LATE_SHARDS, int(shards * MAX_LATE_SHARE))

    def plan_repeat(self, failed, now):
        """Return the PlannedAttempt that repeats a failed one, or None."""
        progress = failed.progress
        rule = failed.outcome.rule
        if rule.action is Action.PASS_ON:
            return self._pass_on(failed, now)
        if not self._is_allowed(rule.action, progress):
            return None
        kind = AttemptKind.RETRY
        if rule.action is Action.RESEND:
            kind = AttemptKind.RESEND
        replicas = progress.plan.replicas
        replica = self._shared.router.pick(replicas, progress.tried, now)
        if replica is not None:
            planned = PlannedAttempt(kind, progress, replica)
        elif rule.same_server:
            planned = PlannedAttempt(
                kind, progress, failed.replica, SAME_SERVER_DELAY_S
            )
        else:
            return None
        self._count_repeat(kind, progress)
        return planned

    def _pass_on(self, failed, now):
        """Return the PlannedAttempt that follows a reply from a busy server.

        This needs no limit of its own: each replica is tried once, and the
        last one may queue the sub-query.
        """
        progress = failed.progress
        progress.busy.add(failed.replica.server)
        replicas = progress.plan.replicas
        replica = self._shared.router.pick(replicas, progress.tried, now)
        return PlannedAttempt(AttemptKind.PRIMARY, progress, replica or failed.replica)

    def _is_allowed(self, action, progress):
        if action is Action.RESEND:
            return self._resends > 0 and progress.resends < RESENDS_PER_SHARD
        has_token = self._shared.retry_budget.has_token()
        return has_token and progress.retries < RETRIES_PER_SHARD

    def _count_repeat(self, kind, progress):
        if kind is AttemptKind.RESEND:
            self._resends -= 1
            progress.resends += 1
        else:
            self._shared.retry_budget.withdraw()
            progress.retries += 1

    def plan_hedges(self, shards, now):
        """Return the hedges for late shards, and the shards to check again later.

        When many shards of an index are late, they wait in queues. A hedge
        would wait as well, and would use a token that a straggler needs.
        """
        late = [p for p in shards if not p.done and len(p.in_flight) == 1]
        if len(late) > self._max_late_shards:
            return [], late
        hedges, unhedged = [], []
        for progress in late:
            if not self._shared.hedge_budget.has_token():
                unhedged.append(progress)
                continue
            replicas = progress.plan.replicas
            sent_to = progress.tried - progress.busy
            replica = self._shared.router.pick(replicas, sent_to, now)
            if replica is not None:
                self._shared.hedge_budget.withdraw()
                hedges.append(PlannedAttempt(AttemptKind.HEDGE, progress, replica))
        return hedges, unhedged
