"""Guard against queries delegated to gateways that are slow, silent or no faster."""

import random
from collections import Counter

import pytest
from gateway_fakes import make_route

from wisteriaworks.gateway.delegation import (
    ACCEPT_TIMEOUT_S,
    AVOID_S,
    SILENCE_S,
    DelegateSelector,
)
from wisteriaworks.gateway.fleet_shares import MAX_RESERVE
from wisteriaworks.gateway.gathering import GroupPlanner
from wisteriaworks.gateway.server_table import ServerTable
from wisteriaworks.generated.messages import Delegate, Watch
from wisteriaworks.operator_commands import (
    MAX_DELEGATES,
    choose_delegates,
    choose_reserve,
)

NINETY_SHARDS = tuple(f"s{n}" for n in range(90))
QUERY = make_route(shards=NINETY_SHARDS, objective_ms=147)


def make_delegate(name, domain="a", link_mbps=100.0, **fields):
    fields = {"awaits_confirmation": True} | fields
    return Delegate(name, f"{name}:1", domain, link_mbps, **fields)


def make_selector(delegates=(), link_mbps=15.0):
    selector = DelegateSelector("own", link_mbps, random.Random(1))
    selector.set_delegates(delegates)
    return selector


def choose(selector, route=QUERY, now=1.0, excluded=()):
    """Return the delegate for shards whose servers are in domain a."""
    return selector.choose(route, "a", now, excluded)


def count_choices(selector, now=1.0):
    chosen = (choose(selector, now=now) for _ in range(40))
    return Counter(delegate and delegate.name for delegate in chosen)


def test_query_whose_answers_fill_the_link_is_delegated():
    """Otherwise the transfer of 90 answers of 1,300 bytes takes 62 of 147 ms."""
    selector = make_selector([make_delegate("d1")])
    assert choose(selector).name == "d1"


@pytest.mark.parametrize(
    ("route", "link_mbps"),
    [
        pytest.param(QUERY, 1000.0, id="own link is fast"),
        pytest.param(QUERY, 30.0, id="other link is little better"),
        pytest.param(QUERY, 0.0, id="own link is unknown"),
        pytest.param(make_route(objective_ms=147), 15.0, id="one service"),
        pytest.param(
            make_route(shards=NINETY_SHARDS[:5], objective_ms=147),
            15.0,
            id="few shards",
        ),
        pytest.param(make_route(shards=NINETY_SHARDS), 15.0, id="no objective"),
    ],
)
def test_other_queries_run_locally(route, link_mbps):
    selector = make_selector([make_delegate("d1")], link_mbps)
    assert choose(selector, route) is None
    assert selector.place(route, GroupPlanner(ServerTable()), 1.0) == ()


def test_delegates_in_the_same_domain_share_the_queries():
    delegates = [make_delegate("d1"), make_delegate("d2"), make_delegate("far", "b")]
    chosen = count_choices(make_selector(delegates))
    assert set(chosen) == {"d1", "d2"}
    assert min(chosen.values()) > 5


def test_delegate_in_another_domain_is_the_second_choice():
    chosen = count_choices(make_selector([make_delegate("far", "b")]))
    assert set(chosen) == {"far"}


def test_delegate_that_does_not_accept_a_query_gets_no_more():
    """Otherwise a VM that stalls for seconds delays the queries of many gateways."""
    selector = make_selector([make_delegate("d1"), make_delegate("far", "b")])
    selector.begin(make_delegate("d1"), 1, 90, 1.0)
    assert set(count_choices(selector, 1.0 + ACCEPT_TIMEOUT_S / 2)) == {"d1"}
    assert set(count_choices(selector, 1.0 + ACCEPT_TIMEOUT_S * 1.1)) == {"far"}
    selector.end(make_delegate("d1"), 1, 1.1)
    assert set(count_choices(selector, 1.1)) == {"far"}


def test_delegate_that_accepts_again_gets_queries_again():
    selector = make_selector([make_delegate("d1"), make_delegate("far", "b")])
    selector.begin(make_delegate("d1"), 1, 90, 1.0)
    selector.accept(make_delegate("d1"))
    assert set(count_choices(selector, 1.1)) == {"d1"}
    selector.begin(make_delegate("d1"), 2, 90, 1.1)
    after = 1.2 + ACCEPT_TIMEOUT_S + SILENCE_S
    assert set(count_choices(selector, after)) == {"d1"}


def test_delegate_from_which_nothing_arrives_gets_no_queries():
    """Its pings show a frozen VM before a query has to wait for it."""
    selector = make_selector([make_delegate("d1"), make_delegate("far", "b")])
    silence = {"d1:1": SILENCE_S * 1.1}
    selector.read_silence = lambda address: silence.get(address, 0.0)
    assert set(count_choices(selector)) == {"far"}


