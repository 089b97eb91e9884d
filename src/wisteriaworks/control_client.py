"""Call the control leader, whichever member it is."""

import contextlib
import itertools

import trio

from wisteriaworks.errors import ControlError, RpcError
from wisteriaworks.generated.messages import NotLeader
from wisteriaworks.rpc import Channel

# A member that is cut off silently holds a call up for one try only. The time
# doubles with each round over the members, for a leader that is merely slow.
FIRST_TRY_S = 0.4
# An election takes 1 to 2 s; members are not asked in a tight loop meanwhile.
RETRY_PAUSE_S = 0.1


class ControlClient:
    """Call the control leader. Use as an asynchronous context manager."""

    def __init__(self, addresses):
        self._addresses = tuple(addresses)
        self._channels = {}
        self._leader = None
        self._opening = trio.Lock()
        self._stack = contextlib.AsyncExitStack()
        self._nursery = None

    async def __aenter__(self):
        manager = trio.open_nursery()
        self._nursery = await self._stack.enter_async_context(manager)
        return self

    async def __aexit__(self, *exc_info):
        self._nursery.cancel_scope.cancel()
        return await self._stack.__aexit__(*exc_info)

    async def call(self, message, timeout_s):
        """Return the leader's reply to a message. Raises ControlError."""
        return await _Call(self, message, timeout_s).run()

    @property
    def leader(self):
        """Return the address of the last known leader, or None."""
        return self._leader

    @leader.setter
    def leader(self, address):
        self._leader = address

    @property
    def addresses(self):
        """Return the addresses of the members from the settings."""
        return self._addresses

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
    """Try the members in turn until one answers as the leader."""

    def __init__(self, client, message, timeout_s):
        self._client = client
        self._message = message
        self._timeout_s = timeout_s
        self._deadline = trio.current_time() + timeout_s
        self._members = itertools.cycle(client.addresses)
        self._tries = 0
        self._sent = False
        self._failed = set()
        self._reason = "no member was asked"

    async def run(self):
        hint = self._client.leader
        while trio.current_time() < self._deadline:
            address = hint or next(self._members)
            reply = await self._try(address)
            if reply is not None and not isinstance(reply, NotLeader):
                self._client.leader = address
                return reply
            hint = self._choose_hint(address, reply)
            if hint is None:
                await self._pause()
        raise ControlError(self._describe(), sent=self._sent)

    async def _try(self, address):
        """Return the member's reply, or None if it did not answer."""
        self._tries += 1
        channel = await self._client.get_channel(address)
        try:
            return await channel.call(self._message, self._compute_try_s())
        except RpcError as exc:
            self._sent = self._sent or exc.sent
            self._reason = exc.message
            return None

    def _choose_hint(self, address, reply):
        if self._client.leader == address:
            self._client.leader = None
        if reply is None:
            self._failed.add(address)
            return None
        self._reason = f"{address} does not lead"
        # Followers name a leader that is gone until they elect another one.
        if reply.leader in self._failed or reply.leader == address:
            self._failed.discard(reply.leader)
            return None
        return reply.leader or None

    async def _pause(self):
        if self._tries % max(1, len(self._client.addresses)) == 0:
            left_s = self._deadline - trio.current_time()
            await trio.sleep(max(0.0, min(RETRY_PAUSE_S, left_s)))

    def _compute_try_s(self):
        rounds = (self._tries - 1) // max(1, len(self._client.addresses))
        wanted_s = FIRST_TRY_S * 2 ** min(rounds, 10)
        # ReadClaim is answered when the outcome is known, at the latest
        # after its own waiting time.
        wanted_s += getattr(self._message, "wait_s", 0.0)
        return min(wanted_s, self._deadline - trio.current_time())

    def _describe(self):
        return f"no control leader answered in {self._timeout_s:g} s: {self._reason}"
