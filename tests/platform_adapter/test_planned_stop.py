"""Guard against requests that are cut with no answer at the end of a planned stop."""

import signal

import pytest
import trio
from platform_stand_in import make_servers
from process_stand_in import ProcessSystem
from test_gateway_system import make_configuration


@pytest.fixture
async def system(nursery, tmp_path):
    system = ProcessSystem(nursery, tmp_path, make_servers())
    try:
        await system.start()
        await system.order("PUT", "/api/config", make_configuration(5, timeoutMs=20000))
        await system.wait_until(system.is_ready)
        yield system
    finally:
        await system.stop()


async def test_request_that_outlasts_a_stop_gets_an_answer(system):
    """A request that ran must not be answered as not run either."""
    for server in system.servers:
        server.delay_s = 30.0
    statuses = {}

    async def call(name, path):
        reply = await system.call("GET", path, deadline_ms=20000, request_id=name)
        statuses[name] = reply.status

    def list_ran():
        return {name for server in system.servers for name in server.ran}

    async with trio.open_nursery() as calls:
        for name in ("before", "before-2"):
            calls.start_soon(call, name, "/once/x")
        while not {"before", "before-2"} <= list_ran():
            await trio.sleep(0.01)
        system.processes["g0"].send_signal(signal.SIGTERM)
        calls.start_soon(call, "after", "/once/x")
    with trio.fail_after(5):
        await system.processes["g0"].wait()
    assert statuses["before"] == statuses["before-2"] == 504
    assert statuses["after"] == (504 if "after" in list_ran() else 503)
