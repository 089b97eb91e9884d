"""Decide after which delay an answer on a route is hedged.

Load patterns: each server occasionally stalls for 150 ms, or some servers are many
times slower, while the budget for repeated sends is small. A hedge that speeds an
answer up only slightly uses budget that another answer needs to meet its
objective, so a hedge waits as long as possible. On a route with a short objective
and a long way back to the caller, that is less than the usual share of the objective.
No I/O.
"""

import math

from wisteriaworks.gateway.server_stats import (
    DEFAULT_MEDIAN_S,
    NEW_CONNECTION_COST_S,
)
from wisteriaworks.latency import QuantileEstimate

# Share of the objective after which a hedge is sent. The rest remains for the
# answer to the hedge and is several times the work of a shard. In simulated loads a
# share of 0.5 leaves too little time when servers are slow, and a hedge after the
# 90th percentile of the answers spends a third more of the budget on useless hedges.
OBJECTIVE_SHARE = 0.4
# Time that is left for the answer to a hedge, in medians of the answers, in addition
# to that of a new connection.
ANSWER_MEDIANS = 1.5
# Without an objective an answer later than this quantile is hedged.
LATE_QUANTILE = 0.95


class HedgeDelayEstimator:
    """Estimate the hedge delay and the median answer time of a route."""

    def __init__(self, objective_ms, timeout_ms):
        self.objective_ms = objective_ms
        self._late_quantile = None
        if not objective_ms:
            start_s = timeout_ms / 1000 / 3
            self._late_quantile = QuantileEstimate(LATE_QUANTILE, start_s=start_s)
        self._median = QuantileEstimate(0.5, start_s=DEFAULT_MEDIAN_S)

    def observe(self, time_s, now):
        """Record the time of one answer."""
        if self._late_quantile is not None:
            self._late_quantile.observe(time_s, now)
        self._median.observe(time_s, now)

    def read_median(self, now):
        """Return the median time of recent answers, in seconds."""
        return self._median.read(now)

    def compute_delay(self, now, available_s=math.inf):
        """Return the delay in seconds after which a hedge is sent.

        ``available_s`` is the time until the answer has to be given.
        """
        if self._late_quantile is not None:
            return self._late_quantile.read(now)
        answer_s = ANSWER_MEDIANS * self._median.read(now)
        latest_s = available_s - answer_s - NEW_CONNECTION_COST_S
        delay_s = min(OBJECTIVE_SHARE * self.objective_ms / 1000, latest_s)
        # Most answers arrive earlier without a hedge.
        return max(answer_s, delay_s)
