"""Guard against an emulator that rejects commands, stops or hides a drain."""

import json

import httpcore
import msgspec
import pytest
import trio
from emulation import make_settings

from wisteriaworks.backend_emulator import Emulator
from wisteriaworks.generated.emulator import EmulatorSettings, FaultCommand


@pytest.fixture
async def emulator(nursery):
    emulator = Emulator(make_settings(count=2))
    await nursery.start(emulator.run)
    return emulator


async def _request(method, address, path, **fields):
    async with httpcore.AsyncConnectionPool() as pool:
        content = json.dumps(fields).encode() if fields else None
        url = f"http://{address}{path}"
        res = await pool.request(method, url, content=content)
        return res.status, json.loads(res.content)


@pytest.mark.parametrize("command", FaultCommand)
async def test_every_command_is_accepted(emulator, command):
    status, _ = await _request(
        "POST", emulator.control_address, "/fault", command=command.value
    )
    assert status == 200


@pytest.mark.parametrize("fields", [{"command": "none"}, {"servers": ["s9"]}])
async def test_invalid_command_is_refused(emulator, fields):
    fields = {"command": "cold", **fields}
    status, _ = await _request("POST", emulator.control_address, "/fault", **fields)
    assert status == 400


@pytest.mark.parametrize("content", [b"", b"{", b'{"query":1}'])
async def test_malformed_request_does_not_stop_the_emulator(emulator, content):
    """A request with ``Connection: close`` must not stop the emulator either."""
    url = f"http://{emulator.servers['s0'].address}"
    async with httpcore.AsyncConnectionPool() as pool:
        res = await pool.request("POST", f"{url}/subquery", content=content)
        assert res.status == 400
        headers = {"Connection": "close"}
        res = await pool.request("GET", f"{url}/status", headers=headers)
        assert res.status == 200
    status, _ = await _request("GET", emulator.control_address, "/counters")
    assert status == 200


async def test_vm_list_shows_a_leaving_server(emulator):
    address = emulator.servers["s1"].address
    await _request(
        "POST",
        emulator.control_address,
        "/fault",
        command="drain",
        servers=["s1"],
    )
    states = {}
    while states.get(address) != "leaving":
        await trio.sleep(0.02)
        _, body = await _request("GET", emulator.control_address, "/v1/vms")
        states = {vm["address"]: vm["state"] for vm in body["vms"]}
    assert sorted(states.values()) == ["leaving", "live"]


async def test_lying_status_differs_from_the_state(emulator):
    await _request(
        "POST", emulator.control_address, "/fault", command="lie", state="ready"
    )
    _, body = await _request("GET", emulator.servers["s0"].address, "/status")
    assert (body["state"], emulator.servers["s0"].model.cold) == ("ready", True)


async def test_cancelled_request_is_counted(emulator, nursery):
    emulator.servers["s0"].model.slow_factor = 1e6
    address = emulator.servers["s0"].address
    fields = {"query": 1, "shard": "a", "snapshot": 1, "timeout_ms": 60_000.0}
    async with trio.open_nursery() as calls:

        async def send_request():
            assert (await _request("POST", address, "/subquery", **fields))[0] == 499

        fields["request"] = "r/b/1"
        calls.start_soon(send_request)
        body = {"cancelled": 0}
        while not body["cancelled"]:
            await trio.sleep(0.005)
            _, body = await _request("POST", address, "/cancel", request="r/b/1")
    _, counters = await _request("GET", emulator.control_address, "/counters")
    assert counters["s0"]["cancelled"] == 1


def test_settings_survive_serialization():
    cfg = make_settings()
    assert msgspec.convert(msgspec.to_builtins(cfg), EmulatorSettings) == cfg
