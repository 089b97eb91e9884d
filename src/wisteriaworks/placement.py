"""Choose the entry that holds each backend server.

The loss of a failure domain makes the servers in it unavailable, and also the
servers whose holders are in it. Placement first spreads the replicas of each
replica set, so that one such loss does not affect two of them, then balances the
slots, and makes as few moves as possible.
"""

import heapq
import itertools
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from wisteriaworks.generated.document import Document, Server


class EntryMode(Enum):
    """Describe how placement may use an entry."""

    ACTIVE = "active"
    RETIRING = "retiring"
    # The entry misses heartbeats, or has sent none since this leader added its
    # session. It keeps its servers and receives no others.
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class PlacementEntry:
    """Describe an open session as input of a placement."""

    session: int
    domain: str
    mode: EntryMode


@dataclass(frozen=True, slots=True)
class PlacementInput:
    """Describe the input of a placement.

    ``holders`` maps servers to sessions; ``max_moves`` bounds the moves of placed
    servers.
    """

    document: Document
    entries: tuple[PlacementEntry, ...]
    domains_out: frozenset[str]
    holders: Mapping[str, int]
    max_moves: int


@dataclass(frozen=True, slots=True, order=True)
class _Cost:
    """Count the replica pairs that a single loss would affect; lower is better."""

    # Both replicas are held by one entry.
    same_entry: int
    # Their holders are in one domain.
    same_holder_domain: int
    # One domain contains the server or the holder of each replica.
    shared_domain: int


_NO_COST = _Cost(0, 0, 0)


class _PlacementPlan:
    """Track a placement while it is being changed."""

    def __init__(self, inputs):
        self._inputs = inputs
        self.sets = list_replica_sets(inputs.document)
        self.servers = {s.name: s for group in self.sets for s in group}
        self._set_by_server = {s.name: group for group in self.sets for s in group}
        self.entries = {entry.session: entry for entry in inputs.entries}
        self.eligible = list_eligible_sessions(inputs)
        self.holders = self._select_kept_holders()
        self.loads = dict.fromkeys(self.eligible, 0)
        self.held = {session: {} for session in self.eligible}
        self._heaps = {}
        for name, session in self.holders.items():
            self._update_load(self.servers[name], session, 1)
        for session in self.eligible:
            self._push_load(session)

    def list_unplaced(self):
        """Return the servers without a holder, those with the most slots first."""
        servers = self.servers.values()
        unplaced = [s for s in servers if s.name not in self.holders]
        return sorted(unplaced, key=lambda s: (-s.slots, s.name))

    def move(self, server, session):
        """Assign a server to an eligible entry."""
        previous = self.holders.get(server.name)
        if previous is not None:
            self._update_load(server, previous, -1)
            self._push_load(previous)
        self.holders[server.name] = session
        self._update_load(server, session, 1)
        self._push_load(session)

    def list_candidates(self, server):
        """Return the least loaded eligible entry of each domain.

        An entry that holds another replica of the server is returned only if
        its domain has no other entry.
        """
        others = self._list_other_replicas(server)
        excluded = {self.holders.get(other.name) for other in others}
        return [
            self._find_least_loaded(domain, excluded) for domain in sorted(self._heaps)
        ]

    def find_best_rank(self, server):
        """Return the rank of the best entry for a server.

        A rank is the tuple (cost, load, is_remote, session); the lowest is the best.
        """
        return min(
            self._rank(server, session) for session in self.list_candidates(server)
        )

    def compute_cost(self, server, session):
        """Return the cost of assigning a server to an entry."""
        domain = self.entries[session].domain
        pairs = [
            self._count_shared_losses(server, session, domain, other)
            for other in self._list_other_replicas(server)
        ]
        return _Cost(*map(sum, zip(*pairs, strict=True))) if pairs else _NO_COST

    def list_load_extremes(self):
        """Return the least and the most loaded entries of each domain."""
        by_domain = {}
        for session in sorted(self.eligible):
            by_domain.setdefault(self.entries[session].domain, []).append(session)
        least_loaded = [min(group, key=self.loads.get) for group in by_domain.values()]
        most_loaded = [max(group, key=self.loads.get) for group in by_domain.values()]
        return least_loaded, most_loaded

    def _rank(self, server, session):
        cost = self.compute_cost(server, session)
        is_remote = self.entries[session].domain != server.domain
        return cost, self.loads[session], is_remote, session

    def _count_shared_losses(self, server, session, domain, other):
        holder = self.holders.get(other.name)
        if holder is None:
            return 0, 0, int(domain == other.domain)
        other_domain = self.entries[holder].domain
        shared = {server.domain, domain} & {other.domain, other_domain}
        return int(holder == session), int(other_domain == domain), int(bool(shared))

    def _list_other_replicas(self, server):
        return [s for s in self._set_by_server[server.name] if s.name != server.name]

    def _select_kept_holders(self):
        kept = {}
        for name in self._set_by_server:
            session = self._inputs.holders.get(name, 0)
            entry = self.entries.get(session)
            if session in self.eligible or _is_silent(entry, self._inputs):
                kept[name] = session
        return kept

    def _update_load(self, server, session, sign):
        if session not in self.eligible:
            return
        self.loads[session] += sign * server.slots
        if sign > 0:
            self.held[session][server.name] = server
        else:
            del self.held[session][server.name]

    def _push_load(self, session):
        if session in self.eligible:
            heap = self._heaps.setdefault(self.entries[session].domain, [])
            heapq.heappush(heap, (self.loads[session], session))

    def _find_least_loaded(self, domain, excluded):
        heap = self._heaps[domain]
        seen = {}
        while heap:
            load, session = heapq.heappop(heap)
            # Items whose load changed after the push are stale and dropped.
            if load == self.loads[session] and session not in seen:
                seen[session] = load
                if session not in excluded:
                    break
        for session, load in seen.items():
            heapq.heappush(heap, (load, session))
        free = [session for session in seen if session not in excluded]
        return free[0] if free else next(iter(seen))


