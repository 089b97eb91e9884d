"""Decide when a gateway reads the platform's list of servers itself.

Load pattern: the leader fails, or many gateways lose their connection to control
at the same moment. The platform limits the calls of all processes together, so in
a large fleet each gateway waits longer and reads less often. All processes restart at
once: a gateway that has no configuration cannot serve and does not know the size of
the fleet, so it does not read. No I/O.
"""

import math

# Without an update for this long the gateway reads the list itself.
SILENCE_TIMEOUT_S = 2.0
# Minimum time between two reads of one gateway.
READ_INTERVAL_S = 1.5
# Calls of all gateways together, of the 46 a second that the platform accepts. The
# leader's own reads take 14 calls a second at 450 servers.
CALLS_PER_S = 30.0
# Entries of a page, until this gateway has read the list: 450 servers took 14 pages.
SERVERS_PER_PAGE = 32


def estimate_pages(servers):
    """Return the number of calls that a complete read of the list takes."""
    return max(1, math.ceil(servers / SERVERS_PER_PAGE))


class ListFallback:
    """Decide on reading the list by how long the leader has been silent."""

    def __init__(self, rng):
        # Spreads the first reads of the gateways over time, while they have no numbers.
        self._jitter = rng.random()
        self._read_at = -math.inf

    def is_due(self, silent_s, gateways, now, pages=4, position=None):
        """Return whether to read the list now, which takes ``pages`` calls.

        ``position`` is the number of this gateway among all ``gateways``. With random
        times, up to 99 calls were due in one second instead of 30. If the read is
        due, it is recorded, and the next one is due after the interval.
        """
        interval_s = max(READ_INTERVAL_S, gateways * pages / CALLS_PER_S)
        turn = self._jitter if position is None else position % gateways / gateways
        silence_limit_s = SILENCE_TIMEOUT_S + turn * (interval_s - READ_INTERVAL_S)
        is_due = silent_s > silence_limit_s and now - self._read_at >= interval_s
        if is_due:
            self._read_at = now
        return is_due
