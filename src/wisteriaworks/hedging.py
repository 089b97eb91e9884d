"""Decide when a sub-query is asked again, and how often."""

import heapq
import itertools
import math
from dataclasses import dataclass

from wisteriaworks.attempts import Action
from wisteriaworks.budget import TokenBudget
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


class RepeatLimit:
    """Limit the resends and retries of one request."""

    def __init__(self, shards, retry_budget):
        self._resends = max(RESENDS_PER_REQUEST, int(shards * RESENT_SHARE))
        self._retry_budget = retry_budget

    def allow(self, action, progress):
        """Count one more attempt of a shard if the limits allow it."""
        if action is Action.RESEND:
            return self._allow_resend(progress)
        if progress.retries >= RETRIES_PER_SHARD or not self._retry_budget.take():
            return False
        progress.retries += 1
        return True

    def _allow_resend(self, progress):
        if progress.resends >= RESENDS_PER_SHARD or not self._resends:
            return False
        self._resends -= 1
        progress.resends += 1
        return True
