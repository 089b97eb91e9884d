"""Limits on one request, and the memory that its parts take. No I/O."""

from dataclasses import dataclass

# A header line becomes two byte strings in a tuple, which the lists of the parser and
# the app refer to: about 250 bytes beside its text.
LINE_BYTES = 256
# The objects of a request beside its lines.
HEAD_BYTES = 2048
# A body is collected in a growing buffer, which is copied once when it is complete,
# and once more when the request is sent on. The messages of a body need no share of
# their own: those of one read, of whatever chunks, are joined before they are passed
# on, and the framing of a read is dropped with it.
BODY_FACTOR = 2
# Size of a read. An app gets these bytes before more are read, so a connection holds
# at most one read, and one head or line that is not complete.
READ_BYTES = 16 * 1024
# Parts of a read that are parsed at once. A read of one-byte chunks has 2,700 and takes
# 20 ms, so that 300 connections would delay an ordinary request by seconds.
MAX_CHUNKS_AT_ONCE = 32
MAX_LINES_AT_ONCE = 256


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Specify what one request may consist of, and how long its parts may take.

    The defaults are for programs without routes. The idle timeout is that of
    connections without a request.
    """

    max_header_bytes: int = 16 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 5.0


def estimate_head(size, lines):
    """Return the estimated memory of a head of ``size`` bytes."""
    return HEAD_BYTES + size + LINE_BYTES * lines


def estimate_body(size):
    """Return the estimated memory of ``size`` bytes of a body."""
    return BODY_FACTOR * size
