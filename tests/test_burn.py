"""Guard against a burn report that hides failed answers or raises false alerts."""

import pytest

from wisteriaworks.burn import (
    MINUTE_S,
    RETENTION_MINUTES,
    BurnCounters,
    compute_burn,
    sum_reports,
)
from wisteriaworks.generated.document import Objective

STALL_OBJECTIVE = Objective(
    search="stall",
    caller="desk",
    latency_ms=140,
    latency_target=0.99,
    coverage_target=0.999,
)


def _create_report(answers, report_minute=0, objectives=None):
    """Return the report of answers (minute, total_ms, complete, count)."""
    counters = BurnCounters()
    counters.set_objectives(objectives or {"o": STALL_OBJECTIVE})
    for minute, total_ms, complete, count in answers:
        for _ in range(count):
            counters.record(minute * MINUTE_S, "stall", "desk", total_ms, complete)
    return counters.create_report(report_minute * MINUTE_S, "e1", 1)


@pytest.mark.parametrize(
    ("total_ms", "complete", "missed"),
    [(140, True, (0, 0)), (140.1, True, (1, 0)), (1, False, (0, 1))],
)
def test_threshold_and_coverage_are_counted_apart(total_ms, complete, missed):
    (series,) = _create_report([(0, total_ms, complete, 1)]).series
    assert (series.totals, series.slow, series.uncovered) == (
        (1,),
        missed[:1],
        missed[1:],
    )


def test_answers_without_an_objective_are_not_counted():
    counters = BurnCounters()
    counters.set_objectives({"o": STALL_OBJECTIVE})
    counters.record(0, "stall", "kiosk", 1, True)
    (series,) = counters.create_report(0, "e1", 1).series
    assert series.totals == ()


def test_old_minutes_are_dropped_from_the_ring():
    last = RETENTION_MINUTES
    answers = [(0, 1, True, 1), (1, 1, True, 2), (last, 1, True, 3)]
    (series,) = _create_report(answers, report_minute=last).series
    assert (series.ages, series.totals) == ((0, last - 1), (3, 2))


@pytest.mark.parametrize(("latency_ms", "totals"), [(140, (1,)), (100, ())])
def test_counts_against_another_threshold_are_dropped(latency_ms, totals):
    counters = BurnCounters()
    counters.set_objectives({"o": STALL_OBJECTIVE})
    counters.record(0, "stall", "desk", 1, True)
    changed = Objective(
        search="stall",
        caller="desk",
        latency_ms=latency_ms,
        latency_target=0.9,
        coverage_target=0.9,
    )
    counters.set_objectives({"renamed": changed})
    (series,) = counters.create_report(0, "e1", 1).series
    assert series.totals == totals


def test_reports_are_summed_by_age_despite_clock_differences():
    early = _create_report([(3, 1, True, 4), (5, 900, True, 1)], report_minute=5)
    late = _create_report([(103, 1, True, 6), (104, 1, False, 1)], report_minute=105)
    (series,) = sum_reports([early, late])
    assert (series.ages, series.totals) == ((0, 1, 2), (1, 1, 10))
    assert (series.slow, series.uncovered) == ((1, 0, 0), (0, 1, 0))


# Answers as (minute, total_ms, complete, count), reported at minute 400.
_STEADY_TRAFFIC = [(minute, 1, True, 10) for minute in range(400)]
_FIVE_MINUTE_MISSES = [(minute, 900, True, 2) for minute in range(396, 401)]
_SIX_HOUR_MISSES = [(minute, 900, True, 1) for minute in range(41, 401)]
_ONE_HOUR_MISSES = [(minute, 900, True, 3) for minute in range(341, 401)]
_ENDED_MISSES = [(minute, 900, True, 3) for minute in range(300, 361)]


@pytest.mark.parametrize(
    ("misses", "alerts"),
    [
        ([], ()),
        (_FIVE_MINUTE_MISSES, ()),
        (_SIX_HOUR_MISSES, ("slow",)),
        (_ONE_HOUR_MISSES, ("fast",)),
        (_ENDED_MISSES, ()),
    ],
)
def test_alerts_need_both_windows(misses, alerts):
    (series,) = _create_report(_STEADY_TRAFFIC + misses, report_minute=400).series
    latency, coverage = compute_burn(series)
    assert (latency.alerts, coverage.alerts) == (alerts, ())


def test_rate_and_spent_budget():
    (series,) = _create_report([(0, 1, True, 98), (0, 900, True, 2)]).series
    latency, coverage = compute_burn(series)
    assert latency.rates == pytest.approx((2, 2, 2, 2))
    assert (latency.total, latency.missed, coverage.missed) == (100, 2, 0)
    assert latency.spent == pytest.approx(0.2)


def test_no_answers_burn_nothing():
    (series,) = _create_report([]).series
    assert [line.rates for line in compute_burn(series)] == [(0, 0, 0, 0)] * 2
