"""Limit the lines that an event writes in a second, and count those left out.

Load pattern: thousands of requests fail in the same second, and a line for each
would cost more than the requests.
"""

# Enough to show each cause; a gateway serves tens to hundreds of requests a second.
LINES_PER_S = 20


class LogLimiter:
    """Decide which lines of each kind are written."""

    def __init__(self, lines_per_s=LINES_PER_S):
        self._lines_per_s = lines_per_s
        self._second = -1
        self._written = {}
        self._suppressed_counts = {}

    def admit(self, kind, now):
        """Return whether one more line of a kind may be written."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._written = {}
        written = self._written.get(kind, 0)
        if written >= self._lines_per_s:
            self._suppressed_counts[kind] = self._suppressed_counts.get(kind, 0) + 1
            return False
        self._written[kind] = written + 1
        return True

    def pop_suppressed_counts(self):
        """Return the number of lines by kind that were left out since the last call."""
        counts, self._suppressed_counts = self._suppressed_counts, {}
        return counts
