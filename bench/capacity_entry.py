"""Measure the cost of an entry's view of the system, and of an idle entry."""

import contextlib
import tempfile
import time

import msgspec
import trio
from capacity_data import (
    DESIGN_ENTRIES,
    DESIGN_SERVERS,
    REPEATS,
    count_bytes,
    make_document,
    make_reply,
    make_routes,
    measure_memory_growth_kb,
    read_cpu_s,
    read_resident_bytes,
)
from capacity_fit import Part

from wisteriaworks import codec
from wisteriaworks.catalog import CatalogCache
from wisteriaworks.generated.settings import EntrySettings
from wisteriaworks.holder import Holder
from wisteriaworks.lease import Lease
from wisteriaworks.local_layout import IndexLayout, Layout
from wisteriaworks.local_system import LocalSystem
from wisteriaworks.session import Session
from wisteriaworks.view_store import ViewStore

# Number of a session without servers, so that the entry opens no connections.
SESSION = DESIGN_ENTRIES + 1
IDLE_S = 5.0


class _Control:
    """Answer each heartbeat with the bytes in ``data``."""

    def __init__(self):
        self.data = b""
        self.sent = b""

    async def call(self, message, timeout_s):
        await trio.lowlevel.checkpoint()
        self.sent = codec.encode(message)
        return codec.decode(self.data)


class _Entry:
    """Represent the parts of an entry that process heartbeat replies."""

    def __init__(self, holder):
        cfg = EntrySettings(
            name="entry-0001",
            domain="region-1-a",
            api="127.0.0.1:1",
            peer="127.0.0.1:2",
            admin="127.0.0.1:3",
            control=("127.0.0.1:4",),
        )
        self.control = _Control()
        self.session = Session(cfg, self.control, holder, Lease(), ViewStore(None))
        self.catalogs = CatalogCache()

    async def renew(self, reply):
        """Adopt a heartbeat reply; return the processor time in milliseconds."""
        self.control.data = codec.encode(reply)
        started = time.process_time_ns()
        await self.session.renew()
        return (time.process_time_ns() - started) / 1e6

    def rank(self):
        """Plan a search of every index; return the processor time in ms."""
        started = time.process_time_ns()
        view = self.session.view
        catalog = self.catalogs.find(view)
        for name in view.document.indexes:
            catalog.rank_snapshots((name,))
        return (time.process_time_ns() - started) / 1e6


@contextlib.asynccontextmanager
async def _open_entry():
    async with Holder(Lease()) as holder:
        yield _Entry(holder)


def _make_full_reply(servers, version=1):
    document = make_document(servers)
    reply = make_reply(document, make_routes(document, DESIGN_ENTRIES), full=True)
    return msgspec.structs.replace(reply, session=SESSION, config_version=version)


def measure_memory(servers):
    """Measure the memory of the configuration, the routes and the catalog."""
    return trio.run(_measure_memory, servers)


async def _measure_memory(servers):
    async with _open_entry() as entry:
        entry.control.data = codec.encode(_make_full_reply(servers))
        view_kb = await _measure_async_growth(entry.session.renew)
        rank_kb = measure_memory_growth_kb(entry.rank)
        view = entry.session.view
    assert len(view.routes) == servers
    return {"configuration and routes, kB": view_kb, "catalogue, kB": rank_kb}


async def _measure_async_growth(renew):
    # measure_memory_growth_kb() collects garbage before the resident set is read.
    before = measure_memory_growth_kb(lambda: None) + read_resident_bytes() / 1000
    await renew()
    return (
        measure_memory_growth_kb(lambda: None) + read_resident_bytes() / 1000 - before
    )


def measure_adoption(servers):
    """Time heartbeats that bring nothing, a route, a configuration, or everything."""
    return trio.run(_measure_adoption, servers)


async def _measure_adoption(servers):
    full = _make_full_reply(servers)
    idle = msgspec.structs.replace(full, document=None, routes=(), full=False)
    async with _open_entry() as entry:
        first = [(await entry.renew(full), entry.rank())]
        nothing = [(await entry.renew(idle), entry.rank()) for _ in range(REPEATS)]
        one = [await _adopt_route(entry, idle, full, n) for n in range(REPEATS)]
        new = [await _adopt_document(entry, full, n) for n in range(2, 2 + REPEATS)]
        sent = len(entry.control.sent)
    figures = {}
    for name, spent in (
        ("nothing changed", nothing),
        ("one route", one),
        ("configuration", new),
        ("everything", first),
    ):
        figures[f"{name}: heartbeat, ms"] = min(ms for ms, _ in spent)
        figures[f"{name}: planning all indexes, ms"] = min(ms for _, ms in spent)
    heartbeat_ms, plan_ms = map(min, zip(*nothing, strict=True))
    # Two heartbeats a second; 10 ms per second are 1%; 9 bytes of frame header.
    figures["idle heartbeat loop, % of a core"] = heartbeat_ms * 2 / 10
    figures["the same with planning, % of a core"] = (heartbeat_ms + plan_ms) * 2 / 10
    figures["idle heartbeat loop, bytes a second"] = 2 * (sent + 9 + count_bytes(idle))
    return figures


async def _adopt_route(entry, idle, full, number):
    route = msgspec.structs.replace(full.routes[number], epoch=100 + number)
    reply = msgspec.structs.replace(idle, routes=(route,))
    return await entry.renew(reply), entry.rank()


async def _adopt_document(entry, full, version):
    reply = msgspec.structs.replace(full, config_version=version, routes=(), full=False)
    return await entry.renew(reply), entry.rank()


def measure_idle(entries):
    """Measure idle entries and a control member of the real programs."""
    return trio.run(_measure_idle, entries)


async def _measure_idle(entries):
    layout = Layout(
        domains=("a", "b"),
        indexes=(IndexLayout("gate-desk", replica_sets=3),),
        entries=entries,
        controls=1,
    )
    with tempfile.TemporaryDirectory() as folder:
        async with LocalSystem(layout, folder) as system:
            await system.start()
            groups = {"entry": system.entries, "control": system.controls}
            before = _read_groups(groups)
            started = time.monotonic()
            await trio.sleep(IDLE_S)
            elapsed = time.monotonic() - started
            after = _read_groups(groups)
    return {
        key: value
        for name in groups
        for key, value in (
            (f"{name}, resident, MB", after[name][1]),
            (
                f"{name}, % of a core",
                (after[name][0] - before[name][0]) / elapsed * 100,
            ),
        )
    }


def _read_groups(groups):
    """Return the mean processor seconds and resident megabytes of each group."""
    figures = {}
    for name, group in groups.items():
        pids = [process.pid for process in group.values()]
        cpu = sum(map(read_cpu_s, pids)) / len(pids)
        figures[name] = cpu, sum(map(read_resident_bytes, pids)) / len(pids) / 1e6
    return figures


SERVERS = (1_000, 3_000, 9_000)
# Sizes for a quick check of the benchmark itself.
TEST_SIZES = (20, 40, 60)
PARTS = (
    Part(
        "entry: memory", "server", SERVERS, TEST_SIZES, DESIGN_SERVERS, measure_memory
    ),
    Part(
        "entry: adoption",
        "server",
        SERVERS,
        TEST_SIZES,
        DESIGN_SERVERS,
        measure_adoption,
    ),
    Part("idle programs", "entry", (1, 2, 4), (), None, measure_idle),
)
