"""Follow the control leader, whichever member it is.

Load pattern: all processes start again at once, or a failure domain is dark.
A member without power lets a connection attempt hang, so several members are
asked at the same time and the first that leads is followed.
"""

import itertools

import trio

from wisteriaworks.errors import RpcError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.messages import FleetUpdate, Watch
from wisteriaworks.rpc import Channel, split_address

# Three keepalives of the leader.
SILENCE_S = 1.5
# A member that leads answers within a round trip; one that knows no leader
# holds the question for a keepalive.
FIRST_UPDATE_S = 0.6
RETRY_S = 0.1
# Many round trips; an attempt begun while the member was dark is given up.
CONNECT_TIMEOUT_S = 0.2
# Members asked at once. More would load control when all gateways of a large
# system look for a leader; with four voters these are all of them.
SEARCH_WIDTH = 4
# Time after which other members are asked, in case the group has moved.
SEARCH_S = 2.0
DAY_S = 86400.0


def list_member_addresses(seeds, port):
    """Return where the members at the hosts of some addresses listen."""
    return [f"{split_address(seed)[0]}:{port}" for seed in seeds]


class _Search:
    """Ask several members at once until one of them leads."""

    def __init__(self, nursery, limit):
        self._nursery = nursery
        self._limit = limit
        self._scopes = {}
        self._chosen = None

    def ask(self, address, task):
        """Run ``task(address, search)`` unless that member is asked already."""
        if address not in self._scopes:
            self._scopes[address] = trio.CancelScope()
            self._nursery.start_soon(self._run, address, task)

    async def _run(self, address, task):
        with self._scopes[address]:
            await task(address, self)

    def choose(self, address):
        """Stop asking the others and return True, if none was chosen before.

        The search then takes as long as the chosen member leads.
        """
        if self._chosen is not None:
            return False
        self._chosen = address
        self._limit.deadline = float("inf")
        for other, scope in self._scopes.items():
            if other != address:
                scope.cancel()
        return True

    def end(self):
        """End the search, so that a new one begins."""
        self._nursery.cancel_scope.cancel()


class ControlWatch:
    """Find the member that leads, and follow it while it does."""

    def __init__(self, cfg, state):
        self._cfg = cfg
        self._state = state
        self._members = ()

    def use_seeds(self, cfg):
        """Take over other seeds; they count when no member answers."""
        self._cfg = cfg

    async def run(self):
        """Run until cancelled."""
        for number in itertools.count():
            with trio.move_on_after(SEARCH_S) as limit:
                async with trio.open_nursery() as nursery:
                    search = _Search(nursery, limit)
                    for address in self._choose_addresses(number):
                        search.ask(address, self._ask)

    def _choose_addresses(self, number):
        seeds = list_member_addresses(self._cfg.seeds, self._cfg.member_port)
        addresses = list(dict.fromkeys([*self._members, *seeds]))
        first = number * SEARCH_WIDTH % len(addresses)
        return (addresses[first:] + addresses[:first])[:SEARCH_WIDTH]

    async def _ask(self, address, search):
        """Ask one member again and again; follow it once it leads."""
        while True:
            async with Channel(address, CONNECT_TIMEOUT_S) as channel:
                hint = await self._follow(channel, search)
            if hint:
                search.ask(hint, self._ask)
            await trio.sleep(RETRY_S)

    async def _follow(self, channel, search):
        """Return the address of the leader, if the member names another one."""
        version = self._state.routes.version
        cfg = self._cfg
        message = Watch(
            name=cfg.name,
            config_version=version,
            domain=cfg.domain,
            peer=cfg.peer or "",
            link_mbps=cfg.link_mbps,
        )
        is_followed, hint = False, ""
        reason = "it does not lead any more"
        silence = f"no update for {SILENCE_S} s"
        try:
            async with channel.stream(message, DAY_S) as replies:
                while isinstance(
                    reply := await _read_reply(replies, is_followed), FleetUpdate
                ):
                    if not is_followed:
                        # Another one may have been chosen at the same moment.
                        if not search.choose(channel.address):
                            return ""
                        is_followed = True
                        log_event(Event.LEADER_WATCHED, address=channel.address)
                    self._members = reply.members
                    self._state.take_update(reply)
                hint = reply.leader if reply is not None else ""
                reason = reason if reply is not None else silence
        except RpcError as exc:
            reason = exc.message
        # Members that are merely asked are not worth a line each.
        if is_followed:
            log_event(Event.LEADER_SILENT, address=channel.address, reason=reason)
            search.end()
        return hint


async def _read_reply(replies, is_followed):
    """Return the next reply, or None after a silence."""
    with trio.move_on_after(SILENCE_S if is_followed else FIRST_UPDATE_S):
        return await anext(replies, None)
    return None
