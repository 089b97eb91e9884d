"""Decide when a gateway reads the platform's list of servers itself.

Load pattern: the leader is lost, or many gateways are cut off from control, at
the same moment. The platform bounds the calls of all processes together, so in
a large fleet each gateway waits longer and reads less often. No I/O.
"""

import math

# Without an update for this long the gateway reads the list itself.
SILENCE_S = 2.0
INTERVAL_S = 1.5
# Gateways that may read at this pace: ten with four pages make 27 calls a second
# of the 46 that the platform takes.
READERS = 10


class ListFallback:
    """Follow how long the leader has been silent."""

    def __init__(self, rng):
        # Spreads the first reading of the gateways.
        self._share = rng.random()
        self._read_at = -math.inf

    def is_due(self, silent_s, gateways, now):
        """Say whether to read now, which counts as a reading."""
        crowd = max(1.0, gateways / READERS)
        patience_s = SILENCE_S * (1 + self._share * (crowd - 1))
        is_due = silent_s > patience_s and now - self._read_at >= INTERVAL_S * crowd
        if is_due:
            self._read_at = now
        return is_due
