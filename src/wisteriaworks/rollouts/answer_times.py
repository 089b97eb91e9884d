"""Buckets for the times of answers in the reports of gateways. No I/O."""

import itertools
import math

# Upper bound of the first bucket. Each further one is sqrt(2) times as high, and the
# last bucket is unbounded: 2 ms to 4 s.
FIRST_BOUND_MS = 2.0
BUCKETS = 24
BROKEN_BUCKET = BUCKETS - 1


def find_bucket(elapsed_s):
    """Return the bucket of a time in seconds."""
    ratio = elapsed_s * 1000 / FIRST_BOUND_MS
    if ratio <= 1.0:
        return 0
    return min(BUCKETS - 1, math.ceil(2 * math.log2(ratio)))


def compute_bound_ms(bucket):
    """Return the upper bound of a bucket in milliseconds."""
    return FIRST_BOUND_MS * 2 ** (bucket / 2)


def find_median(times):
    """Return the bucket of the median of a histogram that is not empty."""
    half = sum(times) / 2
    totals = itertools.accumulate(times)
    return next(bucket for bucket, total in enumerate(totals) if total >= half)
