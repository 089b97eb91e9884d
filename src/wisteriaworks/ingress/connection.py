"""Serve one connection of a client as an ASGI server, over HTTP/1.1.

The connection has one task, which runs the app; bytes are read when the app asks for
them. Upgrades to other protocols are not offered.
"""

import contextlib
import urllib.parse

import h11
import trio

from wisteriaworks.errors import ERROR_RESPONSES, ErrorKind, RequestError
from wisteriaworks.events import log_failure
from wisteriaworks.ingress.answer_writer import AnswerWriter
from wisteriaworks.ingress.client_table import Client, Phase
from wisteriaworks.ingress.limits import READ_BYTES
from wisteriaworks.ingress.request_reader import RequestReader

# The kernel drops an answer that the client has not read if the connection is closed
# while bytes of the client have not been read. These are read and dropped first.
LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024
MAX_REQUESTS = 1_000_000
RETRY_AFTER = (b"retry-after", b"1.000")
_CLOSE = (b"connection", b"close")
_BODILESS = (204, 304)
_UNAVAILABLE = 503


class Connection:
    """Serve the requests of one connection, one after the other.

    ``server`` and ``peer`` are pairs of host and port.
    """

    def __init__(self, stream, app, ingress, server, peer, is_public=True):
        self._stream = stream
        self._app = app
        self._ingress = ingress
        self._server, self._peer = server, peer
        self._requests = 0
        self._method = b""
        self._headers = []
        self.client = Client(self._end, trio.current_time(), is_public)
        self._writer = AnswerWriter(stream, ingress, self.client)
        self._h11 = self._reader = self._response = None
        self._is_answered = self._is_broken = False
        self._linger_scope = trio.CancelScope()

    async def run(self):
        """Serve until the connection ends; it is closed then."""
        ingress = self._ingress
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=ingress.http.max_header_bytes
        )
        self._reader = RequestReader(self._stream, self._h11, ingress, self.client)
        try:
            if ingress.table.admit(self.client, trio.current_time()):
                while await self._serve_request():
                    self._start_next()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as exc:
            # An error on one connection must not end the process.
            log_failure(exc)
        finally:
            ingress.table.remove(self.client)
            await trio.aclose_forcefully(self._stream)

    def _end(self, kind):
        self._reader.end(kind)
        self._writer.cancel()
        self._linger_scope.cancel()

    async def _serve_request(self):
        """Serve one request and return whether another one may follow."""
        self._response, self._is_answered = None, False
        try:
            head = await self._reader.read_head()
        except RequestError as exc:
            if self._reader.has_begun:
                await self._refuse(exc.kind)
                await self._linger()
            return False
        if head is None:
            return False
        self._requests += 1
        self._method = head.method
        self._headers = head.headers
        await self._run_app(self._make_scope(head))
        if self._is_answered and self._may_continue():
            return True
        await self._linger()
        return False

    def _start_next(self):
        self._h11.start_next_cycle()
        self._reader.start_next()

    async def _run_app(self, scope):
        try:
            await self._app(scope, self._receive, self._send)
        except Exception as exc:
            log_failure(exc)
        if not self._is_answered:
            await self._refuse(ErrorKind.INTERNAL_ERROR)

    def _may_continue(self):
        """Return whether the request was read to its end and the connection is kept."""
        if self._is_broken or self._reader.is_ended or self._reader.is_disconnected:
            return False
        if not self._is_request_read():
            return False
        states = self._h11.states
        return set(states.values()) == {h11.DONE} and not self._ingress.is_stopping

    def _is_request_read(self):
        """Return whether all bytes of the request have arrived."""
        if not self._reader.is_complete and self._h11.their_state is h11.SEND_BODY:
            with contextlib.suppress(RequestError):
                self._reader.parse_body()
        return self._reader.is_complete

    def _make_scope(self, head):
        path, _, query = head.target.partition(b"?")
        return {
            "type": "http",
            "asgi": {"spec_version": "2.1", "version": "3.0"},
            "http_version": head.http_version.decode(),
            "method": head.method.decode("ascii").upper(),
            "scheme": "http",
            "path": urllib.parse.unquote(path.decode("ascii")),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": head.headers,
            "client": self._peer,
            "server": self._server,
        }

    async def _receive(self):
        reader = self._reader
        if reader.is_complete or reader.is_disconnected or self._is_answered:
            try:
                await reader.wait_for_end()
            except trio.BrokenResourceError:
                reader.is_disconnected = True
            return {"type": "http.disconnect"}
        if self._h11.they_are_waiting_for_100_continue:
            await self._write_continue()
        try:
            data = await reader.read_body()
        except trio.BrokenResourceError:
            reader.is_disconnected = True
            data = None
        if data is None:
            return {"type": "http.disconnect"}
        return {
            "type": "http.request",
            "body": data,
            "more_body": not reader.is_complete,
        }

    async def _send(self, message):
        if message["type"] == "http.response.start":
            self._response = message
            return
        if message.get("more_body"):
            raise ValueError("answers are sent in one message")
        start = self._response
        # The parser of servers' answers keeps the blanks at the end of a value, which
        # h11 refuses.
        headers = [(bytes(n), bytes(v).strip(b" \t")) for n, v in start["headers"]]
        await self._answer(start["status"], headers, message.get("body", b""))

    async def _refuse(self, kind):
        status = ERROR_RESPONSES[kind].http_status
        body = kind.value.encode()
        length = (b"content-length", b"%d" % len(body))
        await self._answer(status, [length, _CLOSE], body)

    async def _answer(self, status, headers, body):
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._is_broken = True
            return
        names = {name.lower() for name, _ in headers}
        must_close = (
            self._ingress.is_stopping
            or self._requests >= MAX_REQUESTS
            or not self._is_request_read()
        )
        if must_close and b"connection" not in names:
            headers.append(_CLOSE)
        if status == _UNAVAILABLE and b"retry-after" not in names:
            headers.append(RETRY_AFTER)
        events = [h11.Response(status_code=status, headers=headers)]
        self._is_answered = True
        # The app needs them no more, and a slow client would hold them for long.
        self._headers.clear()
        if body and status not in _BODILESS and self._method != b"HEAD":
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        await self._write(*events)

    async def _write_continue(self):
        event = h11.InformationalResponse(status_code=100, headers=[])
        try:
            is_taken = await self._writer.write_interim(self._h11.send(event))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            is_taken = False
        self._is_broken |= not is_taken

    async def _write(self, *events):
        try:
            send = self._h11.send_with_data_passthrough
            parts = [part for event in events for part in send(event)]
            self._is_broken |= not await self._writer.write(parts)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._is_broken = True
        except h11.LocalProtocolError as exc:
            self._is_broken = True
            log_failure(exc)

    async def _linger(self):
        """Let the client read its answer before the connection is closed."""
        table = self._ingress.table
        table.release(self.client, Phase.CLOSING, trio.current_time())
        is_read = self._reader.is_complete and not self._h11.trailing_data[0]
        if self._is_broken or self._reader.is_disconnected or is_read:
            return
        left = LINGER_BYTES
        with trio.move_on_after(LINGER_S) as self._linger_scope:
            await self._stream.send_eof()
            while left > 0 and (data := await self._stream.receive_some(READ_BYTES)):
                left -= len(data)
