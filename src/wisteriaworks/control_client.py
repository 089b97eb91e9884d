"""Find the leader of the control group and call it."""

import math

import trio

from wisteriaworks.background import BackgroundTasks
from wisteriaworks.errors import ControlError, RpcError
from wisteriaworks.generated.messages import NotLeader
from wisteriaworks.rpc import Channel

# Time after which another member is called while one does not answer.
NEXT_MEMBER_AFTER_S = 0.4
# Avoids a tight loop of calls during an election, which takes 1 to 2 s.
RETRY_PAUSE_S = 0.1


class ControlClient(BackgroundTasks):
    """Call the control leader. Use as an asynchronous context manager."""

    def __init__(self, addresses):
        super().__init__()
        self.addresses = tuple(addresses)
        # Address of the last member that answered as the leader, or None.
        self.leader = None
        self._channels = {}
        self._open_lock = trio.Lock()

    async def call(self, message, timeout_s):
        """Return the leader's reply to a message. Raises ControlError."""
        return await _Call(self, message, timeout_s).run()

    async def get_channel(self, address):
        """Return the channel to a member; all calls share it."""
        async with self._open_lock:
            if address not in self._channels:
                channel = await self._nursery.start(_run_channel, address)
                self._channels[address] = channel
            return self._channels[address]


async def _run_channel(address, task_status):
    # The nursery of a channel belongs to the task that opens the channel, so
    # this task must outlive the first call that uses it.
    async with Channel(address) as channel:
        task_status.started(channel)
        await trio.sleep_forever()


class _Call:
    """Call members until one replies as the leader.

    A round calls each member at most once. Members that name each other as the
    leader during an election would otherwise be called in a tight loop.

    A call of a silent member stays open while others are called. It may be a leader
    that answers slowly, or one that has failed and that its followers name until they
    have elected another.
    """

    def __init__(self, client, message, timeout_s):
        self._client = client
        self._message = message
        self._timeout_s = timeout_s
        self._deadline = trio.current_time() + timeout_s
        # ReadClaim is answered when the outcome is known, at the latest after
        # ``wait_s``.
        self._patience_s = NEXT_MEMBER_AFTER_S + getattr(message, "wait_s", 0.0)
        self._send_result, self._results = trio.open_memory_channel(math.inf)
        self._rounds = 0
        self._tried = set()
        self._failed = set()
        self._open = set()
        self._sent = False
        self._reason = "no member was called"

    async def run(self):
        async with trio.open_nursery() as nursery:
            reply = await self._find_leader(nursery)
            if reply is not None:
                nursery.cancel_scope.cancel()
        if reply is None:
            raise ControlError(self._describe_failure(), sent=self._sent)
        return reply

    async def _find_leader(self, nursery):
        """Return the leader's reply, or None if there is none in time."""
        hint = self._client.leader or self._client.addresses[0]
        while trio.current_time() < self._deadline:
            address = self._choose_next(hint)
            if address is None:
                self._start_round()
                result = await self._receive_within(RETRY_PAUSE_S)
            else:
                self._start_attempt(nursery, address)
                result = await self._receive_within(self._patience_s)
            member, reply = result or (address, None)
            if reply is not None and not isinstance(reply, NotLeader):
                self._client.leader = member
                return reply
            hint = self._handle_failure(member, reply) if member else ""
        return None

    def _start_attempt(self, nursery, address):
        self._tried.add(address)
        self._open.add(address)
        nursery.start_soon(self._attempt, address)

    async def _attempt(self, address):
        channel = await self._client.get_channel(address)
        reply = None
        try:
            reply = await channel.call(
                self._message, self._deadline - trio.current_time()
            )
        except RpcError as exc:
            self._sent = self._sent or exc.sent
            self._reason = exc.message
        self._open.remove(address)
        self._send_result.send_nowait((address, reply))

    async def _receive_within(self, timeout_s):
        """Return the next result of any attempt, or None if there is none in time."""
        left_s = self._deadline - trio.current_time()
        with trio.move_on_after(max(0.0, min(timeout_s, left_s))):
            return await self._results.receive()
        return None

    def _handle_failure(self, address, reply):
        """Return the leader that a member named, or an empty string."""
        if self._client.leader == address:
            self._client.leader = None
        if reply is None:
            self._failed.add(address)
            return ""
        self._failed.discard(address)
        self._reason = f"{address} is not the leader"
        return reply.leader

    def _choose_next(self, hint):
        """Return the member to call, or None at the end of a round."""
        # Followers name a failed leader until they have elected a new one, so the
        # hint is not used if that member was already called in this round.
        if hint and hint not in self._tried | self._open:
            return hint
        return next(iter(self._list_candidates()), None)

    def _list_candidates(self):
        """Return the members to call in this round, the failed ones last.

        After the first round, a failed member is called only if another member
        names it as the leader, or if all members have failed.
        """
        called = self._tried | self._open
        candidates = [a for a in self._client.addresses if a not in called]
        if self._rounds > 0 and self._failed < set(self._client.addresses):
            return [a for a in candidates if a not in self._failed]
        return sorted(candidates, key=lambda address: address in self._failed)

    def _start_round(self):
        self._rounds += 1
        self._tried.clear()

    def _describe_failure(self):
        return f"no control leader answered in {self._timeout_s:g} s: {self._reason}"
