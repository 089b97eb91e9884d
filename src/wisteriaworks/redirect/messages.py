"""Encode and decode the few messages between members that the process needs.

The complete codec takes 12 MB and 0.1 s of a start, since it builds the classes of all
messages. This subset of msgpack has strings, booleans, empty values, arrays and
integers that are not negative.
"""

import struct

READ_MEMBERS = "ReadMembers"
MEMBERS_REPLY = "MembersReply"
ANNOUNCE_MEMBER = "AnnounceMember"
APPOINT_FOUNDER = "AppointFounder"
FOUNDER_REPLY = "FounderReply"
NOT_LEADER = "NotLeader"

_MAX_DEPTH = 4
_CONSTANTS = {0xC0: None, 0xC2: False, 0xC3: True}
# Formats of the lengths of strings and arrays, by their first byte.
_STRING_LENGTHS = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I"}
_ARRAY_LENGTHS = {0xDC: ">H", 0xDD: ">I"}
# Formats of the integers that do not fit into their first byte.
_INTEGERS = {0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q"}
_MAX_SMALL_INTEGER = 0x7F


def encode(value):
    """Return a string or a nested list of strings as msgpack bytes."""
    if isinstance(value, str):
        data = value.encode()
        return struct.pack(">BI", 0xDB, len(data)) + data
    items = b"".join(map(encode, value))
    return struct.pack(">BI", 0xDD, len(value)) + items


def decode(data):
    """Return the value in msgpack bytes. Raises ValueError."""
    try:
        return _decode(data, 0, 0)[0]
    except (IndexError, struct.error, UnicodeDecodeError, MemoryError) as exc:
        raise ValueError(f"not a message: {exc}") from exc


def read_tag(data):
    """Return the name of the message in msgpack bytes. Raises ValueError."""
    try:
        count, start = _read_count(data, 0)
        tag, _ = _decode(data, start, 1) if count else (None, 0)
    except (IndexError, struct.error, UnicodeDecodeError) as exc:
        raise ValueError(f"not a message: {exc}") from exc
    return tag


def _read_count(data, at):
    """Return the number of items of an array, and the position of the first."""
    first = data[at]
    if 0x90 <= first <= 0x9F:
        return first & 0x0F, at + 1
    if first not in _ARRAY_LENGTHS:
        raise ValueError(f"unexpected type {first:#x}")
    pattern = _ARRAY_LENGTHS[first]
    (count,) = struct.unpack_from(pattern, data, at + 1)
    return count, at + 1 + struct.calcsize(pattern)


def _decode(data, at, depth):
    """Return the value at a position, and the position after it."""
    first = data[at]
    if first in _CONSTANTS:
        return _CONSTANTS[first], at + 1
    if first <= _MAX_SMALL_INTEGER:
        return first, at + 1
    if first in _INTEGERS:
        pattern = _INTEGERS[first]
        (number,) = struct.unpack_from(pattern, data, at + 1)
        return number, at + 1 + struct.calcsize(pattern)
    if 0xA0 <= first <= 0xBF or first in _STRING_LENGTHS:
        return _decode_string(data, at)
    count, at = _read_count(data, at)
    # Each item takes a byte at least.
    if depth >= _MAX_DEPTH or count > len(data) - at:
        raise ValueError("an array is too deep or too long")
    items = []
    for _ in range(count):
        item, at = _decode(data, at, depth + 1)
        items.append(item)
    return items, at


def _decode_string(data, at):
    first, at = data[at], at + 1
    length = first & 0x1F
    if first in _STRING_LENGTHS:
        pattern = _STRING_LENGTHS[first]
        (length,) = struct.unpack_from(pattern, data, at)
        at += struct.calcsize(pattern)
    if at + length > len(data):
        raise ValueError("a string is cut off")
    return str(data[at : at + length], "utf-8"), at + length
