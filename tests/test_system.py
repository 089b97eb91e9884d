"""Guard against lost, duplicate or wrong answers while processes fail.

One system of separate processes runs all scenarios, because starting it takes
most of the time.
"""

import contextlib
import signal

import httpcore
import trio

from wisteriaworks.generated.document import DomainState
from wisteriaworks.generated.emulator import Profile, ServiceTime
from wisteriaworks.local_layout import IndexLayout, Layout, make_credential
from wisteriaworks.local_system import LocalSystem, create_id

LAYOUT = Layout(
    domains=("a", "b", "c"),
    indexes=(
        IndexLayout("gate-desk", replica_sets=4),
        IndexLayout("pass-sales", replica_sets=2, keyed=True),
    ),
    entries=4,
    profile=Profile(service=ServiceTime(median_ms=10.0)),
    timeout_ms=5000,
)
# Shards of gate-desk by snapshot; a scenario splits each shard in two.
SHARDS = {1: 4, 2: 8}
# Time after which a leaving server must receive no new work.
LEAVING_TARGET_S = 3.0
# Ends a scenario that would otherwise wait forever.
SCENARIO_TIMEOUT_S = 90.0
NETWORK_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)


def check_answer(status, body):
    """Check that an answer is complete, or partial and marked as such."""
    assert status == 200, body
    coverage = body["coverage"]
    assert coverage["answered"] + len(coverage["missing"]) == coverage["total"]
    assert coverage["total"] == SHARDS[body["snapshot"]]
    is_complete = not coverage["missing"]
    assert body["outcome"] == ("complete" if is_complete else "partial")
    if not is_complete:
        print(coverage["missing"])
    if is_complete:
        assert len(body["results"]) == 20
    ids = [hit["id"] for hit in body["results"]]
    assert len(ids) == len(set(ids)), "a result is in the answer twice"
    return is_complete


async def search(system, entry, query="x"):
    """Send one search and check its answer; return whether it is complete."""
    status, body = await system.search(entry, "gate-desk", {"plate": query})
    return check_answer(status, body)


async def send_non_idempotent(system, entry, request_id, routing_key="k"):
    """Send a non-idempotent request; return outcome and run state."""
    _, body = await system.search(
        entry, "pass-sales", {"pass": 1}, request_id=request_id, routing_key=routing_key
    )
    return body["outcome"], body.get("run_state", "ran")


async def count_runs(system, request_id):
    counters = await system.read_counters()
    return sum(
        count
        for server in counters.values()
        for key, count in server["executions"].items()
        if key.startswith(request_id)
    )


async def wait_until_complete(system, entry):
    with trio.fail_after(30):
        while not await search(system, entry):
            await trio.sleep(0.2)


async def serve_from_every_entry(system):
    for cfg in system.entry_settings:
        assert await search(system, cfg.name)


async def run_once_over_two_entries(system):
    request_id = create_id()
    outcomes = {
        await send_non_idempotent(system, f"entry-{n}", request_id) for n in (1, 2, 1)
    }
    assert outcomes == {("complete", "ran")}
    assert await count_runs(system, request_id) == 1


async def refuse_bad_callers(system):
    entry = "entry-1"
    known = make_credential("gate-desk")
    unknown = await system.search(entry, "nothing", {}, credential=known)
    wrong = await system.search(entry, "gate-desk", {}, credential="wrong")
    late = await system.search(entry, "gate-desk", {}, timeout_ms=0)
    malformed = await system.search(entry, "gate-desk", {}, request_id="17")
    statuses = [unknown[0], wrong[0], late[0], malformed[0]]
    assert statuses == [404, 401, 504, 400]
    for _, body in (unknown, wrong, late, malformed):
        assert body["run_state"] == "not_run"


async def kill_entry_mid_request(system):
    """Callers resend the requests of the killed entry; none may run twice."""
    request_ids = [create_id() for _ in range(8)]
    outcomes_by_id = {request_id: [] for request_id in request_ids}

    async def send(request_id):
        with contextlib.suppress(*NETWORK_ERRORS):
            outcomes_by_id[request_id].append(
                await send_non_idempotent(system, "entry-4", request_id)
            )
            return
        outcomes_by_id[request_id].append(
            await send_non_idempotent(system, "entry-1", request_id)
        )

    async def send_search():
        with contextlib.suppress(*NETWORK_ERRORS):
            await search(system, "entry-4")

    async with trio.open_nursery() as nursery:
        for request_id in request_ids:
            nursery.start_soon(send, request_id)
            nursery.start_soon(send_search)
        await trio.sleep(0.05)
        await system.entries["entry-4"].kill()
        nursery.start_soon(search, system, "entry-1")
    for request_id, outcomes in outcomes_by_id.items():
        runs = await count_runs(system, request_id)
        assert runs <= 1
        assert ("complete", "ran") not in outcomes or runs == 1
        assert "not_run" not in {state for _, state in outcomes} or runs == 0
    await wait_until_complete(system, "entry-1")
    await system.start_entry(system.entry_settings[3])


