"""Share one copy of equal partition maps.

All servers of an index report the same map, which names every shard. Decoded
messages share no objects, and with 57 shards the copies took most of the memory
of a route.
"""

import msgspec

# At this number all maps are dropped, which removes those of past snapshots.
# Existing routes keep their maps; later routes share new copies.
MAX_MAPS = 10_000


class PartitionMaps:
    """Replace equal partition maps by one object."""

    def __init__(self):
        self._maps = {}

    def share(self, message):
        """Return a Route or ServerReport whose maps are the shared ones."""
        if len(self._maps) >= MAX_MAPS:
            self._maps.clear()
        snapshots = tuple(map(self._share_map, message.snapshots))
        return msgspec.structs.replace(message, snapshots=snapshots)

    def _share_map(self, report):
        shared_map = self._maps.setdefault(report.partition_map, report.partition_map)
        return msgspec.structs.replace(report, partition_map=shared_map)
