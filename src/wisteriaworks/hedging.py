"""Decide when a sub-query is asked again, and how often."""

import heapq
import itertools
import math
from dataclasses import dataclass

from wisteriaworks.attempts import Action, AttemptKind, ShardProgress
from wisteriaworks.budget import TokenBudget
from wisteriaworks.catalog import Replica
from wisteriaworks.latency import LatencyTable
from wisteriaworks.routing import Router

# A server that is asked again gets this time to free a slot.
PAUSE_S = 0.005
# Bounds the attempts of one shard when every replica refuses.
RESENDS_PER_SHARD = 2
RETRIES_PER_SHARD = 2
# A request may resend half of its shards, so that the loss of one domain in
# four is covered and an outage costs at most 1.5 messages per shard.
RESENDS_PER_REQUEST = 4
RESENT_SHARE = 0.5
# Shards of one request that may be late at once and still be hedged.
HEDGES_AT_ONCE = 2
HEDGED_SHARE = 0.1


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
    """Hold what all requests of one entry share."""

    router: Router
    latency: LatencyTable
    hedge_budget: TokenBudget
    retry_budget: TokenBudget


def create_shared_state(rng):
    """Return the state of an entry that has just started."""
    return SharedState(Router(rng), LatencyTable(), TokenBudget(), TokenBudget())


@dataclass(frozen=True, slots=True)
class Pick:
    """Hold one attempt that is to be made."""

    kind: AttemptKind
    progress: ShardProgress
    replica: Replica
    # Time before the attempt, because the same server is asked again.
    pause_s: float = 0.0


class RepeatPolicy:
    """Select hedges, retries and resends of one request, within its limits."""

    def __init__(self, shared, shards):
        self._shared = shared
        self._resends = max(RESENDS_PER_REQUEST, int(shards * RESENT_SHARE))
        self._hedges_at_once = max(HEDGES_AT_ONCE, int(shards * HEDGED_SHARE))

    def pick_repeat(self, failed, now):
        """Return the Pick that follows a failed attempt, or None."""
        progress = failed.progress
        rule = failed.outcome.rule
        if rule.action is Action.PASS_ON:
            return self._pass_on(failed, now)
        if not self._allow(rule.action, progress):
            return None
        kind = AttemptKind.RETRY
        if rule.action is Action.RESEND:
            kind = AttemptKind.RESEND
        replicas = progress.plan.replicas
        replica = self._shared.router.pick(replicas, progress.tried, now)
        if replica is not None:
            pick = Pick(kind, progress, replica)
        elif rule.same_server:
            pick = Pick(kind, progress, failed.replica, PAUSE_S)
        else:
            return None
        self._count(kind, progress)
        return pick

    def _pass_on(self, failed, now):
        """Return the Pick that follows a busy server.

        This needs no limit of its own: each replica is asked once, and the
        last one may queue the sub-query.
        """
        progress = failed.progress
        progress.busy.add(failed.replica.server)
        replicas = progress.plan.replicas
        replica = self._shared.router.pick(replicas, progress.tried, now)
        return Pick(AttemptKind.PRIMARY, progress, replica or failed.replica)

    def _allow(self, action, progress):
        if action is Action.RESEND:
            return self._resends > 0 and progress.resends < RESENDS_PER_SHARD
        has_token = self._shared.retry_budget.has_token()
        return has_token and progress.retries < RETRIES_PER_SHARD

    def _count(self, kind, progress):
        if kind is AttemptKind.RESEND:
            self._resends -= 1
            progress.resends += 1
        else:
            self._shared.retry_budget.take()
            progress.retries += 1

    def pick_hedges(self, shards, now):
        """Return the Picks for late shards, and the shards to look at again.

        When many shards of a request are late, they wait in queues. A hedge
        would wait as well, and would take a token from a straggler.
        """
        late = [p for p in shards if not p.done and len(p.in_flight) == 1]
        if len(late) > self._hedges_at_once:
            return [], late
        picks, refused = [], []
        for progress in late:
            if not self._shared.hedge_budget.has_token():
                refused.append(progress)
                continue
            replicas = progress.plan.replicas
            sent_to = progress.tried - progress.busy
            replica = self._shared.router.pick(replicas, sent_to, now)
            if replica is not None:
                self._shared.hedge_budget.take()
                picks.append(Pick(AttemptKind.HEDGE, progress, replica))
        return picks, refused
