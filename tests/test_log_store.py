"""Guard against lost, invented or silently truncated records after a crash."""

import os
import shutil
from pathlib import Path

import pytest
from loguru import logger

from wisteriaworks.effects import (
    AppendLog,
    CompactLog,
    PersistVote,
    RestoreSnapshot,
    SaveSnapshot,
    TruncateLog,
)
from wisteriaworks.errors import StorageError
from wisteriaworks.generated.consensus import EntryKind, LogEntry, Snapshot
from wisteriaworks.log_store import LogStore, initialise


def _make_entries(first, last, term=1):
    return tuple(
        LogEntry(index=i, term=term, kind=EntryKind.COMMAND, data=b"%d" % i)
        for i in range(first, last + 1)
    )


def _make_snapshot(index, term=1):
    return Snapshot(last_index=index, last_term=term, members=(), data=b"state")


@pytest.fixture
def folder(tmp_path):
    """Return a folder with entries 1 to 6 in files of two entries each."""
    path = tmp_path / "data"
    with LogStore(path, segment_bytes=60) as store:
        store.write([PersistVote(1, 1, "a"), AppendLog(2, _make_entries(1, 6))])
    return path


def _list_logs(folder):
    return sorted(folder.glob("log-*"))


def _load(folder):
    with LogStore(folder, segment_bytes=60) as store:
        return store.stored


def test_everything_written_is_loaded(folder):
    stored = _load(folder)
    assert (stored.term, stored.voted_for) == (1, "a")
    assert stored.entries == _make_entries(1, 6)
    assert len(_list_logs(folder)) == 3


def _damage_tails(data, start):
    yield from (data[:end] for end in range(start + 1, len(data)))
    yield from (data[:end].ljust(len(data), b"\0") for end in range(start, len(data)))
    for at in range(start, len(data)):
        yield data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]


