"""Choose the entry that holds each backend server.

The loss of one failure domain takes out the servers in it and the servers
whose holders are in it. Placement avoids that this takes out two replicas of
one replica set, then balances the slots, and moves as little as it can.
"""

import heapq
import itertools
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from wisteriaworks.generated.document import Document, Server


class EntryMode(Enum):
    """Say what placement may do with an entry."""

    ACTIVE = "active"
    RETIRING = "retiring"
    # The entry misses heartbeats: it keeps what it holds and receives nothing.
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class PlacementEntry:
    """Describe one open session to placement."""

    session: int
    domain: str
    mode: EntryMode


@dataclass(frozen=True, slots=True)
class PlacementInput:
    """Hold all that placement depends on."""

    document: Document
    entries: tuple[PlacementEntry, ...]
    domains_out: frozenset[str]
    holders: Mapping[str, int]
    max_moves: int


@dataclass(frozen=True, slots=True, order=True)
class _Cost:
    """Count the replica pairs that one loss takes out; smaller is better."""

    same_entry: int
    same_domain: int
    shared_domain: int


_NO_COST = _Cost(0, 0, 0)


class _Board:
    """Hold a placement that is being changed."""

    def __init__(self, given):
        self._given = given
        self.sets = list_replica_sets(given.document)
        self.servers = {s.name: s for group in self.sets for s in group}
        self._set_of = {s.name: group for group in self.sets for s in group}
        self.entries = {entry.session: entry for entry in given.entries}
        self.suitable = list_suitable(given)
        self.holders = self._keep_holders()
        self.loads = dict.fromkeys(self.suitable, 0)
        self.held = {session: {} for session in self.suitable}
        self._heaps = {}
        for name, session in self.holders.items():
            self._count(self.servers[name], session, 1)
        for session in self.suitable:
            self._push(session)

    def list_unplaced(self):
        """Return the servers without a holder, the largest first."""
        servers = self.servers.values()
        unplaced = [s for s in servers if s.name not in self.holders]
        return sorted(unplaced, key=lambda s: (-s.slots, s.name))

    def move(self, server, session):
        """Give a server to a suitable entry."""
        before = self.holders.get(server.name)
        if before is not None:
            self._count(server, before, -1)
            self._push(before)
        self.holders[server.name] = session
        self._count(server, session, 1)
        self._push(session)

    def list_candidates(self, server):
        """Return the least loaded suitable entry of each domain.

        Entries that hold another replica of the server come last.
        """
        others = self._list_others(server)
        taken = {self.holders.get(other.name) for other in others}
        return [self._find_least(domain, taken) for domain in sorted(self._heaps)]

    def choose(self, server):
        """Return the cost and the entry that suit a server best."""
        return min(
            self._rank(server, session) for session in self.list_candidates(server)
        )

    def compute_cost(self, server, session):
        """Return the cost of giving a server to an entry."""
        domain = self.entries[session].domain
        pairs = [
            self._compare(server, session, domain, other)
            for other in self._list_others(server)
        ]
        return _Cost(*map(sum, zip(*pairs, strict=True))) if pairs else _NO_COST

    def list_extremes(self):
        """Return the least and the most loaded entries of each domain."""
        by_domain = {}
        for session in sorted(self.suitable):
            by_domain.setdefault(self.entries[session].domain, []).append(session)
        least = [min(group, key=self.loads.get) for group in by_domain.values()]
        most = [max(group, key=self.loads.get) for group in by_domain.values()]
        return least, most

    def _rank(self, server, session):
        cost = self.compute_cost(server, session)
        is_remote = self.entries[session].domain != server.domain
        return cost, self.loads[session], is_remote, session

    def _compare(self, server, session, domain, other):
        holder = self.holders.get(other.name)
        if holder is None:
            return 0, 0, int(domain == other.domain)
        other_domain = self.entries[holder].domain
        shared = {server.domain, domain} & {other.domain, other_domain}
        return int(holder == session), int(other_domain == domain), int(bool(shared))

    def _list_others(self, server):
        return [s for s in self._set_of[server.name] if s.name != server.name]

    def _keep_holders(self):
        kept = {}
        for name in self._set_of:
            session = self._given.holders.get(name, 0)
            entry = self.entries.get(session)
            if session in self.suitable or _is_silent(entry, self._given):
                kept[name] = session
        return kept

    def _count(self, server, session, sign):
        if session not in self.suitable:
            return
        self.loads[session] += sign * server.slots
        if sign > 0:
            self.held[session][server.name] = server
        else:
            del self.held[session][server.name]

    def _push(self, session):
        if session in self.suitable:
            heap = self._heaps.setdefault(self.entries[session].domain, [])
            heapq.heappush(heap, (self.loads[session], session))

    def _find_least(self, domain, taken):
        heap = self._heaps[domain]
        seen = {}
        while heap:
            load, session = heapq.heappop(heap)
            # Loads change after they were pushed; stale items are dropped.
            if load == self.loads[session] and session not in seen:
                seen[session] = load
                if session not in taken:
                    break
        for session, load in seen.items():
            heapq.heappush(heap, (load, session))
        free = [session for session in seen if session not in taken]
        return free[0] if free else next(iter(seen))


