"""Checksummed records in files, and writes that survive a crash."""

import os
import struct
from dataclasses import dataclass

from crc32c import crc32c

from wisteriaworks.errors import StorageError

TEMPORARY_SUFFIX = ".tmp"
_MAGIC = b"\xd7WLR"
# Header: magic, payload length, payload checksum, checksum of these three fields.
# The header checksum detects a damaged length and zeros left by a file system.
_FIELDS = struct.Struct(">4sII")
_CHECKSUM = struct.Struct(">I")
_HEADER_BYTES = _FIELDS.size + _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class Record:
    """Represent the payload of one record and the offset after it."""

    payload: bytes
    end: int


def pack_record(payload):
    """Encode a payload as a record."""
    fields = _FIELDS.pack(_MAGIC, len(payload), crc32c(payload))
    return fields + _CHECKSUM.pack(crc32c(fields)) + payload


def read_record(data, offset):
    """Return the complete and undamaged record at an offset, or None."""
    start = offset + _HEADER_BYTES
    if start > len(data):
        return None
    fields = data[offset : offset + _FIELDS.size]
    magic, length, checksum = _FIELDS.unpack(fields)
    (header_checksum,) = _CHECKSUM.unpack_from(data, offset + _FIELDS.size)
    if magic != _MAGIC or crc32c(fields) != header_checksum:
        return None
    payload = data[start : start + length]
    if len(payload) < length or crc32c(payload) != checksum:
        return None
    return Record(payload, start + length)


def read_records(data):
    """Return the records at the start of a file, up to the first damaged one."""
    records = []
    record = read_record(data, 0)
    while record is not None:
        records.append(record)
        record = read_record(data, record.end)
    return records


def has_record_after(data, offset):
    """Return whether a complete record starts after an offset."""
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        if read_record(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


def sync_folder(folder):
    """Make created, renamed and deleted directory entries durable."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_all(fd, data):
    """Write all bytes to a file."""
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def replace_file(path, payload):
    """Atomically and durably replace a file with a file of one record."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(fd, pack_record(payload))
        os.fsync(fd)
    finally:
        os.close(fd)
    os.rename(temporary, path)
    sync_folder(path.parent)


def delete_temporary_files(folder):
    """Delete what calls of ``replace_file`` left behind that did not end."""
    for path in folder.glob(f"*{TEMPORARY_SUFFIX}"):
        path.unlink()


def read_file(path):
    """Return the payload of a file written by ``replace_file``.

    Raises StorageError if the file is damaged.
    """
    data = path.read_bytes()
    record = read_record(data, 0)
    if record is None or record.end != len(data):
        raise StorageError(f"{path} is damaged")
    return record.payload
