"""Guard against failures that the log does not explain, and an unlimited log."""

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
from wisteriaworks.gateway.query import Unserved, UnservedReason
from wisteriaworks.gateway.request_log import SAMPLED_ONE_IN, RequestLog
from wisteriaworks.generated.settings import LogSettings
from wisteriaworks.log_limit import LINES_PER_S
from wisteriaworks.logs import configure_logs
from wisteriaworks.metrics import Metrics

ROUTE = make_route()
CAUSE = FetchTrace("s1", ("i1", "i2"), "broken", "budget")


class LogHarness:
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
async def harness(tmp_path, autojump_clock):
    return LogHarness(tmp_path / "log")


async def test_unserved_request_is_explained_by_its_sends(harness):
    arrived_at = trio.current_time() - 0.125
    result = Unserved(UnservedReason.COVERAGE, may_have_run=True, causes=(CAUSE,))
    kind = ErrorKind.TOO_FEW_PARTS
    harness.log.record_unserved(ROUTE, harness.make_request(), result, kind, arrived_at)
    (line,) = harness.read()
    assert (line["event"], line["request"], line["route"]) == (704, "id1", "r")
    assert (line["kind"], line["reason"]) == ("too_few_parts", "coverage")
    assert line["may_have_run"] is True
    assert line["version"] == 7
    # The clock may advance slightly between the calls.
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


async def test_refusal_before_routing_is_logged(harness):
    """Refusals of starting gateways were once missing from the log."""
    kind = ErrorKind.NO_CONFIGURATION
    harness.log.record_refused(kind, harness.make_request(), trio.current_time())
    (line,) = harness.read()
    assert (line["event"], line["kind"]) == (706, "no_configuration")


async def test_group_that_changes_hands_is_logged_at_both_gateways(harness):
    """Sends of two gateways for one request could not be told apart from repeats."""
    query = SimpleNamespace(route=ROUTE, request=harness.make_request())
    delegate = SimpleNamespace(name="g2")
    asked_at = trio.current_time()
    harness.log.record_handed_on(query, delegate, "not_accepted", 1, asked_at)
    harness.log.record_group_cancelled(query, 2, asked_at)
    handed_on, cancelled = harness.read()
    assert handed_on["request"] == cancelled["request"] == "id1"
    assert (handed_on["event"], cancelled["event"]) == (712, 713)
    assert (handed_on["delegate"], handed_on["cause"]) == ("g2", "not_accepted")
    assert (handed_on["tried"], cancelled["servers_used"]) == (1, 2)
    counted = 'wisteria_gateway_groups_handed_on_total{cause="not_accepted"} 1.0'
    assert counted in harness.metrics.render().decode()


async def test_failures_over_the_bound_are_counted_in_a_line(harness, nursery):
    nursery.start_soon(harness.log.run)
    for number in range(3 * LINES_PER_S):
        now = trio.current_time()
        harness.log.record_partial(
            ROUTE, harness.make_request(number), 1, (CAUSE,), now
        )
    await trio.sleep(1.5)
    lines = harness.read()
    assert [line["event"] for line in lines] == [705] * LINES_PER_S + [108]
    assert (lines[-1]["of_event"], lines[-1]["count"]) == (705, 2 * LINES_PER_S)


async def test_complete_answers_are_sampled_with_their_rate(harness):
    count = 20 * SAMPLED_ONE_IN
    for number in range(count):
        now = trio.current_time()
        harness.log.record_answer(ROUTE, harness.make_request(number), 200, now)
    lines = harness.read()
    assert 5 < len(lines) < 60
    assert {line["event"] for line in lines} == {707}
    assert {line["one_in"] for line in lines} == {SAMPLED_ONE_IN}
    counted = 'wisteria_gateway_requests_total{outcome="answered",reason="",route="r"}'
    assert f"{counted} {float(count)}" in harness.metrics.render().decode()
