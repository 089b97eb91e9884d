"""Programs with low limits, each with its port for clients."""

import contextlib
import functools
import hashlib
import itertools
import json

import crowd
import httpcore
import msgspec
import pytest
import trio
from platform_stand_in import make_servers
from programs import (
    ANSWER_BYTES,
    INGRESS,
    LAYOUT,
    LIMITS,
    OPERATORS_BODY_BYTES,
    OPERATORS_CLIENTS,
    LimitedSystem,
    Target,
)
from test_gateway_system import make_configuration

from wisteriaworks.generated.settings import ConsoleSettings
from wisteriaworks.local_system import LocalSystem, create_id
from wisteriaworks.processes import fetch, find_free_ports, start_process


async def put_configuration(system, version, padding=b""):
    document = json.loads(make_configuration(version)) | {"limits": LIMITS}
    body = json.dumps(document).encode() + padding
    assert (await system.order("PUT", "/api/config", body)).status == 200


@pytest.fixture
async def system(nursery, tmp_path):
    system = LimitedSystem(nursery, tmp_path, make_servers())
    try:
        await system.start()
        await put_configuration(system, 5)
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
    numbers = itertools.count()

    def ask():
        request_id = b"X-Wisteriaworks-Request-Id: b%d" % next(numbers)
        return crowd.encode_head(b"/plain/x", request_id, method=b"GET")

    async def lengthen():
        for server in system.servers:
            server.padding = bytes(ANSWER_BYTES)

    pid = system.processes["g0"].pid
    return Target(pid, system.get_front(0), head, is_served, ask, lengthen)


@pytest.fixture
def control(system):
    host = system.hosts[0]

    async def is_served():
        return (await system.order("GET", "/api/config", host=host)).status == 200

    async def lengthen():
        await put_configuration(system, 6, b" " * ANSWER_BYTES)

    head = functools.partial(crowd.encode_head, b"/api/config", method=b"PUT")
    ask = functools.partial(crowd.encode_head, b"/api/config", method=b"GET")
    return Target(
        system.processes[host].pid,
        system.seeds[0],
        head,
        is_served,
        ask,
        lengthen,
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

        def ask():
            request = {"request_id": create_id(), "query": {"plate": "x"}}
            body = msgspec.json.encode(request)
            return head(b"Content-Length: %d" % len(body)) + body

        cfg = local.entry_settings[0]
        pid = local.entries[cfg.name].pid
        # An entry's answers are long in any case.
        lengthen = trio.lowlevel.checkpoint
        yield Target(pid, cfg.api, head, is_served, ask, lengthen)


@pytest.fixture
async def redirect(system):
    """Run control on a VM without a disk, which directs callers to the members."""
    host = "127.0.0.9"
    cfg = system.make_control_settings(host)
    process = await system.start_redirect(host, cfg)
    address = cfg.operators.listen

    async def is_served():
        with contextlib.suppress(httpcore.NetworkError, httpcore.TimeoutException):
            return (await fetch("GET", address, "/api/config"))[0] == 307

    head = functools.partial(crowd.encode_head, b"/api/config", method=b"PUT")
    ask = functools.partial(crowd.encode_head, b"/api/config", method=b"GET")
    return Target(process.pid, address, head, is_served, ask, trio.lowlevel.checkpoint)


@pytest.fixture
async def console(tmp_path):
    listen, admin = (f"127.0.0.1:{port}" for port in find_free_ports(2))
    cfg = ConsoleSettings(
        name="console-1",
        listen=listen,
        admin=admin,
        control=(listen,),
        operators={"mira": hashlib.sha256(b"x").hexdigest()},
        ingress=INGRESS,
    )
    path = tmp_path / "console.yaml"
    path.write_bytes(msgspec.yaml.encode(cfg))
    process = await start_process(
        "console", "console", ["run", path], admin, tmp_path / "console.log"
    )
    try:
        await process.wait_ready()

        async def is_served():
            return (await fetch("GET", listen, "/sign-in"))[0] == 200

        head = functools.partial(crowd.encode_head, b"/sign-in")
        ask = functools.partial(crowd.encode_head, b"/sign-in", method=b"GET")
        checkpoint = trio.lowlevel.checkpoint
        yield Target(process.pid, listen, head, is_served, ask, checkpoint)
    finally:
        with trio.CancelScope(shield=True):
            await process.kill()


@pytest.fixture
def target(request):
    return request.getfixturevalue(request.param)
