"""Serve HTTP/1.1 connections of the emulator with h11 over trio streams.

Each connection runs in a single task, so that a sub-query needs little CPU time.
"""

from dataclasses import dataclass

import h11
import msgspec
import trio

READ_BYTES = 65536


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Represent one request."""

    method: bytes
    target: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Represent one reply with a JSON body."""

    status: int
    body: bytes


def make_reply(status, value):
    """Return a reply with a value encoded as JSON."""
    return HttpReply(status, msgspec.json.encode(value))


class HttpConnection:
    """Read requests from a stream and write replies to it."""

    def __init__(self, stream):
        self._stream = stream
        self._http = h11.Connection(our_role=h11.SERVER)
        self.silent = False
        self.busy = False

    async def serve(self, handler):
        """Answer requests with ``await handler(request)`` until the connection ends.

        A reply of None closes the connection.
        """
        while (req := await self._read_request()) is not None:
            self.busy = True
            try:
                reply = await handler(req)
            except msgspec.MsgspecError as exc:
                reply = make_reply(400, {"reason": str(exc)})
            if reply is None:
                return
            await self._write(reply)
            self.busy = False
            if self._http.our_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def read_until_closed(self):
        """Receive bytes until the peer closes the connection."""
        while data := await self._stream.receive_some(READ_BYTES):
            self._http.receive_data(data)
        self._http.receive_data(b"")

    async def _read_request(self):
        head, parts = None, []
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(READ_BYTES))
                continue
            match event:
                case h11.Request():
                    head = event
                case h11.Data():
                    parts.append(bytes(event.data))
                case h11.EndOfMessage():
                    return HttpRequest(head.method, head.target, b"".join(parts))
                case _:
                    return None

    async def _write(self, reply):
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(reply.body))),
        ]
        head = h11.Response(status_code=reply.status, headers=headers)
        data = (
            self._http.send(head)
            + self._http.send(h11.Data(data=reply.body))
            + self._http.send(h11.EndOfMessage())
        )
        if self.silent:
            await trio.sleep_forever()
        await self._stream.send_all(data)


async def serve_stream(stream, handler):
    """Serve one connection until it ends and ignore its network errors."""
    try:
        async with stream:
            await HttpConnection(stream).serve(handler)
    except (OSError, trio.BrokenResourceError, h11.ProtocolError):
        pass
