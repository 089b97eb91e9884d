"""Guard against requests that run with a removed key, and keys that leave a gateway."""

import contextlib
import json

import httpcore
import pytest
import trio
from loguru import logger
from platform_stand_in import StandInSystem, make_servers
from test_gateway_system import SHARDS, make_configuration

from wisteriaworks import codec, rpc
from wisteriaworks.clocks import read_boot_time
from wisteriaworks.generated.messages import (
    ConfirmConfiguration,
    GatherParts,
    NotLeader,
)
from wisteriaworks.generated.settings import AccountSettings

# The first gateway delegates queries to shards to the second one.
LINKS_MBPS = (0.1, 1000.0)
KEY, OTHER_KEY = "secret-a1", "secret-b1"
REVOKE_MS = 2000


def make_document(version, **keys):
    """Return a configuration with accounts, a public route and slow objectives."""
    document = json.loads(make_configuration(version))
    for route in document["routes"]:
        route |= {"targetLatencyMs": 1000, "timeoutMs": 60000}
    public = document["routes"][0] | {"name": "open", "pathPrefix": "/open/"}
    document["routes"].append(public | {"public": True})
    document["tenants"] = [{"name": n, "apiKeys": k} for n, k in keys.items()]
    return json.dumps(document).encode()


async def configure(system, version, **keys):
    reply = await system.order("PUT", "/api/config", make_document(version, **keys))
    assert reply.status == 200


@pytest.fixture
async def system(nursery, tmp_path):
    system = StandInSystem(nursery, tmp_path, make_servers(), links_mbps=LINKS_MBPS)
    system.accounts = AccountSettings(fail_closed=True, revoke_ms=REVOKE_MS)
    await system.start()
    await configure(system, 5, a=[KEY], b=[OTHER_KEY])
    for gateway in (0, 1):
        await wait_for_status(system, 200, gateway, credential=KEY)
    return system


async def wait_for_status(system, status, gateway=0, path="/plain/x", **headers):
    async def has_status():
        # A gateway that starts again does not listen at first.
        with contextlib.suppress(httpcore.ConnectError):
            reply = await system.call("GET", path, gateway=gateway, **headers)
            return reply.status == status
        return False

    await system.wait_until(has_status)


def count_runs(system, request_id):
    return sum(server.ran.count(request_id) for server in system.servers)


@pytest.mark.parametrize(
    ("path", "headers", "status", "account"),
    [
        ("/plain/x", {"credential": KEY}, 200, "a"),
        ("/plain/x", {"credential": KEY, "tenant_id": "b"}, 200, "a"),
        ("/plain/x", {"tenant_id": "a"}, 401, None),
        ("/plain/x", {"credential": "unknown"}, 401, None),
        ("/open/x", {"credential": "unknown", "tenant_id": "a"}, 200, None),
    ],
)
async def test_servers_get_the_account_of_the_key(
    system, path, headers, status, account
):
    reply = await system.call("GET", path, request_id="one", **headers)
    assert reply.status == status
    assert count_runs(system, "one") == (status == 200)
    received = [s.headers for s in system.servers if "one" in s.ran]
    assert [h.get("x-wisteriaworks-tenant-id") for h in received] == (
        [account] if received else []
    )
    assert not any("x-wisteriaworks-credential" in h for h in received)


async def test_removed_key_is_refused_and_a_new_one_accepted(system):
    await configure(system, 6, a=["secret-a2"], b=[OTHER_KEY])
    for gateway in (0, 1):
        await wait_for_status(system, 401, gateway, credential=KEY)
        await wait_for_status(system, 200, gateway, credential="secret-a2")
    source = (await system.order("GET", "/api/config")).content
    assert source == make_document(6, a=["secret-a2"], b=[OTHER_KEY])


