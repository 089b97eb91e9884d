"""Read the requests of one connection, within the limits.

An app that asks for the next bytes causes the next read. Nothing else is read ahead.
"""

import math
from dataclasses import dataclass

import h11
import trio

from wisteriaworks.errors import ErrorKind, RequestError
from wisteriaworks.ingress.client_table import Phase
from wisteriaworks.ingress.limits import (
    MAX_CHUNKS_AT_ONCE,
    MAX_LINES_AT_ONCE,
    READ_BYTES,
    estimate_body,
    estimate_head,
)

# When a limit on time passes during a read, bytes that have arrived already are still
# read. They may have waited while the process was suspended.
LATE_READ_S = 0.02
_HEADER_FIELDS_TOO_LARGE = 431


@dataclass(frozen=True, slots=True)
class Head:
    """Represent the head of a request."""

    method: bytes
    target: bytes
    http_version: bytes
    headers: list


class RequestReader:
    """Read one request after another from a stream.

    ``h11_connection`` parses the bytes, ``client`` is the entry of the connection in
    the table of clients.
    """

    def __init__(self, stream, h11_connection, ingress, client):
        self._stream = stream
        self._h11 = h11_connection
        self._ingress = ingress
        self._client = client
        self._scope = trio.CancelScope()
        self._held = self._body_bytes = 0
        self._body_end_at = math.inf
        # Why this connection is ended, once it is.
        self.ended = None
        self.is_ended = False
        # Whether chunks that have been read are still to be parsed.
        self._has_more = False
        # Whether a byte of the request has arrived.
        self.has_begun = False
        self.is_complete = False
        self.is_disconnected = False

    def end(self, kind):
        """Refuse the unfinished request; without a kind, close the connection."""
        if kind is None:
            # A request that crosses the close is still read and answered.
            self._scope.deadline = trio.current_time() + LATE_READ_S
            return
        self.is_ended, self.ended = True, kind
        self._scope.cancel()

    async def read_head(self):
        """Return the next head, or None at the end. Raises RequestError."""
        http, client = self._ingress.http, self._client
        now = trio.current_time()
        early = self._h11.trailing_data[0]
        received, lines = len(early), early.count(b"\n")
        self.has_begun = received > 0
        idle_s = LATE_READ_S if self._ingress.is_stopping else http.idle_timeout_s
        end_at = now + (http.header_timeout_s if received else idle_s)
        while True:
            event = await self._parse_head(lines)
            if isinstance(event, h11.Request):
                # The bytes after the head belong to the body or the next request.
                received -= len(self._h11.trailing_data[0])
                return self._accept_head(event, received)
            if event is not h11.NEED_DATA:
                return None
            data = await self._read(end_at)
            if not data:
                return self._finish_without_head(data, received)
            now = trio.current_time()
            if not received:
                self.has_begun = True
                client.phase = Phase.READING
                end_at = now + http.header_timeout_s
            received += len(data)
            lines += data.count(b"\n")
            self._h11.receive_data(data)
            # A head that arrives in one read takes its memory at once, so there must
            # be room for it before it is parsed.
            if self._hold(estimate_head(received, lines), now):
                await trio.lowlevel.checkpoint()
                self.raise_if_ended()

    async def read_body(self):
        """Return the next bytes of the body, or None if the client has left.

        ``is_complete`` is true once all are returned. Raises RequestError.
        """
        while True:
            data = self.parse_body()
            if data or self.is_complete:
                break
            read = await self._read(self._body_end_at)
            if read is None:
                raise self._refuse(ErrorKind.REQUEST_TIMEOUT, "the body took too long")
            if not read:
                self.is_disconnected = True
                return None
            self._h11.receive_data(read)
        if self._has_more:
            async with self._ingress.costly_part:
                data += self.parse_body()
                await trio.lowlevel.checkpoint()
        return data

    async def wait_for_end(self):
        """Wait until the client closes its side; call after the body is complete."""
        # A client may send its next request already. Its bytes are kept, and no
        # more are read.
        while not self.is_disconnected and self._has_room_ahead():
            data = await self._stream.receive_some(READ_BYTES)
            if data:
                self._h11.receive_data(data)
            else:
                self.is_disconnected = True
        if not self.is_disconnected:
            await trio.sleep_forever()

    def _has_room_ahead(self):
        return len(self._h11.trailing_data[0]) < READ_BYTES

    def start_next(self):
        """Prepare for the next request."""
        self._held = self._body_bytes = 0
        self.is_complete = False
        now = trio.current_time()
        self._ingress.table.release(self._client, Phase.IDLE, now)
        self._client.served += 1
        if self._h11.trailing_data[0]:
            self._client.phase = Phase.READING

    async def _parse_head(self, lines):
        if lines <= MAX_LINES_AT_ONCE:
            return self._parse()
        async with self._ingress.costly_part:
            await trio.lowlevel.checkpoint()
            self.raise_if_ended()
            return self._parse()

    def _accept_head(self, request, size):
        http, cfg = self._ingress.http, self._ingress.settings
        headers = list(request.headers)
        if size > http.max_header_bytes or len(headers) > cfg.max_header_lines:
            raise self._refuse(ErrorKind.HEADER_TOO_LARGE, "the head is too large")
        now = trio.current_time()
        self._body_end_at = now + cfg.body_timeout_s
        self._held = estimate_head(size, len(headers))
        self._client.phase = Phase.READING
        self._hold(self._held, now)
        return Head(request.method, request.target, request.http_version, headers)

    def _finish_without_head(self, data, received):
        if data is None and received:
            raise self._refuse(ErrorKind.REQUEST_TIMEOUT, "the head took too long")
        self.is_disconnected = data == b""
        return None

    def parse_body(self):
        """Return the bytes of some chunks that have been read, joined."""
        chunks = []
        self._has_more = True
        while not self.is_complete and len(chunks) < MAX_CHUNKS_AT_ONCE:
            event = self._parse()
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._check_trailers(event.headers)
                self.is_complete = True
            else:
                self._has_more = False
                break
        data = b"".join(chunks)
        self._has_more = self._has_more and not self.is_complete
        self._body_bytes += len(data)
        held = self._held + estimate_body(self._body_bytes)
        self._hold(held, trio.current_time())
        if self.is_complete and not self._ingress.table.run(self._client):
            raise RequestError(ErrorKind.BUFFERS_FULL, "large requests are running")
        return data

    def _check_trailers(self, headers):
        cfg = self._ingress.settings
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size > cfg.max_trailer_bytes or len(headers) > cfg.max_header_lines:
            raise self._refuse(ErrorKind.HEADER_TOO_LARGE, "the trailers are too large")

    def _hold(self, size, now):
        """Record the memory of the request; return whether others were ended."""
        has_ended_others = self._ingress.table.hold(self._client, size, now)
        self.raise_if_ended()
        return has_ended_others

    def _parse(self):
        """Return the next event of the parser. Raises RequestError."""
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            if exc.error_status_hint == _HEADER_FIELDS_TOO_LARGE:
                raise self._refuse(ErrorKind.HEADER_TOO_LARGE, str(exc)) from exc
            raise RequestError(ErrorKind.MALFORMED_REQUEST, str(exc)) from exc

    async def _read(self, end_at):
        """Return bytes, none at the end of the stream, or None after ``end_at``.

        Raises RequestError if the connection is ended meanwhile.
        """
        if trio.current_time() >= end_at:
            return None
        data = await self._read_until(end_at)
        if data is None:
            data = await self._read_until(trio.current_time() + LATE_READ_S)
        return data

    async def _read_until(self, at):
        data = None
        self.raise_if_ended()
        with trio.CancelScope(deadline=at) as self._scope:
            data = await self._stream.receive_some(READ_BYTES)
        self.raise_if_ended()
        return data

    def raise_if_ended(self):
        """Raise RequestError if the connection has been ended."""
        if self.is_ended:
            # The table has counted the refusal.
            kind = self.ended or ErrorKind.ENTRY_STOPPING
            raise RequestError(kind, "the process has no room for the request")

    def _refuse(self, kind, text):
        self._ingress.record_refusal(kind.value)
        return RequestError(kind, text)