def place(given):
    """Return the wanted session for each server of the document.

    Servers that have no suitable entry are absent. At most ``max_moves``
    servers are moved for a better spread or balance alone.
    """
    board = _Board(given)
    if not board.suitable:
        return _keep_all(given, board)
    for server in board.list_unplaced():
        board.move(server, board.choose(server)[-1])
    moves = _improve_spread(board, given.max_moves)
    _improve_balance(board, given.max_moves - moves)
    return board.holders


def _keep_all(given, board):
    current = {name: given.holders.get(name, 0) for name in board.servers}
    return {name: session for name, session in current.items() if session}


def _improve_spread(board, max_moves):
    """Move one replica of each badly spread set; return the number moved."""
    moves = 0
    for group in board.sets:
        if moves >= max_moves:
            break
        best = min(_list_better_homes(board, group), default=None)
        if best is not None:
            _, name, session = best
            board.move(board.servers[name], session)
            moves += 1
    return moves


def _list_better_homes(board, group):
    for server in group:
        holder = board.holders[server.name]
        if len(group) > 1 and holder in board.suitable:
            now = board.compute_cost(server, holder)
            if now == _NO_COST:
                continue
            cost, *_, session = board.choose(server)
            if cost < now:
                yield cost, server.name, session


def _improve_balance(board, max_moves):
    for _ in range(max_moves):
        best = max(_list_balancing_moves(board), default=None)
        if best is None:
            return
        _, name, target = best
        board.move(board.servers[name], target)


def _list_balancing_moves(board):
    least, most = board.list_extremes()
    for source, target in itertools.product(most, least):
        gap = board.loads[source] - board.loads[target]
        for server in board.held[source].values():
            if server.slots < gap and _keeps_spread(board, server, source, target):
                yield (gap, server.slots), server.name, target


def _keeps_spread(board, server, source, target):
    now = board.compute_cost(server, source)
    return board.compute_cost(server, target) <= now


def list_suitable(given):
    """Return the sessions that may receive servers."""
    return {
        entry.session
        for entry in given.entries
        if entry.mode is EntryMode.ACTIVE and entry.domain not in given.domains_out
    }


def _is_silent(entry, given):
    return (
        entry is not None
        and entry.mode is EntryMode.SILENT
        and entry.domain not in given.domains_out
    )


def list_replica_sets(document):
    """Return the servers of each replica set, in a fixed order."""
    sets: dict[tuple[str, str], list[Server]] = {}
    for name, index in sorted(document.indexes.items()):
        for server in index.servers:
            sets.setdefault((name, server.replica_set), []).append(server)
    return [tuple(sorted(group, key=lambda s: s.name)) for group in sets.values()]
