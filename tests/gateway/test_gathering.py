"""Guard against parts that are gathered far from their servers, twice or not at all."""

import math
import random

import pytest
from gateway_fakes import make_answer, make_entry, make_fleet, make_route

from wisteriaworks.gateway.delegation import DelegateSelector
from wisteriaworks.gateway.fetch import Fetch, FetchPolicy
from wisteriaworks.gateway.gathering import (
    MAX_KEPT,
    Gathering,
    GroupPlanner,
    GroupProgress,
    MergedPart,
)
from wisteriaworks.gateway.group_query import GroupQuery
from wisteriaworks.gateway.model import Answered, AnswerTimes, Failed, Failure
from wisteriaworks.gateway.query import (
    KEY_REASONS,
    GatheredAnswer,
    Unserved,
    UnservedReason,
)
from wisteriaworks.gateway.server_table import ServerTable, make_known_servers
from wisteriaworks.generated.messages import Delegate

DOMAINS = ("d0", "d1", "d2", "d3", "d4", "d5")
SHARDS = tuple(f"s{n}" for n in range(87))
ROUTE = make_route(shards=SHARDS, objective_ms=147, minimum_coverage=0.95)
TIMES = AnswerTimes(partial_at=0.1, give_up_at=0.7, deadline_at=0.8)


def make_table(domains=DOMAINS):
    """Return a table with two servers of each shard in neighbouring domains."""
    table = ServerTable()
    count = len(domains)
    entries = [
        make_entry(f"i{n}.{c}", service=shard, domain=domains[(n + c) % count])
        for n, shard in enumerate(SHARDS)
        for c in (0, 1)
    ]
    table.assign(make_known_servers(entries, 0.0))
    return table


def list_positions(division):
    return sorted(position for group in division for position in group.positions)


def count_far(table, division):
    """Return how many shards have no server in the domain of their group."""
    return sum(
        all(s.entry.domain != group.domain for s in table.list_usable(SHARDS[position]))
        for group in division
        for position in group.positions
    )


def test_three_domains_of_six_gather_all_parts_near_their_servers():
    """One gateway for all parts gets 58 of 87 of them from other domains."""
    table = make_table()
    divisions = GroupPlanner(table).list_divisions(SHARDS, frozenset(DOMAINS))
    assert {tuple(g.domain for g in division) for division in divisions} == {
        ("d0", "d2", "d4"),
        ("d1", "d3", "d5"),
    }
    for division in divisions:
        assert count_far(table, division) == 0
        assert list_positions(division) == list(range(87))


@pytest.mark.parametrize("lost", [("d0",), ("d0", "d3"), ("d0", "d1", "d2", "d3")])
def test_shards_of_domains_without_a_delegate_are_gathered_elsewhere(lost):
    table = make_table()
    domains = frozenset(DOMAINS) - set(lost)
    for division in GroupPlanner(table).list_divisions(SHARDS, domains):
        assert list_positions(division) == list(range(87))
        assert {group.domain for group in division} <= domains


def test_domain_out_of_service_gathers_only_what_nobody_else_can():
    table = make_table()
    planner = GroupPlanner(table)
    planner.list_divisions(SHARDS, frozenset(DOMAINS))
    table.set_domains_out(["d0", "d1"])
    for division in planner.list_divisions(SHARDS, frozenset(DOMAINS)):
        assert list_positions(division) == list(range(87))
        far = [n for n in range(87) if n % 6 == 0]
        assert count_far(table, division) == len(far)


def test_kept_divisions_are_bounded():
    """Each of a thousand routes has its own shards."""
    planner = GroupPlanner(make_table())
    for number in range(3 * MAX_KEPT):
        planner.list_divisions((f"s{number}",), frozenset(DOMAINS))
    assert len(planner._divisions) == MAX_KEPT


def test_unknown_servers_leave_no_shard_out():
    (division, *_) = GroupPlanner(ServerTable()).list_divisions(
        SHARDS, frozenset(["d1"])
    )
    assert list_positions(division) == list(range(87))


def test_both_servers_of_a_shard_get_work():
    """Delegates in every second domain alone would leave half of the servers idle."""
    selector = DelegateSelector("own", 15.0, random.Random(1))
    selector.set_delegates(
        [
            Delegate(d, f"{d}:1", d, 100.0, gathers=True, awaits_confirmation=True)
            for d in DOMAINS
        ]
    )
    planner, used = GroupPlanner(make_table()), set()
    for number in range(20):
        placements = selector.place(ROUTE, planner, 1.0)
        used.add(tuple(p.delegate.name for p in placements))
        for p in placements:
            selector.begin(p.delegate, number, len(p.group.positions), 1.0)
    assert len(used) == 2
    loads = [sum(s.open_parts.values()) for s in selector._states.values()]
    assert max(loads) <= min(loads) + 87


