"""Read the time in a caller's request id."""

import uuid

_UUID_VERSION = 7
_RANDOM_BITS = 80


def parse_request_id(text):
    """Return a UUIDv7 in canonical form. Raises ValueError."""
    parsed = uuid.UUID(text)
    if parsed.version != _UUID_VERSION or str(parsed) != text.lower():
        raise ValueError("not a UUIDv7 in canonical form")
    return str(parsed)


def read_time_ms(request_id):
    """Return the time in a UUIDv7, in milliseconds since the Unix epoch."""
    return uuid.UUID(request_id).int >> _RANDOM_BITS
