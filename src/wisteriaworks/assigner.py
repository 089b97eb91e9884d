"""The leader's loop that closes sessions and assigns servers."""

import contextlib

import trio

from wisteriaworks.errors import NotLeaderError, ProposalUnknownError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.commands import Assign, CloseSession, Tick
from wisteriaworks.generated.messages import EntryState
from wisteriaworks.leader_state import list_domains_out
from wisteriaworks.placement import (
    EntryMode,
    PlacementEntry,
    PlacementInput,
    list_replica_sets,
    list_suitable,
    place,
)

INTERVAL_S = 0.25
# A longer gap means that this process did not run, and that heartbeats wait
# unread in its connections.
FROZEN_S = 1.0
TICK_INTERVAL_S = 1.0
REBALANCE_INTERVAL_S = 1.0
# Entries of a restarted system or a returning domain open their sessions one
# after another; servers are moved for balance once that is over.
SETTLE_S = 5.0
# Servers are first assigned when no entry has joined for that long, so that
# the first entry of a new system does not receive all servers.
FIRST_ASSIGN_QUIET_S = 1.0
FIRST_ASSIGN_LATEST_S = 3.0
SILENT_HEARTBEATS = 3
SERVERS_PER_MOVE = 100
MIN_MOVES = 2


class Assigner:
    """Run on every member; act only while the member leads."""

    def __init__(self, node):
        self._node = node
        self._term = None
        self._slept_from = 0.0
        self._sessions = frozenset()
        self._sessions_changed_at = 0.0
        self._first_free_at = None
        self._ticked_at = float("-inf")
        self._rebalanced_at = float("-inf")
        # Server to the holding that its entry was asked to release. A request
        # stays until it is met, since heartbeats are rarer than steps.
        self._requested = {}
        self._holders = {}
        self._holders_revision = None
        # The state for which nothing remains to be placed or balanced.
        self._placed_for = None
        self._balanced_for = None

    async def run(self):
        """Run until cancelled."""
        while True:
            with contextlib.suppress(NotLeaderError, ProposalUnknownError):
                await self.step()
            self._slept_from = trio.current_time()
            with trio.move_on_after(INTERVAL_S):
                await self._node.assigner_wake.wait()
            self._node.assigner_wake = trio.Event()

    async def step(self):
        """Do what is due now. Raises NotLeaderError or ProposalUnknownError."""
        node = self._node
        if not node.replica.is_leader:
            return node.follow()
        if node.is_stopping:
            return None
        leader = node.lead()
        self._note_time(leader)
        await self._close_sessions(leader)
        await self._tick()
        self._note_sessions()
        await self._assign(node.lead())

    def _note_time(self, leader):
        now = trio.current_time()
        if self._term != leader.term:
            self._term = leader.term
            self._sessions_changed_at = now
            self._requested = {}
            self._placed_for = self._balanced_for = None
        elif now - self._slept_from > FROZEN_S:
            leader.sessions.forgive(now)

    async def _close_sessions(self, leader):
        for number in leader.sessions.list_expired(trio.current_time()):
            await self._node.propose(CloseSession(session=number))
            log_event(Event.SESSION_CLOSED, session=number)

    async def _tick(self):
        now = trio.current_time()
        is_due = now - self._ticked_at >= TICK_INTERVAL_S
        if is_due and self._node.machine.has_expired_claims(self._node.wall_ms()):
            self._ticked_at = now
            await self._node.propose(Tick())

    def _note_sessions(self):
        sessions = frozenset(self._node.machine.sessions)
        if sessions != self._sessions:
            self._sessions = sessions
            self._sessions_changed_at = trio.current_time()

    async def _assign(self, leader):
        now = trio.current_time()
        machine = self._node.machine
        holders = self._list_holders()
        if not leader.may_send_routes(now) or self._is_starting(holders, now):
            return
        given = self._describe(leader, holders, now)
        key = (machine.version, machine.revision, given.entries)
        if key == (self._balanced_for if given.max_moves else self._placed_for):
            return
        wanted = place(given)
        self._request_releases(given, wanted)
        leader.releases = self._list_releases()
        servers = {name: wanted[name] for name in wanted.keys() - holders.keys()}
        if servers:
            assigned = await self._node.propose(Assign(servers=servers))
            log_event(Event.SERVERS_ASSIGNED, count=len(assigned))
        self._placed_for = key
        if given.max_moves and not self._requested:
            self._balanced_for = key

    def _list_holders(self):
        """Return the session of each held server, as long as none changed."""
        machine = self._node.machine
        if self._holders_revision != machine.revision:
            self._holders_revision = machine.revision
            self._holders = {
                name: holding.session
                for name, holding in machine.holdings.items()
                if holding.session
            }
        return self._holders

    def _describe(self, leader, holders, now):
        machine = self._node.machine
        entries = tuple(
            PlacementEntry(number, record.domain, self._read_mode(leader, number, now))
            for number, record in sorted(machine.sessions.items())
        )
        return PlacementInput(
            document=machine.document,
            entries=entries,
            domains_out=list_domains_out(machine.document),
            holders=holders,
            max_moves=self._count_moves(entries, holders, now),
        )

    def _read_mode(self, leader, number, now):
        info = leader.sessions.get(number)
        silent_s = SILENT_HEARTBEATS * self._node.cfg.heartbeat_s
        if not info.is_confirmed or now - info.heard_at > silent_s:
            return EntryMode.SILENT
        if info.state is EntryState.RETIRING:
            return EntryMode.RETIRING
        return EntryMode.ACTIVE

    def _count_moves(self, entries, holders, now):
        """Return how many servers may be moved now for balance alone."""
        servers = self._node.machine.servers
        is_settled = (
            now - self._sessions_changed_at >= SETTLE_S
            and now - self._rebalanced_at >= REBALANCE_INTERVAL_S
            and not self._requested
            and servers.keys() <= holders.keys()
            and all(entry.mode is EntryMode.ACTIVE for entry in entries)
        )
        if not is_settled:
            return 0
        self._rebalanced_at = now
        return max(MIN_MOVES, len(servers) // SERVERS_PER_MOVE)

    def _is_starting(self, holders, now):
        """Say whether to wait for more entries before the first assignment."""
        if holders or not self._sessions:
            self._first_free_at = None
            return False
        if self._first_free_at is None:
            self._first_free_at = now
        return (
            now - self._sessions_changed_at < FIRST_ASSIGN_QUIET_S
            and now - self._first_free_at < FIRST_ASSIGN_LATEST_S
        )

    def _request_releases(self, given, wanted):
        """Ask for servers that should have another holder.

        One replica of a set changes hands at a time, so that the others
        serve meanwhile.
        """
        holdings = self._node.machine.holdings
        is_possible = bool(list_suitable(given))
        self._requested = {
            name: holding
            for name, holding in self._requested.items()
            if is_possible and holdings.get(name) == holding
        }
        for group in list_replica_sets(given.document):
            name = _choose_release(group, given.holders, wanted)
            if name and not any(server.name in self._requested for server in group):
                self._requested[name] = holdings[name]

    def _list_releases(self):
        releases = {}
        for name, holding in sorted(self._requested.items()):
            releases.setdefault(holding.session, []).append(name)
        return {session: tuple(names) for session, names in releases.items()}


def _choose_release(group, holders, wanted):
    """Return the replica that should change hands, or None."""
    names = [server.name for server in group]
    if not all(name in holders for name in names):
        return None
    unwanted = (n for n in names if wanted.get(n, holders[n]) != holders[n])
    return next(unwanted, None)
