"""Divide a query to many shards into groups that are gathered near the servers.

Load pattern: each query to 87 shards brings 75 KB of parts to the gateway that merges
them, two thirds of it from other failure domains, and the decisions for 87 parts take
11 ms of one processor. The servers of a shard are in two of six domains, so gateways
in every second domain reach a server of each shard in their own domain. Each of them
merges a third of the parts, and only the greatest records leave the domain. No I/O.
"""

import itertools
import math
from dataclasses import dataclass, field, replace

from wisteriaworks.balancing.distance import NearShards, divide_near
from wisteriaworks.gateway.query import (
    KEY_REASONS,
    MAX_EXPLAINED_SERVICES,
    GatheredAnswer,
    Unserved,
    UnservedReason,
)

# Cost of one more group, in parts from other domains: its request, its answer and a
# wait for one more gateway.
GROUP_COST = 4
# Divisions of a query that cost no more than this above the best one are used in
# turn, so that both servers of a shard get work.
EQUAL_COST = 2
MAX_DIVISIONS = 8
# Domains among which all subsets are compared.
MAX_DOMAINS = 9
# Divisions that are kept, by shards and domains. Those of 87 shards take some KB.
MAX_KEPT = 64


@dataclass(frozen=True, slots=True)
class Group:
    """Represent the shards, by position, that are gathered in one domain."""

    domain: str
    positions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class MergedPart:
    """Represent the greatest records of several parts, with their signatures."""

    signatures: tuple[bytes, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class GroupProgress:
    """Represent what is known of a group of ``size`` shards.

    ``lost`` is the number of shards whose part can no longer arrive. ``hop_s`` is
    the time that this progress was on its way from a delegate, in seconds.
    """

    size: int
    part: MergedPart = MergedPart((), b"")
    lost: int = 0
    is_final: bool = False
    may_have_run: bool = False
    reason: UnservedReason = UnservedReason.NO_SERVER
    causes: tuple = field(default=(), compare=False)
    hop_s: float = field(default=0.0, compare=False)

    @property
    def part_count(self):
        """Return the number of parts that have arrived."""
        return len(self.part.signatures)

    def mark_as_run(self):
        """Return this progress of a group whose servers may have run the query."""
        return replace(self, may_have_run=True)


def count_allowed_losses(shard_count, minimum_coverage):
    """Return how many of the shards of a query an answer may lack."""
    return shard_count - max(1, math.ceil(minimum_coverage * shard_count - 1e-9))


class GroupPlanner:
    """Find the divisions of the shards of a route into groups by domain.

    ``table`` is the table of servers. Divisions are kept until it changes.
    """

    def __init__(self, table):
        self._table = table
        self._revision = None
        self._divisions = {}
        self._near = {}

    def find_near_division(self, shards, own_domain, other_domains):
        """Return the division of a route that is served in the own domain, or None.

        Shards without a server there go to the first of ``other_domains``.
        """
        near = self._near.get(own_domain)
        if near is None:
            near = self._near[own_domain] = NearShards(self._table, own_domain)
        if not near.covers(shards):
            return None
        far = near.list_far(shards)
        positions = divide_near(shards, far, own_domain, other_domains)
        return tuple(Group(*item) for item in positions.items())

    def list_divisions(self, shards, domains):
        """Return equally good divisions over a set of domains, as tuples of groups.

        A shard without a usable server in any of the domains is in the smallest
        group.
        """
        if self._revision != self._table.revision:
            self._revision = self._table.revision
            self._divisions.clear()
        key = shards, domains
        if key not in self._divisions:
            while len(self._divisions) >= MAX_KEPT:
                del self._divisions[next(iter(self._divisions))]
            self._divisions[key] = self._divide(shards, sorted(domains))
        return self._divisions[key]

    def _divide(self, shards, domains):
        table = self._table
        positions = {}
        for position, shard in enumerate(shards):
            known = {server.entry.domain for server in table.list_usable(shard)}
            near = frozenset(known.intersection(domains))
            positions.setdefault(near, []).append(position)
        subsets = _list_subsets(domains)
        costs = {subset: _compute_cost(subset, positions) for subset in subsets}
        best = min(costs.values())
        chosen = [s for s, cost in costs.items() if cost <= best + EQUAL_COST]
        return tuple(_assign(subset, positions) for subset in chosen[:MAX_DIVISIONS])


def _list_subsets(domains):
    return [
        subset
        for size in range(1, min(len(domains), MAX_DOMAINS) + 1)
        for subset in itertools.combinations(domains[:MAX_DOMAINS], size)
    ]


def _compute_cost(subset, positions):
    far = sum(
        len(group) for near, group in positions.items() if near.isdisjoint(subset)
    )
    return far + GROUP_COST * len(subset)


def _assign(subset, positions):
    """Return the groups of one division, of about equal sizes where possible."""
    assigned = {domain: [] for domain in subset}
    # Shards with the fewest possible domains first.
    for near in sorted(
        positions, key=lambda near: len(near.intersection(subset)) or math.inf
    ):
        candidates = near.intersection(subset) or subset
        for position in positions[near]:
            domain = min(sorted(candidates), key=lambda name: len(assigned[name]))
            assigned[domain].append(position)
    return tuple(
        Group(domain, tuple(sorted(group)))
        for domain, group in assigned.items()
        if group
    )


class Gathering:
    """Combine the groups of one query until it has a result.

    ``sizes`` are the numbers of shards of the groups, and ``times`` the AnswerTimes.
    """

    def __init__(self, sizes, minimum_coverage, times):
        self._progress = [GroupProgress(size) for size in sizes]
        self._shard_count = sum(sizes)
        self._max_missing = count_allowed_losses(self._shard_count, minimum_coverage)
        self._times = times

    @property
    def slowest_hop_s(self):
        """Return the longest time that the progress of a group was on its way."""
        return max(progress.hop_s for progress in self._progress)

    def record(self, number, progress):
        """Record the progress of a group, which replaces the one before."""
        self._progress[number] = progress

    def compute_wake_at(self):
        """Return when ``get_result`` is due if nothing arrives before."""
        times = self._times
        if self._count_missing() <= self._max_missing:
            return min(times.partial_at, times.give_up_at)
        return times.give_up_at

    def get_result(self, now):
        """Return the result if there is one now, or None."""
        times, missing = self._times, self._count_missing()
        is_complete = all(progress.is_final for progress in self._progress)
        is_due = now >= min(times.partial_at, times.give_up_at)
        if missing <= self._max_missing and (is_complete or is_due):
            parts = tuple(p.part for p in self._progress if p.part_count)
            return GatheredAnswer(parts, missing, self._explain() if missing else ())
        lost = sum(self._count_lost(progress) for progress in self._progress)
        if lost > self._max_missing:
            return self._fail(self._find_reason())
        return self._fail(UnservedReason.DEADLINE) if now >= times.give_up_at else None

    def _count_missing(self):
        return self._shard_count - sum(p.part_count for p in self._progress)

    def _count_lost(self, progress):
        return (
            progress.size - progress.part_count if progress.is_final else progress.lost
        )

    def _fail(self, reason):
        return Unserved(reason, self._may_have_run(), self._explain())

    def _may_have_run(self):
        # A delegate may have sent the requests of a group without an answer.
        return any(
            p.may_have_run or p.part_count or not p.is_final for p in self._progress
        )

    def _find_reason(self):
        reasons = {p.reason for p in self._progress if p.is_final}
        if self._may_have_run():
            is_delegate_lost = UnservedReason.DELEGATE in reasons
            return (
                UnservedReason.DELEGATE if is_delegate_lost else UnservedReason.COVERAGE
            )
        known = (*KEY_REASONS.values(), UnservedReason.REFUSED)
        return next((r for r in known if r in reasons), UnservedReason.NO_SERVER)

    def _explain(self):
        causes = itertools.chain.from_iterable(p.causes for p in self._progress)
        return tuple(itertools.islice(causes, MAX_EXPLAINED_SERVICES))
