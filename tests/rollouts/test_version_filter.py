"""Guard against sends to a version that a gateway may not use, and to none at all."""

import random

import pytest
from gateway_fakes import AMPLE_BUDGET, make_answer, make_entry, make_settings

from wisteriaworks.gateway.fetch import Fetch, FetchPolicy
from wisteriaworks.gateway.forwarder import ServerFleet
from wisteriaworks.gateway.model import Answered, Failed, Failure, Refused
from wisteriaworks.gateway.server_table import make_known_servers
from wisteriaworks.generated.messages import RolloutPhase, RolloutState
from wisteriaworks.generated.settings import RolloutSettings
from wisteriaworks.rollouts.version_filter import OWN_FAILURES_TO_STOP, SILENCE_S

RUNNING, PROMOTING = RolloutPhase.RUNNING, RolloutPhase.PROMOTING
SUCCEEDED, ROLLED_BACK = RolloutPhase.SUCCEEDED, RolloutPhase.ROLLED_BACK
OLD = [make_entry(f"old{n}", version="v1") for n in range(2)]
NEW = [make_entry(f"new{n}", version="v2") for n in range(2)]
ERROR = Answered(make_answer(status=500, signature=None))


def make_fleet(entries, phase=None, seed=1, excluded=(), **settings):
    settings = {"rollouts": RolloutSettings()} | settings
    cfg = make_settings(AMPLE_BUDGET, **settings)
    fleet = ServerFleet.create(cfg, random.Random(seed), -60.0)
    fleet.table.assign(make_known_servers(entries, 0.0))
    if phase is not None:
        excluded = ("v2",) if phase is ROLLED_BACK else excluded
        fleet.versions.apply_states([RolloutState("s", "v2", 1, phase, excluded)])
        fleet.versions.note_update(0.0)
    return fleet


def make_fetch(fleet, **fields):
    defaults = {"idempotent": True, "attempts": 4, "cold_per_s": 0.0}
    policy = FetchPolicy("s", hedge_after_s=0.05, **(defaults | fields))
    return Fetch(policy, fleet)


def count_new(fleet, sends=200, **fields):
    """Return how many of many first sends go to the new version, or None if none."""
    chosen = [make_fetch(fleet, **fields).begin(0.0) for _ in range(sends)]
    if None in chosen:
        return None
    return sum(send.server.entry.version == "v2" for send in chosen)


@pytest.mark.parametrize(
    ("entries", "phase", "low", "high"),
    [
        (OLD + NEW, None, 50, 150),
        (OLD + NEW, RUNNING, 10, 16),
        (OLD + NEW, PROMOTING, 200, 200),
        (OLD + NEW, SUCCEEDED, 200, 200),
        (OLD + NEW, ROLLED_BACK, 0, 0),
        (NEW, RUNNING, 200, 200),
        (OLD, RUNNING, 0, 0),
        (OLD, PROMOTING, 0, 0),
        (OLD, SUCCEEDED, 0, 0),
    ],
)
def test_first_sends_go_to_the_versions_of_the_phase(entries, phase, low, high):
    assert low <= count_new(make_fleet(entries, phase)) <= high


def test_rolled_back_version_is_not_used_although_it_is_the_only_one():
    assert count_new(make_fleet(NEW, ROLLED_BACK)) is None


def test_versions_are_ignored_without_settings():
    fleet = make_fleet(OLD + NEW, rollouts=None)
    assert fleet.versions is None
    assert 50 <= count_new(fleet) <= 150


def test_sum_over_gateways_with_few_requests_is_the_share():
    """Each of them sends fewer requests than one share of a request takes."""
    fleets = [make_fleet(OLD + NEW, RUNNING, seed) for seed in range(400)]
    assert 70 <= sum(count_new(fleet, sends=3) for fleet in fleets) <= 110


def test_hedges_and_retries_keep_to_the_share():
    fleet = make_fleet(OLD + NEW, RUNNING)
    counts = {"v1": 0, "v2": 0}
    for _ in range(300):
        fetch = make_fetch(fleet)
        sends = [fetch.begin(0.0), fetch.handle_timer(0.05)]
        sends.append(fetch.handle_outcome(sends[0].server.id, ERROR, 0.06))
        for send in filter(None, sends):
            counts[send.server.entry.version] += 1
    assert counts["v2"] <= 0.08 * sum(counts.values()) + 1


def test_cold_servers_of_the_new_version_wait():
    cold = [make_entry(f"new{n}", version="v2", cold_s=9.0) for n in range(2)]
    assert count_new(make_fleet(OLD + cold, RUNNING)) == 0


