"""Guard against clients that exhaust the memory or the descriptors of a program.

The sizes of the crowds and the bounds were fixed on the code without limits.
"""

import functools
import json
from dataclasses import dataclass
from typing import Any

import crowd
import msgspec
import pytest
import trio
from platform_stand_in import make_servers
from process_stand_in import ProcessSystem
from test_gateway_system import make_configuration

from wisteriaworks.generated.document import Limits
from wisteriaworks.generated.settings import IngressSettings
from wisteriaworks.local_layout import IndexLayout, Layout
from wisteriaworks.local_system import LocalSystem

# 4 MB for requests, and 80 connections.
INGRESS = IngressSettings(memory_mb=32.0, max_open_files=200)
# Growth of the peak beyond the memory at rest.
MAX_GROWTH_MB = 16
CLIENTS = 40
BODY_BYTES = 1_000_000
LIMITS = {"maxBodyBytes": BODY_BYTES, "maxHeaderBytes": 16_384}
OPERATORS_CLIENTS = 10
OPERATORS_BODY_BYTES = 4_000_000
LAYOUT = Layout(
    domains=("a", "b"),
    indexes=(IndexLayout("i", replica_sets=1),),
    entries=1,
    controls=1,
    limits=Limits(max_body_bytes=BODY_BYTES),
)
CONNECTIONS = 300
MAX_CONNECTIONS = 100


@dataclass(frozen=True)
class Target:
    """One program: its process, its port for clients and an ordinary request."""

    pid: int
    address: str
    head: Any
    is_served: Any
    clients: int = CLIENTS
    body_bytes: int = BODY_BYTES


class LimitedSystem(ProcessSystem):
    """Run the programs of a platform with low limits."""

    def make_control_settings(self, host, found=False):
        cfg = super().make_control_settings(host, found)
        return msgspec.structs.replace(cfg, ingress=INGRESS)

    def make_gateway_settings(self, number, admin=None):
        cfg = super().make_gateway_settings(number, admin)
        return msgspec.structs.replace(cfg, ingress=INGRESS)


@pytest.fixture
async def system(nursery, tmp_path):
    system = LimitedSystem(nursery, tmp_path, make_servers())
    try:
        await system.start()
        document = json.loads(make_configuration(5)) | {"limits": LIMITS}
        body = json.dumps(document).encode()
        assert (await system.order("PUT", "/api/config", body)).status == 200
        await system.wait_until(system.is_ready)
        yield system
    finally:
        with trio.CancelScope(shield=True):
            await system.stop()


@pytest.fixture
def gateway(system):
    async def is_served():
        return (await system.call("POST", "/plain/x", b"x" * 1000)).status == 200

    head = functools.partial(
        crowd.encode_head, b"/plain/x", b"X-Wisteriaworks-Request-Id: a"
    )
    pid = system.processes["g0"].pid
    return Target(pid, system.get_front(0), head, is_served)


@pytest.fixture
def control(system):
    host = system.hosts[0]

    async def is_served():
        return (await system.order("GET", "/api/config", host=host)).status == 200

    head = functools.partial(crowd.encode_head, b"/api/config", method=b"PUT")
    return Target(
        system.processes[host].pid,
        system.seeds[0],
        head,
        is_served,
        OPERATORS_CLIENTS,
        OPERATORS_BODY_BYTES,
    )


@pytest.fixture
async def entry(tmp_path):
    local = LocalSystem(LAYOUT, tmp_path)
    local.entry_settings = tuple(
        msgspec.structs.replace(cfg, ingress=INGRESS) for cfg in local.entry_settings
    )
    async with local:
        await local.start()

        async def is_served():
            return (await local.search("entry-1", "i", {"plate": "x"}))[0] == 200

        head = functools.partial(
            crowd.encode_head, b"/v1/searches/i", b"Authorization: Bearer local-i"
        )
        cfg = local.entry_settings[0]
        yield Target(local.entries[cfg.name].pid, cfg.api, head, is_served)


@pytest.fixture
def target(request):
    return request.getfixturevalue(request.param)


async def check_served(target):
    """Check that an ordinary request is answered, while the crowd is there."""
    with trio.fail_after(30):
        while not await target.is_served():
            await trio.sleep(0.2)


@pytest.mark.parametrize("target", ["gateway", "control", "entry"], indirect=True)
@pytest.mark.parametrize(
    "make",
    [crowd.make_body, crowd.make_chunks],
    ids=["length", "chunks"],
)
async def test_unfinished_bodies_are_bounded(target, make):
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    pieces = make(target.head, target.body_bytes)
    async with crowd.open_crowd(target.address, target.clients, pieces):
        await check_served(target)
        check_memory(target, before)
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "entry"], indirect=True)
async def test_one_byte_chunks_are_bounded(target):
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    pieces = crowd.make_chunks(target.head, 20_000, chunk=1)
    async with crowd.open_crowd(target.address, CLIENTS, pieces):
        await check_served(target)
        check_memory(target, before)
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "control", "entry"], indirect=True)
async def test_short_header_lines_are_bounded(target):
    """A line of two bytes takes a hundred times as much memory once it is read."""
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    pieces = crowd.make_header_lines(target.head, 16_000)
    async with crowd.open_crowd(target.address, CLIENTS, pieces):
        await check_served(target)
        check_memory(target, before)
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "entry"], indirect=True)
async def test_trailers_without_end_are_bounded(target):
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    pieces = crowd.make_trailers(target.head, 500_000)
    async with crowd.open_crowd(target.address, CLIENTS, pieces):
        await check_served(target)
        check_memory(target, before)
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "control", "entry"], indirect=True)
async def test_open_connections_are_bounded(target):
    before = crowd.count_descriptors(target.pid)
    async with crowd.open_crowd(target.address, CONNECTIONS, (b"",)):
        await check_served(target)
        assert crowd.count_descriptors(target.pid) - before <= MAX_CONNECTIONS
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "entry"], indirect=True)
async def test_connections_of_refused_bodies_are_closed(target):
    """A body that is refused before its end must not keep its connection."""
    before = crowd.count_descriptors(target.pid)
    pieces = crowd.make_chunks(target.head, 3 * BODY_BYTES)
    async with crowd.open_crowd(target.address, CLIENTS, pieces):
        await check_served(target)
    with trio.move_on_after(10):
        while crowd.count_descriptors(target.pid) - before > CLIENTS // 4:
            await trio.sleep(0.2)
    assert crowd.count_descriptors(target.pid) - before <= CLIENTS // 4
    await check_served(target)


def check_memory(target, before):
    growth = crowd.read_memory_mb(target.pid, "VmHWM") - before
    print(f"growth {growth:.1f} MB")
    assert growth <= MAX_GROWTH_MB
