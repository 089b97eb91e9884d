"""Call messages on other processes over one multiplexed connection per peer.

A ``Channel`` connects on first use and again after a failure. A connection
that has not delivered a byte for ``SILENCE_S`` in spite of pings is closed,
because an open TCP connection can go silent for good while new ones work.
"""

import contextlib
import functools
import itertools

import msgspec
import trio

from wisteriaworks import codec
from wisteriaworks.background import BackgroundTasks
from wisteriaworks.errors import RpcError
from wisteriaworks.framing import (
    READ_BYTES,
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    pack_frame,
)

CONNECT_TIMEOUT_S = 1.0
PING_INTERVAL_S = 0.5
SILENCE_S = 2.0
SERVER_SILENCE_S = 10.0
_BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


def split_address(address):
    """Return host and port of ``HOST:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class _Writer:
    """Queue frames and send all queued ones in one system call."""

    def __init__(self, stream):
        self._stream = stream
        self._queue = []
        self._wake = trio.Event()
        self.put_at = trio.current_time()

    def put(self, frame):
        self.put_at = trio.current_time()
        self._queue.append(pack_frame(frame))
        self._wake.set()

    async def run(self):
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            data = b"".join(self._queue)
            self._queue.clear()
            await self._stream.send_all(data)


class _Connection:
    """Run one connection of a channel."""

    def __init__(self, stream):
        self._stream = stream
        self._writer = _Writer(stream)
        self._waiting = {}
        self._numbers = itertools.count(1)
        self._heard = trio.current_time()
        self.usable = True

    def start(self, message):
        number = next(self._numbers)
        send, receive = trio.open_memory_channel(float("inf"))
        self._waiting[number] = send
        payload = codec.encode(message)
        self._writer.put(Frame(number, FrameKind.REQUEST, payload))
        return number, receive

    def finish(self, number):
        if self._waiting.pop(number, None) is not None and self.usable:
            self._writer.put(Frame(number, FrameKind.CANCEL))

    async def run(self):
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._writer.run)
                nursery.start_soon(self._watch, nursery.cancel_scope)
                await self._read()
                nursery.cancel_scope.cancel()
        except* (*_BROKEN, FrameError):
            pass
        finally:
            self.usable = False
            for send in self._waiting.values():
                send.close()
            self._waiting.clear()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _read(self):
        reader = FrameReader()
        while data := await self._stream.receive_some(READ_BYTES):
            self._heard = trio.current_time()
            for frame in reader.feed(data):
                self._handle(frame)

    def _handle(self, frame):
        send = self._waiting.get(frame.number)
        match frame.kind:
            case FrameKind.GOAWAY:
                self.usable = False
            case FrameKind.REPLY | FrameKind.ERROR if send is not None:
                send.send_nowait(frame)
            case FrameKind.END if send is not None:
                del self._waiting[frame.number]
                send.send_nowait(frame)

    async def _watch(self, scope):
        while trio.current_time() - self._heard < SILENCE_S:
            if not self._is_busy():
                self._writer.put(Frame(0, FrameKind.PING))
            await trio.sleep(PING_INTERVAL_S)
        scope.cancel()

    def _is_busy(self):
        """Say whether calls show both ends that the connection works.

        The peer closes a connection on which it hears nothing, so what is
        heard alone does not replace a ping.
        """
        now = trio.current_time()
        is_heard = now - self._heard < PING_INTERVAL_S
        return is_heard and now - self._writer.put_at < SILENCE_S


class _Replies:
    """Iterate over the replies to one message until the peer ends them."""

    def __init__(self, address, receive, deadline):
        self._address = address
        self._receive = receive
        self._deadline = deadline

    def __aiter__(self):
        return self

    async def __anext__(self):
        frame = await self._next_frame()
        match frame.kind:
            case FrameKind.END:
                raise StopAsyncIteration
            case FrameKind.ERROR:
                text = frame.payload.decode(errors="replace")
                raise RpcError(f"{self._address} failed: {text}", sent=True)
        return codec.decode(frame.payload)

    async def _next_frame(self):
        try:
            with trio.move_on_at(self._deadline):
                return await self._receive.receive()
        except trio.EndOfChannel:
            raise RpcError(
                f"lost the connection to {self._address}", sent=True
            ) from None
        raise RpcError(f"{self._address} did not answer in time", sent=True)


class Channel(BackgroundTasks):
    """Call one peer. Use as an asynchronous context manager.

    A connection attempt that began while the peer had no power hangs for
    about a second after it is back; ``connect_timeout_s`` bounds that.
    """

    def __init__(self, address, connect_timeout_s=CONNECT_TIMEOUT_S):
        super().__init__()
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._connection = None
        self._connecting = trio.Lock()

    async def call(self, message, timeout_s):
        """Return the reply to a message. Raises RpcError."""
        async with self.stream(message, timeout_s) as replies:
            async for reply in replies:
                return reply
        raise RpcError(f"{self.address} closed the call without a reply", sent=True)

    @contextlib.asynccontextmanager
    async def stream(self, message, timeout_s):
        """Yield an iterator over the replies to a message. Raises RpcError.

        The iterator raises RpcError when the connection breaks or the time
        runs out before the peer ends the stream. Leaving the block cancels
        the call at the peer.
        """
        deadline = trio.current_time() + timeout_s
        connection = await self._connect(deadline)
        number, receive = connection.start(message)
        try:
            yield _Replies(self.address, receive, deadline)
        finally:
            connection.finish(number)

    async def _connect(self, deadline):
        async with self._connecting:
            if self._connection is None or not self._connection.usable:
                stream = await self._open(deadline)
                self._connection = _Connection(stream)
                self._nursery.start_soon(self._connection.run)
            return self._connection

    async def _open(self, deadline):
        limit = min(deadline, trio.current_time() + self._connect_timeout_s)
        host, port = split_address(self.address)
        with trio.move_on_at(limit):
            try:
                return await trio.open_tcp_stream(host, port)
            except OSError as exc:
                raise RpcError(
                    f"cannot connect to {self.address}: {exc}", sent=False
                ) from exc
        raise RpcError(f"cannot connect to {self.address} in time", sent=False)


class _Served:
    """Serve the calls of one accepted connection."""

    def __init__(self, stream, handlers, on_error):
        self._stream = stream
        self._handlers = handlers
        self._on_error = on_error
        self._writer = _Writer(stream)
        self._calls = {}

    def announce_stop(self):
        self._writer.put(Frame(0, FrameKind.GOAWAY))

    async def run(self):
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._writer.run)
                await self._read(nursery)
                nursery.cancel_scope.cancel()
        except* (*_BROKEN, FrameError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _read(self, nursery):
        reader = FrameReader()
        while True:
            data = b""
            with trio.move_on_after(SERVER_SILENCE_S):
                data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return
            for frame in reader.feed(data):
                self._handle(frame, nursery)

    def _handle(self, frame, nursery):
        match frame.kind:
            case FrameKind.REQUEST:
                scope = self._calls[frame.number] = trio.CancelScope()
                nursery.start_soon(self._call, frame, scope)
            case FrameKind.CANCEL if frame.number in self._calls:
                self._calls[frame.number].cancel()
            case FrameKind.PING:
                self._writer.put(Frame(0, FrameKind.PONG))

    async def _call(self, frame, scope):
        number = frame.number
        with scope:
            try:
                message = codec.decode(frame.payload)
                handler = self._handlers[type(message)]
                send = functools.partial(self._reply, number)
                reply = await handler(message, send)
                if reply is not None:
                    send(reply)
                self._writer.put(Frame(number, FrameKind.END))
            except (msgspec.MsgspecError, KeyError) as exc:
                self._fail(number, f"cannot read the message: {exc!r}")
            except Exception as exc:
                self._on_error(exc)
                self._fail(number, repr(exc))
        del self._calls[number]

    def _reply(self, number, message):
        self._writer.put(Frame(number, FrameKind.REPLY, codec.encode(message)))

    def _fail(self, number, text):
        self._writer.put(Frame(number, FrameKind.ERROR, text.encode()))


class RpcServer:
    """Serve messages of other processes.

    ``handlers`` maps a message type to ``async handler(message, send)``, which
    may call ``send(reply)`` any number of times and may return a last reply.
    ``on_error`` is called with each exception that a handler did not expect.
    """

    def __init__(self, handlers, on_error=lambda exc: None):
        self._handlers = handlers
        self._on_error = on_error
        self._open = set()

    async def serve(self, address, *, task_status=trio.TASK_STATUS_IGNORED):
        """Accept connections until cancelled."""
        host, port = split_address(address)
        await trio.serve_tcp(
            self._accept, port, host=host, task_status=task_status, backlog=1024
        )

    def announce_stop(self):
        """Tell connected peers to open no new calls on their connections."""
        for served in self._open:
            served.announce_stop()

    async def _accept(self, stream):
        served = _Served(stream, self._handlers, self._on_error)
        self._open.add(served)
        try:
            await served.run()
        finally:
            self._open.discard(served)
