"""Guard against gateways that together exceed the platform's limit on list calls."""

import random

import pytest

from wisteriaworks.gateway.list_fallback import (
    CALLS_PER_S,
    ListFallback,
    estimate_pages,
)

PAGES = 14
STEP_S = 0.1


def simulate_silence(gateways, silent_from=0.0, seconds=20.0, **pages):
    """Return the times of all reads while the leader is silent."""
    fallbacks = [ListFallback(random.Random(n)) for n in range(gateways)]
    times = [step * STEP_S for step in range(int(seconds / STEP_S))]
    return [
        now
        for now in times
        for fallback in fallbacks
        if fallback.is_due(now - silent_from, gateways, now, **pages)
    ]


@pytest.mark.parametrize("gateways", [1, 10])
def test_small_fleet_reads_after_two_seconds_and_often(gateways):
    times = simulate_silence(gateways)
    assert min(times) == pytest.approx(2.1)
    assert len(times) >= 10 * gateways


def test_large_fleet_makes_no_more_calls_than_a_small_one():
    """Guard against 780 calls/s while control is partitioned.

    That is the rate if each of 84 gateways reads 14 pages every 1.5 s.
    """
    assert len(simulate_silence(84)) <= 1.5 * len(simulate_silence(10))


def test_reads_of_a_large_fleet_are_spread_over_time():
    times = simulate_silence(84)
    busiest = max(sum(start <= t < start + 1.0 for t in times) for start in times)
    assert busiest <= 20


def test_gateway_with_updates_from_the_leader_does_not_read():
    assert simulate_silence(10, silent_from=100.0) == []


@pytest.mark.parametrize(
    ("gateways", "pages"), [(10, 4), (94, 9), (139, 9), (200, 14), (3700, 750)]
)
def test_calls_of_the_whole_fleet_are_bounded(gateways, pages):
    """139 gateways that read 9 pages made 58 calls/s; the platform accepts 46."""
    seconds = 3 * max(20.0, gateways * pages / CALLS_PER_S)
    step_s = seconds / 3000
    fallbacks = [ListFallback(random.Random(n)) for n in range(gateways)]
    reads = [
        now
        for now in (step * step_s for step in range(3000))
        for position, fallback in enumerate(fallbacks)
        if fallback.is_due(now, gateways, now, pages, position)
    ]
    assert len(reads) * pages <= 1.05 * CALLS_PER_S * seconds
    assert len(reads) >= 2 * gateways
    if gateways > 10:
        # One read may begin at the edge of the window.
        length_s = max(1.0, 10 * step_s)
        counts = [sum(now <= t < now + length_s for t in reads) for now in reads[::50]]
        assert (max(counts) - 1) * pages <= 1.1 * CALLS_PER_S * length_s


@pytest.mark.parametrize(("servers", "pages"), [(0, 1), (130, 5), (270, 9), (450, 15)])
def test_pages_are_estimated_from_the_known_servers(servers, pages):
    assert estimate_pages(servers) == pages
