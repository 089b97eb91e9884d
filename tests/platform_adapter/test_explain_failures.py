"""Guard against failed requests whose cause the logs and metrics do not show.

Each test follows the steps of "Explain a failed request" in docs/OPERATIONS.md on
real processes, with the logs and metrics that they wrote.
"""

import pytest
import trio
from platform_stand_in import make_servers
from process_stand_in import ProcessSystem
from test_gateway_system import make_configuration

from wisteriaworks import cli

WAIT_S = 60.0


@pytest.fixture
async def system(nursery, tmp_path):
    system = ProcessSystem(nursery, tmp_path, make_servers())
    try:
        await system.start()
        reply = await system.order("PUT", "/api/config", make_configuration(5))
        assert reply.status == 200
        await system.wait_until(system.is_ready)
        yield system
    finally:
        with trio.CancelScope(shield=True):
            await system.stop()


async def explain(system, request, event, capsys):
    """Return the output of ``wisteria explain`` once the log has the request."""
    with trio.fail_after(WAIT_S):
        await system.wait_for_line(event, f'"request":"{request}"')
    logs = ",".join(map(str, system.logs))
    assert cli.run(["explain", request, "--logs", logs]) == 0
    return capsys.readouterr().out


def find_line(text, event):
    """Return the only line of an explanation with an event."""
    (line,) = (line for line in text.splitlines() if f"  {event} " in line)
    return line


async def test_refusal_at_overload_is_explained(system, capsys):
    for server in system.servers:
        server.refuses = True
    reply = await system.call("GET", "/plain/x", request_id="refused-1")
    assert reply.status == 503
    assert sum(len(server.ran) for server in system.servers) == 0
    line = find_line(await explain(system, "refused-1", 704, capsys), 704)
    assert "kind=backend_refused" in line
    assert "may_have_run=false" in line
    assert '"service":"s1"' in line
    assert '"outcome":"refused"' in line
    counted = 'outcome="unserved",reason="backend_refused",route="plain"'
    assert counted in await system.read_metrics()


async def test_missing_shard_is_explained(system, capsys):
    for server in system.servers[4:]:
        server.state = "draining"

    async def is_partial():
        reply = await system.call("GET", "/shards/x", request_id="partial-1")
        return dict(reply.headers)[b"x-wisteriaworks-missing-shards"] == b"1"

    await system.wait_until(is_partial)
    line = find_line(await explain(system, "partial-1", 705, capsys), 705)
    assert "missing=1" in line
    assert '"service":"s3","servers":[]' in line
    assert '"denial":"no_server"' in line
    missing = 'wisteria_gateway_shards_missing_total{route="shards"}'
    assert missing in await system.read_metrics()


async def test_unknown_outcome_around_a_leader_change_is_explained(system, capsys):
    for server in system.servers:
        server.delay_s = 3.0
        server.closes_instead_of_answering = True
    statuses = []

    async def call():
        reply = await system.call("GET", "/once/x", request_id="unknown-1")
        statuses.append(reply.status)

    async with trio.open_nursery() as calls:
        calls.start_soon(call)
        while not any(server.ran for server in system.servers):
            await trio.sleep(0.01)
        elected = await system.wait_for_line(501)
        await system.processes[system.get_host(elected["name"])].kill()
    assert statuses == [502]
    with trio.fail_after(WAIT_S):
        await system.wait_for_line(702)
    text = await explain(system, "unknown-1", 704, capsys)
    line = find_line(text, 704)
    assert "kind=outcome_unknown" in line
    assert "may_have_run=true" in line
    assert '"outcome":"broken","denial":"not_idempotent"' in line
    # The explanation lists the lost leader too, which is not the cause.
    assert "gateway lost its control member" in text
    assert sum(server.ran.count("unknown-1") for server in system.servers) == 1