def place(inputs):
    """Return the session that should hold each server of the document.

    If no entry is eligible, the current holders are returned; servers without a
    holder are then absent.
    At most ``max_moves`` placed servers are moved to improve spread or balance.
    """
    plan = _PlacementPlan(inputs)
    if not plan.eligible:
        return _list_current_holders(inputs, plan)
    for server in plan.list_unplaced():
        plan.move(server, plan.find_best_rank(server)[-1])
    moves = _improve_spread(plan, inputs.max_moves)
    _improve_balance(plan, inputs.max_moves - moves)
    return plan.holders


def _list_current_holders(inputs, plan):
    current = {name: inputs.holders.get(name, 0) for name in plan.servers}
    return {name: session for name, session in current.items() if session}


def _improve_spread(plan, max_moves):
    """Move one replica of each set in which a single loss would affect two replicas.

    Sets that no move improves stay unchanged. Return the number of moves.
    """
    moves = 0
    for group in plan.sets:
        if moves >= max_moves:
            break
        best = min(_list_spread_moves(plan, group), default=None)
        if best is not None:
            _, name, session = best
            plan.move(plan.servers[name], session)
            moves += 1
    return moves


def _list_spread_moves(plan, group):
    for server in group:
        holder = plan.holders[server.name]
        if len(group) > 1 and holder in plan.eligible:
            current = plan.compute_cost(server, holder)
            if current == _NO_COST:
                continue
            cost, *_, session = plan.find_best_rank(server)
            if cost < current:
                yield cost, server.name, session


def _improve_balance(plan, max_moves):
    for _ in range(max_moves):
        best = max(_list_balancing_moves(plan), default=None)
        if best is None:
            return
        _, name, target = best
        plan.move(plan.servers[name], target)


def _list_balancing_moves(plan):
    least_loaded, most_loaded = plan.list_load_extremes()
    for source, target in itertools.product(most_loaded, least_loaded):
        gap = plan.loads[source] - plan.loads[target]
        for server in plan.held[source].values():
            if server.slots < gap and _keeps_spread(plan, server, source, target):
                yield (gap, server.slots), server.name, target


def _keeps_spread(plan, server, source, target):
    current = plan.compute_cost(server, source)
    return plan.compute_cost(server, target) <= current


def list_eligible_sessions(inputs):
    """Return the sessions that may receive servers."""
    return {
        entry.session
        for entry in inputs.entries
        if entry.mode is EntryMode.ACTIVE and entry.domain not in inputs.domains_out
    }


def _is_silent(entry, inputs):
    return (
        entry is not None
        and entry.mode is EntryMode.SILENT
        and entry.domain not in inputs.domains_out
    )


def list_replica_sets(document):
    """Return the servers of each replica set, in a fixed order."""
    sets: dict[tuple[str, str], list[Server]] = {}
    for name, index in sorted(document.indexes.items()):
        for server in index.servers:
            sets.setdefault((name, server.replica_set), []).append(server)
    return [tuple(sorted(group, key=lambda s: s.name)) for group in sets.values()]
