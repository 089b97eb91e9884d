"""Compress the lists in the updates to gateways.

Load pattern: a new leader sends the list of 450 servers, 33 KB, to 200 gateways, and
a restart of a gateway of the reserve changes the list of delegates in all of them.
Gateways that connect at the same time get the same lists, so these are compressed
once. No I/O.
"""

import msgspec

from wisteriaworks import codec
from wisteriaworks.compression import compress, decompress
from wisteriaworks.generated.messages import DelegateList, ServerChanges

# Gateways count the remaining time of a cold start from the receipt of a list, so a
# list of this age is as good as a new one.
MAX_AGE_S = 0.2
MAX_PACKED = 16


class UpdatePacker:
    """Keep the packed lists that other gateways may need next."""

    def __init__(self):
        self._changes = {}
        self._delegates = (), b""

    def pack_changes(self, directory, revision, now):
        """Return the changes of a directory after a revision, plain and packed."""
        key = (
            directory.generation,
            revision,
            directory.revision,
            int(now / MAX_AGE_S),
        )
        if key not in self._changes:
            while len(self._changes) >= MAX_PACKED:
                del self._changes[next(iter(self._changes))]
            changes = directory.list_changes(revision, now)
            packed = b""
            if changes.servers or changes.removed:
                packed = _pack(ServerChanges(changes.servers, changes.removed))
            self._changes[key] = changes, packed
        return self._changes[key]

    def pack_delegates(self, delegates):
        """Return a list of delegates as bytes."""
        if self._delegates[0] != delegates or not self._delegates[1]:
            self._delegates = delegates, _pack(DelegateList(delegates))
        return self._delegates[1]


def unpack_update(update):
    """Return an update with its lists unpacked. Raises ValueError."""
    fields = {}
    if update.packed_changes:
        changes = _unpack(update.packed_changes, ServerChanges)
        fields |= {"servers": changes.servers, "removed": changes.removed}
    if update.packed_delegates:
        fields["delegates"] = _unpack(update.packed_delegates, DelegateList).delegates
    return msgspec.structs.replace(update, **fields) if fields else update


def _pack(message):
    return compress(codec.encode(message))


def _unpack(data, expected):
    message = codec.decode(decompress(data))
    if not isinstance(message, expected):
        raise ValueError(f"not a list of the expected type: {type(message).__name__}")
    return message