def make_progress(parts, size=29, **fields):
    signatures = tuple(b"s%d" % n for n in range(parts))
    return GroupProgress(size, MergedPart(signatures, b""), **fields)


def make_gathering():
    return Gathering((29, 29, 29), 0.95, TIMES)


def test_answer_needs_all_groups_before_it_is_due():
    gathering = make_gathering()
    for number in (0, 1):
        gathering.record(number, make_progress(29, is_final=True))
    gathering.record(2, make_progress(28))
    assert gathering.get_result(0.05) is None
    assert gathering.compute_wake_at() == TIMES.partial_at
    gathering.record(2, make_progress(29, is_final=True))
    result = gathering.get_result(0.05)
    assert isinstance(result, GatheredAnswer)
    assert (len(result.parts), result.missing) == (3, 0)


def test_missing_parts_count_over_all_groups():
    """Each group alone has enough parts, and the answer has not."""
    gathering = make_gathering()
    for number in range(3):
        gathering.record(number, make_progress(27))
    assert gathering.get_result(0.2) is None
    assert gathering.compute_wake_at() == TIMES.give_up_at
    gathering.record(0, make_progress(29))
    assert gathering.get_result(0.2).missing == 4


def test_query_fails_as_soon_as_too_many_parts_are_lost():
    gathering = make_gathering()
    gathering.record(0, make_progress(20, lost=3))
    assert gathering.get_result(0.05) is None
    gathering.record(1, make_progress(20, lost=2))
    result = gathering.get_result(0.05)
    assert result == Unserved(UnservedReason.COVERAGE, may_have_run=True)


@pytest.mark.parametrize("may_have_run", [False, True])
def test_not_run_is_stated_only_if_no_group_ran(may_have_run):
    gathering = make_gathering()
    for number in range(3):
        ran = may_have_run and number == 1
        progress = make_progress(0, lost=29, is_final=True, may_have_run=ran)
        gathering.record(number, progress)
    assert gathering.get_result(0.05).may_have_run is may_have_run


@pytest.mark.parametrize("reason", list(KEY_REASONS.values()))
def test_key_that_is_removed_at_delegates_is_the_reason(reason):
    gathering = make_gathering()
    for number, cause in enumerate((UnservedReason.REFUSED, reason, reason)):
        progress = make_progress(0, lost=29, is_final=True, reason=cause)
        gathering.record(number, progress)
    assert gathering.get_result(0.05) == Unserved(reason, may_have_run=False)


def test_group_without_an_answer_may_have_run():
    result = make_gathering().get_result(TIMES.give_up_at)
    assert result == Unserved(UnservedReason.DEADLINE, may_have_run=True)


def make_group(size=29):
    shards = SHARDS[:size]
    fleet = make_fleet([make_entry(f"i{name}", service=name) for name in shards])
    fetches = {
        name: Fetch(FetchPolicy(name, True, 1, 0.0, math.inf), fleet) for name in shards
    }
    return GroupQuery(ROUTE, fetches, TIMES)


def answer(group, names, now, outcome=None):
    for name in names:
        fetch = group.fetches[name]
        fetch.handle_outcome(f"i{name}", outcome or Answered(make_answer()), now)
        group.record_end(fetch, now)


def test_group_that_lacks_more_than_its_share_goes_on_when_it_is_due():
    """An answer may lack 4 of 87 parts; a group that ends with 2 of 29 missing could
    make three groups fail together."""
    group = make_group()
    group.begin(0.0)
    answer(group, SHARDS[:27], 0.02)
    assert group.get_result(0.05) is None
    assert group.compute_wake_at() == TIMES.partial_at
    assert group.get_result(TIMES.partial_at) is None
    assert group.read_progress(TIMES.partial_at).part_count == 27
    assert group.compute_wake_at() == TIMES.give_up_at
    answer(group, SHARDS[27:28], 0.2)
    progress = group.get_result(0.2)
    assert (progress.part_count, progress.is_final) == (28, True)


def test_group_ends_when_the_query_can_not_be_answered():
    group = make_group()
    group.begin(0.0)
    lost = Failed(Failure.TIMED_OUT, may_have_run=True)
    answer(group, SHARDS[:4], 0.02, lost)
    assert group.get_result(0.03) is None
    answer(group, SHARDS[4:5], 0.02, lost)
    progress = group.get_result(0.03)
    assert (progress.lost, progress.is_final, progress.may_have_run) == (5, True, True)


def test_group_without_servers_sends_nothing_and_has_not_run():
    fleet = make_fleet([])
    fetches = {n: Fetch(FetchPolicy(n, True, 1, 0.0, 1.0), fleet) for n in SHARDS[:29]}
    group = GroupQuery(ROUTE, fetches, TIMES)
    assert group.begin(0.0) == []
    progress = group.fail_to_begin()
    assert (progress.lost, progress.may_have_run) == (29, False)
