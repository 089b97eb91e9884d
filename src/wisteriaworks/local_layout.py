"""Describe a local system: its document and the settings of its emulators."""

import hashlib
import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from wisteriaworks.generated.document import (
    Caller,
    Document,
    Domain,
    Index,
    Limits,
    Routing,
    Search,
    Server,
)
from wisteriaworks.generated.emulator import (
    EmulatedIndex,
    EmulatorSettings,
    Profile,
    ServerSettings,
)
from wisteriaworks.processes import find_free_ports

PROFILE_PREFIX = "local"
DEFAULT_PRIORITY = 1


def make_credential(search):
    """Return the credential of the only caller that may send a search."""
    return f"local-{search}"


@dataclass(frozen=True)
class IndexLayout:
    """Describe the replica sets and servers of one index."""

    name: str
    replica_sets: int
    replicas: int = 2
    slots: int = 2
    connections: int = 25
    keyed: bool = False
    # Hits of a query in the entire index.
    hits: int = 20


@dataclass(frozen=True)
class Layout:
    """Describe a local system."""

    domains: tuple[str, ...]
    indexes: tuple[IndexLayout, ...]
    entries: int = 4
    controls: int = 3
    # Processes that share the emulated servers.
    emulators: int = 1
    profile: Profile = field(default_factory=Profile)
    limits: Limits = field(default_factory=Limits)
    timeout_ms: int = 2000
    seed: int = 1
    # Priority by search; each search has its own caller.
    priorities: Mapping[str, int] = field(default_factory=dict)


DEMO_LAYOUT = Layout(
    domains=("plovdiv-a", "plovdiv-b", "asenovgrad", "stamboliyski"),
    indexes=(
        IndexLayout("gate-desk", replica_sets=6),
        IndexLayout("pass-sales", replica_sets=3, keyed=True),
    ),
)


def create_document(layout):
    """Return a configuration document with free ports for the servers."""
    count = sum(index.replica_sets * index.replicas for index in layout.indexes)
    ports = iter(find_free_ports(count))
    indexes = {
        index.name: _create_index(index, layout.domains, ports)
        for index in layout.indexes
    }
    searches = {
        index.name: Search(
            indexes=(index.name,),
            routing=Routing.KEYED if index.keyed else Routing.SCATTER,
            idempotent=not index.keyed,
        )
        for index in layout.indexes
    }
    return Document(
        searches=searches,
        indexes=indexes,
        callers={f"{name}-caller": _create_caller(layout, name) for name in searches},
        domains={name: Domain() for name in layout.domains},
        limits=layout.limits,
    )


def _create_caller(layout, search):
    credential = make_credential(search)
    return Caller(
        credential_sha256=hashlib.sha256(credential.encode()).hexdigest(),
        searches=(search,),
        timeout_ms=layout.timeout_ms,
        priority=layout.priorities.get(search, DEFAULT_PRIORITY),
    )


def _create_index(index, domains, ports):
    numbers = itertools.product(range(index.replica_sets), range(index.replicas))
    return Index(
        servers=tuple(
            Server(
                name=f"{index.name}-{group + 1}-{replica + 1}",
                address=f"127.0.0.1:{next(ports)}",
                domain=domains[(group + replica) % len(domains)],
                replica_set=f"{index.name}-{group + 1}",
                slots=index.slots,
                connections=index.connections,
            )
            for group, replica in numbers
        )
    )


def create_emulator_settings(layout, document, addresses, number):
    """Return the settings of one of the emulators that share the servers."""
    hits = {index.name: index.hits for index in layout.indexes}
    indexes = {
        name: EmulatedIndex(
            partition_map=tuple(sorted({s.replica_set for s in index.servers})),
            hits=hits[name],
        )
        for name, index in document.indexes.items()
    }
    servers = [
        ServerSettings(
            name=server.name,
            address=server.address,
            index=name,
            shards=(server.replica_set,),
            profile=f"{PROFILE_PREFIX}-{server.slots}",
        )
        for name, index in document.indexes.items()
        for server in index.servers
    ]
    profiles = {
        f"{PROFILE_PREFIX}-{index.slots}": msgspec.structs.replace(
            layout.profile, slots=index.slots, connections=index.connections
        )
        for index in layout.indexes
    }
    return EmulatorSettings(
        control=addresses[number],
        seed=layout.seed,
        vm_list_lag_s=1.0,
        profiles=profiles,
        indexes=indexes,
        servers=tuple(servers[number :: len(addresses)]),
    )
