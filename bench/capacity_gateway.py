"""Measure the cost of gateways, and of the leader's work for them."""

import random
import time
from types import SimpleNamespace

import msgspec
import trio
from capacity_fit import Part

from wisteriaworks import codec
from wisteriaworks.document_codec import pack_document
from wisteriaworks.events import Event
from wisteriaworks.gateway.fetch import Fetch, FetchPolicy, FetchTrace
from wisteriaworks.gateway.forwarder import ServerFleet
from wisteriaworks.gateway.gateway_state import GatewayState
from wisteriaworks.gateway.model import (
    Answered,
    AnswerTimes,
    CallerRequest,
    ServerAnswer,
)
from wisteriaworks.gateway.query import Query
from wisteriaworks.gateway.request_log import RequestLog
from wisteriaworks.gateway.server_table import make_known_servers
from wisteriaworks.generated.document import Document, Route
from wisteriaworks.generated.messages import FleetUpdate, ListedServer, Watch
from wisteriaworks.generated.settings import GatewaySettings, LogSettings
from wisteriaworks.log_limit import LogLimiter
from wisteriaworks.logs import configure_logs
from wisteriaworks.metrics import Metrics
from wisteriaworks.operator_commands import OperatorCommandService
from wisteriaworks.server_directory import ServerDirectory

SERVERS = (1_000, 3_000, 9_000)
GATEWAYS = (100, 300, 900)
SHARDS = (20, 60, 180)
LINES = (1_000, 3_000, 9_000)
# Sizes for the test of this program.
TEST_SIZES = (10, 20, 30)
# Sizes that the system is designed for; the fitted lines are extended to them.
DESIGN_SERVERS = 24_000
DESIGN_GATEWAYS = 3_700
DESIGN_SHARDS = 57
ROUNDS = 5
ANSWER = ServerAnswer(200, (), b"", b"sig", b"id", False, False, None)


def _time_ms(step):
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        step()
        times.append(time.process_time() - started)
    return min(times) * 1000


def _make_settings():
    address = "127.0.0.1:0"
    return GatewaySettings(
        name="g1",
        domain="a",
        listen=address,
        readiness=address,
        seeds=(address,),
        member_port=1,
        server_list=address,
        seed=1,
    )


def _make_fleet(now=0.0):
    fleet = ServerFleet.create(_make_settings(), random.Random(1), now)
    fleet.table.assign({})
    return fleet


def _make_servers(count):
    return tuple(
        ListedServer(
            id=f"i-{n:010x}",
            service=f"s{n // 2}",
            address=f"10.0.{n // 250}.{n % 250}:8080",
            domain=f"domain-{n % 4}",
            slots=2,
            draining=False,
            cold_s=0.0,
        )
        for n in range(count)
    )


def _make_update(servers, full):
    return FleetUpdate(
        state_index=1,
        config_version=1,
        document=pack_document(Document()),
        domains_out=(),
        gateways=9,
        position=0,
        list_read=True,
        full=full,
        servers=servers,
        removed=(),
        members=("10.0.0.1:7380",) * 4,
    )


def measure_servers(size):
    """Return the cost of the server list for a gateway."""

    async def measure():
        servers = _make_servers(size)
        state = GatewayState("g1", _make_fleet(), lambda document: None)
        full = codec.encode(_make_update(servers, True))
        one = codec.encode(_make_update(servers[:1], False))
        state.apply_update(codec.decode(full))
        return {
            "whole list, kB": len(full) / 1000,
            "whole list: decode and take over, ms": _time_ms(
                lambda: state.apply_update(codec.decode(full))
            ),
            "one changed server: decode and take over, ms": _time_ms(
                lambda: state.apply_update(codec.decode(one))
            ),
        }

    return trio.run(measure)


