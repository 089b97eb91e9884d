"""Find the leader of the control group and follow its updates.

Load pattern: all processes restart at once, or a failure domain is down. A
connection attempt to a member without power hangs, so several members are probed
at the same time and the first one that leads is followed.
"""

import itertools

import trio

from wisteriaworks.errors import RpcError
from wisteriaworks.events import Event, log_event
from wisteriaworks.fleet_updates import unpack_update
from wisteriaworks.generated.messages import FleetUpdate, Watch
from wisteriaworks.rpc import Channel, split_address

# Three keepalive intervals of the leader.
SILENCE_TIMEOUT_S = 1.5
# A leader answers within a round trip. A member that knows no leader delays its
# answer for one keepalive interval.
FIRST_UPDATE_S = 0.6
RETRY_S = 0.1
# Much longer than a round trip. A connection attempt that began while the member was
# down would hang, so it is aborted and retried.
CONNECT_TIMEOUT_S = 0.2
# Members probed at once. More would overload control when all gateways of a large
# system look for a leader. With four voters this covers all of them.
SEARCH_WIDTH = 4
# Time after which other members are probed, in case the membership has changed.
SEARCH_S = 2.0
# A stream needs a time limit. A watch that reaches it ends, and the search for the
# leader begins again.
STREAM_TIMEOUT_S = 86400.0


def list_member_addresses(seeds, port):
    """Return the member addresses on the hosts of the seeds."""
    return [f"{split_address(seed)[0]}:{port}" for seed in seeds]


class _Search:
    """Probe several members at once until one of them leads."""

    def __init__(self, nursery, timeout_scope):
        self._nursery = nursery
        self._timeout_scope = timeout_scope
        self._scopes = {}
        self._chosen = None

    def probe(self, address, task):
        """Run ``task(address, search)`` unless the member is probed already."""
        if address not in self._scopes:
            self._scopes[address] = trio.CancelScope()
            self._nursery.start_soon(self._run, address, task)

    async def _run(self, address, task):
        with self._scopes[address]:
            await task(address, self)

    def choose(self, address):
        """Choose a member and cancel the other probes.

        Returns False if another member was chosen before. Otherwise the search has
        no time limit any more and ends when the watch of the chosen member ends.
        """
        if self._chosen is not None:
            return False
        self._chosen = address
        self._timeout_scope.deadline = float("inf")
        for other, scope in self._scopes.items():
            if other != address:
                scope.cancel()
        return True

    def end(self):
        """End the search, so that a new one begins."""
        self._nursery.cancel_scope.cancel()


class ControlWatch:
    """Find the leader of the control group and follow it while it leads."""

    def __init__(self, cfg, state):
        self._cfg = cfg
        self._state = state
        self._members = ()
        # Channel to the member that is followed as the leader, or None.
        self.leader = None

    def update_settings(self, cfg):
        """Replace the settings, which apply from the next search or probe."""
        self._cfg = cfg

    async def run(self):
        """Run until cancelled."""
        for number in itertools.count():
            with trio.move_on_after(SEARCH_S) as timeout_scope:
                async with trio.open_nursery() as nursery:
                    search = _Search(nursery, timeout_scope)
                    for address in self._choose_addresses(number):
                        search.probe(address, self._probe)

    def _choose_addresses(self, number):
        seeds = list_member_addresses(self._cfg.seeds, self._cfg.member_port)
        addresses = list(dict.fromkeys([*self._members, *seeds]))
        first = number * SEARCH_WIDTH % len(addresses)
        return (addresses[first:] + addresses[:first])[:SEARCH_WIDTH]

    async def _probe(self, address, search):
        """Probe one member repeatedly; follow it once it leads."""
        while True:
            async with Channel(address, CONNECT_TIMEOUT_S) as channel:
                hint = await self._follow(channel, search)
            if hint:
                search.probe(hint, self._probe)
            await trio.sleep(RETRY_S)

    async def _follow(self, channel, search):
        """Follow a member while it leads.

        Returns the address of another leader if the member names one, or "".
        """
        version = self._state.routes.version
        cfg = self._cfg
        message = Watch(
            name=cfg.name,
            config_version=version,
            domain=cfg.domain,
            peer=cfg.peer or "",
            link_mbps=cfg.link_mbps,
            delegates=self._state.delegate_count,
            gathers=True,
            reads_packed=True,
            awaits_confirmation=True,
        )
        is_followed, hint = False, ""
        reason = "it does not lead any more"
        silence = f"no update for {SILENCE_TIMEOUT_S} s"
        try:
            async with channel.stream(message, STREAM_TIMEOUT_S) as replies:
                while isinstance(
                    reply := await _read_reply(replies, is_followed), FleetUpdate
                ):
                    if not is_followed:
                        # Another member may have been chosen at the same time.
                        if not search.choose(channel.address):
                            return ""
                        is_followed = True
                        self.leader = channel
                        log_event(Event.LEADER_WATCHED, address=channel.address)
                    if self._state.apply_update(unpack_update(reply)):
                        self._members = reply.members
                hint = reply.leader if reply is not None else ""
                reason = reason if reply is not None else silence
        except RpcError as exc:
            reason = exc.message
        finally:
            if self.leader is channel:
                self.leader = None
        # Members that were only probed are not logged.
        if is_followed:
            log_event(Event.LEADER_SILENT, address=channel.address, reason=reason)
            search.end()
        return hint


async def _read_reply(replies, is_followed):
    """Return the next reply, or None if none arrives in time."""
    with trio.move_on_after(SILENCE_TIMEOUT_S if is_followed else FIRST_UPDATE_S):
        return await anext(replies, None)
    return None
