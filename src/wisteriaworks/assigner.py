"""Close expired sessions and assign servers to entries, on the leader."""

import contextlib

import trio

from wisteriaworks.errors import NotLeaderError, ProposalOutcomeUnknownError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.commands import Assign, CloseSession, Tick
from wisteriaworks.generated.messages import EntryState
from wisteriaworks.leader_state import list_domains_out
from wisteriaworks.placement import (
    EntryMode,
    PlacementEntry,
    PlacementInput,
    list_eligible_sessions,
    list_replica_sets,
    place,
)

INTERVAL_S = 0.25
# A longer gap between steps means that the process was suspended; heartbeats that
# arrived meanwhile are still unread in its connections.
MAX_STEP_GAP_S = 1.0
CLAIM_EXPIRY_INTERVAL_S = 1.0
REBALANCE_INTERVAL_S = 1.0
# Entries of a restarted system or a returning domain open their sessions one
# after another. Rebalancing starts when sessions have not changed for this time.
SETTLE_S = 5.0
# The first assignment waits until no entry has joined for this time, so that
# the first entry of a new system does not receive all servers.
FIRST_ASSIGN_QUIET_S = 1.0
FIRST_ASSIGN_LATEST_S = 3.0
# An entry without a heartbeat for more than this many intervals counts as silent.
MISSED_HEARTBEATS_LIMIT = 3
# Each rebalancing moves at most one in this many servers, or MIN_MOVES servers if
# that is more.
SERVERS_PER_MOVE = 100
MIN_MOVES = 2


