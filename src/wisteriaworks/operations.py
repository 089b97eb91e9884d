"""Store the result of each operation, so that a resend gets the same result."""

import heapq

from wisteriaworks.uuid7 import read_time_ms

MAX_OPERATIONS = 10_000
MAX_AGE_MS = 24 * 3600 * 1000
# How far the time in an operation ID may be ahead of the control group's clock.
MAX_CLOCK_AHEAD_MS = 60_000


class OperationTable:
    """Store the newest operations, by the time in their IDs.

    ``floor_ms`` is the latest time of a deleted operation. Unknown IDs up to
    that time are refused, because they may have been answered before.
    """

    def __init__(self, records=(), floor_ms=0):
        self._records = {record.operation_id: record for record in records}
        self._by_age = [(read_time_ms(key), key) for key in self._records]
        heapq.heapify(self._by_age)
        self.floor_ms = floor_ms

    def find(self, key):
        """Return the record of an operation, or None."""
        return self._records.get(key)

    def is_acceptable(self, time_ms, now_ms):
        """Return whether a new operation with that time may be applied."""
        oldest = max(now_ms - MAX_AGE_MS, self.floor_ms + 1)
        return oldest <= time_ms <= now_ms + MAX_CLOCK_AHEAD_MS

    def add(self, record):
        """Store the result of a new operation."""
        key = record.operation_id
        assert key not in self._records, "an operation is stored twice"
        self._records[key] = record
        heapq.heappush(self._by_age, (read_time_ms(key), key))
        while len(self._records) > MAX_OPERATIONS:
            time_ms, oldest = heapq.heappop(self._by_age)
            del self._records[oldest]
            self.floor_ms = max(self.floor_ms, time_ms)

    def list_records(self):
        """Return all records, oldest first."""
        return tuple(self._records[key] for _, key in sorted(self._by_age))
