"""The durable state of one control member under its data folder."""

import contextlib
import fcntl
import functools
import os
import uuid
from pathlib import Path

import msgspec

from wisteriaworks.consensus_log import StoredState
from wisteriaworks.effects import (
    AppendLog,
    CompactLog,
    PersistVote,
    RestoreSnapshot,
    SaveSnapshot,
    TruncateLog,
)
from wisteriaworks.errors import StorageError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.consensus import (
    DiskRecord,
    EntryKind,
    LogEntry,
    Member,
    Snapshot,
)
from wisteriaworks.log_segments import SEGMENT_BYTES, LogSegments
from wisteriaworks.membership import encode_members
from wisteriaworks.records import (
    delete_temporary_files,
    read_file,
    replace_file,
    sync_folder,
)

_LOCK_FILE = "lock"
_DISK_FILE = "disk"
# Term of the entry that creates a group. Elections have later terms.
_FIRST_TERM = 1
_STATE_PATTERNS = (_DISK_FILE, "log-*", "snapshot-*")
_ENCODER = msgspec.msgpack.Encoder()


def _report_storage_errors(method):
    @functools.wraps(method)
    def wrapper(self, *args, **kwargs):
        try:
            return method(self, *args, **kwargs)
        except (OSError, msgspec.MsgspecError, ValueError) as exc:
            raise StorageError(f"data folder {self.folder}: {exc}") from exc

    return wrapper


class LogStore:
    """Store the log, vote and snapshot of a member in a data folder.

    Methods block on disk I/O and are not thread-safe. An empty folder gets a new
    random disk identity, so that a member that lost its disk cannot vote under
    its old identity. After an error the store must not be used again, since the
    state of the disk is not known.
    """

    def __init__(self, folder, segment_bytes=SEGMENT_BYTES):
        self.folder = Path(folder)
        self._stack = contextlib.ExitStack()
        self._log = LogSegments(self.folder, segment_bytes)
        self._disk_record = None
        self._open()

    @property
    def identity(self):
        """Return the identity of the disk."""
        return self._disk_record.identity

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Close all files."""
        self._stack.close()

    @_report_storage_errors
    def write(self, effects):
        """Execute disk effects in order and make them durable.

        All appended entries share one fsync. Raises StorageError.
        """
        for effect in effects:
            self._write(effect)
        self._log.sync()

    def _write(self, effect):
        match effect:
            case AppendLog():
                self._log.append(effect.entries)
            case TruncateLog():
                self._log.truncate(effect.first_index)
            case PersistVote():
                self._write_disk_record(effect.term, effect.voted_for)
            case SaveSnapshot():
                self._write_snapshot(effect.snapshot)
            case RestoreSnapshot():
                self._write_snapshot(effect.snapshot)
                if not effect.keep_log:
                    self._log.reset(effect.snapshot.last_index + 1)
            case CompactLog():
                self._log.compact(effect.last_index)

    @_report_storage_errors
    def _open(self):
        with contextlib.ExitStack() as stack:
            self.folder.mkdir(parents=True, exist_ok=True)
            stack.callback(os.close, self._lock())
            stack.callback(self._log.close)
            delete_temporary_files(self.folder)
            self._load_disk_record()
            snapshot = self._load_snapshot()
            entries = self._log.load(snapshot)
            sync_folder(self.folder)
            self.stored = StoredState(
                self._disk_record.term, self._disk_record.voted_for, snapshot, entries
            )
            self._check_terms()
            self._stack = stack.pop_all()

    def _lock(self):
        fd = os.open(self.folder / _LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise StorageError(f"{self.folder} is in use by another process") from None
        return fd

    def _load_disk_record(self):
        path = self.folder / _DISK_FILE
        if path.exists():
            self._disk_record = msgspec.msgpack.decode(read_file(path), type=DiskRecord)
            return
        if has_state(self.folder):
            raise StorageError(f"{self.folder} has a log but no disk identity")
        self._disk_record = DiskRecord(
            identity=str(uuid.uuid4()), term=0, voted_for=None
        )
        self._write_disk_record(0, None)
        sync_folder(self.folder.parent)
        log_event(Event.DISK_CREATED, folder=str(self.folder), identity=self.identity)

    def _write_disk_record(self, term, voted_for):
        self._disk_record = DiskRecord(
            identity=self.identity, term=term, voted_for=voted_for
        )
        replace_file(self.folder / _DISK_FILE, _ENCODER.encode(self._disk_record))

    def _load_snapshot(self):
        paths = sorted(self.folder.glob("snapshot-*"))
        if not paths:
            return None
        snapshot = msgspec.msgpack.decode(read_file(paths[-1]), type=Snapshot)
        self._delete_files(paths[:-1])
        return snapshot

    def _write_snapshot(self, snapshot):
        path = self.folder / f"snapshot-{snapshot.last_index:020}"
        replace_file(path, _ENCODER.encode(snapshot))
        self._delete_files(p for p in self.folder.glob("snapshot-*") if p < path)

    def _delete_files(self, paths):
        for path in paths:
            path.unlink()

    def _check_terms(self):
        terms = [entry.term for entry in self.stored.entries]
        if any(term > self.stored.term for term in terms):
            raise StorageError(
                f"{self.folder} has log entries of a later term than the stored term"
            )


def has_state(folder):
    """Return whether a data folder holds any state of a member.

    Other files do not count: the root of a file system may contain lost+found.
    """
    paths = [path for pattern in _STATE_PATTERNS for path in Path(folder).glob(pattern)]
    return any(path.suffix != ".tmp" for path in paths)


def initialise(folder, name, address, domain=""):
    """Create a log with this process as its only member; return the member's id.

    The member id is ``name`` and the identity of the disk, joined by a slash.
    Raises StorageError if the folder already holds state.
    """
    if has_state(folder):
        raise StorageError(f"{folder} already holds state; nothing was changed")
    with LogStore(folder) as store:
        # Another process may have initialised the folder since the check above.
        if store.stored != StoredState():
            raise StorageError(f"{folder} already holds state; nothing was changed")
        return _write_first_entry(store, name, address, domain)


def initialise_once(folder, name, address, domain=""):
    """Create a log as ``initialise`` does, unless the folder holds one.

    Completes an earlier call that was interrupted. Raises StorageError.
    """
    with LogStore(folder) as store:
        stored = store.stored
        has_log = stored.entries or stored.snapshot or stored.voted_for
        if not has_log and stored.term <= _FIRST_TERM:
            _write_first_entry(store, name, address, domain)


def _write_first_entry(store, name, address, domain):
    member_id = f"{name}/{store.identity}"
    members = (Member(id=member_id, address=address, voter=True, domain=domain),)
    data = encode_members(members)
    entry = LogEntry(index=1, term=_FIRST_TERM, kind=EntryKind.MEMBERS, data=data)
    store.write([PersistVote(1, _FIRST_TERM, None), AppendLog(2, (entry,))])
    return member_id
