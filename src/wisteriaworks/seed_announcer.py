"""Tell the seeds which control members exist.

Load pattern: all processes start again at once, or new seeds are named. Seeds without
a disk know no member then, and gateways and new members know the seeds only.
"""

import trio

from wisteriaworks.errors import RpcError
from wisteriaworks.generated.messages import AnnounceMember
from wisteriaworks.rpc import Channel

# A seed that starts again forgets the members.
INTERVAL_S = 1.0
# Interval while a seed does not answer, or while this member is in no group.
RETRY_S = 0.25
CALL_TIMEOUT_S = 0.5
# A connection attempt that began while the seed was down would hang.
CONNECT_TIMEOUT_S = 0.2


class SeedAnnouncer:
    """Announce a member to each seed while it belongs to a group.

    ``seeds`` are the addresses of the seeds' control processes and may be replaced.
    """

    def __init__(self, replica, address, seeds):
        self.seeds = seeds
        self._replica = replica
        self._address = address
        self._announced_to = set()

    async def run(self):
        """Run until cancelled."""
        self._announced_to.clear()
        async with trio.open_nursery() as nursery:
            while True:
                for seed in self.seeds:
                    if seed != self._address and seed not in self._announced_to:
                        self._announced_to.add(seed)
                        nursery.start_soon(self._announce_to, seed)
                await trio.sleep(RETRY_S)

    async def _announce_to(self, seed):
        async with Channel(seed, CONNECT_TIMEOUT_S) as channel:
            while seed in self.seeds:
                is_done = self._replica.members and await self._announce(channel)
                await trio.sleep(INTERVAL_S if is_done else RETRY_S)
        self._announced_to.discard(seed)

    async def _announce(self, channel):
        """Return whether the seed has answered."""
        try:
            await channel.call(AnnounceMember(self._address), CALL_TIMEOUT_S)
        except RpcError:
            return False
        return True
