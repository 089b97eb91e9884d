"""Measure how the costs of a control member grow, inside one process."""

import functools
import time

import msgspec
import trio
import uuid_utils
from capacity_data import (
    DESIGN_ENTRIES,
    DESIGN_SERVERS,
    REPEATS,
    count_bytes,
    count_entries,
    count_servers,
    make_document,
    make_heartbeat,
    make_reply,
    make_routes,
    measure_memory_growth_kb,
    round_trip,
    time_ms,
)
from capacity_fit import Part

from wisteriaworks import codec
from wisteriaworks.configuration import check_document
from wisteriaworks.control_node import ControlNode, read_wall_ms
from wisteriaworks.control_service import ControlService
from wisteriaworks.generated import commands, messages
from wisteriaworks.generated.settings import ControlSettings
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.operations import OperationTable
from wisteriaworks.state_machine import StateMachine, encode_command

ANSWER = b'{"pass":"valid","plate":"CB 1234 AB"}' * 8
DIGEST_BYTES = 32


class _Replica:
    """Act as the only member, and apply each command at once."""

    is_leader = True
    term = 1
    leader_address = "127.0.0.1:1"

    def __init__(self, machine):
        self._machine = machine

    async def propose(self, data):
        return self._machine.apply(self._machine.applied_index + 1, data)

    async def confirm_leader(self):
        await trio.lowlevel.checkpoint()


def make_node():
    """Return a leader that has no log."""
    address = "127.0.0.1:1"
    cfg = ControlSettings(
        name="c", domain="d", address=address, admin=address, data_folder=""
    )
    node = ControlNode(cfg, create_unexported_metrics())
    node.replica = _Replica(node.machine)
    return node


async def fill_node(node, entries, servers):
    """Open sessions, and assign the servers of a new document to them in turn."""
    for number in range(entries):
        heartbeat = make_heartbeat(number)
        await node.propose(
            commands.OpenSession(heartbeat.name, heartbeat.domain, heartbeat.address)
        )
    operation = str(uuid_utils.uuid7())
    document = make_document(servers)
    await node.propose(commands.PutConfiguration(operation, 0, document))
    sessions = sorted(node.machine.sessions)
    names = enumerate(node.machine.servers)
    held = {name: sessions[n % entries] for n, name in names}
    await node.propose(commands.Assign(servers=held))


async def report_all(node):
    """Send a full heartbeat for each session.

    Return the handler and the encoded heartbeats of unchanged sessions.
    """
    handle = ControlService(node).list_handlers()[messages.Heartbeat]
    sessions = sorted(node.machine.sessions)
    heartbeats = [make_heartbeat(n, number) for n, number in enumerate(sessions)]
    for heartbeat in heartbeats:
        reply = await handle(msgspec.structs.replace(heartbeat, full=True), None)
    known = {"config_version": 1, "route_version": reply.route_version}
    idle = [codec.encode(msgspec.structs.replace(b, **known)) for b in heartbeats]
    return handle, idle


def measure_heartbeat(entries):
    """Time the handling of a heartbeat without changes, including the codec."""
    return trio.run(_measure_heartbeat, entries)


async def _measure_heartbeat(entries):
    node = make_node()
    await fill_node(node, entries, count_servers(entries))
    handle, idle = await report_all(node)
    rounds = [await _time_heartbeats(handle, idle) for _ in range(REPEATS)]
    heartbeat = codec.decode(idle[0])
    reply = await handle(heartbeat, None)
    assert not reply.routes and reply.document is None
    return {
        "one heartbeat, us": min(rounds),
        # Two heartbeats a second; 1e4 us per second are 1%.
        "all sessions twice a second, % of a core": min(rounds) * entries * 2 / 1e4,
        "heartbeat with frame, bytes": count_bytes(heartbeat),
        "reply with frame, bytes": count_bytes(reply),
    }


async def _time_heartbeats(handle, heartbeats):
    began = time.process_time_ns()
    for heartbeat in heartbeats:
        codec.encode(await handle(codec.decode(heartbeat), None))
    return (time.process_time_ns() - began) / 1e3 / len(heartbeats)


def measure_sessions(entries):
    """Measure the memory of sessions without servers."""

    async def fill():
        node = make_node()
        node.propose = functools.partial(_propose_encoded, node)
        await fill_node(node, entries, 0)
        node.get_leader_state()
        return node

    return {"memory, kB": measure_memory_growth_kb(functools.partial(trio.run, fill))}


async def _propose_encoded(node, command):
    return await node.replica.propose(encode_command(command, read_wall_ms()))


def measure_servers(servers):
    """Measure the memory of servers, holdings and routes at the leader."""
    return {
        "document, kB": measure_memory_growth_kb(lambda: _put_document(servers)),
        "holdings and routes with reports, kB": _measure_route_memory(servers),
    }


def _put_document(servers):
    machine = StateMachine()
    command = commands.PutConfiguration(
        str(uuid_utils.uuid7()), 0, make_document(servers)
    )
    machine.apply(1, encode_command(command, read_wall_ms()))
    return machine


