"""Derive from a view which snapshots exist and which servers serve them."""

import itertools
from collections import defaultdict
from dataclasses import dataclass

from wisteriaworks.generated.document import Server
from wisteriaworks.generated.messages import Route, ServerState

# Requests that started before a view was replaced still use the old one.
_KEPT_VIEWS = 4
_UNUSABLE = frozenset({ServerState.DRAINING, ServerState.DOWN})


@dataclass(frozen=True, slots=True)
class Replica:
    """Describe one server that can serve a shard, and its holder."""

    server: str
    # Peer address of the entry that holds the server.
    address: str
    epoch: int
    # Sub-queries that the server can run at once; an estimate.
    slots: int


@dataclass(frozen=True, slots=True)
class ShardPlan:
    """Describe a shard of the pinned snapshot and its usable replicas."""

    index: str
    shard: str
    replicas: tuple[Replica, ...]


@dataclass(frozen=True, slots=True)
class SnapshotPlan:
    """Describe all shards that a search needs in one snapshot."""

    snapshot: int
    shards: tuple[ShardPlan, ...]
    # Share of the shards with a usable replica.
    coverage: float


@dataclass(frozen=True, slots=True)
class _IndexTable:
    """Store the shards of one index by snapshot.

    ``inputs`` are the servers, routes and domains from which they were derived.
    """

    inputs: tuple
    shards: dict[int, tuple[ShardPlan, ...]]


class Catalog:
    """Find the snapshots of one view and their usable replicas.

    Tables are derived on first use. The table of an index whose servers,
    domains and routes did not change is taken from ``previous``, because each
    heartbeat may bring a new view.
    """

    def __init__(self, view, previous=None):
        self.view = view
        self._previous = previous._list_tables() if previous else {}
        self._tables = {}
        self._ranked = {}

    def rank_snapshots(self, indexes):
        """Return a plan for each snapshot that all the indexes have, the best first.

        The highest coverage comes first, and the newest among equals, so that
        the newest complete snapshot precedes all others.
        """
        ranked = self._ranked.get(indexes)
        if ranked is None:
            ranked = self._ranked[indexes] = self._rank(indexes)
        return ranked

    def _list_tables(self):
        names = self.view.document.indexes
        tables = {**self._previous, **self._tables}
        return {name: tables[name] for name in tables if name in names}

    def _rank(self, indexes):
        tables = [self._find_table(index).shards for index in dict.fromkeys(indexes)]
        common = set.intersection(*(set(table) for table in tables))
        plans = [_plan_snapshot(snapshot, tables) for snapshot in common]
        plans.sort(key=lambda plan: (plan.coverage, plan.snapshot), reverse=True)
        return tuple(plans)

    def _find_table(self, index):
        table = self._tables.get(index)
        if table is None:
            table = self._tables[index] = self._derive_table(index)
        return table

    def _derive_table(self, name):
        document = self.view.document
        servers = document.indexes[name].servers if name in document.indexes else ()
        routes = tuple(self.view.routes.get(server.name) for server in servers)
        inputs = (servers, routes, document.domains)
        previous = self._previous.get(name)
        if previous is not None and previous.inputs == inputs:
            return previous
        domains_out = [self.view.is_domain_out(server.domain) for server in servers]
        return _IndexTable(inputs, _derive_shards(name, servers, routes, domains_out))


def _derive_shards(index, servers, routes, domains_out):
    maps = defaultdict(set)
    replicas = defaultdict(list)
    for server, route, is_out in zip(servers, routes, domains_out, strict=True):
        if route is None:
            continue
        usable = not is_out and is_usable(route)
        replica = _make_replica(server, route)
        for report in route.snapshots:
            # Unusable servers still report which shards exist, so that the
            # coverage during an outage is not overstated.
            maps[report.snapshot].update(report.partition_map)
            for shard in report.shards if usable else ():
                replicas[report.snapshot, shard].append(replica)
    return {
        snapshot: tuple(
            ShardPlan(index, shard, tuple(replicas[snapshot, shard]))
            for shard in sorted(shards)
        )
        for snapshot, shards in maps.items()
        if shards
    }


def is_usable(route):
    """Return whether new work may be sent to a server."""
    return route.holder != 0 and not route.leaving and route.state not in _UNUSABLE


def _make_replica(server: Server, route: Route):
    # A cold server starts with a concurrency limit of 1.
    slots = 1 if route.state is ServerState.COLD else server.slots
    return Replica(server.name, route.address, route.epoch, slots)


def _plan_snapshot(snapshot, tables):
    shards = tuple(itertools.chain.from_iterable(table[snapshot] for table in tables))
    covered = sum(1 for shard in shards if shard.replicas)
    return SnapshotPlan(snapshot, shards, covered / len(shards))


class CatalogCache:
    """Cache the catalogs of the latest views."""

    def __init__(self):
        self._catalogs = []

    def find(self, view):
        """Return the catalog of a view, creating it on first use."""
        for catalog in self._catalogs:
            if catalog.view is view:
                return catalog
        previous = self._catalogs[0] if self._catalogs else None
        catalog = Catalog(view, previous)
        self._catalogs = [catalog, *self._catalogs[: _KEPT_VIEWS - 1]]
        return catalog
