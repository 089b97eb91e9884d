"""Parse the UUIDv7 identifiers of requests and operations."""

import uuid
from dataclasses import dataclass

_TIME_SHIFT_BITS = 80
_VERSION = 7


@dataclass(frozen=True, slots=True)
class ParsedUuid7:
    """Represent an identifier by its binary form and its timestamp."""

    key: bytes
    time_ms: int

    @property
    def text(self):
        """Return the canonical text form."""
        return str(uuid.UUID(bytes=self.key))


def parse_uuid7(text):
    """Return a UUIDv7 as ``ParsedUuid7``, or None if the text is not one."""
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != _VERSION:
        return None
    return ParsedUuid7(value.bytes, read_time_ms(value.bytes))


def read_time_ms(key):
    """Return the timestamp of a UUIDv7, in milliseconds since the Unix epoch."""
    return int.from_bytes(key) >> _TIME_SHIFT_BITS
