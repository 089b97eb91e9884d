"""Decide after how long an answer on a route counts as late.

Load patterns: each server stands still for 150 ms now and then, or some are many
times slower, while the budget for repeated sends is small. A hedge that brings
an answer only a little sooner takes the budget from one without which the answer
misses its objective, so a hedge waits as long as it can. No I/O.
"""

from wisteriaworks.gateway.server_stats import START_S
from wisteriaworks.latency import QuantileEstimate

# With an objective a hedge is sent at this share of it. The answer to the hedge
# has the rest, which is several times the work of a shard; in the replayed loads
# a half leaves too little where servers are slow, nine in ten of the answers
# spends a third more of the budget on hedges that are not needed.
OBJECTIVE_SHARE = 0.4
# Without an objective an answer later than this share of them is late.
LATE_QUANTILE = 0.95


class HedgeClock:
    """Learn the times of a route's answers."""

    def __init__(self, objective_ms, timeout_ms):
        self.objective_ms = objective_ms
        self._times = None
        if not objective_ms:
            start_s = timeout_ms / 1000 / 3
            self._times = QuantileEstimate(LATE_QUANTILE, start_s=start_s)
        self._typical = QuantileEstimate(0.5, start_s=START_S)

    def observe(self, time_s, now):
        """Count the time of one answer."""
        if self._times is not None:
            self._times.observe(time_s, now)
        self._typical.observe(time_s, now)

    def read_typical(self, now):
        """Return the median time of recent answers, in seconds."""
        return self._typical.read(now)

    def choose(self, now):
        """Return after how many seconds an answer counts as late."""
        if self._times is not None:
            return self._times.read(now)
        return OBJECTIVE_SHARE * self.objective_ms / 1000
