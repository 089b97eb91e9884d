"""Guard against old orders that a control member reads after it was stopped a while."""

import signal

import pytest
import trio
from platform_stand_in import make_servers
from process_stand_in import ProcessSystem
from test_gateway_system import make_configuration

PATH = "/api/evacuate/a"
# The operator gives up on a call after this time.
GIVE_UP_S = 1.0
PAUSE_S = 2.5


@pytest.fixture
async def system(nursery, tmp_path):
    system = ProcessSystem(nursery, tmp_path, make_servers())
    try:
        await system.start()
        await system.order("PUT", "/api/config", make_configuration(5))
        yield system
    finally:
        await system.stop()


async def order_and_give_up(system, host, method):
    """Send an order to one member, and close the connection after a second."""
    stream = await trio.open_tcp_stream(host, system._ports[1])
    async with stream:
        head = f"{method} {PATH} HTTP/1.1\r\nHost: operators\r\n\r\n"
        await stream.send_all(head.encode())
        with trio.move_on_after(GIVE_UP_S):
            return await stream.receive_some()
    return b""


async def test_order_from_before_a_pause_does_not_undo_a_newer_one(system, nursery):
    """A domain that was taken out again must not return to service for good."""
    leader = (await system.wait_for_line(501))["name"]
    paused, *others = [h for h in system.control if h != system.get_host(leader)]
    await system.order("POST", PATH, host=others[0])
    nursery.start_soon(system.interrupt, paused, signal.SIGSTOP, PAUSE_S)
    assert await order_and_give_up(system, paused, "DELETE") == b""
    await system.order("DELETE", PATH, host=others[0])
    await system.order("POST", PATH, host=others[0])
    await trio.sleep(PAUSE_S)

    def count():
        return sum(len(s.ran) for s in system.servers if s.domain == "a")

    async def is_unused():
        before = count()
        for _ in range(5):
            await system.call("GET", "/shards/x")
        return count() == before

    await system.wait_until(is_unused)
    for _ in range(10):
        assert await is_unused()
        await trio.sleep(0.1)
