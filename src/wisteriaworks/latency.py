"""Estimate a quantile of recent latencies while requests run, at a low cost."""

import itertools
import math

# One hop each way and a merge for another request in the same process take about
# this long; a shorter hedge delay would depend on them instead of on the servers.
FLOOR_S = 0.005
# Used until an index has MINIMUM_COUNT observations.
START_S = 0.05
MINIMUM_COUNT = 20
# Observations are dropped after one to two windows.
WINDOW_S = 5.0
# The quantile is computed again after this many observations.
REFRESH_COUNT = 64
# Buckets per factor e. Adjacent buckets differ by 5%, which bounds the error of the
# estimate.
_BUCKETS_PER_E = 1 / math.log(1.05)
_SMALLEST_S = 0.0001
# Up to 0.1 ms x 1.05^300, which is about 227 s.
_BUCKETS = 300


class QuantileEstimate:
    """Estimate one quantile over the last one to two windows.

    Observations are counted in logarithmic buckets. ``hdrhistogram`` does the
    same but takes 2.7 us per observation, several times as long as a list of
    counts. With ``reset_when_idle`` the estimate returns to ``start_s`` when there
    are too few recent observations; otherwise it keeps its last value.
    """

    def __init__(
        self, quantile, floor_s=FLOOR_S, start_s=START_S, reset_when_idle=False
    ):
        self._quantile = quantile
        self._floor_s = floor_s
        self._start_s = start_s
        self._value_s = start_s
        self._reset_when_idle = reset_when_idle
        self._current = [0] * _BUCKETS
        self._previous = [0] * _BUCKETS
        self._window_end = -math.inf
        self._count_since_refresh = 0
        self._refresh_count = MINIMUM_COUNT

    def observe(self, time_s, now):
        """Count one observation."""
        if now >= self._window_end:
            self._rotate(now)
        ratio = max(time_s, _SMALLEST_S) / _SMALLEST_S
        bucket = int(math.log(ratio) * _BUCKETS_PER_E)
        self._current[min(bucket, _BUCKETS - 1)] += 1
        self._count_since_refresh += 1
        if self._count_since_refresh >= self._refresh_count:
            self._refresh()

    def read(self, now):
        """Return the estimate in seconds."""
        if now >= self._window_end:
            self._rotate(now)
        return self._value_s

    def _rotate(self, now):
        idle = now >= self._window_end + WINDOW_S
        self._previous = [0] * _BUCKETS if idle else self._current
        self._current = [0] * _BUCKETS
        self._window_end = now + WINDOW_S
        self._refresh()

    def _refresh(self):
        self._count_since_refresh = 0
        counts = [a + b for a, b in zip(self._current, self._previous, strict=True)]
        total = sum(counts)
        if total < MINIMUM_COUNT:
            if self._reset_when_idle:
                self._value_s = self._start_s
            return
        self._refresh_count = REFRESH_COUNT
        self._value_s = max(
            self._floor_s, _find_quantile(counts, total * self._quantile)
        )


def _find_quantile(counts, rank):
    cumulative = itertools.accumulate(counts)
    bucket = next(i for i, count in enumerate(cumulative) if count >= rank)
    # The upper edge of the bucket.
    return _SMALLEST_S * math.exp((bucket + 1) / _BUCKETS_PER_E)


class LatencyTable:
    """Estimate the p95 of each index from the times of its primary attempts."""

    def __init__(self):
        self._estimates = {}

    def observe(self, index, time_s, now):
        """Count the time of one primary attempt."""
        self._get_estimate(index).observe(time_s, now)

    def read_p95(self, index, now):
        """Return the p95 of an index in seconds."""
        return self._get_estimate(index).read(now)

    def _get_estimate(self, index):
        estimate = self._estimates.get(index)
        if estimate is None:
            estimate = self._estimates[index] = QuantileEstimate(0.95)
        return estimate
