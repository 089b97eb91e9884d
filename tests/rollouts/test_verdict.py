"""Guard against verdicts by pauses, crashes or one server, and bad versions unseen."""

import pytest

from wisteriaworks.generated.messages import (
    ReportVersions,
    RolloutPhase,
    VersionCounts,
)
from wisteriaworks.rollouts.answer_times import BROKEN_BUCKET, BUCKETS, find_bucket
from wisteriaworks.rollouts.verdict import Tally

USUAL_S = 0.05


class Reports:
    """Add answers of servers to a Tally, in one report for each call."""

    def __init__(self):
        self.tally = Tally("v2")
        self._totals = {}
        self._now = 0.0

    def add(self, server, good=0, failed=0, slow=0, broken=0, route="r", run=1):
        self._now += 1.0
        key = route, server
        sent, old_failed, times = self._totals.get(key, (0, 0, [0] * BUCKETS))
        times = list(times)
        times[find_bucket(USUAL_S)] += good
        times[find_bucket(4 * USUAL_S)] += slow
        times[BROKEN_BUCKET] += broken
        sent += good + failed + slow + broken
        self._totals[key] = sent, old_failed + failed, times
        version = "v1" if server.startswith("old") else "v2"
        counts = VersionCounts(
            route, server, version, sent, old_failed + failed, tuple(times)
        )
        report = ReportVersions(
            "g", run, "s", 1, RolloutPhase.RUNNING, 0, counts=(counts,)
        )
        for _ in range(2):
            self.tally.add(report, self._now)
        return self


def add_old(**fields):
    return Reports().add("old", **({"good": 60} | fields))


@pytest.mark.parametrize("kind", ["failed", "slow"])
@pytest.mark.parametrize("good_before", [0, 200])
def test_bad_answers_of_two_servers_are_a_bad_version(kind, good_before):
    """Good answers before must not hide that a version became bad."""
    reports = add_old().add("new0", good=good_before)
    for number in range(6):
        reports.add(f"new{number % 2}", **{kind: 1})
    assert reports.tally.find_reason().startswith(kind)


@pytest.mark.parametrize("kind", ["failed", "slow", "broken"])
def test_one_bad_server_is_no_bad_version(kind):
    reports = add_old().add("new1", good=5)
    for _ in range(10):
        reports.add("new0", **{kind: 2})
    assert reports.tally.find_reason(is_final=True) == ""
    assert not reports.tally.is_doubtful


def test_a_crash_of_two_servers_is_no_bad_version():
    """All requests that the servers had accepted break at once."""
    reports = add_old().add("new0", good=9).add("new1", good=9)
    reports.add("new0", broken=4).add("new1", broken=4)
    assert reports.tally.find_reason() == ""


@pytest.mark.parametrize("kind", ["failed", "slow"])
def test_version_that_is_as_bad_as_the_old_one_is_sound(kind):
    """A busy period or a slow shard affects both versions."""
    reports = add_old().add("old", good=30, **{kind: 30})
    for number in range(6):
        reports.add(f"new{number % 2}", good=3, **{kind: 1})
    assert reports.tally.find_reason() == ""


def test_version_that_is_bad_on_one_route_is_named_with_it():
    reports = add_old().add("old", good=60, route="other")
    for number in range(8):
        reports.add(f"new{number % 2}", good=8, route="other")
        reports.add(f"new{number % 2}", failed=1)
    assert reports.tally.find_reason() == "failed on r"


def test_restarted_gateway_begins_its_counts_anew():
    reports = add_old().add("new0", good=20)
    other = Reports()
    other.tally = reports.tally
    other.add("new0", good=3, run=2)
    assert reports.tally.answered_new == 23


@pytest.mark.parametrize(("failed", "is_bad"), [(0, False), (1, False), (2, True)])
def test_few_answers_suffice_at_the_end_only(failed, is_bad):
    reports = Reports().add("new0", good=3, failed=failed)
    assert reports.tally.find_reason() == ""
    assert bool(reports.tally.find_reason(is_final=True)) == is_bad
