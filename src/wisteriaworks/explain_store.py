"""Store the explanations of the newest requests within fixed bounds."""

from collections import OrderedDict

import msgspec

MAX_COUNT = 2_000
MAX_BYTES = 8 * 1024 * 1024


class ExplainStore:
    """Store explanations as JSON, bounded by count and bytes."""

    def __init__(self, max_count=MAX_COUNT, max_bytes=MAX_BYTES):
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._records = OrderedDict()
        self._bytes = 0

    def put(self, explanation):
        """Store an explanation, dropping the oldest ones that no longer fit.

        A later explanation of the same request replaces the earlier one. An
        explanation that is larger than the entire store is not stored.
        """
        request_id = explanation.request_id
        data = msgspec.json.encode(explanation)
        self._bytes -= len(self._records.pop(request_id, b""))
        if len(data) > self._max_bytes:
            return
        self._records[request_id] = data
        self._bytes += len(data)
        while len(self._records) > self._max_count or self._bytes > self._max_bytes:
            _, dropped = self._records.popitem(last=False)
            self._bytes -= len(dropped)

    def get(self, request_id):
        """Return the JSON text of an explanation, or None."""
        return self._records.get(request_id)
