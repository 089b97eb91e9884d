"""Compress values with repetitive content, such as configurations and lists.

For example, a configuration of a thousand routes, each with the names of 90
shards, must reach 63 gateways within 4 s, also over links of 10 Mbit/s between
control and the gateways. One with two routes has 8 KB, and each of 30 changes goes
to 200 gateways in other failure domains.
"""

import zlib

# Smaller values save too few bytes to justify the processor time.
MINIMUM_BYTES = 512
# The lowest level already reduces repeated lists of names to a twentieth.
COMPRESSION_LEVEL = 1
# More than any configuration or snapshot, and less than the memory of a small VM.
MAX_EXPANDED_BYTES = 128 * 1024 * 1024
# Marks compressed data. No msgpack array or map begins with this byte, so
# uncompressed data is not mistaken for compressed data.
_COMPRESSED_PREFIX = b"\x01"


def compress(data):
    """Return msgpack bytes, compressed if they are large."""
    if len(data) < MINIMUM_BYTES:
        return data
    return _COMPRESSED_PREFIX + zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data):
    """Return the msgpack bytes that were passed to ``compress``. Raises ValueError."""
    if not data.startswith(_COMPRESSED_PREFIX):
        return data
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(memoryview(data)[1:], MAX_EXPANDED_BYTES)
    except zlib.error as exc:
        raise ValueError(f"cannot decompress: {exc}") from exc
    if not decompressor.eof:
        raise ValueError("cannot decompress: the value is cut off or too large")
    return value
