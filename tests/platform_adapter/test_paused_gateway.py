"""Guard against a gateway that runs requests with a removed key after a pause."""

import signal

import pytest
import trio
from platform_stand_in import make_servers
from process_stand_in import ProcessSystem
from test_accounts import KEY, OTHER_KEY, configure, count_runs, wait_for_status

from wisteriaworks.generated.settings import AccountSettings

REVOKE_MS = 1000
# Longer than the lease and the time after which the leader is given up.
PAUSE_S = 3.0


@pytest.fixture
async def system(nursery, tmp_path):
    system = ProcessSystem(nursery, tmp_path, make_servers())
    system.accounts = AccountSettings(fail_closed=True, revoke_ms=REVOKE_MS)
    try:
        await system.start()
        await configure(system, 5, a=[KEY], b=[OTHER_KEY])
        await wait_for_status(system, 200, credential=KEY)
        yield system
    finally:
        await system.stop()


@pytest.mark.parametrize("kind", [signal.SIGSTOP, signal.SIGKILL])
async def test_key_that_is_removed_while_the_gateway_does_not_run(
    system, nursery, kind
):
    """Requests wait in the gateway's sockets when it goes on."""
    nursery.start_soon(system.interrupt, "g0", kind, PAUSE_S)
    while "g0" not in system.interrupted:
        await trio.sleep(0.01)
    await configure(system, 6, b=[OTHER_KEY])
    if kind == signal.SIGSTOP:
        reply = await system.call("GET", "/plain/x", request_id="late", credential=KEY)
        assert reply.status in (401, 503)
    while "g0" in system.interrupted:
        await trio.sleep(0.05)
    await wait_for_status(system, 200, credential=OTHER_KEY)
    await wait_for_status(system, 401, request_id="late", credential=KEY)
    assert count_runs(system, "late") == 0
    # Event 720 is KEYS_CONFIRMED.
    assert (await system.wait_for_line(720))["name"] == "g0"
    for log in system.logs:
        assert "secret-" not in log.read_text()
