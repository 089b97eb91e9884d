"""Guard against blaming healthy replicas, and against a p95 that drifts."""

import pytest

from wisteriaworks.attempts import Attempt, AttemptKind, AttemptOutcome, ShardProgress
from wisteriaworks.catalog import Replica, ShardPlan
from wisteriaworks.feedback import report_attempt, report_load
from wisteriaworks.hedging import SharedState
from wisteriaworks.latency import START_S, LatencyTable

REPLICA = Replica("a", "holder", 1, 2)
PRIMARY, HEDGE, RETRY = AttemptKind.PRIMARY, AttemptKind.HEDGE, AttemptKind.RETRY
LONG_S, SLOW_S, SHORT_S = 1.5 * START_S, 5 * START_S, 0.5 * START_S
Out = AttemptOutcome


class _Router:
    """Record what is reported."""

    def __init__(self):
        self.calls = []

    def report_load(self, replica, load, now):
        self.calls.append(load)

    def report_good(self, replica):
        self.calls.append("good")

    def report_bad(self, replica, now):
        self.calls.append("bad")

    def report_refused(self, replica, now):
        self.calls.append("refused")


class _Latency(LatencyTable):
    """Record the observed times."""

    def __init__(self):
        super().__init__()
        self.times = []

    def observe(self, index, time_s, now):
        self.times.append(time_s)


@pytest.mark.parametrize(
    ("kind", "outcome", "time_s", "health", "timed"),
    [
        (PRIMARY, Out.ANSWERED, LONG_S, ["good"], True),
        (PRIMARY, Out.ANSWERED, SLOW_S, ["bad"], True),
        # Only primaries are a fair sample of the index's times.
        (HEDGE, Out.ANSWERED, LONG_S, ["good"], False),
        (RETRY, Out.ANSWERED, LONG_S, ["good"], False),
        # Losers are counted, or each hedge that wins would shorten the p95.
        (PRIMARY, Out.LOST_RACE, LONG_S, ["bad"], True),
        (HEDGE, Out.LOST_RACE, SHORT_S, [], False),
        (PRIMARY, Out.TIMED_OUT, LONG_S, ["bad"], True),
        # A caller's short deadline says nothing about the server.
        (PRIMARY, Out.TIMED_OUT, SHORT_S, [], False),
        (PRIMARY, Out.FAILED, SHORT_S, ["bad"], False),
        (PRIMARY, Out.BROKEN, SHORT_S, ["refused"], False),
        (PRIMARY, Out.DRAINING, SHORT_S, ["refused"], False),
        (PRIMARY, Out.SHED, SHORT_S, [], False),
        (PRIMARY, Out.CANCELLED, SLOW_S, [], False),
    ],
)
def test_health_and_time_of_an_attempt(kind, outcome, time_s, health, timed):
    router, latency = _Router(), _Latency()
    progress = ShardProgress(ShardPlan("spaces", "s0", (REPLICA,)))
    attempt = Attempt(1, kind, progress, REPLICA, 0.0, None, outcome, time_s)
    report_attempt(SharedState(router, latency, None, None), attempt, time_s)
    assert router.calls == health
    assert latency.times == [time_s] * timed


@pytest.mark.parametrize(
    ("outcome", "load", "expected"),
    [
        (Out.ANSWERED, 1, [1]),
        # A refusing server is full, even if its reply says nothing of the load.
        (Out.QUEUE_FULL, 0, [2]),
        (Out.SHED, 7, [7]),
        (Out.NOT_HOLDER, 0, []),
        (Out.FAILED, 0, []),
    ],
)
def test_reported_load(outcome, load, expected):
    router = _Router()
    report_load(router, REPLICA, outcome, load, 0.0)
    assert router.calls == expected
