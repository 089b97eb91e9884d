"""The in-memory log of one member, and the index up to which it is durable."""

from collections import deque
from dataclasses import dataclass

from wisteriaworks.errors import InvariantError
from wisteriaworks.generated.consensus import LogEntry, Snapshot

# Limits of one AppendEntries message, so that heartbeats queued behind it are
# not delayed.
BATCH_ENTRIES = 256
BATCH_BYTES = 1024 * 1024


def check_invariant(condition, text):
    """Raise InvariantError unless ``condition`` is true."""
    if not condition:
        raise InvariantError(f"broken invariant: {text}")


@dataclass(frozen=True, slots=True)
class StoredState:
    """Store the state that a member loads from its disk when it starts.

    ``entries`` follow the snapshot without a gap.
    """

    term: int = 0
    voted_for: str | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


class Log:
    """Store the entries after a compacted prefix, which ends at ``base_index``."""

    def __init__(self, base_index, base_term, entries):
        self.base_index = base_index
        self.base_term = base_term
        self._entries = []
        self.append(entries)

    @property
    def last_index(self):
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index):
        """Return the term of an entry, or None if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def get(self, first_index, last_index):
        """Return the entries of a range, both ends included."""
        start = first_index - self.base_index - 1
        check_invariant(start >= 0, "a compacted entry is never read")
        return tuple(self._entries[start : last_index - self.base_index])

    def get_batch(self, first_index):
        """Return entries from ``first_index`` on, within the batch limits."""
        batch, size = [], 0
        for entry in self.get(first_index, first_index + BATCH_ENTRIES - 1):
            size += len(entry.data)
            if batch and size > BATCH_BYTES:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries):
        """Append entries that follow the last one without a gap."""
        for entry in entries:
            check_invariant(
                entry.index == self.last_index + 1, "log entries have no gaps"
            )
            self._entries.append(entry)

    def truncate(self, first_index):
        """Remove the entries from ``first_index`` on."""
        del self._entries[first_index - self.base_index - 1 :]

    def compact(self, last_index):
        """Discard the entries up to ``last_index``."""
        term = self.term_at(last_index)
        del self._entries[: last_index - self.base_index]
        self.base_index, self.base_term = last_index, term

    def reset(self, last_index, last_term):
        """Discard all entries; the compacted prefix ends at ``last_index``."""
        self._entries.clear()
        self.base_index, self.base_term = last_index, last_term


class SyncTracker:
    """Track the last log index that is durable.

    A truncation lowers the index of each pending write to at most the new end of
    the log, since the write may contain entries that are no longer in the log.
    """

    def __init__(self, index):
        self.index = index
        self._writes = deque()

    def add(self, sequence, index):
        """Record a write that makes the log durable up to ``index``."""
        self._writes.append((sequence, index))

    def truncate(self, first_index):
        """Record the removal of the entries from ``first_index`` on."""
        last = first_index - 1
        self.index = min(self.index, last)
        self._writes = deque((seq, min(index, last)) for seq, index in self._writes)

    def confirm(self, sequence):
        """Record that all writes up to ``sequence`` are durable."""
        while self._writes and self._writes[0][0] <= sequence:
            self.index = max(self.index, self._writes.popleft()[1])
