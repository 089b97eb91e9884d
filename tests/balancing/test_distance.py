"""Guard against parts that cross failure domains without need, or stay too long."""

import random
from collections import Counter

import pytest
from gateway_fakes import make_entry, make_route
from load_simulation import Load, LoadSimulation

from wisteriaworks.balancing.distance import (
    BACKLOG_SHARE,
    LOADED,
    PARTS_PER_S,
    SPILL_S,
    NearShards,
    compute_near_limit,
)
from wisteriaworks.gateway.delegation import DelegateSelector
from wisteriaworks.gateway.gathering import GroupPlanner
from wisteriaworks.gateway.server_stats import ServerStats
from wisteriaworks.gateway.server_table import (
    KnownServer,
    ServerTable,
    make_known_servers,
)
from wisteriaworks.generated.messages import Delegate

DOMAINS = ("d0", "d1", "d2")
SHARDS = tuple(f"s{n}" for n in range(90))
ROUTE = make_route(shards=SHARDS, objective_ms=350, minimum_coverage=0.95)
SERVERS = [
    KnownServer(make_entry(f"i{domain}", domain=domain), 0.0) for domain in DOMAINS
]


def make_table(lost=frozenset(), domains=DOMAINS, replicas=3):
    """Return a table with a server of each shard in successive domains.

    ``lost`` has the positions of the shards without a server in the first domain.
    """
    table, count = ServerTable(), len(domains)
    entries = [
        make_entry(f"i{n}.{c}", service=shard, domain=domains[(n + c) % count])
        for n, shard in enumerate(SHARDS)
        for c in range(replicas)
        if not (n in lost and (n + c) % count == 0)
    ]
    table.assign(make_known_servers(entries, 0.0))
    return table


def make_selector(domain="d0", domains=DOMAINS, seed=1):
    selector = DelegateSelector("own", 7.0, random.Random(seed), domain)
    delegates = [
        Delegate(
            f"{name}-{n}",
            f"{name}-{n}:1",
            name,
            100.0,
            gathers=True,
            awaits_confirmation=True,
        )
        for name in domains
        for n in range(2)
    ]
    selector.set_delegates(delegates)
    return selector


def place(selector, table, now=1.0):
    """Return the numbers of shards by domain of the groups of a query."""
    placements = selector.place(ROUTE, GroupPlanner(table), now)
    positions = sorted(p for item in placements for p in item.group.positions)
    assert positions == list(range(90))
    return {item.delegate.domain: len(item.group.positions) for item in placements}


@pytest.mark.parametrize("domain", DOMAINS)
def test_query_is_gathered_in_the_domain_of_its_caller(domain):
    """Otherwise two queries in three return their answers from other domains."""
    selector, table = make_selector(domain), make_table()
    assert all(place(selector, table) == {domain: 90} for _ in range(20))


def test_shards_without_a_near_server_are_gathered_in_another_domain():
    """Otherwise the whole query leaves, and the servers of the domain are idle."""
    placed = place(make_selector(), make_table(lost=range(10)))
    assert placed.pop("d0") == 80
    assert list(placed.values()) == [10]


def test_few_shards_without_a_near_server_are_gathered_with_the_others():
    assert place(make_selector(), make_table(lost=range(2))) == {"d0": 90}


def test_backlog_of_the_near_delegates_spills_over():
    """Callers in one domain may be more active than in the others."""
    selector, table = make_selector(), make_table()
    backlog = BACKLOG_SHARE * 0.35 * PARTS_PER_S
    for n in range(2):
        delegate = selector._states[f"d0-{n}"].delegate
        selector.begin(delegate, n, backlog * 1.1, 1.0)
        selector.accept(delegate)
    used = Counter(next(iter(place(selector, table))) for _ in range(40))
    assert set(used) == {"d1", "d2"}


def test_domain_with_loaded_servers_is_left_for_a_moment():
    selector, table = make_selector(), make_table()
    delegate = selector._states["d0-0"].delegate
    selector.end(delegate, 1, 1.0, decline_reason=LOADED)
    assert "d0" not in place(selector, table, 1.0)
    assert selector.choose(ROUTE, "d0", 1.0, ["d0-0"]).domain != "d0"
    assert place(selector, table, 1.0 + SPILL_S * 1.1) == {"d0": 90}


def test_without_a_near_delegate_another_domain_gathers():
    (domain,) = place(make_selector(domains=DOMAINS[1:]), make_table())
    assert domain in DOMAINS[1:]


@pytest.mark.parametrize(("domain_count", "replicas"), [(4, 2), (4, 3), (6, 2), (6, 3)])
def test_other_layouts_are_divided_as_before(domain_count, replicas):
    """There every second domain is enough, and each division is used in turn."""
    domains = tuple(f"d{n}" for n in range(domain_count))
    table = make_table(domains=domains, replicas=replicas)
    divisions = GroupPlanner(table).list_divisions(SHARDS, frozenset(domains))
    used = Counter()
    for seed in range(40):
        selector = make_selector(domains=domains, seed=seed)
        placements = selector.place(ROUTE, GroupPlanner(table), 1.0)
        used[tuple(sorted(item.group.domain for item in placements))] += 1
    assert set(used) <= {tuple(sorted(g.domain for g in d)) for d in divisions}
    assert not NearShards(table, "d0").covers(SHARDS)


def choose(stats, near_limit_s, now=60.0, median_s=0.02):
    chosen = (
        stats.choose(SERVERS, now, median_s, near_limit_s).entry.domain
        for _ in range(100)
    )
    return Counter(chosen)