async def test_key_that_is_removed_while_requests_wait_for_a_connection(system):
    """All connections are in use until the gateway has the next configuration."""
    released, replies = trio.Event(), {}
    for server in system.servers:
        server.released = released

    async def call(number):
        replies[number] = await system.call(
            "GET",
            "/once/x",
            gateway=1,
            deadline_ms=60000,
            request_id=f"w{number}",
            credential=KEY,
        )

    app = system.gateways[1].app
    async with trio.open_nursery() as calling:
        for number in range(80):
            calling.start_soon(call, number)
        await system.wait_until(lambda: _is_true(app.running == 80))
        await configure(system, 6, b=[OTHER_KEY])
        await system.wait_until(lambda: _is_true(app._state.routes.version == 6))
        released.set()
    statuses = [reply.status for reply in replies.values()]
    assert set(statuses) == {200, 401}
    for number, reply in replies.items():
        assert count_runs(system, f"w{number}") == (reply.status == 200)


async def _is_true(value):
    return bool(value)


async def test_gateways_without_control_refuse_keys_once_the_lease_ends(system):
    """They can't learn of a key that is removed."""
    for host in list(system.control):
        system.stop_control(host)
    await wait_for_status(system, 503, credential=KEY)
    reply = await system.call("GET", "/plain/x", request_id="late", credential=KEY)
    headers = {name.lower(): value for name, value in reply.headers}
    assert (reply.status, reply.content) == (503, b"entry_fenced")
    assert float(headers[b"retry-after"]) > 0
    assert count_runs(system, "late") == 0
    assert (await system.call("GET", "/open/x")).status == 200
    assert (await system.call("GET", "/plain/x")).status == 401


async def test_deposed_leader_confirms_nothing(system):
    """It may not know of a newer configuration."""
    leader = system.find_leader()
    for host in [h for h in system.control if h != leader]:
        system.stop_control(host)
    address = system.control[leader].node.cfg.address
    async with rpc.Channel(address) as channel:
        # The leader steps down after the election time-out.
        reply = await channel.call(ConfirmConfiguration("g0"), 30.0)
    assert isinstance(reply, NotLeader)


async def wait_for_delegate(system, messages):
    async def is_delegated():
        reply = await system.call("GET", "/shards/x", credential=KEY)
        return reply.status == 200 and any(
            isinstance(message, GatherParts) for message in messages
        )

    await system.wait_until(is_delegated)


@pytest.fixture
def messages(monkeypatch):
    """Return the messages that are sent between processes from now on."""
    sent = []
    encode = codec.encode

    def record(message):
        sent.append(message)
        return encode(message)

    monkeypatch.setattr(codec, "encode", record)
    return sent


@pytest.mark.parametrize("gateway", [0, 1])
async def test_delegate_without_a_lease_sends_nothing(system, messages, gateway):
    """The gateway of the caller then runs the query, if it has a lease itself."""
    await wait_for_delegate(system, messages)
    late = system.gateways[gateway].app._accounts
    late._clock = lambda: read_boot_time() + REVOKE_MS
    reply = await system.call("GET", "/shards/x", request_id="q", credential=KEY)
    assert reply.status == (503 if gateway == 0 else 200)
    assert count_runs(system, "q") == (0 if gateway == 0 else len(SHARDS))


async def test_key_is_in_no_message_log_or_metric(system, messages):
    lines = []
    sink = logger.add(lines.append, format="{message} {extra}", level="DEBUG")
    try:
        await wait_for_delegate(system, messages)
        await system.call("GET", "/plain/x", credential="secret-unknown")
        metrics = [gateway.app._accounts._checks.series for gateway in system.gateways]
        await configure(system, 6, a=[OTHER_KEY])
        shared = make_document(7, a=[KEY], b=[KEY])
        refusal = await system.order("PUT", "/api/config", shared)
    finally:
        logger.remove(sink)
    assert refusal.status == 400
    from_gateways = [m for m in messages if isinstance(m, GatherParts)]
    assert {message.account for message in from_gateways} == {"a"}
    for text in (lines, metrics, from_gateways, refusal.content):
        assert "secret" not in repr(text)
