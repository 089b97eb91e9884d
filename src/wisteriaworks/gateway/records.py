"""Merge the records of several shards and keep the greatest."""

import heapq
import itertools

RECORD_BYTES = 16


def split_records(body):
    """Return the complete records of a body; an incomplete one is ignored."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[i : i + RECORD_BYTES] for i in range(0, end, RECORD_BYTES)]


def merge_greatest(bodies, count):
    """Return the greatest records of all bodies, greatest first.

    Duplicates are kept.
    """
    records = itertools.chain.from_iterable(map(split_records, bodies))
    return b"".join(heapq.nlargest(count, records))
