"""Guard against a console that fails to start, stop or refuse bad settings."""

import contextlib
import signal

import httpcore
import msgspec
import pytest
import trio
from cleo.application import Application
from cleo.testers.command_tester import CommandTester
from console_browser import CFG

from wisteriaworks.console import RunCommand, run_console
from wisteriaworks.processes import fetch, find_free_ports


async def test_the_console_serves_and_stops_at_sigterm():
    listen, admin = (f"127.0.0.1:{port}" for port in find_free_ports(2))
    cfg = msgspec.structs.replace(CFG, listen=listen, admin=admin)
    codes = []

    async def run():
        codes.append(await run_console(cfg))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        await _wait_until_ready(admin)
        status, page = await fetch("GET", listen, "/sign-in")
        assert status == 200 and b"Password" in page
        signal.raise_signal(signal.SIGTERM)
    assert codes == [0]


async def _wait_until_ready(admin):
    while True:
        with contextlib.suppress(httpcore.ConnectError):
            status, _ = await fetch("GET", admin, "/ready")
            if status == 200:
                return
        await trio.sleep(0.01)


@pytest.mark.parametrize(
    "change",
    [{"operators": {"mira": "secret"}}, {"operators": {}}, {"session_s": 1}],
)
def test_settings_that_cannot_be_used_are_refused(tmp_path, change):
    path = tmp_path / "console.yaml"
    path.write_bytes(msgspec.yaml.encode(msgspec.to_builtins(CFG) | change))
    application = Application()
    application.add(RunCommand())
    assert CommandTester(application.find("run")).execute(str(path)) == 2
