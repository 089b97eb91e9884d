"""Estimate how many requests can run concurrently without overload."""

import math

MIN_LIMIT = 1.0
DECREASE_FACTOR = 0.7


class ConcurrencyLimit:
    """Adapt the limit on concurrently running requests.

    The limit decreases when shards are missing because of overload, and increases
    with complete answers.

    Additive increase and multiplicative decrease settle near the capacity of the
    servers, without information about their number or the other entries.
    """

    def __init__(self):
        self._limit = math.inf
        self._last_decreased_at = -math.inf

    def compute_limit(self, max_running):
        """Return how many requests may run concurrently, at most ``max_running``."""
        return int(min(max_running, self._limit))

    def record_complete(self):
        """Increase the limit by 1/limit: by one per ``limit`` complete answers."""
        if self._limit != math.inf:
            self._limit += 1.0 / self._limit

    def record_overload(self, running, started_at, now):
        """Decrease the limit below the number of running requests.

        Requests accepted before the last decrease are ignored, because they ran
        under the previous, higher limit.
        """
        if started_at < self._last_decreased_at:
            return
        self._limit = max(MIN_LIMIT, DECREASE_FACTOR * min(self._limit, running))
        self._last_decreased_at = now
