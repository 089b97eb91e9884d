"""Frames of the protocol between processes.

A frame is a 9-byte header (payload length, stream number, kind) and a payload.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum

_HEADER = struct.Struct(">IIB")
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024
READ_BYTES = 65536


class FrameKind(IntEnum):
    """Identify the kind of a frame."""

    REQUEST = 0
    REPLY = 1
    END = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    GOAWAY = 6
    ERROR = 7
    CONFIRM = 8


class FrameError(Exception):
    """Report bytes that are not a valid frame."""


@dataclass(frozen=True, slots=True)
class Frame:
    """Represent one frame."""

    number: int
    kind: FrameKind
    payload: bytes = b""


def pack_frame(frame):
    """Return a frame as bytes."""
    header = _HEADER.pack(len(frame.payload), frame.number, frame.kind)
    return header + frame.payload


class FrameReader:
    """Parse frames from received bytes."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Return the frames completed by ``data``. Raises FrameError."""
        self._buffer += data
        frames = []
        offset = 0
        while len(self._buffer) - offset >= _HEADER.size:
            length, number, kind = _HEADER.unpack_from(self._buffer, offset)
            if length > MAX_PAYLOAD_BYTES:
                raise FrameError(
                    f"a frame payload of {length} bytes exceeds the limit of"
                    f" {MAX_PAYLOAD_BYTES} bytes"
                )
            start = offset + _HEADER.size
            if start + length > len(self._buffer):
                break
            payload = bytes(self._buffer[start : start + length])
            frames.append(Frame(number, _parse_kind(kind), payload))
            offset = start + length
        del self._buffer[:offset]
        return frames


def _parse_kind(kind):
    try:
        return FrameKind(kind)
    except ValueError as exc:
        raise FrameError(f"unknown frame kind {kind}") from exc
