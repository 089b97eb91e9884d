"""Send batches of sub-queries to the holders of servers."""

import contextlib
import math
from dataclasses import dataclass, field

import trio

from wisteriaworks import rpc
from wisteriaworks.background import BackgroundTasks
from wisteriaworks.errors import RpcError
from wisteriaworks.events import log_failure
from wisteriaworks.generated.subqueries import CancelAttempts

# Holders change rarely; a connection that was unused this long is closed.
IDLE_TIMEOUT_S = 60.0
CANCEL_TIMEOUT_S = 1.0


@dataclass(slots=True, eq=False)
class _PeerChannel:
    """Store the channel to one address and the number of its users."""

    address: str
    channel: rpc.Channel | None = None
    ready: trio.Event = field(default_factory=trio.Event)
    users: int = 0
    last_used_at: float = 0.0


class Peers(BackgroundTasks):
    """Call holders by address. Use as an asynchronous context manager.

    ``local`` is the holder of this process, which serves ``own_address``. It has
    the methods ``async run_batch(batch, send)`` and ``cancel(batch_id, attempts)``.
    """

    def __init__(self, own_address, local):
        super().__init__()
        self._own_address = own_address
        self._local = local
        self._channels = {}

    def stream(self, address, batch, timeout_s):
        """Return a context manager that yields an iterator over the replies.

        The iterator ends when the holder has answered all attempts. It raises
        RpcError when the connection breaks or the timeout expires. Leaving the
        block cancels the batch at the holder.
        """
        if address == self._own_address:
            return self._stream_local(batch, timeout_s)
        return self._stream_remote(address, batch, timeout_s)

    def cancel(self, address, batch_id, attempts):
        """Cancel some attempts of a batch, without waiting for the holder."""
        if address == self._own_address:
            self._local.cancel(batch_id, attempts)
        else:
            self._nursery.start_soon(self._send_cancel, address, batch_id, attempts)

    @contextlib.asynccontextmanager
    async def _stream_local(self, batch, timeout_s):
        call = _LocalCall(trio.current_time() + timeout_s)
        self._nursery.start_soon(call.run, self._local, batch)
        try:
            yield call
        finally:
            call.scope.cancel()

    @contextlib.asynccontextmanager
    async def _stream_remote(self, address, batch, timeout_s):
        async with (
            self._use_channel(address) as channel,
            channel.stream(batch, timeout_s) as replies,
        ):
            yield replies

    async def _send_cancel(self, address, batch_id, attempts):
        message = CancelAttempts(batch_id=batch_id, attempts=attempts)
        # A lost cancellation only causes unnecessary load: late replies are ignored.
        with contextlib.suppress(RpcError):
            async with self._use_channel(address) as channel:
                await channel.call(message, CANCEL_TIMEOUT_S)

    @contextlib.asynccontextmanager
    async def _use_channel(self, address):
        peer = self._channels.get(address)
        if peer is None:
            peer = self._channels[address] = _PeerChannel(address)
            self._nursery.start_soon(self._run_channel, peer)
        peer.users += 1
        try:
            if peer.channel is None:
                await peer.ready.wait()
            yield peer.channel
        finally:
            peer.users -= 1
            peer.last_used_at = trio.current_time()

    async def _run_channel(self, peer):
        async with rpc.Channel(peer.address) as channel:
            peer.channel = channel
            peer.ready.set()
            while (
                peer.users or trio.current_time() < peer.last_used_at + IDLE_TIMEOUT_S
            ):
                await trio.sleep_until(
                    max(peer.last_used_at, trio.current_time()) + IDLE_TIMEOUT_S
                )
            # No checkpoint since the loop condition, so no task has started to use the
            # channel.
            del self._channels[peer.address]


class _LocalCall:
    """Run one batch in this process and iterate over its replies."""

    def __init__(self, deadline):
        self._deadline = deadline
        self._send, self._receive = trio.open_memory_channel(math.inf)
        self._failure = None
        self.scope = trio.CancelScope()

    async def run(self, local, batch):
        with self._send, self.scope:
            try:
                await local.run_batch(batch, self._send.send_nowait)
            except Exception as exc:
                self._failure = exc
                log_failure(exc)

    def __aiter__(self):
        return self

    async def __anext__(self):
        with trio.move_on_at(self._deadline):
            try:
                return await self._receive.receive()
            except trio.EndOfChannel:
                if self._failure is None:
                    raise StopAsyncIteration from None
            raise RpcError(f"the local holder failed: {self._failure!r}", sent=True)
        raise RpcError("the local holder did not answer in time", sent=True)
