"""Servers that the platform lists, with the revision of each change."""

import math
from dataclasses import dataclass

from wisteriaworks.generated.messages import ListedServer
from wisteriaworks.server_entries import select_entries

# Receivers count the remaining time of a cold start down themselves, so a difference
# up to this is not a change.
COLD_TOLERANCE_S = 0.5


@dataclass(frozen=True, slots=True)
class DirectoryChanges:
    """Describe the changes after a revision; ``full`` if they replace everything."""

    revision: int
    full: bool
    servers: tuple[ListedServer, ...]
    removed: tuple[str, ...]


@dataclass(slots=True)
class _Record:
    entry: ListedServer
    cold_until: float
    revision: int


class ServerDirectory:
    """Store the listed servers, each with the revision of its last change."""

    def __init__(self):
        self.revision = 0
        # Boot time at which the reading of the list began.
        self.read_at = -math.inf
        # Number of the lists that were forgotten; the revisions of each begin anew.
        self.generation = 0
        self._records = {}
        self._removed = {}

    def replace(self, entries, now, read_at, services=frozenset()):
        """Replace the list and return whether any server changed.

        ``services`` are those that the configuration names.
        """
        before = self.revision
        self.read_at = read_at
        if before == 0:
            self.revision = 1
        known = {server_id: r.entry for server_id, r in self._records.items()}
        by_id = select_entries(entries, services, known)
        for server_id in self._records.keys() - by_id.keys():
            del self._records[server_id]
            self.revision += 1
            self._removed[server_id] = self.revision
        for entry in by_id.values():
            self._update_record(entry, now)
        return self.revision != before

    def clear(self):
        """Forget the list, which counts as not read until it is replaced."""
        self.revision = 0
        self.read_at = -math.inf
        self.generation += 1
        self._records.clear()
        self._removed.clear()

    def list_changes(self, revision, now):
        """Return the changes after a revision, or everything for revision 0."""
        if revision == 0:
            entries = tuple(self._make_entry(r, now) for r in self._records.values())
            return DirectoryChanges(self.revision, True, entries, ())
        if revision == self.revision:
            return DirectoryChanges(revision, False, (), ())
        changed = [r for r in self._records.values() if r.revision > revision]
        removed = [k for k, number in self._removed.items() if number > revision]
        entries = tuple(self._make_entry(record, now) for record in changed)
        return DirectoryChanges(self.revision, False, entries, tuple(removed))

    def list_service(self, service, now):
        """Return the listed servers of a service."""
        records = [r for r in self._records.values() if r.entry.service == service]
        return [self._make_entry(record, now) for record in records]

    def _update_record(self, entry, now):
        record = self._records.get(entry.id)
        cold_until = now + entry.cold_s
        if record is not None and _is_same(record, entry, cold_until, now):
            return
        self.revision += 1
        self._removed.pop(entry.id, None)
        self._records[entry.id] = _Record(entry, cold_until, self.revision)

    def _make_entry(self, record, now):
        entry, cold_s = record.entry, max(0.0, record.cold_until - now)
        return ListedServer(
            id=entry.id,
            service=entry.service,
            address=entry.address,
            domain=entry.domain,
            slots=entry.slots,
            draining=entry.draining,
            cold_s=cold_s,
            version=entry.version,
        )


def _is_same(record, entry, cold_until, now):
    old = record.entry
    if _get_fields(old) != _get_fields(entry):
        return False
    if max(record.cold_until, cold_until) <= now:
        return True
    return abs(record.cold_until - cold_until) <= COLD_TOLERANCE_S


def _get_fields(entry):
    """Return the fields of which any difference is a change."""
    return (
        entry.service,
        entry.address,
        entry.domain,
        entry.slots,
        entry.draining,
        entry.version,
    )
