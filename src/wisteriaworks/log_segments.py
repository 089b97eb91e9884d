"""The log on disk as a sequence of files, each named by its first index."""

import os
from dataclasses import dataclass, field

import msgspec

from wisteriaworks.errors import StorageError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.consensus import LogEntry
from wisteriaworks.records import (
    has_record_after,
    pack_record,
    read_records,
    sync_folder,
    write_all,
)

SEGMENT_BYTES = 4 * 1024 * 1024
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LogEntry)


@dataclass(slots=True)
class _Segment:
    """Describe one file; ``ends`` are the end offsets of its entries."""

    first_index: int
    ends: list[int] = field(default_factory=list)

    @property
    def last_index(self):
        return self.first_index + len(self.ends) - 1

    @property
    def size(self):
        return self.ends[-1] if self.ends else 0


class LogSegments:
    """Append to, truncate and compact the log in a folder.

    ``sync`` makes everything appended before it durable with one fsync.
    """

    def __init__(self, folder, segment_bytes=SEGMENT_BYTES):
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments = []
        self._fd = None
        self._unwritten = bytearray()

    def load(self, snapshot):
        """Return the entries on disk after a snapshot. Raises StorageError.

        A damaged tail is truncated after the last complete record.
        """
        index = snapshot.last_index if snapshot else 0
        paths = self._delete_covered_files(sorted(self._folder.glob("log-*")), index)
        entries = [
            e for path in paths for e in self._load_file(path, path is paths[-1])
        ]
        if self._is_replaced_by(snapshot, entries):
            self.reset(index + 1)
            return ()
        if not self._segments:
            self._create(index + 1)
        elif self._segments[0].first_index > index + 1:
            raise StorageError(
                f"{self._folder} is missing log entries after entry {index}"
            )
        self._open_last()
        return tuple(entry for entry in entries if entry.index > index)

    def append(self, entries):
        """Append entries, which are durable after the next ``sync``."""
        for entry in entries:
            if self._segments[-1].size >= self._segment_bytes:
                self.sync()
                self._create(entry.index)
                self._open_last()
            record = pack_record(_ENCODER.encode(entry))
            self._unwritten += record
            segment = self._segments[-1]
            segment.ends.append(segment.size + len(record))

    def sync(self):
        """Make all appended entries durable."""
        if self._unwritten:
            write_all(self._fd, self._unwritten)
            self._unwritten.clear()
            os.fsync(self._fd)

    def truncate(self, first_index):
        """Remove the entries from ``first_index`` on, durably.

        The removal must be durable before new records overwrite the old ones.
        Otherwise a crash could leave a damaged record before intact ones.
        """
        self.sync()
        while self._segments[-1].first_index > first_index:
            self._delete(self._segments.pop())
        segment = self._segments[-1]
        del segment.ends[first_index - segment.first_index :]
        self._open_last()
        os.ftruncate(self._fd, segment.size)
        os.fsync(self._fd)

    def compact(self, last_index):
        """Delete the files that contain no entry after ``last_index``."""
        while len(self._segments) > 1 and self._segments[0].last_index <= last_index:
            self._delete(self._segments.pop(0))

    def reset(self, first_index):
        """Delete all entries; the next entry has index ``first_index``."""
        self._unwritten.clear()
        while self._segments:
            self._delete(self._segments.pop())
        self._create(first_index)
        self._open_last()

    def close(self):
        """Close the open file."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None

    def _path(self, segment):
        return self._folder / f"log-{segment.first_index:020}"

    def _delete_covered_files(self, paths, index):
        # The file that contains the snapshot's last entry is kept, since its term
        # is compared with the snapshot's.
        starts = [int(path.name.removeprefix("log-")) for path in paths]
        covered_count = sum(start <= index for start in starts[1:])
        for path in paths[:covered_count]:
            path.unlink()
        return paths[covered_count:]

    def _load_file(self, path, is_last):
        data = path.read_bytes()
        records = read_records(data)
        end = records[-1].end if records else 0
        if end < len(data):
            if not is_last or has_record_after(data, end):
                raise StorageError(f"{path} is damaged at byte {end}")
            self._truncate_tail(path, end, len(data))
        entries = [_DECODER.decode(record.payload) for record in records]
        self._check_order(path, entries)
        first_index = int(path.name.removeprefix("log-"))
        ends = [record.end for record in records]
        self._segments.append(_Segment(first_index, ends))
        return entries

    def _check_order(self, path, entries):
        start = int(path.name.removeprefix("log-"))
        expected = self._segments[-1].last_index + 1 if self._segments else start
        indexes = [entry.index for entry in entries]
        if start != expected or indexes != list(range(start, start + len(indexes))):
            raise StorageError(f"{path} has log entries that are out of sequence")

    def _truncate_tail(self, path, end, size):
        log_event(Event.LOG_TAIL_CUT, file=str(path), kept=end, cut=size - end)
        os.truncate(path, end)

    def _is_replaced_by(self, snapshot, entries):
        """Return whether the leader's snapshot replaces all entries on disk.

        This is the case if the process died after it had stored the snapshot and
        before it deleted the log.
        """
        if not snapshot or not entries:
            return False
        if entries[-1].index < snapshot.last_index:
            return True
        return any(
            entry.index == snapshot.last_index and entry.term != snapshot.last_term
            for entry in entries
        )

    def _create(self, first_index):
        segment = _Segment(first_index)
        # Path.touch first sets the file times and creates the file only if that
        # fails. Some file systems may ignore that call and report success for a
        # missing file, so that the file would not be created.
        os.close(os.open(self._path(segment), os.O_WRONLY | os.O_CREAT, 0o600))
        self._segments.append(segment)
        sync_folder(self._folder)

    def _open_last(self):
        self.close()
        path = self._path(self._segments[-1])
        self._fd = os.open(path, os.O_WRONLY | os.O_APPEND)
        # If the previous process was killed, the data just read may exist only in
        # the page cache.
        os.fsync(self._fd)

    def _delete(self, segment):
        self._path(segment).unlink()
        sync_folder(self._folder)
