"""Guard against wrong fits, and against capacity measurements that fail to run."""

import capacity
import capacity_members
import capacity_subquery
import holder
import pytest
from capacity_fit import Line, Part, fit_line, render_table

IN_PROCESS = [part for part in capacity.PARTS.values() if part.test_sizes]


def test_line_through_points_on_a_line():
    line = fit_line([(1, 5.0), (2, 7.0), (4, 11.0)])
    assert (line.base, line.slope) == pytest.approx((3.0, 2.0))
    assert line.max_deviation == pytest.approx(0.0)
    assert line.at(10) == pytest.approx(23.0)


def test_line_minimizes_the_squared_errors():
    line = fit_line([(0, 0.0), (1, 3.0), (2, 3.0)])
    assert (line.base, line.slope) == pytest.approx((0.5, 1.5))
    # The middle value is 1 above the line, and the largest value is 3.
    assert line.max_deviation == pytest.approx(1 / 3)


def test_equal_values_give_a_constant_line():
    assert fit_line([(1, 0.0), (2, 0.0), (3, 0.0)]) == Line(0.0, 0.0, 0.0)


def test_table_extrapolates_the_line():
    part = Part("p", "server", (1, 2, 4), (), 10, None)
    rows = {size: {"time, ms": 3.0 + 2.0 * size} for size in part.sizes}
    lines = list(render_table(part, rows))
    assert lines[0] == "### p, by server"
    assert lines[-1] == "| time, ms | 5 | 7 | 11 | 3 | 2 | 0% | 23 |"


@pytest.mark.parametrize("part", IN_PROCESS, ids=lambda part: part.name)
def test_part_runs_at_test_sizes(part, monkeypatch):
    monkeypatch.setattr(capacity_subquery, "BATCHES", 20)
    monkeypatch.setattr(capacity_subquery, "REPEATS", 1)
    rows = {size: part.measure(size) for size in part.test_sizes}
    assert len({tuple(row) for row in rows.values()}) == 1
    assert list(render_table(part, rows))


@pytest.mark.parametrize("kind", ["heartbeats", "claims"])
def test_member_measurement_counts_proposals_or_heartbeats(kind, monkeypatch):
    for name in ("SETTLE_S", "CLAIMS_S"):
        monkeypatch.setattr(capacity_members, name, 0.1)
    # Longer than the interval between two heartbeats.
    monkeypatch.setattr(capacity_members, "WINDOW_S", 0.6)
    figures = capacity.PARTS[f"members: {kind}, 1 running"].measure(2)
    rate = "heartbeats a second" if kind == "heartbeats" else "proposals a second"
    assert figures[rate] > 0


def test_holder_measurement_returns_a_time(monkeypatch):
    monkeypatch.setattr(capacity_subquery, "HOLDER_SUBQUERIES", 20)
    monkeypatch.setattr(holder, "WARM_UP_BATCHES", 1)
    assert capacity.PARTS["entry: holder"].measure(2)["one sub-query, us"] > 0