def test_tail_damaged_at_any_byte_is_truncated(folder, tmp_path):
    path = _list_logs(folder)[-1]
    data = path.read_bytes()
    events = []
    sink = logger.add(lambda line: events.append(line.record["extra"]["event"]))
    for damaged in _damage_tails(data, len(data) // 2):
        path.write_bytes(damaged)
        with LogStore(folder, segment_bytes=60) as store:
            assert store.stored.entries == _make_entries(1, 5)
            store.write([AppendLog(1, _make_entries(6, 7))])
        assert events.pop() == 505  # Event.LOG_TAIL_CUT
        assert _load(folder).entries == _make_entries(1, 7)
        for later in _list_logs(folder)[3:]:
            later.unlink()
    logger.remove(sink)


@pytest.mark.parametrize("number", [0, 1, 2])
def test_flipped_bit_before_intact_records_is_an_error(folder, number):
    path = _list_logs(folder)[number]
    data = path.read_bytes()
    for at in range(len(data) // 2):
        path.write_bytes(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])
        with pytest.raises(StorageError, match="damaged") as caught:
            LogStore(folder)
        assert caught.value.exit_code == 6
        assert len(path.read_bytes()) == len(data)


def test_damaged_snapshot_is_an_error(folder):
    with LogStore(folder) as store:
        store.write([SaveSnapshot(1, _make_snapshot(4))])
    (path,) = folder.glob("snapshot-*")
    data = path.read_bytes()
    for damaged in (b"", data[:-1], data + b"x", data[:30] + b"!" + data[31:]):
        path.write_bytes(damaged)
        with pytest.raises(StorageError, match="damaged"):
            LogStore(folder)


@pytest.mark.parametrize("lost", ["disk", "log-*1", "log-*3"])
def test_missing_file_is_an_error(folder, lost):
    (path,) = folder.glob(lost)
    path.unlink()
    with pytest.raises(StorageError):
        LogStore(folder)


class _Crash(BaseException):
    """Abort a store as a crash of its process would."""


class _DiskOperations:
    """Record the disk operations, and crash before one of them."""

    def __init__(self, monkeypatch, limit):
        self.names = []
        self._limit = limit
        for name in ("write", "fsync", "rename", "truncate", "ftruncate"):
            monkeypatch.setattr(os, name, self._wrap(name, getattr(os, name)))
        monkeypatch.setattr(Path, "unlink", self._wrap("unlink", Path.unlink))

    def _wrap(self, name, function):
        def step(*args, **kwargs):
            if len(self.names) == self._limit:
                raise _Crash
            self.names.append(name)
            return function(*args, **kwargs)

        return step


BATCHES = {
    "vote": [PersistVote(1, 2, "b")],
    "append": [AppendLog(1, _make_entries(7, 8))],
    "truncate": [TruncateLog(1, 2)],
    "save": [SaveSnapshot(1, _make_snapshot(5))],
    "compact": [SaveSnapshot(1, _make_snapshot(5)), CompactLog(2, 4)],
    "restore within the log": [RestoreSnapshot(1, _make_snapshot(4), True)],
    "restore beyond the log": [RestoreSnapshot(1, _make_snapshot(9), False)],
    "restore from a later term": [
        PersistVote(1, 2, None),
        RestoreSnapshot(2, _make_snapshot(4, term=2), False),
    ],
}


@pytest.mark.parametrize("name", BATCHES)
def test_crash_between_any_two_steps_leaves_a_valid_state(folder, tmp_path, name):
    copy = tmp_path / "copy"
    shutil.copytree(folder, copy)
    with LogStore(copy, segment_bytes=60) as store:
        store.write(BATCHES[name])
    after = _load(copy)
    crashed = True
    limit = 0
    while crashed:
        shutil.rmtree(copy)
        shutil.copytree(folder, copy)
        crashed = _write_until_crash(copy, BATCHES[name], limit)
        _check_state(_load(copy), after)
        limit += 1
    assert limit > 2
    assert _load(copy) == after


def _write_until_crash(folder, batch, limit):
    with (
        LogStore(folder, segment_bytes=60) as store,
        pytest.MonkeyPatch.context() as patch,
    ):
        _DiskOperations(patch, limit)
        try:
            store.write(batch)
        except _Crash:
            return True
    return False


def _check_state(stored, after):
    """Check that each part is old or new and that the log follows the snapshot."""
    index = stored.snapshot.last_index if stored.snapshot else 0
    assert stored.snapshot in (None, after.snapshot)
    assert (stored.term, stored.voted_for) in ((1, "a"), (after.term, after.voted_for))
    longest = max(6, after.entries[-1].index if after.entries else 0)
    entries = _make_entries(index + 1, longest)
    assert stored.entries == entries[: len(stored.entries)]
    if stored.snapshot and stored.snapshot.last_term == 2:
        assert stored.entries == ()


@pytest.mark.parametrize("name", BATCHES)
def test_write_returns_only_after_a_sync(folder, monkeypatch, name):
    with LogStore(folder, segment_bytes=10_000) as store:
        steps = _DiskOperations(monkeypatch, -1)
        store.write(BATCHES[name])
        names = [step for step in steps.names if step != "unlink"]
        monkeypatch.undo()
    assert names[-1] == "fsync"
    for at, step in enumerate(names[:-1]):
        assert step == "fsync" or names[at + 1] == "fsync"


def test_one_sync_covers_all_appended_records(folder, monkeypatch):
    with LogStore(folder, segment_bytes=10_000) as store:
        steps = _DiskOperations(monkeypatch, -1)
        store.write([AppendLog(n, _make_entries(n, n)) for n in range(7, 57)])
        monkeypatch.undo()
    assert steps.names == ["write", "fsync"]


def test_records_read_at_the_start_are_synced(folder, monkeypatch):
    """If the previous process was killed, the records may be only in the page cache."""
    steps = _DiskOperations(monkeypatch, -1)
    LogStore(folder, segment_bytes=60).close()
    monkeypatch.undo()
    assert steps.names == ["fsync", "fsync"], (
        "expected one fsync of the last log file and one of the folder"
    )


def test_compaction_deletes_whole_files(folder):
    with LogStore(folder, segment_bytes=60) as store:
        store.write([SaveSnapshot(1, _make_snapshot(5)), CompactLog(2, 3)])
        assert [int(p.name[4:]) for p in _list_logs(folder)] == [3, 5]
    assert _load(folder).entries == _make_entries(6, 6)


def test_emptied_folder_gets_a_new_identity_without_the_vote(folder):
    with LogStore(folder) as store:
        old = store.identity
    for path in folder.iterdir():
        path.unlink()
    with LogStore(folder) as store:
        assert store.identity != old
        assert (store.stored.term, store.stored.voted_for) == (0, None)


def test_init_creates_one_voter_and_refuses_any_state(folder, tmp_path):
    fresh = tmp_path / "fresh"
    member_id = initialise(fresh, "c1", "127.0.0.1:1")
    stored = _load(fresh)
    assert member_id.startswith("c1/")
    assert [entry.kind for entry in stored.entries] == [EntryKind.MEMBERS]
    for used in (fresh, folder):
        before = {path: path.read_bytes() for path in used.iterdir()}
        with pytest.raises(StorageError, match="holds state"):
            initialise(used, "c1", "127.0.0.1:1")
        assert before == {path: path.read_bytes() for path in used.iterdir()}


def test_folder_is_used_by_one_store_at_a_time(folder):
    with LogStore(folder), pytest.raises(StorageError, match="in use"):
        LogStore(folder)
