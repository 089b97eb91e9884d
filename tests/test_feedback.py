"""Guard against ejecting healthy replicas, and against a biased p95."""

from unittest.mock import Mock

import pytest

from wisteriaworks.attempts import Attempt, AttemptKind, AttemptOutcome, ShardProgress
from wisteriaworks.catalog import Replica, ShardPlan
from wisteriaworks.feedback import report_attempt, report_load
from wisteriaworks.latency import START_S

REPLICA = Replica("a", "holder", 1, 2)
PRIMARY, HEDGE, RETRY = AttemptKind.PRIMARY, AttemptKind.HEDGE, AttemptKind.RETRY
# Above the p95, above SLOW_FACTOR times the p95, and below the p95.
ABOVE_P95_S, SLOW_S, BELOW_P95_S = 1.5 * START_S, 5 * START_S, 0.5 * START_S
Outcome = AttemptOutcome


@pytest.mark.parametrize(
    ("kind", "outcome", "time_s", "health", "counts_for_latency"),
    [
        (PRIMARY, Outcome.ANSWERED, ABOVE_P95_S, ["report_good"], True),
        (PRIMARY, Outcome.ANSWERED, SLOW_S, ["report_bad"], True),
        # Only primaries are a fair sample of the index's times.
        (HEDGE, Outcome.ANSWERED, ABOVE_P95_S, ["report_good"], False),
        (RETRY, Outcome.ANSWERED, ABOVE_P95_S, ["report_good"], False),
        # Losers are counted; otherwise each hedge that wins would lower the p95.
        (PRIMARY, Outcome.LOST_RACE, ABOVE_P95_S, ["report_bad"], True),
        (HEDGE, Outcome.LOST_RACE, BELOW_P95_S, [], False),
        (PRIMARY, Outcome.TIMED_OUT, ABOVE_P95_S, ["report_bad"], True),
        # A caller's short deadline says nothing about the server.
        (PRIMARY, Outcome.TIMED_OUT, BELOW_P95_S, [], False),
        (PRIMARY, Outcome.FAILED, BELOW_P95_S, ["report_bad"], False),
        (PRIMARY, Outcome.BROKEN, BELOW_P95_S, ["report_refused"], False),
        (PRIMARY, Outcome.DRAINING, BELOW_P95_S, ["report_refused"], False),
        (PRIMARY, Outcome.SHED, BELOW_P95_S, [], False),
        (PRIMARY, Outcome.CANCELLED, SLOW_S, [], False),
    ],
)
def test_health_and_time_of_an_attempt(
    kind, outcome, time_s, health, counts_for_latency
):
    """Outcomes that are no fault of a server must not count against it.

    Only times that are a fair sample may enter the p95.
    """
    shared = Mock()
    shared.latency.read_p95.return_value = START_S
    progress = ShardProgress(ShardPlan("spaces", "s0", (REPLICA,)))
    attempt = Attempt(1, kind, progress, REPLICA, 0.0, None, outcome, time_s)
    report_attempt(shared, attempt, time_s)
    assert [call[0] for call in shared.router.method_calls] == health
    assert shared.latency.observe.call_count == counts_for_latency


@pytest.mark.parametrize(
    ("outcome", "load", "expected"),
    [
        (Outcome.ANSWERED, 1, [1]),
        # A refusing server is full, even if its reply reports no load.
        (Outcome.QUEUE_FULL, 0, [2]),
        (Outcome.SHED, 7, [7]),
        (Outcome.NOT_HOLDER, 0, []),
        (Outcome.FAILED, 0, []),
    ],
)
def test_reported_load(outcome, load, expected):
    """A reply without load information must not make a full server look idle."""
    router = Mock()
    report_load(router, REPLICA, outcome, load, 0.0)
    assert [call.args[1] for call in router.report_load.call_args_list] == expected
