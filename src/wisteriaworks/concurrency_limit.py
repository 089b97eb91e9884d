"""Find how many requests an entry can run at once without being overloaded."""

import math

MIN_LIMIT = 1.0
SHRINK_FACTOR = 0.7


class ConcurrencyLimit:
    """Shrink when answers miss shards for lack of time, grow when they do not.

    Additive growth and multiplicative shrinking settle near what the servers
    carry, without knowing their number or the other entries.
    """

    def __init__(self):
        self._limit = math.inf
        self._shrunk_at = -math.inf

    def read(self, max_running):
        """Return the number of requests that may run at once."""
        return int(min(max_running, self._limit))

    def note_complete(self):
        """Grow by one for each limit's worth of whole answers."""
        if self._limit != math.inf:
            self._limit += 1.0 / self._limit

    def note_overload(self, running, started_at, now):
        """Shrink below the number of running requests.

        Requests that were accepted before the last time say nothing about the
        limit that holds since then.
        """
        if started_at < self._shrunk_at:
            return
        self._limit = max(MIN_LIMIT, SHRINK_FACTOR * min(self._limit, running))
        self._shrunk_at = now
