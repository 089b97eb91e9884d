"""Guard against work that keeps going to the worse server of a service."""

import random
from collections import Counter

import pytest
from gateway_fakes import make_listed

from wisteriaworks.gateway.server_stats import ServerStats
from wisteriaworks.gateway.server_table import KnownServer

SERVERS = [KnownServer(make_listed(name), 0.0) for name in ("bad", "good")]


def play(bad, rounds=400):
    """Return how often each server is chosen; ``bad(stats, attempt, now)``."""
    stats = ServerStats("a", random.Random(1))
    counts = Counter()
    for attempt in range(rounds):
        now = attempt * 0.1
        server = stats.choose(SERVERS, now)
        counts[server.id] += 1
        stats.begin(server.id, attempt, now)
        if server.id == "bad":
            bad(stats, attempt, now)
        else:
            stats.succeed("good", attempt, now + 0.02)
    return counts


def answer_slowly(stats, attempt, now):
    stats.succeed("bad", attempt, now + 0.08)


def fail_often(stats, attempt, now):
    if attempt % 5 < 2:
        stats.fail("bad", attempt, now + 0.02)
    else:
        stats.succeed("bad", attempt, now + 0.02)


def refuse_all(stats, attempt, now):
    stats.refuse("bad", attempt)


def break_off(stats, attempt, now):
    stats.fail("bad", attempt, now + 0.02)


@pytest.mark.parametrize("bad", [answer_slowly, fail_often, refuse_all, break_off])
def test_worse_server_gets_the_smaller_part(bad):
    counts = play(bad)
    assert counts["bad"] < counts["good"] / 3


def test_equal_servers_share_the_work():
    counts = play(lambda stats, attempt, now: stats.succeed("bad", attempt, now + 0.02))
    assert min(counts.values()) > 100


def test_server_on_which_a_request_stands_still_is_passed_over():
    stats = ServerStats("a", random.Random(1))
    for attempt in range(50):
        for name in ("bad", "good"):
            stats.begin(name, attempt, attempt * 1.0)
            stats.succeed(name, attempt, attempt * 1.0 + 0.02)
    stats.begin("bad", 99, 60.0)
    assert {stats.choose(SERVERS, 60.1).id for _ in range(50)} == {"good"}


def test_only_server_is_used_even_after_failures():
    stats = ServerStats("a", random.Random(1))
    for attempt in range(5):
        stats.fail("bad", attempt, 1.0)
    assert stats.choose(SERVERS[:1], 1.1).id == "bad"


def test_silent_server_is_avoided_after_one_request():
    """Pattern: a server goes dark; each further request would cost a hedge."""
    stats = ServerStats("a", random.Random(1))
    stats.begin("bad", 1, 1.0)
    stats.fail("bad", 1, 1.6, is_silent=True)
    assert {stats.choose(SERVERS, 1.7).id for _ in range(50)} == {"good"}
