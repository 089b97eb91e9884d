"""Count answers that miss their objectives, and compute error budget burn rates.

The error budget of an objective is the share of answers that may miss it. A
burn rate of 1 uses exactly that share; a rate of 14.4 uses the budget of 30 days
in about 2 days.
"""

import itertools
from array import array
from collections import defaultdict
from dataclasses import dataclass

from wisteriaworks.generated.document import Objective
from wisteriaworks.generated.reports import BurnReport, BurnSeries

MINUTE_S = 60
RETENTION_MINUTES = 3 * 24 * 60
BUDGET_PERIOD_MINUTES = 30 * 24 * 60
WINDOWS = (("5 min", 5), ("1 h", 60), ("6 h", 360), ("3 d", RETENTION_MINUTES))


@dataclass(frozen=True, slots=True)
class Alert:
    """Define an alert that fires when both windows burn faster than ``rate``.

    The long window shows that the share of misses is significant, the short window
    that misses still occur.
    """

    name: str
    rate: float
    long_minutes: int
    short_minutes: int


# The usual thresholds: 2% of the budget of 30 days in 1 h, and 5% in 6 h.
ALERTS = (Alert("fast", 14.4, 60, 5), Alert("slow", 6.0, 360, 30))


@dataclass(frozen=True, slots=True)
class TargetBurn:
    """Represent the burn of one target; ``rates`` is ordered as ``WINDOWS``.

    ``spent`` is the share of the 30-day error budget that the last 3 days used, if
    the traffic of the other days is the same.
    """

    search: str
    caller: str
    kind: str
    target: float
    total: int
    missed: int
    rates: tuple[float, ...]
    spent: float
    alerts: tuple[str, ...]


class _MinuteRing:
    """Count answers by minute in a ring of fixed size, about 86 KB."""

    def __init__(self):
        self._minutes = array("q", [-1]) * RETENTION_MINUTES
        self._totals = array("I", [0]) * RETENTION_MINUTES
        self._slow = array("I", [0]) * RETENTION_MINUTES
        self._uncovered = array("I", [0]) * RETENTION_MINUTES

    def add(self, minute, slow, uncovered):
        slot = minute % RETENTION_MINUTES
        if self._minutes[slot] != minute:
            self._minutes[slot] = minute
            self._totals[slot] = self._slow[slot] = self._uncovered[slot] = 0
        self._totals[slot] += 1
        self._slow[slot] += slow
        self._uncovered[slot] += uncovered

    def list_rows(self, minute):
        """Return rows (age in minutes, total, slow, uncovered), newest first."""
        rows = zip(
            self._minutes, self._totals, self._slow, self._uncovered, strict=True
        )
        oldest = minute - RETENTION_MINUTES
        return sorted((minute - m, *rest) for m, *rest in rows if m >= 0 and m > oldest)


class BurnCounters:
    """Count the answers of one entry by objective."""

    def __init__(self):
        self._objectives = {}
        self._rings = {}

    def set_objectives(self, objectives):
        """Replace the objectives that answers are counted for.

        The counts of an objective are kept unless its latency threshold changed:
        counts against different thresholds cannot be added.
        """
        new = {(o.search, o.caller): o for o in objectives.values()}
        old = self._objectives
        self._rings = {
            pair: self._rings[pair]
            if pair in old and old[pair].latency_ms == objective.latency_ms
            else _MinuteRing()
            for pair, objective in new.items()
        }
        self._objectives = new

    def record(self, now, search, caller, total_ms, complete):
        """Count one answer or refusal; ``now`` is in monotonic seconds."""
        objective = self._objectives.get((search, caller))
        if objective is not None:
            slow = total_ms > objective.latency_ms
            minute = int(now // MINUTE_S)
            self._rings[search, caller].add(minute, slow, not complete)

    def create_report(self, now, entry, config_version):
        """Return all counts, by the age of each minute."""
        minute = int(now // MINUTE_S)
        series = tuple(
            _create_series(objective, self._rings[pair].list_rows(minute))
            for pair, objective in sorted(self._objectives.items())
        )
        return BurnReport(entry=entry, config_version=config_version, series=series)


def sum_reports(reports):
    """Return one series per search and caller, summed over the entries.

    Minutes are matched by age, so the clocks of the entries need not agree. The
    objective is taken from the report with the newest configuration version.
    """
    rows = defaultdict(list)
    objectives = {}
    for report in sorted(reports, key=lambda report: report.config_version):
        for series in report.series:
            pair = (series.objective.search, series.objective.caller)
            objectives[pair] = series.objective
            rows[pair] += _list_rows(series)
    return [
        _create_series(objectives[pair], _merge_rows(rows[pair]))
        for pair in sorted(objectives)
    ]


def _create_series(objective, rows):
    columns = zip(*rows, strict=True) if rows else ((), (), (), ())
    ages, totals, slow, uncovered = map(tuple, columns)
    return BurnSeries(
        objective=objective, ages=ages, totals=totals, slow=slow, uncovered=uncovered
    )


def _list_rows(series):
    return zip(series.ages, series.totals, series.slow, series.uncovered, strict=True)


def _merge_rows(rows):
    sums = defaultdict(lambda: [0, 0, 0])
    for age, *counts in rows:
        sums[age] = [a + b for a, b in zip(sums[age], counts, strict=True)]
    return [(age, *counts) for age, counts in sorted(sums.items())]


def list_misses(series, kind):
    """Return (age in minutes, total, missed) of each minute for a kind of target."""
    missed = series.slow if kind == "latency" else series.uncovered
    return list(zip(series.ages, series.totals, missed, strict=True))


def get_target(objective: Objective, kind):
    """Return the target share of answers for one kind of target."""
    return objective.latency_target if kind == "latency" else objective.coverage_target


def compute_rate(total, missed, target):
    """Return the burn rate, or 0 if there were no answers."""
    return missed / total / (1 - target) if total else 0.0


def _sum_window(misses, minutes):
    window = list(itertools.takewhile(lambda row: row[0] < minutes, misses))
    return sum(row[1] for row in window), sum(row[2] for row in window)


def compute_burn(series):
    """Return the burn of the latency target and the coverage target."""
    return [_compute_burn_of_kind(series, kind) for kind in ("latency", "coverage")]


def _compute_burn_of_kind(series, kind):
    objective = series.objective
    misses = list_misses(series, kind)
    target = get_target(objective, kind)

    def rate(minutes):
        return compute_rate(*_sum_window(misses, minutes), target)

    total, missed = _sum_window(misses, RETENTION_MINUTES)
    return TargetBurn(
        search=objective.search,
        caller=objective.caller,
        kind=kind,
        target=target,
        total=total,
        missed=missed,
        rates=tuple(rate(minutes) for _, minutes in WINDOWS),
        # Assumes the same traffic on the other days of the budget period.
        spent=rate(RETENTION_MINUTES) * RETENTION_MINUTES / BUDGET_PERIOD_MINUTES,
        alerts=tuple(
            alert.name
            for alert in ALERTS
            if min(rate(alert.long_minutes), rate(alert.short_minutes)) > alert.rate
        ),
    )
