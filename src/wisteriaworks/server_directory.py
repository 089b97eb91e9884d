"""The servers that the platform lists, with what changed since when."""

from dataclasses import dataclass

from wisteriaworks.generated.messages import ListedServer

# The remaining time of a cold start is counted down by whoever received it;
# a difference up to this is not a change.
COLD_TOLERANCE_S = 0.5


@dataclass(frozen=True, slots=True)
class DirectoryChanges:
    """Hold the changes after a revision; ``full`` if they replace everything."""

    revision: int
    full: bool
    servers: tuple[ListedServer, ...]
    removed: tuple[str, ...]


@dataclass(slots=True)
class _Record:
    listed: ListedServer
    cold_until: float
    revision: int


class ServerDirectory:
    """Keep the listed servers, each with the revision of its last change."""

    def __init__(self):
        self.revision = 0
        self._records = {}
        self._removed = {}

    def replace(self, listed, now):
        """Take over a whole list and return whether anything changed."""
        before = self.revision
        if before == 0:
            self.revision = 1
        entries = {entry.id: entry for entry in listed}
        for server_id in self._records.keys() - entries.keys():
            del self._records[server_id]
            self.revision += 1
            self._removed[server_id] = self.revision
        for entry in entries.values():
            self._take(entry, now)
        return self.revision != before

    def list_changes(self, revision, now):
        """Return what changed after a revision; 0 asks for everything."""
        if revision == 0:
            listed = tuple(self._age(r, now) for r in self._records.values())
            return DirectoryChanges(self.revision, True, listed, ())
        changed = [r for r in self._records.values() if r.revision > revision]
        removed = [k for k, number in self._removed.items() if number > revision]
        listed = tuple(self._age(record, now) for record in changed)
        return DirectoryChanges(self.revision, False, listed, tuple(removed))

    def _take(self, entry, now):
        record = self._records.get(entry.id)
        cold_until = now + entry.cold_s
        if record is not None and _is_same(record, entry, cold_until, now):
            return
        self.revision += 1
        self._removed.pop(entry.id, None)
        self._records[entry.id] = _Record(entry, cold_until, self.revision)

    def _age(self, record, now):
        listed, cold_s = record.listed, max(0.0, record.cold_until - now)
        return ListedServer(
            id=listed.id,
            service=listed.service,
            address=listed.address,
            domain=listed.domain,
            slots=listed.slots,
            draining=listed.draining,
            cold_s=cold_s,
        )


def _is_same(record, entry, cold_until, now):
    old = record.listed
    if (old.service, old.address, old.domain, old.slots, old.draining) != (
        entry.service,
        entry.address,
        entry.domain,
        entry.slots,
        entry.draining,
    ):
        return False
    if max(record.cold_until, cold_until) <= now:
        return True
    return abs(record.cold_until - cold_until) <= COLD_TOLERANCE_S