def _measure_route_memory(servers):
    return trio.run(_measure_route_memory_async, servers)


async def _measure_route_memory_async(servers):
    node = make_node()
    await fill_node(node, count_entries(servers), servers)
    await report_all(node)
    leader = node.get_leader_state()
    reports = [
        (r.holder, _make_report(r)) for r in make_routes(node.machine.document, 1)
    ]

    def accept():
        for _, report in reports:
            session = node.machine.holdings[report.server].session
            leader.accept_reports(session, (_round_trip_report(session, report),))

    return measure_memory_growth_kb(accept)


def _make_report(route):
    return messages.ServerReport(
        server=route.server,
        epoch=1,
        incarnation="0123456789abcdef",
        state=route.state,
        snapshots=route.snapshots,
    )


def _round_trip_report(session, report):
    heartbeat = make_heartbeat(0, session)
    sent = msgspec.structs.replace(heartbeat, reports=(report,))
    return round_trip(sent).reports[0]


def measure_claims(count):
    """Measure claims with answers of a few hundred bytes, and their snapshot."""
    machine = None

    def fill():
        nonlocal machine
        machine = _add_claims(count)

    growth = measure_memory_growth_kb(fill)
    return {
        "memory, kB": growth,
        "snapshot of the state, kB": len(machine.encode_snapshot()) / 1000,
        "encoding the snapshot, ms": time_ms(machine.encode_snapshot),
    }


def _add_claims(count):
    machine = StateMachine()
    index = 1
    opened = commands.OpenSession("e", "d", "a:1")
    session = machine.apply(index, encode_command(opened, read_wall_ms()))
    for number in range(count):
        request = str(uuid_utils.uuid7())
        digest = number.to_bytes(DIGEST_BYTES)
        claim = messages.Claim(session, "app", request, digest)
        done = messages.ClaimState.DONE
        resolve = messages.Resolve(session, "app", request, done, ANSWER)
        for command in commands.ClaimRequest(claim), commands.ResolveRequest(resolve):
            index += 1
            machine.apply(index, encode_command(command, read_wall_ms()))
    return machine


def measure_operations(count):
    """Measure the memory of stored operations."""
    return {"memory, kB": measure_memory_growth_kb(lambda: _store_operations(count))}


def _store_operations(count):
    table = OperationTable()
    for number in range(count):
        key = (number << 80).to_bytes(16)
        result = messages.ProposeResult.ACCEPTED
        digest = number.to_bytes(16)
        table.add(commands.OperationRecord(key, digest, result, number + 1000))
    return table


def measure_routes(servers):
    """Measure the cost of sending the route table, complete or in part."""
    document = make_document(servers)
    routes = make_routes(document, count_entries(servers))
    full = make_reply(routes=routes, full=True)
    data = codec.encode(full)
    one = make_reply(routes=routes[:1])
    return {
        "full table, kB": len(data) / 1000,
        "encode the full table, ms": time_ms(codec.encode, full),
        "decode the full table, ms": time_ms(codec.decode, data),
        "reply with one route, bytes": count_bytes(one),
        "encode one route, us": time_ms(codec.encode, one) * 1000,
    }


def measure_document(servers):
    """Measure the cost of accepting and sending a configuration document."""
    document = make_document(servers)
    reply = make_reply(document=document)
    data = codec.encode(reply)
    command = commands.PutConfiguration(str(uuid_utils.uuid7()), 0, document)
    encoded = encode_command(command, read_wall_ms())
    return {
        "reply with the document, kB": len(data) / 1000,
        "encode, ms": time_ms(codec.encode, reply),
        "decode, ms": time_ms(codec.decode, data),
        "check_document(), ms": time_ms(check_document, document, repeats=2),
        "apply the command, ms": time_ms(lambda: StateMachine().apply(1, encoded)),
    }


SERVERS = (1_000, 3_000, 9_000)
# Sizes for a quick check of the benchmark itself.
TEST_SIZES = (20, 40, 60)
PARTS = (
    Part(
        "control: heartbeat",
        "session",
        (100, 300, 900),
        (4, 8, 12),
        DESIGN_ENTRIES,
        measure_heartbeat,
    ),
    Part(
        "control: sessions",
        "session",
        (1_000, 3_000, 9_000),
        TEST_SIZES,
        DESIGN_ENTRIES,
        measure_sessions,
    ),
    Part(
        "control: servers",
        "server",
        SERVERS,
        TEST_SIZES,
        DESIGN_SERVERS,
        measure_servers,
    ),
    Part(
        "control: claims",
        "claim",
        (10_000, 30_000, 90_000),
        TEST_SIZES,
        None,
        measure_claims,
    ),
    Part(
        "control: operations",
        "operation",
        (2_500, 5_000, 10_000),
        TEST_SIZES,
        None,
        measure_operations,
    ),
    Part(
        "control: routes", "server", SERVERS, TEST_SIZES, DESIGN_SERVERS, measure_routes
    ),
    Part(
        "control: document",
        "server",
        SERVERS,
        TEST_SIZES,
        DESIGN_SERVERS,
        measure_document,
    ),
)
