"""Call the control leader, whichever member it is."""

import trio

from wisteriaworks.background import BackgroundTasks
from wisteriaworks.errors import ControlError, RpcError
from wisteriaworks.generated.messages import NotLeader
from wisteriaworks.rpc import Channel

# A member that is cut off silently holds a call up for one try only. The time
# doubles with each round over the members, for a leader that is merely slow.
FIRST_TRY_S = 0.4
# An election takes 1 to 2 s; members are not asked in a tight loop meanwhile.
RETRY_PAUSE_S = 0.1


class ControlClient(BackgroundTasks):
    """Call the control leader. Use as an asynchronous context manager."""

    def __init__(self, addresses):
        super().__init__()
        self.addresses = tuple(addresses)
        # Address of the last member that answered as the leader, or None.
        self.leader = None
        self._channels = {}
        self._opening = trio.Lock()

    async def call(self, message, timeout_s):
        """Return the leader's reply to a message. Raises ControlError."""
        return await _Call(self, message, timeout_s).run()

    async def get_channel(self, address):
        """Return the one channel to a member."""
        async with self._opening:
            if address not in self._channels:
                channel = await self._nursery.start(_run_channel, address)
                self._channels[address] = channel
            return self._channels[address]


async def _run_channel(address, task_status):
    # The nursery of a channel belongs to the task that opens it, which must
    # outlive the call that needs the channel first.
    async with Channel(address) as channel:
        task_status.started(channel)
        await trio.sleep_forever()


class _Call:
    """Ask members until one answers as the leader.

    A round asks each member at most once, so that members that name each
    other during an election are not asked in a tight loop.
    """

    def __init__(self, client, message, timeout_s):
        self._client = client
        self._message = message
        self._timeout_s = timeout_s
        self._deadline = trio.current_time() + timeout_s
        self._rounds = 0
        self._asked = set()
        self._failed = set()
        self._sent = False
        self._reason = "no member was asked"

    async def run(self):
        address = self._client.leader or self._client.addresses[0]
        while trio.current_time() < self._deadline:
            reply = await self._try(address)
            if reply is not None and not isinstance(reply, NotLeader):
                self._client.leader = address
                return reply
            if self._client.leader == address:
                self._client.leader = None
            address = await self._choose_next(reply.leader if reply else "")
        raise ControlError(self._describe(), sent=self._sent)

    async def _try(self, address):
        """Return the member's reply, or None if it did not answer."""
        self._asked.add(address)
        channel = await self._client.get_channel(address)
        try:
            reply = await channel.call(self._message, self._compute_try_s())
        except RpcError as exc:
            self._sent = self._sent or exc.sent
            self._reason = exc.message
            self._failed.add(address)
            return None
        self._failed.discard(address)
        self._reason = f"{address} does not lead"
        return reply

    async def _choose_next(self, hint):
        # Followers name a leader that is gone until they elect another one.
        if hint and hint not in self._asked:
            return hint
        left = self._list_left()
        if not left:
            await self._start_round()
            left = self._list_left() or self._client.addresses
        return left[0]

    def _list_left(self):
        """Return the members to ask in this round, the failed ones last.

        While others answer, a failed member is asked only if they name it.
        """
        left = [a for a in self._client.addresses if a not in self._asked]
        if self._rounds > 0 and self._failed < set(self._client.addresses):
            return [a for a in left if a not in self._failed]
        return sorted(left, key=lambda address: address in self._failed)

    async def _start_round(self):
        self._rounds += 1
        self._asked.clear()
        left_s = self._deadline - trio.current_time()
        await trio.sleep(max(0.0, min(RETRY_PAUSE_S, left_s)))

    def _compute_try_s(self):
        wanted_s = FIRST_TRY_S * 2 ** min(self._rounds, 10)
        # ReadClaim is answered when the outcome is known, at the latest
        # after its own waiting time.
        wanted_s += getattr(self._message, "wait_s", 0.0)
        return min(wanted_s, self._deadline - trio.current_time())

    def _describe(self):
        return f"no control leader answered in {self._timeout_s:g} s: {self._reason}"
