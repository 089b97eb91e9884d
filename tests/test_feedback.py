"""Guard against ejecting healthy replicas, and against a biased p95."""

from unittest.mock import Mock

import pytest

from wisteriaworks.attempts import Attempt, AttemptKind, AttemptOutcome, ShardProgress
from wisteriaworks.catalog import Replica, ShardPlan
from wisteriaworks.feedback import report_attempt, report_load
from wisteriaworks.latency import START_S

REPLICA = Replica("a", "holder", 1, 2)
PRIMARY, HEDGE, RETRY = AttemptKind.PRIMARY, AttemptKind.HEDGE, AttemptKind.RETRY
LONG_S, SLOW_S, SHORT_S = 1.5 * START_S, 5 * START_S, 0.5 * START_S
Out = AttemptOutcome


@pytest.mark.parametrize(
    ("kind", "outcome", "time_s", "health", "timed"),
    [
        (PRIMARY, Out.ANSWERED, LONG_S, ["report_good"], True),
        (PRIMARY, Out.ANSWERED, SLOW_S, ["report_bad"], True),
        # Only primaries are a fair sample of the index's times.
        (HEDGE, Out.ANSWERED, LONG_S, ["report_good"], False),
        (RETRY, Out.ANSWERED, LONG_S, ["report_good"], False),
        # Losers are counted; otherwise each hedge that wins would lower the p95.
        (PRIMARY, Out.LOST_RACE, LONG_S, ["report_bad"], True),
        (HEDGE, Out.LOST_RACE, SHORT_S, [], False),
        (PRIMARY, Out.TIMED_OUT, LONG_S, ["report_bad"], True),
        # A caller's short deadline says nothing about the server.
        (PRIMARY, Out.TIMED_OUT, SHORT_S, [], False),
        (PRIMARY, Out.FAILED, SHORT_S, ["report_bad"], False),
        (PRIMARY, Out.BROKEN, SHORT_S, ["report_refused"], False),
        (PRIMARY, Out.DRAINING, SHORT_S, ["report_refused"], False),
        (PRIMARY, Out.SHED, SHORT_S, [], False),
        (PRIMARY, Out.CANCELLED, SLOW_S, [], False),
    ],
)
def test_health_and_time_of_an_attempt(kind, outcome, time_s, health, timed):
    shared = Mock()
    shared.latency.read_p95.return_value = START_S
    progress = ShardProgress(ShardPlan("spaces", "s0", (REPLICA,)))
    attempt = Attempt(1, kind, progress, REPLICA, 0.0, None, outcome, time_s)
    report_attempt(shared, attempt, time_s)
    assert [call[0] for call in shared.router.method_calls] == health
    assert shared.latency.observe.call_count == timed


@pytest.mark.parametrize(
    ("outcome", "load", "expected"),
    [
        (Out.ANSWERED, 1, [1]),
        # A refusing server is full, even if its reply reports no load.
        (Out.QUEUE_FULL, 0, [2]),
        (Out.SHED, 7, [7]),
        (Out.NOT_HOLDER, 0, []),
        (Out.FAILED, 0, []),
    ],
)
def test_reported_load(outcome, load, expected):
    router = Mock()
    report_load(router, REPLICA, outcome, load, 0.0)
    assert [call.args[1] for call in router.report_load.call_args_list] == expected