class Assigner:
    """Assign servers while this member leads; run on every member."""

    def __init__(self, node):
        self._node = node
        self._term = None
        self._sleep_started_at = 0.0
        self._sessions = frozenset()
        self._sessions_changed_at = 0.0
        self._unassigned_since = None
        self._expiry_proposed_at = float("-inf")
        self._rebalanced_at = float("-inf")
        # Holdings that entries were asked to release, by server. A request is
        # kept until the entry releases the server, because heartbeats arrive
        # less often than steps run.
        self._pending_releases = {}
        self._holders = {}
        self._holders_revision = None
        # Inputs of the last placement, and of the last rebalancing that requested no
        # moves. The same inputs are not computed again.
        self._placed_key = None
        self._balanced_key = None

    async def run(self):
        """Run until cancelled."""
        while True:
            with contextlib.suppress(NotLeaderError, ProposalOutcomeUnknownError):
                await self.step()
            self._sleep_started_at = trio.current_time()
            with trio.move_on_after(INTERVAL_S):
                await self._node.assigner_wake.wait()
            self._node.assigner_wake = trio.Event()

    async def step(self):
        """Run one iteration. Raises NotLeaderError or ProposalOutcomeUnknownError."""
        node = self._node
        if not node.replica.is_leader:
            return node.drop_leader_state()
        if node.is_stopping:
            return None
        leader = node.get_leader_state()
        self._handle_new_term_or_suspension(leader)
        await self._close_sessions(leader)
        await self._delete_expired_claims()
        self._update_sessions()
        await self._assign(node.get_leader_state())

    def _handle_new_term_or_suspension(self, leader):
        now = trio.current_time()
        if self._term != leader.term:
            self._term = leader.term
            self._sessions_changed_at = now
            self._pending_releases = {}
            self._placed_key = self._balanced_key = None
        elif now - self._sleep_started_at > MAX_STEP_GAP_S:
            leader.sessions.renew_all(now)

    async def _close_sessions(self, leader):
        for number in leader.sessions.list_expired(trio.current_time()):
            await self._node.propose(CloseSession(session=number))
            log_event(Event.SESSION_CLOSED, session=number)

    async def _delete_expired_claims(self):
        now = trio.current_time()
        is_due = now - self._expiry_proposed_at >= CLAIM_EXPIRY_INTERVAL_S
        if is_due and self._node.machine.has_expired_claims(self._node.wall_ms()):
            self._expiry_proposed_at = now
            await self._node.propose(Tick())

    def _update_sessions(self):
        sessions = frozenset(self._node.machine.sessions)
        if sessions != self._sessions:
            self._sessions = sessions
            self._sessions_changed_at = trio.current_time()

    async def _assign(self, leader):
        now = trio.current_time()
        machine = self._node.machine
        holders = self._list_holders()
        if not leader.may_send_routes(now) or self._is_awaiting_entries(holders, now):
            return
        inputs = self._make_inputs(leader, holders, now)
        key = (machine.version, machine.revision, inputs.entries)
        if key == (self._balanced_key if inputs.max_moves else self._placed_key):
            return
        desired = place(inputs)
        self._request_releases(inputs, desired)
        leader.releases = self._list_releases()
        servers = {name: desired[name] for name in desired.keys() - holders.keys()}
        if servers:
            assigned = await self._node.propose(Assign(servers=servers))
            log_event(Event.SERVERS_ASSIGNED, count=len(assigned))
        self._placed_key = key
        if inputs.max_moves and not self._pending_releases:
            self._balanced_key = key

    def _list_holders(self):
        """Return the session of each held server, cached by revision."""
        machine = self._node.machine
        if self._holders_revision != machine.revision:
            self._holders_revision = machine.revision
            self._holders = {
                name: holding.session
                for name, holding in machine.holdings.items()
                if holding.session
            }
        return self._holders

    def _make_inputs(self, leader, holders, now):
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
            max_moves=self._compute_max_moves(entries, holders, now),
        )

    def _read_mode(self, leader, number, now):
        info = leader.sessions.get(number)
        silent_s = MISSED_HEARTBEATS_LIMIT * self._node.cfg.heartbeat_s
        if not info.is_confirmed or now - info.last_contact_at > silent_s:
            return EntryMode.SILENT
        if info.state is EntryState.RETIRING:
            return EntryMode.RETIRING
        return EntryMode.ACTIVE

    def _compute_max_moves(self, entries, holders, now):
        """Return how many servers may be moved now to improve spread or balance."""
        servers = self._node.machine.servers
        is_settled = (
            now - self._sessions_changed_at >= SETTLE_S
            and now - self._rebalanced_at >= REBALANCE_INTERVAL_S
            and not self._pending_releases
            and servers.keys() <= holders.keys()
            and all(entry.mode is EntryMode.ACTIVE for entry in entries)
        )
        if not is_settled:
            return 0
        self._rebalanced_at = now
        return max(MIN_MOVES, len(servers) // SERVERS_PER_MOVE)

    def _is_awaiting_entries(self, holders, now):
        """Return whether to wait for more entries before the first assignment."""
        if holders or not self._sessions:
            self._unassigned_since = None
            return False
        if self._unassigned_since is None:
            self._unassigned_since = now
        return (
            now - self._sessions_changed_at < FIRST_ASSIGN_QUIET_S
            and now - self._unassigned_since < FIRST_ASSIGN_LATEST_S
        )

    def _request_releases(self, inputs, desired):
        """Request the release of servers that should have another holder.

        Only one replica of a set changes its holder at a time, so that the
        others continue to serve.
        """
        holdings = self._node.machine.holdings
        has_eligible_entry = bool(list_eligible_sessions(inputs))
        self._pending_releases = {
            name: holding
            for name, holding in self._pending_releases.items()
            if has_eligible_entry and holdings.get(name) == holding
        }
        for group in list_replica_sets(inputs.document):
            name = _choose_release(group, inputs.holders, desired)
            if name and not any(
                server.name in self._pending_releases for server in group
            ):
                self._pending_releases[name] = holdings[name]

    def _list_releases(self):
        releases = {}
        for name, holding in sorted(self._pending_releases.items()):
            releases.setdefault(holding.session, []).append(name)
        return {session: tuple(names) for session, names in releases.items()}


def _choose_release(group, holders, desired):
    """Return the replica whose holder should change next, or None."""
    names = [server.name for server in group]
    if not all(name in holders for name in names):
        return None
    misplaced = (n for n in names if desired.get(n, holders[n]) != holders[n])
    return next(misplaced, None)
