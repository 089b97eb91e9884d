"""Guard against large bodies that a gateway holds once for each server.

The sizes of the crowds and the bounds were fixed on the code without limits.
"""

import functools
import json

import crowd
import pytest
import trio
from platform_stand_in import StandInServer
from programs import LimitedSystem, Target, check_memory, check_served
from test_config_format import make_service
from test_gateway_system import make_configuration

SHARDS = [f"w{number}" for number in range(24)]
CLIENTS = 4
# More than the kernel's buffers of a connection take.
BODY_BYTES = 4_000_000
# Time for the requests to reach the servers; not a bound.
SETTLE_S = 2.0


@pytest.fixture
async def system(nursery, tmp_path):
    """Run a gateway with a route to many shards."""
    servers = [
        StandInServer(f"i{100 + number}", name, "a")
        for number, name in enumerate(SHARDS)
    ]
    system = LimitedSystem(nursery, tmp_path, servers)
    try:
        await system.start()
        body = make_document()
        assert (await system.order("PUT", "/api/config", body)).status == 200
        await system.wait_until(system.is_ready)
        yield system
    finally:
        with trio.CancelScope(shield=True):
            await system.stop()


def make_document():
    document = json.loads(make_configuration(5))
    (route,) = [r for r in document["routes"] if r["name"] == "shards"]
    document["routes"] = [route | {"shardServices": SHARDS}]
    document["services"] = [make_service(name) for name in SHARDS]
    document["limits"] = {"maxBodyBytes": BODY_BYTES}
    return json.dumps(document).encode()


@pytest.fixture
def target(system):
    async def is_served():
        return (await system.call("GET", "/shards/x")).status == 200

    head = functools.partial(crowd.encode_head, b"/shards/x")
    pid = system.processes["g0"].pid
    return Target(pid, system.get_front(0), head, is_served, None, None)


async def test_bodies_for_many_servers_are_bounded(system, target):
    await check_served(target)
    # The servers do not read the bodies.
    for server in system.servers:
        server.released = trio.Event()
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    crowd.reset_peak(target.pid)
    clients = [make_pieces(target, number) for number in range(CLIENTS)]
    async with crowd.open_clients(target.address, clients, settle_s=SETTLE_S):
        check_memory(target, before)
    for server in system.servers:
        server.released.set()
    await check_served(target)


def make_pieces(target, number):
    request_id = b"X-Wisteriaworks-Request-Id: b%d" % number
    length = b"Content-Length: %d" % BODY_BYTES
    return target.head(request_id, length), bytes(BODY_BYTES)