def make_stats(near_s=0.02, other_s=0.02):
    """Return statistics of servers with known answer times."""
    stats = ServerStats("d0", random.Random(1))
    for send_id in range(60):
        for server in SERVERS:
            began_at = 57.0 + send_id * 0.05
            answer_s = near_s if server.entry.domain == "d0" else other_s
            stats.record_send(server.id, send_id, began_at)
            stats.record_success(server.id, send_id, began_at + answer_s)
    return stats


def test_slow_near_server_is_used_while_it_answers_in_time():
    """A server of speed 0.8 beside one of 1.3 lost part of its requests."""
    stats = make_stats(near_s=0.0275, other_s=0.017)
    assert min(choose(stats, 0.0).values()) > 5
    assert choose(stats, 0.1) == {"d0": 100}


@pytest.mark.parametrize("near_s", [0.2, 0.4])
def test_near_server_that_answers_too_late_is_left(near_s):
    assert choose(make_stats(near_s=near_s), 0.1)["d0"] < 5


def stall(stats):
    stats.record_send("id0", 100, 59.5)


def fail(stats):
    for send_id in range(100, 103):
        stats.record_failure("id0", send_id, 59.9)


def refuse(stats):
    for send_id in range(100, 104):
        stats.record_refusal("id0", send_id, 59.9)


def fill(stats):
    for send_id in range(100, 114):
        stats.record_send("id0", send_id, 60.0)


@pytest.mark.parametrize("disturb", [stall, fail, refuse, fill])
def test_near_server_is_left_as_soon_as_it_is_disturbed(disturb):
    stats = make_stats()
    disturb(stats)
    assert choose(stats, 0.1)["d0"] == 0


def test_cold_near_server_is_left():
    stats = make_stats()
    cold = KnownServer(SERVERS[0].entry, 70.0)
    chosen = stats.choose([cold, *SERVERS[1:]], 60.0, 0.02, 0.1)
    assert chosen.entry.domain != "d0"


def test_limit_leaves_time_for_a_hedge():
    """A near server whose usual answer comes after the hedge costs two sends."""
    hedge_after_s = 0.4 * 0.35
    first = compute_near_limit(0.0, 0.33, hedge_after_s, 0.02, is_repeat=False)
    assert first < hedge_after_s
    for is_repeat in (False, True):
        assert compute_near_limit(0.0, float("inf"), 0.1, 0.02, is_repeat) < 0.1
    # Of 60 ms left after a hedge, an answer of 50 ms would come too late.
    assert compute_near_limit(0.27, 0.33, 0.1, 0.02, is_repeat=True) < 0.05


def test_servers_that_are_all_too_slow_for_the_objective_are_not_left():
    """All delegates would decline their groups, and nothing would be faster."""
    assert compute_near_limit(0.0, 0.08, 0.06, 0.04, is_repeat=False) > 0.04


def test_route_is_served_in_the_domain_that_has_most_of_its_shards():
    table = make_table(lost=range(10))
    near = NearShards(table, "d0")
    assert near.covers(SHARDS)
    assert near.list_far(SHARDS) == frozenset(n for n in range(10))
    assert not NearShards(make_table(lost=range(40)), "d0").covers(SHARDS)


def test_pause_of_a_near_server_does_not_drive_requests_away_for_seconds():
    """One answer after 250 ms raised the mean of a server of 12 ms fivefold, and a
    third of all parts came from other domains."""
    stats = make_stats(near_s=0.012, other_s=0.012)
    stats.record_send("id0", 100, 59.7)
    stats.record_success("id0", 100, 59.95)
    assert choose(stats, 0.025, median_s=0.012) == {"d0": 100}


def run_load(work_s, objective_ms, weights, **fields):
    """Return the simulated load of deployment B at its six delegates."""
    load = Load(
        gateways=6,
        shards=30,
        replicas=3,
        queries_per_s=26.0,
        seconds=6.0,
        work_s=work_s,
        objective_ms=objective_ms,
        minimum_coverage=0.95,
        slack=200.0,
        speeds=(0.8, 1.0, 1.3),
        stall_s=0.25,
        stall_period_s=6.0,
        max_held=14,
        domains=3,
        domain_weights=weights,
        connect_s=0.008,
        **fields,
    )
    return LoadSimulation(load).run()


@pytest.mark.parametrize(
    ("work_s", "objective_ms", "weights", "max_share"),
    [
        # Now 0.11; without the preference 0.41.
        pytest.param(0.012, 97, (), 0.2, id="short objective"),
        # Now 0.05; without the preference 0.39.
        pytest.param(0.03, 350, (), 0.1, id="usual objective"),
        # Now 0.13; without the preference 0.59.
        pytest.param(0.03, 350, (1, 0, 0), 0.2, id="callers in one domain"),
    ],
)
def test_few_parts_cross_domains_and_answers_stay_in_time(
    work_s, objective_ms, weights, max_share
):
    fields = work_s, objective_ms, weights
    before, now = (run_load(*fields, prefers_near=near) for near in (False, True))
    assert now.far_sends < max_share * now.sends
    assert before.far_sends > 0.3 * before.sends
    assert now.mean_score > before.mean_score - 0.005


def test_load_that_one_domain_can_not_serve_leaves_it_as_whole_queries():
    """Part by part, each answer of 1,300 bytes crosses, and not the merged records."""
    fields = 0.08, 804, (1, 0, 0)
    kept = run_load(*fields, prefers_near=True)
    declined = run_load(*fields, prefers_near=True, may_decline=True)
    assert kept.far_sends > 0.35 * kept.sends
    assert declined.far_sends < 0.2 * declined.sends
    assert declined.declined < 0.7 * declined.queries
    assert declined.mean_score >= kept.mean_score - 0.005
