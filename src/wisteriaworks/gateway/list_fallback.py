"""Decide when a gateway reads the platform's list of servers itself.

Load pattern: the leader fails, or many gateways lose their connection to control
at the same moment. The platform limits the calls of all processes together, so in
a large fleet each gateway waits longer and reads less often. No I/O.
"""

import math

# Without an update for this long the gateway reads the list itself.
SILENCE_TIMEOUT_S = 2.0
# Minimum time between two reads of one gateway.
READ_INTERVAL_S = 1.5
# Number of gateways that may read once per READ_INTERVAL_S: ten gateways that read
# four pages make 27 calls a second of the 46 that the platform accepts.
FULL_RATE_READERS = 10


class ListFallback:
    """Decide on reading the list by how long the leader has been silent."""

    def __init__(self, rng):
        # Spreads the first reads of the gateways over time.
        self._jitter = rng.random()
        self._read_at = -math.inf

    def is_due(self, silent_s, gateways, now):
        """Return whether to read the list now.

        If so, the read is recorded, and the next one is due after the interval.
        """
        slowdown = max(1.0, gateways / FULL_RATE_READERS)
        silence_limit_s = SILENCE_TIMEOUT_S * (1 + self._jitter * (slowdown - 1))
        is_due = (
            silent_s > silence_limit_s
            and now - self._read_at >= READ_INTERVAL_S * slowdown
        )
        if is_due:
            self._read_at = now
        return is_due