async def freeze_entry(system):
    """A resumed entry must refuse or answer completely, and run nothing twice."""
    process = system.entries["entry-3"]
    process.send_signal(signal.SIGSTOP)
    await trio.sleep(5.0)
    await wait_until_complete(system, "entry-1")
    process.send_signal(signal.SIGCONT)
    request_id = create_id()
    outcome = await send_non_idempotent(system, "entry-3", request_id)
    assert outcome[1] != "ran" or await count_runs(system, request_id) == 1
    await process.wait_ready()
    await wait_until_complete(system, "entry-3")


async def replace_control_leader(system):
    """Searches and configuration changes must succeed after the leader is lost."""
    status = await system.read_status()
    (leader,) = (c for c in system.control_settings if c.address == status.leader)
    process = system.controls[leader.name]
    process.send_signal(signal.SIGSTOP)
    request_id = create_id()
    version = await system.set_domain("c", DomainState.IN_SERVICE)
    assert version == status.config_version + 1
    assert await send_non_idempotent(system, "entry-1", request_id) == (
        "complete",
        "ran",
    )
    process.send_signal(signal.SIGCONT)
    assert (await system.read_status()).config_version == version
    await wait_until_complete(system, "entry-2")


async def take_domain_out(system):
    """Servers of a domain get no new work once every entry knows that it is out."""
    version = await system.set_domain("a", DomainState.OUT)
    await system.wait_for(
        lambda status: all(e.config_version >= version for e in status.entries)
    )
    await trio.sleep(0.5)
    before = await count_received(system, "a")
    for _ in range(5):
        assert await search(system, "entry-2")
    assert await count_received(system, "a") == before
    await system.set_domain("a", DomainState.IN_SERVICE)
    await system.entries["entry-1"].wait_ready()
    await wait_until_complete(system, "entry-1")


async def count_received(system, domain):
    counters = await system.read_counters()
    return sum(
        counters[server.name]["received"]
        for index in system.document.indexes.values()
        for server in index.servers
        if server.domain == domain
    )


async def drain_server(system):
    """A leaving server gets no new work after 3 s; answers stay complete."""
    await system.inject_fault("drain", servers=["gate-desk-1-1"])
    await trio.sleep(LEAVING_TARGET_S)
    before = await read_received(system, "gate-desk-1-1")
    for _ in range(10):
        assert await search(system, "entry-1")
    assert await read_received(system, "gate-desk-1-1") == before
    await system.inject_fault("restart", servers=["gate-desk-1-1"])
    await wait_until_complete(system, "entry-1")


async def read_received(system, server):
    return (await system.read_counters())[server]["received"]


async def silence_connections(system):
    """Silent connections must be replaced while new connections work."""
    assert await search(system, "entry-1")
    await system.inject_fault("silence_connections")
    for number in range(1, 5):
        await wait_until_complete(system, f"entry-{number}")


async def turn_cold(system):
    """Servers that become cold without notice must be ramped up again.

    The violations counted by the servers are checked after all scenarios.
    """
    await system.inject_fault("restart")
    await wait_until_complete(system, "entry-1")


async def repartition(system):
    """Each answer must come from one snapshot while the index is split."""
    servers = sorted(
        server.name for server in system.document.indexes["gate-desk"].servers
    )
    halves = {
        name: [f"{name.rpartition('-')[0]}{half}" for half in "ab"] for name in servers
    }
    shards = sorted({shard for pair in halves.values() for shard in pair})
    snapshots = []

    async def search_until_new(entry):
        while 2 not in snapshots[-8:]:
            status, body = await system.search(entry, "gate-desk", {"plate": "x"})
            check_answer(status, body)
            snapshots.append(body["snapshot"])

    async with trio.open_nursery() as nursery:
        for number in range(1, 5):
            nursery.start_soon(search_until_new, f"entry-{number}")
        await trio.sleep(0.3)
        await system.inject_fault(
            "repartition",
            servers=servers,
            snapshot=2,
            partition_map=shards,
            shards=halves,
        )
        await system.inject_fault("forget_snapshot", servers=servers, snapshot=1)
    assert snapshots[0] == 1
    await wait_until_complete(system, "entry-1")


async def stop_entry_under_load(system):
    """A planned stop must not fail requests if the balancer follows /ready."""
    answered = []

    async def send_until_not_ready(process):
        while await process.is_ready("/ready"):
            answered.append(await search(system, "entry-2"))

    process = system.entries["entry-2"]
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(send_until_not_ready, process)
        await trio.sleep(0.5)
        assert await process.stop() == 0
    assert answered
    await wait_until_complete(system, "entry-3")


async def run_scenarios(folder):
    async with LocalSystem(LAYOUT, folder) as system:
        await system.start()
        for scenario in (
            serve_from_every_entry,
            run_once_over_two_entries,
            refuse_bad_callers,
            kill_entry_mid_request,
            take_domain_out,
            replace_control_leader,
            freeze_entry,
            drain_server,
            silence_connections,
            turn_cold,
            repartition,
            stop_entry_under_load,
        ):
            print(f"scenario {scenario.__name__}", flush=True)
            with trio.fail_after(SCENARIO_TIMEOUT_S):
                await scenario(system)
        counters = await system.read_counters()
        assert sum(server["violations"] for server in counters.values()) == 0
        codes = await system.stop()
        assert set(codes.values()) == {0}, codes


def test_system_of_processes(tmp_path):
    trio.run(run_scenarios, tmp_path)
