"""Guard against gateways that together exceed the platform's limit on list calls."""

import random

import pytest

from wisteriaworks.gateway.list_fallback import ListFallback

PAGES = 14
STEP_S = 0.1


def simulate_silence(gateways, silent_from=0.0, seconds=20.0):
    """Return the times of all reads while the leader is silent."""
    fallbacks = [ListFallback(random.Random(n)) for n in range(gateways)]
    times = [step * STEP_S for step in range(int(seconds / STEP_S))]
    return [
        now
        for now in times
        for fallback in fallbacks
        if fallback.is_due(now - silent_from, gateways, now)
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
