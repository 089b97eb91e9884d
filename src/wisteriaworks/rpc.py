"""Remote calls between processes over one multiplexed connection per peer.

A ``Channel`` connects on first use and again after a failure. A connection
that has received no data for ``SILENCE_S`` despite pings is closed, because an
open TCP connection can stay silent permanently while new connections work.
"""

import contextlib
import functools
import itertools

import msgspec
import trio

from wisteriaworks import codec
from wisteriaworks.background import BackgroundTasks
from wisteriaworks.balancing.traffic import ignore_bytes
from wisteriaworks.errors import RpcError
from wisteriaworks.events import log_failure
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
_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


def split_address(address):
    """Return host and port of ``HOST:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class _Writer:
    """Queue frames and send all queued frames in one system call."""

    def __init__(self, stream, count_bytes=ignore_bytes):
        self._stream = stream
        self._count_bytes = count_bytes
        self._queue = []
        self._wake = trio.Event()
        self.last_put_at = trio.current_time()

    def put(self, frame):
        self.last_put_at = trio.current_time()
        self._queue.append(pack_frame(frame))
        self._wake.set()

    async def run(self):
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            data = b"".join(self._queue)
            self._queue.clear()
            self._count_bytes(len(data), 0)
            await self._stream.send_all(data)


class _Connection:
    """Run one connection of a channel."""

    def __init__(self, stream, count_bytes):
        self._stream = stream
        self._count_bytes = count_bytes
        self._writer = _Writer(stream, count_bytes)
        self._pending_calls = {}
        self._numbers = itertools.count(1)
        self.last_received_at = trio.current_time()
        self.is_usable = True

    def start_call(self, message):
        number = next(self._numbers)
        send, receive = trio.open_memory_channel(float("inf"))
        self._pending_calls[number] = send
        payload = codec.encode(message)
        self._writer.put(Frame(number, FrameKind.REQUEST, payload))
        return number, receive

    def confirm_call(self, number):
        self._writer.put(Frame(number, FrameKind.CONFIRM))

    def finish_call(self, number):
        if self._pending_calls.pop(number, None) is not None and self.is_usable:
            self._writer.put(Frame(number, FrameKind.CANCEL))

    async def run(self):
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._writer.run)
                nursery.start_soon(self._monitor_silence, nursery.cancel_scope)
                await self._read()
                nursery.cancel_scope.cancel()
        except* (*_CONNECTION_ERRORS, FrameError):
            pass
        except* Exception as group:
            # An error on one connection must not end the process.
            log_failure(group)
        finally:
            self.is_usable = False
            for send in self._pending_calls.values():
                send.close()
            self._pending_calls.clear()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _read(self):
        reader = FrameReader()
        while data := await self._stream.receive_some(READ_BYTES):
            self.last_received_at = trio.current_time()
            self._count_bytes(0, len(data))
            for frame in reader.feed(data):
                self._handle(frame)

    def _handle(self, frame):
        send = self._pending_calls.get(frame.number)
        match frame.kind:
            case FrameKind.GOAWAY:
                self.is_usable = False
            case FrameKind.REPLY | FrameKind.ERROR if send is not None:
                send.send_nowait(frame)
            case FrameKind.END if send is not None:
                del self._pending_calls[frame.number]
                send.send_nowait(frame)

    async def _monitor_silence(self, scope):
        while trio.current_time() - self.last_received_at < SILENCE_S:
            if not self._has_recent_traffic():
                self._writer.put(Frame(0, FrameKind.PING))
            await trio.sleep(PING_INTERVAL_S)
        scope.cancel()

    def _has_recent_traffic(self):
        """Return whether traffic in both directions makes a ping unnecessary.

        The peer closes a connection on which it receives nothing, so a ping is
        still needed if this side receives data but sends none.
        """
        now = trio.current_time()
        is_receiving = now - self.last_received_at < PING_INTERVAL_S
        return is_receiving and now - self._writer.last_put_at < SILENCE_S


class _Replies:
    """Iterate over the replies to one message until the peer ends the stream."""

    def __init__(self, address, receive, deadline, confirm):
        self._address = address
        self._receive = receive
        self._deadline = deadline
        # Tells the peer to go on with a call that it holds until then.
        self.confirm = confirm

    def __aiter__(self):
        return self

    async def __anext__(self):
        return self._read(await self._next_frame())

    async def receive_within(self, timeout_s):
        """Return the next reply, or None if it has not arrived in time.

        The time counts only while this process runs.
        """
        with trio.move_on_after(timeout_s):
            return await anext(self, None)
        # If the process did not run, the timeout and the arrival are seen at once. The
        # connection reads before this task goes on.
        await trio.lowlevel.checkpoint()
        try:
            return self._read(self._receive.receive_nowait())
        except (trio.WouldBlock, trio.EndOfChannel, StopAsyncIteration):
            return None

    def _read(self, frame):
        match frame.kind:
            case FrameKind.END:
                raise StopAsyncIteration
            case FrameKind.ERROR:
                text = frame.payload.decode(errors="replace")
                raise RpcError(f"the call to {self._address} failed: {text}", sent=True)
        try:
            return codec.decode(frame.payload)
        except msgspec.MsgspecError as exc:
            raise RpcError(
                f"{self._address} sent an unreadable reply: {exc}", sent=True
            ) from exc

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

    A connection attempt that began while the peer had no power hangs for about
    a second after the peer is back; ``connect_timeout_s`` limits that time.
    ``count_bytes`` is called with the numbers of bytes sent and received.
    """

    def __init__(
        self, address, connect_timeout_s=CONNECT_TIMEOUT_S, count_bytes=ignore_bytes
    ):
        super().__init__()
        self._count_bytes = count_bytes
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._connection = None
        self._connect_lock = trio.Lock()

    @property
    def silent_s(self):
        """Return for how many seconds the peer has sent nothing; 0 if not connected."""
        if self._connection is None or not self._connection.is_usable:
            return 0.0
        return trio.current_time() - self._connection.last_received_at

    async def connect(self):
        """Connect unless this channel is connected. Raises RpcError."""
        await self._connect(trio.current_time() + self._connect_timeout_s)

    async def call(self, message, timeout_s):
        """Return the reply to a message. Raises RpcError."""
        async with self.stream(message, timeout_s) as replies:
            async for reply in replies:
                return reply
        raise RpcError(f"{self.address} closed the call without a reply", sent=True)

    @contextlib.asynccontextmanager
    async def stream(self, message, timeout_s):
        """Yield an iterator over the replies to a message. Raises RpcError.

        The iterator raises RpcError if the connection is lost or the timeout
        expires before the peer ends the stream. Leaving the block cancels the
        call at the peer.
        """
        deadline = trio.current_time() + timeout_s
        connection = await self._connect(deadline)
        number, receive = connection.start_call(message)
        try:
            confirm = functools.partial(connection.confirm_call, number)
            yield _Replies(self.address, receive, deadline, confirm)
        finally:
            connection.finish_call(number)

    async def _connect(self, deadline):
        async with self._connect_lock:
            if self._connection is None or not self._connection.is_usable:
                stream = await self._open(deadline)
                self._connection = _Connection(stream, self._count_bytes)
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


