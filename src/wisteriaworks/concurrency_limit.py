"""Estimate how many requests can run concurrently without overload."""

import math

MIN_LIMIT = 1.0
SHRINK_FACTOR = 0.7


class ConcurrencyLimit:
    """Decrease when answers miss shards for lack of time, increase otherwise.

    Additive increase and multiplicative decrease settle near the capacity of the
    servers, without information about their number or the other entries.
    """

    def __init__(self):
        self._limit = math.inf
        self._last_shrunk_at = -math.inf

    def read(self, max_running):
        """Return the number of requests that may run concurrently."""
        return int(min(max_running, self._limit))

    def note_complete(self):
        """Increase by one after as many complete answers as the limit."""
        if self._limit != math.inf:
            self._limit += 1.0 / self._limit

    def note_overload(self, running, started_at, now):
        """Decrease below the number of running requests.

        Requests accepted before the last decrease are ignored, because they ran
        under the limit before it.
        """
        if started_at < self._last_shrunk_at:
            return
        self._limit = max(MIN_LIMIT, SHRINK_FACTOR * min(self._limit, running))
        self._last_shrunk_at = now
