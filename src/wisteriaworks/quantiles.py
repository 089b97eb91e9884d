"""Record all latencies of a run in a histogram, for percentiles in reports."""

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1000


class LatencyHistogram:
    """Record latencies and return their percentiles, in milliseconds."""

    def __init__(self):
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)

    def record(self, latency_ms):
        """Add one latency."""
        latency_us = int(latency_ms * _US_PER_MS)
        self._histogram.record_value(min(max(latency_us, _LOWEST_US), _HIGHEST_US))

    def read(self, percentile):
        """Return a percentile, or 0 if there are no latencies."""
        return self._histogram.get_value_at_percentile(percentile) / _US_PER_MS
