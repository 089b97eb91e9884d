"""Create documents, routes and messages in the proportions of the design size.

Also measure processor time, memory and the size of messages.
"""

import gc
import os
import random
import time
from pathlib import Path

from wisteriaworks import codec
from wisteriaworks.generated.document import (
    Caller,
    Document,
    Domain,
    Index,
    Search,
    Server,
)
from wisteriaworks.generated.messages import (
    ConfigurationReply,
    EntryState,
    Heartbeat,
    HeartbeatReply,
    ProposeResult,
    Route,
    ServerState,
    SnapshotReport,
)

DESIGN_ENTRIES = 3_700
DESIGN_SERVERS = 24_000
# Also the fan-out of a search.
SHARDS_PER_INDEX = 57
REPLICAS = 2
DOMAINS = (
    *(f"region-{n // 2 + 1}-{'ab'[n % 2]}" for n in range(8)),
    "region-1-c",
)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
FRAME_HEADER_BYTES = 9
REPEATS = 5


def count_servers(entries):
    """Return the number of servers at the design ratio to ``entries``."""
    return round(entries * DESIGN_SERVERS / DESIGN_ENTRIES)


def count_entries(servers):
    """Return the number of entries at the design ratio to ``servers``."""
    return max(len(DOMAINS), round(servers * DESIGN_ENTRIES / DESIGN_SERVERS))


def make_document(count):
    """Return a document of ``count`` servers, SHARDS_PER_INDEX * REPLICAS an index."""
    per_index = SHARDS_PER_INDEX * REPLICAS
    indexes = {
        f"index-{first // per_index:03}": Index(
            servers=tuple(
                _make_server(number)
                for number in range(first, min(first + per_index, count))
            )
        )
        for first in range(0, count, per_index)
    }
    searches = {name: Search(indexes=(name,)) for name in indexes}
    return Document(
        searches=searches,
        indexes=indexes,
        callers={
            f"{name}-caller": Caller(
                credential_sha256=f"{number:064}", searches=(name,), timeout_ms=140
            )
            for number, name in enumerate(searches)
        },
        domains={name: Domain() for name in DOMAINS},
    )


def _make_server(number):
    index, rest = divmod(number, SHARDS_PER_INDEX * REPLICAS)
    shard, replica = divmod(rest, REPLICAS)
    return Server(
        name=f"index-{index:03}-{shard:02}-{replica}",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000",
        domain=DOMAINS[(shard + replica) % len(DOMAINS)],
        replica_set=f"index-{index:03}-{shard:02}",
        slots=2,
        connections=25,
    )


def make_routes(document, sessions):
    """Return a route per server, each with one snapshot of its index."""
    rng = random.Random(1)
    return tuple(
        make_route(server, rng.randrange(1, sessions + 1), shards)
        for index in document.indexes.values()
        for shards in [tuple(sorted({s.replica_set for s in index.servers}))]
        for server in index.servers
    )


def make_route(server, holder, shards):
    """Return the route of one server."""
    return Route(
        server=server.name,
        holder=holder,
        address=make_address(holder),
        epoch=3,
        state=ServerState.READY,
        leaving=False,
        snapshots=(SnapshotReport(1_764_000_000, shards, (server.replica_set,)),),
    )


def make_address(number):
    """Return the peer address of an entry."""
    return f"10.9.{number >> 8}.{number & 255}:7001"


def make_heartbeat(number, session=0, **fields):
    """Return a heartbeat of an entry that has nothing to report."""
    all_fields = {"config_version": 0, "route_version": 0, "full": False, **fields}
    return Heartbeat(
        session=session,
        name=f"entry-{number:04}",
        domain=DOMAINS[number % len(DOMAINS)],
        address=make_address(number),
        state=EntryState.ACTIVE,
        **all_fields,
    )


def make_reply(document=None, routes=(), full=False):
    """Return the reply to a heartbeat."""
    return HeartbeatReply(
        session=1,
        lease_s=4.0,
        heartbeat_s=0.5,
        leader_epoch=1,
        config_version=1,
        document=document,
        route_version=1 << 40,
        full=full,
        routes=routes,
        removed=(),
        release=(),
    )


def round_trip(message):
    """Return a message encoded and decoded; the result shares no objects with it."""
    return codec.decode(codec.encode(message))


def decode_document(document):
    """Return a document encoded and decoded; the result shares no objects with it."""
    reply = ConfigurationReply(ProposeResult.ACCEPTED, 1, document)
    return round_trip(reply).document


def count_bytes(message):
    """Return the size of a message with its frame header, in bytes."""
    return len(codec.encode(message)) + FRAME_HEADER_BYTES


def time_ms(function, *args, repeats=REPEATS):
    """Return the minimum processor time of several calls, in milliseconds."""
    return min(_time_once_ms(function, *args) for _ in range(repeats))


def _time_once_ms(function, *args):
    began = time.process_time_ns()
    function(*args)
    return (time.process_time_ns() - began) / 1e6


def read_resident_bytes(pid="self"):
    """Return the size of the resident set of a process, in bytes."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def read_cpu_s(pid):
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_memory_growth_kb(make):
    """Return by how much ``make()`` grows the resident set, in kilobytes."""
    gc.collect()
    before = read_resident_bytes()
    kept = make()
    gc.collect()
    grown = read_resident_bytes() - before
    del kept
    return grown / 1000
