"""Guard against rollouts that take no effect in the programs, or are not readable."""

import json

import pytest
import trio
from platform_stand_in import StandInServer, make_servers
from process_stand_in import ProcessSystem
from test_gateway_system import make_configuration

from wisteriaworks.generated.settings import RolloutSettings

ORDER = {"service": "s1", "targetVersion": "v2", "durationS": 4}
STATE_PATH = "/api/rollouts/s1"


def encode(**changes):
    return json.dumps(ORDER | changes).encode()


@pytest.fixture
async def system(nursery, tmp_path):
    new = [StandInServer("i16", "s1", "a"), StandInServer("i17", "s1", "b")]
    system = ProcessSystem(nursery, tmp_path, make_servers() + new, gateways=2)
    system.rollouts = RolloutSettings()
    system.new, system.old = new, system.servers[:2]
    for server in new:
        server.state, server.version = "draining", "v2"
    try:
        await system.start()
        await system.order("PUT", "/api/config", make_configuration(5))
        for gateway in (0, 1):
            await system.wait_until(lambda gateway=gateway: system.is_ready(gateway))
        yield system
    finally:
        await system.stop()


async def send_requests(system, statuses):
    """Send 20 requests/s over both gateways until cancelled."""
    async with trio.open_nursery() as nursery:

        async def call(gateway):
            reply = await system.call("GET", "/plain/x", gateway=gateway)
            statuses.append(reply.status)

        while True:
            nursery.start_soon(call, len(statuses) % 2)
            await trio.sleep(0.05)


def count(servers):
    return sum(len(server.ran) for server in servers)


@pytest.mark.parametrize(
    ("fails", "outcome"), [(False, "succeeded"), (True, "rolled_back")]
)
async def test_rollout_is_decided_by_the_answers(system, nursery, fails, outcome):
    """The servers that are left must get no request once the state can be read."""
    statuses, states = [], []
    assert (await system.order("GET", STATE_PATH)).status == 404
    assert (await system.order("POST", "/api/rollouts", b"{}")).status == 400
    nursery.start_soon(send_requests, system, statuses)
    assert (await system.order("POST", "/api/rollouts", encode())).status == 200
    for server in system.new:
        server.state, server.fails = "ready", fails
    other = encode(targetVersion="v3")
    assert (await system.order("POST", "/api/rollouts", other)).status == 409

    async def is_decided():
        state = json.loads((await system.order("GET", STATE_PATH)).content)
        assert state["targetVersion"] == "v2"
        states.append(state["state"])
        return state["state"] != "running"

    await system.wait_until(is_decided)
    assert (states[0], states[-1]) == ("running", outcome)
    left = system.new if fails else system.old
    if fails:
        # A gateway may get the decision after an operator has read it.
        await trio.sleep(1)
    before = count(left)
    assert (await system.order("POST", "/api/rollouts", encode())).status == 200
    await trio.sleep(1)
    assert count(left) == before
    assert set(statuses) == {200}
    nursery.cancel_scope.cancel()
