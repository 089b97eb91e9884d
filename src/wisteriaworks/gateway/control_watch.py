"""Follow the control leader, whichever member it is."""

import itertools

import trio

from wisteriaworks.errors import RpcError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.messages import FleetUpdate, Watch
from wisteriaworks.rpc import Channel, split_address

# Three keepalives of the leader.
SILENCE_S = 1.5
# The first answer of a member that leads comes within a round trip.
FIRST_UPDATE_S = 0.6
RETRY_S = 0.1
DAY_S = 86400.0


def list_member_addresses(seeds, port):
    """Return where the members at the hosts of some addresses listen."""
    return [f"{split_address(seed)[0]}:{port}" for seed in seeds]


class ControlWatch:
    """Ask the members in turn until one leads, and follow it while it does."""

    def __init__(self, cfg, state):
        self._cfg = cfg
        self._state = state
        self._members = ()
        self._hint = ""
        self._is_followed = False

    def use_seeds(self, cfg):
        """Take over other seeds; they count when no member answers."""
        self._cfg = cfg

    async def run(self):
        """Run until cancelled."""
        for number in itertools.count():
            addresses = self._list_addresses()
            address = self._hint or addresses[number % len(addresses)]
            self._hint = ""
            await self._follow(address)
            if not self._hint:
                await trio.sleep(RETRY_S)

    def _list_addresses(self):
        seeds = list_member_addresses(self._cfg.seeds, self._cfg.member_port)
        return list(dict.fromkeys([*self._members, *seeds]))

    async def _follow(self, address):
        self._is_followed = False
        reason = "it does not lead any more"
        async with Channel(address) as channel:
            try:
                await self._read_updates(channel)
            except RpcError as exc:
                reason = exc.message
        # Members that are merely asked in turn are not worth a line each.
        if self._is_followed:
            log_event(Event.LEADER_SILENT, address=address, reason=reason)

    async def _read_updates(self, channel):
        version = self._state.routes.version
        message = Watch(name=self._cfg.name, config_version=version)
        async with channel.stream(message, DAY_S) as replies:
            while await self._take_next(replies):
                if not self._is_followed:
                    log_event(Event.LEADER_WATCHED, address=channel.address)
                self._is_followed = True

    async def _take_next(self, replies):
        """Take one reply over and return whether the member still leads."""
        reply = None
        wait_s = SILENCE_S if self._is_followed else FIRST_UPDATE_S
        with trio.move_on_after(wait_s):
            reply = await anext(replies, None)
        if isinstance(reply, FleetUpdate):
            self._members = reply.members
            self._state.take_update(reply)
            return True
        if reply is not None:
            self._hint = reply.leader
        return False
