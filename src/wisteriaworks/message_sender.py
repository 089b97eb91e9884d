"""Send one-way messages to the other members of the replicated log."""

from collections import deque

import trio

from wisteriaworks import rpc
from wisteriaworks.errors import RpcError
from wisteriaworks.generated.consensus import Deliver

# A connection without an answer for this long is replaced. The value is below
# the default minimum election timeout, so that a silent connection causes no
# election.
DELIVER_TIMEOUT_S = 0.5
RECONNECT_S = 0.05
# Long enough for many round trips. A connection attempt that began while the
# recipient had no power can hang after the recipient is back, so the attempt is
# abandoned early.
CONNECT_TIMEOUT_S = 0.2
# A recipient to which nothing is sent for this long is assumed to have left.
IDLE_TIMEOUT_S = 60.0
_MAX_QUEUED_MESSAGES = 256
_MAX_UNANSWERED_MESSAGES = 64


class _Recipient:
    """Queue the messages to one member."""

    def __init__(self, address):
        self.address = address
        self.scope = trio.CancelScope()
        # A full queue drops its oldest message; consensus sends it again.
        self._queue = deque(maxlen=_MAX_QUEUED_MESSAGES)
        self._wake = trio.Event()

    def put(self, message):
        self._queue.append(message)
        self._wake.set()

    def clear(self):
        self._queue.clear()

    async def get(self):
        while not self._queue:
            self._wake = trio.Event()
            await self._wake.wait()
        return self._queue.popleft()


class MessageSender:
    """Send messages in order while connected, and drop them otherwise."""

    def __init__(self, own_address, nursery):
        self._own_address = own_address
        self._nursery = nursery
        self._recipients = {}

    def send(self, member_id, address, message):
        """Queue a consensus message to a member."""
        recipient = self._recipients.get(member_id)
        if recipient is None or recipient.address != address:
            recipient = self._start(member_id, address)
        deliver = Deliver(
            recipient=member_id, address=self._own_address, message=message
        )
        recipient.put(deliver)

    def _start(self, member_id, address):
        if member_id in self._recipients:
            self._recipients[member_id].scope.cancel()
        recipient = self._recipients[member_id] = _Recipient(address)
        self._nursery.start_soon(self._run, member_id, recipient)
        return recipient

    async def _run(self, member_id, recipient):
        with recipient.scope:
            while await self._send_until_failure(recipient):
                recipient.clear()
                await trio.sleep(RECONNECT_S)
        if self._recipients.get(member_id) is recipient:
            del self._recipients[member_id]

    async def _send_until_failure(self, recipient):
        """Send messages over one channel.

        Return True after a failure, or False after ``IDLE_TIMEOUT_S`` without a
        message.
        """
        limiter = trio.CapacityLimiter(_MAX_UNANSWERED_MESSAGES)
        channel = rpc.Channel(recipient.address, CONNECT_TIMEOUT_S)
        async with channel, trio.open_nursery() as calls:
            while True:
                deliver = None
                with trio.move_on_after(IDLE_TIMEOUT_S):
                    deliver = await recipient.get()
                if deliver is None:
                    return False
                call = _Call(channel, deliver, limiter, calls.cancel_scope)
                calls.start_soon(call.run)
                await call.queued.wait()
        return True


class _Call:
    """Send one message and wait until the recipient has handled it."""

    def __init__(self, channel, deliver, limiter, failure_scope):
        self._channel = channel
        self._deliver = deliver
        self._limiter = limiter
        self._failure_scope = failure_scope
        self.queued = trio.Event()

    async def run(self):
        try:
            async with self._limiter:
                await self._exchange()
        except RpcError:
            self._failure_scope.cancel()
        finally:
            self.queued.set()

    async def _exchange(self):
        stream = self._channel.stream(self._deliver, DELIVER_TIMEOUT_S)
        async with stream as replies:
            self.queued.set()
            async for _ in replies:
                pass
