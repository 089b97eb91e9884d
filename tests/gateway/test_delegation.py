"""Guard against queries delegated to gateways that are slow, silent or no faster."""

import random
from collections import Counter

import pytest
from gateway_fakes import make_route

from wisteriaworks.gateway.delegation import AVOID_S, DelegateSelector
from wisteriaworks.generated.messages import Delegate, Watch
from wisteriaworks.operator_commands import MAX_DELEGATES, choose_delegates

NINETY_SHARDS = tuple(f"s{n}" for n in range(90))
QUERY = make_route(shards=NINETY_SHARDS, objective_ms=147)


def make_delegate(name, domain="a", link_mbps=100.0):
    return Delegate(name, f"{name}:1", domain, link_mbps)


def make_selector(delegates=(), link_mbps=15.0):
    selector = DelegateSelector("own", "a", link_mbps, random.Random(1))
    selector.set_delegates(delegates)
    return selector


def count_choices(selector, now=1.0):
    chosen = (selector.choose(QUERY, now) for _ in range(40))
    return Counter(delegate and delegate.name for delegate in chosen)


def test_query_whose_answers_fill_the_link_is_delegated():
    """Otherwise the transfer of 90 answers of 1,300 bytes takes 62 of 147 ms."""
    selector = make_selector([make_delegate("d1")])
    assert selector.choose(QUERY, 1.0).name == "d1"


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
    assert selector.choose(route, 1.0) is None


def test_delegates_in_the_same_domain_share_the_queries():
    delegates = [make_delegate("d1"), make_delegate("d2"), make_delegate("far", "b")]
    chosen = count_choices(make_selector(delegates))
    assert set(chosen) == {"d1", "d2"}
    assert min(chosen.values()) > 5


def test_delegate_in_another_domain_is_the_second_choice():
    chosen = count_choices(make_selector([make_delegate("far", "b")]))
    assert set(chosen) == {"far"}


def test_delegate_with_an_overdue_answer_gets_no_queries():
    """Otherwise a VM that stalls for seconds delays the queries of many gateways."""
    selector = make_selector([make_delegate("d1"), make_delegate("far", "b")])
    selector.begin(make_delegate("d1"), 1, due_at=1.2)
    assert set(count_choices(selector, 1.1)) == {"d1"}
    assert set(count_choices(selector, 1.3)) == {"far"}
    selector.end(make_delegate("d1"), 1, 1.4)
    assert set(count_choices(selector, 1.5)) == {"d1"}


def test_delegate_that_lost_a_query_is_avoided_for_a_time():
    selector = make_selector([make_delegate("d1")])
    selector.begin(make_delegate("d1"), 1, due_at=1.2)
    selector.end(make_delegate("d1"), 1, 1.1, has_failed=True)
    assert set(count_choices(selector, 1.2)) == {None}
    assert set(count_choices(selector, 1.2 + AVOID_S)) == {"d1"}


def test_new_list_keeps_the_state_of_a_delegate():
    selector = make_selector([make_delegate("d1")])
    selector.end(make_delegate("d1"), 1, 1.1, has_failed=True)
    selector.set_delegates([make_delegate("d1"), make_delegate("d2")])
    assert set(count_choices(selector, 1.2)) == {"d2"}


def test_query_is_never_delegated_to_the_gateway_itself():
    assert set(count_choices(make_selector([make_delegate("own")]))) == {None}


def watch(name, link_mbps, peer="p:1"):
    return Watch(name, 0, "a", peer, link_mbps)


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