def measure_gateways(size):
    """Return the cost of the leader's handlers for the gateways that watch it."""
    watches = [
        Watch(f"g{n}", 1, f"domain-{n % 4}", f"10.0.0.{n % 250}:7395", 1000.0)
        for n in range(size)
    ]
    machine = SimpleNamespace(
        version=1,
        applied_index=1,
        document=None,
        domains_out=(),
        gateways=size,
        delegates=0,
    )
    node = SimpleNamespace(machine=machine, replica=SimpleNamespace(members=()))
    service = OperatorCommandService(node, ServerDirectory())
    service._watches = watches
    service._update_watches()

    def update_all():
        for watch in watches:
            codec.encode(service._make_update(watch, 1, 1)[0])

    async def measure():
        return {
            "updates without changes to all, ms": _time_ms(update_all),
            "one gateway joins, ms": _time_ms(service._update_watches),
        }

    return trio.run(measure)


def measure_shards(size):
    """Return the cost of the decisions for one query, without I/O."""
    fleet = _make_fleet(-60.0)
    services = tuple(f"s{n}" for n in range(size))
    fleet.table.assign(make_known_servers(_make_servers(2 * size), 0.0))
    route = Route(
        name="r",
        host="h",
        path_prefix="/",
        timeout_ms=1000,
        attempts=2,
        objective_ms=140,
        shards=services,
        idempotent=True,
        minimum_coverage=0.9,
    )

    def run_query():
        fetches = {
            name: Fetch(FetchPolicy(name, True, 2, 0.0, 0.05), fleet)
            for name in services
        }
        query = Query(route, fetches, AnswerTimes.create(1.14, 2.0, 0.015))
        for number, (fetch, send) in enumerate(query.begin(1.0)):
            fleet.stats.record_send(send.server.id, number, 1.0)
            fleet.stats.record_success(send.server.id, number, 1.02)
            fetch.handle_outcome(send.server.id, Answered(ANSWER), 1.02)
            if fetch.is_over and query.record_end(fetch, 1.02):
                query.get_result(1.02)

    return {"decisions of a query, ms": _time_ms(run_query)}


def measure_lines(size):
    """Return the cost of logging and counting ``size`` requests."""

    async def measure():
        configure_logs(LogSettings(file="/dev/null"), "wisteria-gateway", "g1")
        state = SimpleNamespace(
            routes=SimpleNamespace(version=7), updated_at=trio.current_time()
        )
        log = RequestLog(state, Metrics(), random.Random(1))
        log._limiter = LogLimiter(lines_per_s=10 * size * ROUNDS)
        now = trio.current_time()
        request = CallerRequest(b"GET", b"/", "h", (), b"", b"id", now + 1.0)
        route = SimpleNamespace(name="r")
        cause = FetchTrace("s1", ("i-1", "i-2"), "waiting", "budget")

        def record_partial():
            for _ in range(size):
                log.record_partial(route, request, 1, (cause,), now)

        def record_answer():
            for _ in range(size):
                log.record_answer(route, request, 200, now)

        written = _time_ms(record_partial)
        log._limiter = LogLimiter(lines_per_s=0)
        return {
            "partial answers, each with a line, ms": written,
            "partial answers over the bound, counted, ms": _time_ms(record_partial),
            "complete answers, sampled, ms": _time_ms(record_answer),
            "bytes of one line": float(len(_render_line(request, cause))),
        }

    return trio.run(measure)


def _render_line(request, cause):
    number, level, text = Event.ANSWER_PARTIAL.value
    line = {
        "time": "2026-12-04T14:00:00.000000+00:00",
        "level": level,
        "text": text,
        "program": "wisteria-gateway",
        "name": "gateway-1",
        "event": number,
        "request": request.id.decode(),
        "route": "r",
        "waited_ms": 133,
        "version": 7,
        "state_age_ms": 72,
        "left_ms": 1899,
        "causes": [cause],
        "missing": 1,
    }
    return msgspec.json.encode(line)


PARTS = (
    Part(
        "gateway: list of servers",
        "server",
        SERVERS,
        TEST_SIZES,
        DESIGN_SERVERS,
        measure_servers,
    ),
    Part(
        "gateway: leader's updates",
        "gateway",
        GATEWAYS,
        TEST_SIZES,
        DESIGN_GATEWAYS,
        measure_gateways,
    ),
    Part(
        "gateway: decisions", "shard", SHARDS, TEST_SIZES, DESIGN_SHARDS, measure_shards
    ),
    Part("gateway: log and metrics", "request", LINES, TEST_SIZES, None, measure_lines),
)