class ServedCall:
    """Represent one call of a peer; call it to send a reply."""

    def __init__(self, writer, number):
        self._writer = writer
        self._number = number
        self._confirmed = trio.Event()
        self.scope = trio.CancelScope()

    def __call__(self, message):
        payload = codec.encode(message)
        self._writer.put(Frame(self._number, FrameKind.REPLY, payload))

    def confirm(self):
        """Let a handler go on that waits for the peer's confirmation."""
        self._confirmed.set()

    async def wait_until_confirmed(self):
        """Wait for the peer's confirmation of a call that it has not cancelled."""
        await self._confirmed.wait()
        # Both may have arrived in the same read.
        await trio.lowlevel.checkpoint_if_cancelled()


class _ServerConnection:
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
        except* (*_CONNECTION_ERRORS, FrameError):
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
                call = ServedCall(self._writer, frame.number)
                self._calls[frame.number] = call
                nursery.start_soon(self._call, frame, call)
            case FrameKind.CONFIRM if frame.number in self._calls:
                self._calls[frame.number].confirm()
            case FrameKind.CANCEL if frame.number in self._calls:
                self._calls[frame.number].scope.cancel()
            case FrameKind.PING:
                self._writer.put(Frame(0, FrameKind.PONG))

    async def _call(self, frame, call):
        number = frame.number
        with call.scope:
            # The cancellation may have arrived in the same read, for example if the
            # process was suspended. Then the work has not begun.
            await trio.lowlevel.checkpoint_if_cancelled()
            try:
                message = codec.decode(frame.payload)
                handler = self._handlers[type(message)]
                reply = await handler(message, call)
                if reply is not None:
                    call(reply)
                self._writer.put(Frame(number, FrameKind.END))
            except (msgspec.MsgspecError, KeyError) as exc:
                self._send_error(
                    number, f"cannot decode or handle the message: {exc!r}"
                )
            except Exception as exc:
                self._on_error(exc)
                self._send_error(number, repr(exc))
        # A peer in error may use a number twice.
        self._calls.pop(number, None)

    def _send_error(self, number, text):
        self._writer.put(Frame(number, FrameKind.ERROR, text.encode()))


class RpcServer:
    """Serve messages from other processes.

    ``handlers`` maps a message type to ``async handler(message, send)``, which
    may call ``send(reply)`` any number of times and may return a final reply. ``send``
    is the ServedCall.
    ``on_error`` is called with each unexpected exception of a handler.
    """

    def __init__(self, handlers, on_error=lambda exc: None):
        self._handlers = handlers
        self._on_error = on_error
        self._connections = set()

    async def serve(self, address, *, task_status=trio.TASK_STATUS_IGNORED):
        """Accept connections until cancelled."""
        host, port = split_address(address)
        await trio.serve_tcp(
            self._accept, port, host=host, task_status=task_status, backlog=1024
        )

    def announce_stop(self):
        """Tell connected peers to start no new calls on their connections."""
        for connection in self._connections:
            connection.announce_stop()

    async def _accept(self, stream):
        connection = _ServerConnection(stream, self._handlers, self._on_error)
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception as exc:
            # An error on one connection must not end the process.
            self._on_error(exc)
        finally:
            self._connections.discard(connection)
