"""Guard against failures that the log can't explain, and lines without bound."""

import random
from types import SimpleNamespace

import msgspec
import pytest
import trio
from gateway_fakes import make_route
from loguru import logger

from wisteriaworks.errors import ErrorKind
from wisteriaworks.gateway.fetch import FetchTrace
from wisteriaworks.gateway.model import CallerRequest
from wisteriaworks.gateway.query import Reason, Unserved
from wisteriaworks.gateway.request_log import SAMPLED_ONE_IN, RequestLog
from wisteriaworks.generated.settings import LogSettings
from wisteriaworks.log_limit import LINES_PER_S
from wisteriaworks.logs import configure_logs
from wisteriaworks.metrics import Metrics

ROUTE = make_route()
CAUSE = FetchTrace("s1", ("i1", "i2"), "broken", "budget")


class Bench:
    """Write the lines of one gateway's requests to a file."""

    def __init__(self, path):
        self.path = path
        self.metrics = Metrics()
        state = SimpleNamespace(
            routes=SimpleNamespace(version=7), updated_at=trio.current_time() - 0.25
        )
        self.log = RequestLog(state, self.metrics, random.Random(1))
        configure_logs(LogSettings(file=str(path)), "wisteria-gateway", "g1")

    def make_request(self, number=1):
        now = trio.current_time()
        return CallerRequest(b"GET", b"/", "h", (), b"", b"id%d" % number, now + 1.0)

    def read(self):
        logger.remove()
        lines = self.path.read_bytes().splitlines()
        return [msgspec.json.decode(line) for line in lines]


@pytest.fixture
async def bench(tmp_path, autojump_clock):
    return Bench(tmp_path / "log")


async def test_unserved_request_is_explained_by_its_sends(bench):
    arrived_at = trio.current_time() - 0.125
    result = Unserved(Reason.COVERAGE, may_have_run=True, causes=(CAUSE,))
    kind = ErrorKind.TOO_FEW_PARTS
    bench.log.record_unserved(ROUTE, bench.make_request(), result, kind, arrived_at)
    (line,) = bench.read()
    assert (line["event"], line["request"], line["route"]) == (704, "id1", "r")
    assert (line["kind"], line["reason"]) == ("too_few_parts", "coverage")
    assert line["may_have_run"] is True
    assert line["version"] == 7
    # The clock may move on a little between the calls.
    assert 125 <= line["waited_ms"] < 1000
    assert 0 < line["left_ms"] <= 1000
    assert 250 <= line["state_age_ms"] < 1000
    expected = {
        "service": "s1",
        "servers": ["i1", "i2"],
        "outcome": "broken",
        "denial": "budget",
    }
    assert line["causes"] == [expected]


async def test_refusal_at_the_door_is_a_line(bench):
    """In the first days refusals of starting gateways left no trace at all."""
    kind = ErrorKind.NO_CONFIGURATION
    bench.log.record_refused(kind, bench.make_request(), trio.current_time())
    (line,) = bench.read()
    assert (line["event"], line["kind"]) == (706, "no_configuration")


async def test_failures_over_the_bound_are_counted_in_a_line(bench, nursery):
    nursery.start_soon(bench.log.run)
    for number in range(3 * LINES_PER_S):
        now = trio.current_time()
        bench.log.record_partial(ROUTE, bench.make_request(number), 1, (CAUSE,), now)
    await trio.sleep(1.5)
    lines = bench.read()
    assert [line["event"] for line in lines] == [705] * LINES_PER_S + [108]
    assert (lines[-1]["of_event"], lines[-1]["count"]) == (705, 2 * LINES_PER_S)


async def test_complete_answers_are_sampled_with_their_rate(bench):
    count = 20 * SAMPLED_ONE_IN
    for number in range(count):
        now = trio.current_time()
        bench.log.record_answer(ROUTE, bench.make_request(number), 200, now)
    lines = bench.read()
    assert 5 < len(lines) < 60
    assert {line["event"] for line in lines} == {707}
    assert {line["one_in"] for line in lines} == {SAMPLED_ONE_IN}
    counted = 'wisteria_gateway_requests_total{outcome="answered",reason="",route="r"}'
    assert f"{counted} {float(count)}" in bench.metrics.render().decode()
