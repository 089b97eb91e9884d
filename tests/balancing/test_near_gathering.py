"""Guard against groups that leave their domain, or stay where servers are loaded."""

import json

import pytest
import trio
from platform_stand_in import StandInSystem, make_servers
from test_delegated_queries import SLOW_LINK, count_runs, count_sends, make_document
from test_gateway_system import SHARDS

NEAR, FAR = 1, 2


@pytest.fixture
async def system(nursery, tmp_path):
    """A system with a server of each shard and a delegate in both domains."""
    system = StandInSystem(
        nursery,
        tmp_path,
        make_servers(),
        gateways=3,
        links_mbps=(0.05, 1000.0, 1000.0),
        domains="aab",
    )
    await system.start()
    document = json.loads(make_document())
    for route in document["routes"]:
        route["targetLatencyMs"] = 4000
    body = json.dumps(document).encode()
    assert (await system.order("PUT", "/api/config", body)).status == 200
    for gateway in range(3):
        await system.wait_until(lambda gateway=gateway: system.is_ready(gateway))

    async def is_delegated():
        await system.call("GET", "/shards/x", gateway=SLOW_LINK)
        return count_sends(system, NEAR) > 0

    await system.wait_until(is_delegated)
    await trio.sleep(0.5)
    return system


async def query(system, request_id):
    """Return the numbers of sends by gateway that a query causes."""
    before = [count_sends(system, gateway) for gateway in range(3)]
    reply = await system.call(
        "GET", "/shards/x", gateway=SLOW_LINK, request_id=request_id
    )
    assert reply.status == 200
    assert count_runs(system, request_id) == len(SHARDS)
    after = [count_sends(system, gateway) for gateway in range(3)]
    return [b - a for a, b in zip(before, after, strict=True)]


def read_bytes(system, gateway):
    counter = system.gateways[gateway].app._forwarder.traffic._bytes
    return {
        (dict(key)["kind"], dict(key)["direction"]): value
        for key, value in counter.series.items()
    }


async def test_no_part_crosses_while_the_domain_has_all_servers(system):
    before = read_bytes(system, NEAR)
    for number in range(10):
        assert await query(system, f"near{number}") == [0, 3, 0]
    assert read_bytes(system, NEAR) == before


async def test_delegate_with_loaded_servers_leaves_the_query_to_another_domain(
    system,
):
    """Only the merged records then cross, instead of each part."""
    app = system.gateways[NEAR].app
    stats = app._forwarder.fleet.stats
    for server in system.servers:
        if server.domain == "a":
            for number in range(20):
                stats.record_send(server.id, f"load{number}", trio.current_time())
    stats.estimate_wait = lambda server_id, work_s, now: 9.0
    assert await query(system, "left") == [0, 0, 3]
    crossed = read_bytes(system, SLOW_LINK)
    assert crossed["groups", "sent"] > 0 < crossed["groups", "received"]


async def test_group_that_was_declined_is_not_declined_again(system):
    """Otherwise a query would end at the slow link when all domains are loaded."""
    for gateway in (NEAR, FAR):
        stats = system.gateways[gateway].app._forwarder.fleet.stats
        stats.estimate_wait = lambda server_id, work_s, now: 9.0
    assert await query(system, "loaded") == [0, 0, 3]


async def test_parts_from_another_domain_are_counted(system):
    await system.wait_until_may_repeat(NEAR, SHARDS)
    for server in system.servers:
        if server.domain == "a":
            server.refuses = True
    before = read_bytes(system, NEAR).get(("parts", "received"), 0)
    await query(system, "far")
    assert read_bytes(system, NEAR)["parts", "received"] > before