@pytest.mark.parametrize(
    ("outcome", "is_used"),
    [
        (ERROR, False),
        (Refused(make_answer(status=503)), True),
        (Failed(Failure.NO_CONNECTION, may_have_run=False), True),
        (Answered(make_answer()), True),
    ],
)
def test_gateway_stops_a_version_by_its_own_bad_answers(outcome, is_used):
    fleet = make_fleet(OLD + NEW, RUNNING)
    server = fleet.table.get("new0")
    for _ in range(OWN_FAILURES_TO_STOP):
        fleet.versions.record_outcome("r", server, outcome, 0.0, 0.01)
    assert bool(count_new(fleet)) == is_used


@pytest.mark.parametrize(("now", "version"), [(0.0, "v2"), (SILENCE_S + 1, "v1")])
def test_stopped_version_is_used_while_the_leader_says_so(now, version):
    fleet = make_fleet(OLD + NEW, PROMOTING)
    server = fleet.table.get("new0")
    for _ in range(OWN_FAILURES_TO_STOP):
        fleet.versions.record_outcome("r", server, ERROR, 0.0, 0.01)
    assert make_fetch(fleet).begin(now).server.entry.version == version


def test_cut_off_gateway_uses_the_new_servers_once_the_old_ones_are_gone():
    """The rollout may have succeeded, and then the old servers were stopped."""
    fleet = make_fleet(OLD + NEW, RUNNING)
    fetch, now = make_fetch(fleet), SILENCE_S + 1
    unsent = Failed(Failure.NO_CONNECTION, may_have_run=False)
    send = fetch.begin(now)
    while send is not None and send.server.entry.version == "v1":
        fleet.stats.record_failure(send.server.id, 1, now, is_silent=True)
        send = fetch.handle_outcome(send.server.id, unsent, now)
    assert send is not None


def test_cut_off_gateway_sends_nothing_more_to_a_version_that_may_be_bad():
    fleet, now = make_fleet(OLD + NEW, RUNNING), SILENCE_S + 1
    sends = [make_fetch(fleet).begin(now) for _ in range(100)]
    assert {send.server.entry.version for send in sends} == {"v1"}


@pytest.mark.parametrize(("phase", "version"), [(RUNNING, "v1"), (PROMOTING, None)])
def test_resumed_process_reads_the_state_before_it_sends(phase, version):
    """While it was suspended, the version may have been rolled back."""
    fleet = make_fleet(OLD + NEW, phase)
    fleet.versions.note_alive(0.0)
    fleet.versions.read_suspended_s = lambda: 9.0
    sends = [make_fetch(fleet).begin(0.1) for _ in range(100)]
    assert {send and send.server.entry.version for send in sends} == {version}
    fleet.versions.note_alive(0.2)
    assert make_fetch(fleet).begin(0.3) is not None


def test_direct_list_shows_no_version_that_no_leader_has_listed():
    """Its rollout may have begun while the gateway did not hear of it."""
    fleet = make_fleet(OLD + NEW)
    fleet.versions.note_listed(OLD)
    fleet.versions.is_list_direct = True
    assert count_new(fleet) == 0
    fleet.table.assign(make_known_servers(NEW, 0.0))
    assert count_new(fleet) == 200


def test_report_has_totals_and_what_runs_at_old_servers():
    fleet = make_fleet(OLD + NEW, PROMOTING)
    versions, server = fleet.versions, fleet.table.get("new0")
    fleet.stats.record_send("old0", 1, 0.0)
    for outcome in (Answered(make_answer()), ERROR, ERROR):
        versions.record_outcome("r", server, outcome, 0.0, 0.003)
    (report,) = versions.pop_reports(1.0)
    assert (report.number, report.phase, report.old_running) == (1, PROMOTING, 1)
    (counts,) = report.counts
    assert (counts.sent, counts.failed, counts.times) == (3, 2, (0, 0, 1))
    assert versions.pop_reports(9.0) == []
    versions.report_again()
    assert versions.pop_reports(9.0) == [report]


def test_report_waits_for_its_interval():
    fleet = make_fleet(OLD + NEW, RUNNING)
    versions, server = fleet.versions, fleet.table.get("new0")
    assert len(versions.pop_reports(1.0)) == 1
    versions.record_outcome("r", server, ERROR, 0.0, 0.003)
    assert versions.pop_reports(1.4) == []
    assert len(versions.pop_reports(1.6)) == 1
