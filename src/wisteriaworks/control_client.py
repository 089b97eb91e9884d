"""Find the leader of the control group and call it."""

import trio

from wisteriaworks.background import BackgroundTasks
from wisteriaworks.errors import ControlError, RpcError
from wisteriaworks.generated.messages import NotLeader
from wisteriaworks.rpc import Channel

# A member that does not answer delays a call by one attempt only. The timeout
# doubles with each round over the members, for a leader that answers slowly.
FIRST_ATTEMPT_TIMEOUT_S = 0.4
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
    """

    def __init__(self, client, message, timeout_s):
        self._client = client
        self._message = message
        self._timeout_s = timeout_s
        self._deadline = trio.current_time() + timeout_s
        self._rounds = 0
        self._tried = set()
        self._failed = set()
        self._sent = False
        self._reason = "no member was called"

    async def run(self):
        address = self._client.leader or self._client.addresses[0]
        while trio.current_time() < self._deadline:
            reply = await self._call_member(address)
            if reply is not None and not isinstance(reply, NotLeader):
                self._client.leader = address
                return reply
            if self._client.leader == address:
                self._client.leader = None
            address = await self._choose_next(reply.leader if reply else "")
        raise ControlError(self._describe_failure(), sent=self._sent)

    async def _call_member(self, address):
        """Return the member's reply, or None if there was none."""
        self._tried.add(address)
        channel = await self._client.get_channel(address)
        try:
            reply = await channel.call(self._message, self._compute_attempt_timeout_s())
        except RpcError as exc:
            self._sent = self._sent or exc.sent
            self._reason = exc.message
            self._failed.add(address)
            return None
        self._failed.discard(address)
        self._reason = f"{address} is not the leader"
        return reply

    async def _choose_next(self, hint):
        # Followers name a failed leader until they have elected a new one, so the
        # hint is not used if that member was already called in this round.
        if hint and hint not in self._tried:
            return hint
        candidates = self._list_candidates()
        if not candidates:
            await self._start_round()
            candidates = self._list_candidates() or self._client.addresses
        return candidates[0]

    def _list_candidates(self):
        """Return the members to call in this round, the failed ones last.

        After the first round, a failed member is called only if another member
        names it as the leader, or if all members have failed.
        """
        candidates = [a for a in self._client.addresses if a not in self._tried]
        if self._rounds > 0 and self._failed < set(self._client.addresses):
            return [a for a in candidates if a not in self._failed]
        return sorted(candidates, key=lambda address: address in self._failed)

    async def _start_round(self):
        self._rounds += 1
        self._tried.clear()
        left_s = self._deadline - trio.current_time()
        await trio.sleep(max(0.0, min(RETRY_PAUSE_S, left_s)))

    def _compute_attempt_timeout_s(self):
        timeout_s = FIRST_ATTEMPT_TIMEOUT_S * 2 ** min(self._rounds, 10)
        # ReadClaim is answered when the outcome is known, at the latest after
        # ``wait_s``.
        timeout_s += getattr(self._message, "wait_s", 0.0)
        return min(timeout_s, self._deadline - trio.current_time())

    def _describe_failure(self):
        return f"no control leader answered in {self._timeout_s:g} s: {self._reason}"