def test_late_answers_of_slow_shards_do_not_move_queries_to_the_gateways():
    """Slow shards delay every delegate; 200 gateways that query the shards themselves
    exceed the connections of the servers."""
    delegates = [make_delegate("d1"), make_delegate("far", "b")]
    selector = make_selector(delegates)
    for number, delegate in enumerate(delegates):
        selector.begin(delegate, number, 90, 1.0)
        selector.accept(delegate)
    assert set(count_choices(selector, 2.0)) == {"d1"}


def test_delegate_that_failed_is_avoided_for_a_time():
    selector = make_selector([make_delegate("d1")])
    selector.begin(make_delegate("d1"), 1, 90, 1.0)
    selector.end(make_delegate("d1"), 1, 1.1, has_failed=True)
    assert set(count_choices(selector, 1.2)) == {None}
    assert set(count_choices(selector, 1.2 + AVOID_S)) == {"d1"}


def test_loaded_delegate_leaves_queries_to_another_domain():
    """Otherwise the delegate of a busy domain queues while others are idle."""
    selector = make_selector([make_delegate("d1"), make_delegate("far", "b")])
    selector.begin(make_delegate("d1"), 1, 90, 1.0)
    selector.accept(make_delegate("d1"))
    selector.end(make_delegate("d1"), 1, 1.1, running=900)
    assert set(count_choices(selector, 1.1)) == {"far"}
    assert set(count_choices(selector, 3.0)) == {"d1"}


def test_reserve_runs_queries_only_while_no_delegate_can():
    """Without it 200 gateways open connections to each server after a loss of power."""
    reserve = make_delegate("r1", link_mbps=15.0, is_reserve=True)
    selector = make_selector([make_delegate("d1"), reserve])
    assert set(count_choices(selector)) == {"d1"}
    selector.end(make_delegate("d1"), 1, 1.0, has_failed=True)
    assert set(count_choices(selector)) == {"r1"}
    assert choose(selector, excluded=["r1"]) is None


def test_gateway_of_the_reserve_divides_its_queries_as_others_do():
    """Alone it would wait 62 of 147 ms for the answers on its link."""
    reserve = [make_delegate(n, link_mbps=15.0, is_reserve=True) for n in ("own", "r")]
    assert set(count_choices(make_selector(reserve))) == {"r"}


def test_gateway_of_an_older_version_gets_no_groups():
    """It would send at once, also after its group was handed on to another one."""
    older = make_delegate("d1", gathers=True, awaits_confirmation=False)
    assert set(count_choices(make_selector([older]))) == {None}
    watches = [Watch("g1", 0, "a", "p:1", 10.0), Watch("g2", 0, "a", "p:2", 100.0)]
    (delegate,) = choose_delegates(watches)
    assert not (delegate.gathers or delegate.awaits_confirmation)


def test_new_list_keeps_the_state_of_a_delegate():
    selector = make_selector([make_delegate("d1")])
    selector.end(make_delegate("d1"), 1, 1.1, has_failed=True)
    selector.set_delegates([make_delegate("d1"), make_delegate("d2")])
    assert set(count_choices(selector, 1.2)) == {"d2"}


def test_query_is_never_delegated_to_the_gateway_itself():
    assert set(count_choices(make_selector([make_delegate("own")]))) == {None}


def watch(name, link_mbps, peer="p:1", domain="a"):
    return Watch(name, 0, domain, peer, link_mbps)


def test_gateways_with_several_times_the_slowest_link_are_delegates():
    watches = [watch("g1", 10.0), watch("g2", 30.0), watch("g3", 100.0)]
    watches += [watch("g4", 100.0, peer=""), watch("g5", 0.0)]
    assert [d.name for d in choose_delegates(watches)] == ["g3"]


def test_equal_links_have_no_delegates():
    assert choose_delegates([watch(f"g{n}", 1000.0) for n in range(9)]) == ()
    assert choose_delegates([]) == ()


def test_list_of_delegates_is_bounded():
    watches = [watch("slow", 1.0), *(watch(f"g{n}", 100.0) for n in range(90))]
    assert len(choose_delegates(watches)) == MAX_DELEGATES


def make_watches(count, domains=6):
    return [watch(f"g{n}", 15.0, domain=f"d{n % domains}") for n in range(count)]


def test_reserve_has_gateways_of_each_domain_and_is_bounded():
    reserve = choose_reserve(make_watches(200), [make_delegate("fast")])
    assert len(reserve) == MAX_RESERVE
    assert set(Counter(d.domain for d in reserve).values()) == {MAX_RESERVE // 6}
    assert all(delegate.is_reserve for delegate in reserve)


def test_gateway_that_leaves_changes_one_of_the_reserve():
    """Each change moves a share of the budgets from one gateway to another."""
    watches, fast = make_watches(200), [make_delegate("fast")]
    before = {d.name for d in choose_reserve(watches, fast)}
    for left in sorted(before)[:5]:
        rest = [w for w in watches if w.name != left]
        assert len(before - {d.name for d in choose_reserve(rest, fast)}) == 1


def test_equal_links_have_no_reserve():
    assert choose_reserve(make_watches(9), ()) == ()
