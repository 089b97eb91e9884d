"""Guard against work for busy, slow or tried replicas, and against losing all."""

import random
from collections import Counter

import pytest

from wisteriaworks.catalog import Replica
from wisteriaworks.routing import (
    BAD_REPLIES,
    FIRST_EJECTION_S,
    LONGEST_EJECTION_S,
    TRIAL_TIMEOUT_S,
    Router,
    pick_keyed_shard,
)

A, B, C = (Replica(name, f"holder-{name}", 1, 2) for name in "abc")


@pytest.fixture
def router():
    return Router(random.Random(1))


def _eject(router, replica, now):
    return [router.report_bad(replica, now) for _ in range(BAD_REPLIES)]


def _pick_many(router, replicas, now, count=30, **options):
    """Pick far enough apart that the counted starts have aged."""
    return Counter(
        router.pick(replicas, (), now + 10 * number, **options).server
        for number in range(count)
    )


def test_tried_replicas_are_not_picked(router):
    assert router.pick((A, B), {"a"}, 0.0) is B
    assert router.pick((A, B), {"a", "b"}, 0.0) is None
    assert router.pick((), (), 0.0) is None


def test_less_loaded_of_two_until_the_report_is_old(router):
    router.report_load(A, 8, 0.0)
    router.report_load(B, 1, 0.0)
    assert router.pick((A, B), (), 0.0) is B
    # Unanswered starts count until a reply reports the load.
    picked = Counter(router.pick((A, B), (), 0.0).server for _ in range(12))
    assert 2 <= picked["a"] <= 4
    assert set(_pick_many(router, (A, B), 10.0)) == {"a", "b"}


def test_load_is_relative_to_slots(router):
    cold = Replica("cold", "holder", 1, 1)
    router.report_load(cold, 1, 0.0)
    router.report_load(A, 1, 0.0)
    assert router.pick((cold, A), (), 0.0) is A


def test_idle_replicas_share_the_work(router):
    assert min(_pick_many(router, (A, B, C), 0.0, 60).values()) >= 10


def test_ejection_and_single_trials(router):
    """A faulty replica must get one request at a time until it is well."""
    assert _eject(router, A, 0.0) == [False, False, True]
    assert router.pick((A, B), (), 0.5) is B
    now = FIRST_EJECTION_S
    router.report_load(B, 9, now)
    assert router.pick((A, B), (), now, trials=False) is B
    assert router.pick((A, B), (), now) is A
    router.report_load(B, 9, now)
    assert router.pick((A, B), (), now) is B
    # A trial without a reply is repeated, a bad one ejects for longer.
    now += TRIAL_TIMEOUT_S
    router.report_load(B, 9, now)
    assert router.pick((A, B), (), now) is A
    assert router.report_bad(A, now)
    assert router.pick((A, B), (), now + 1.9 * FIRST_EJECTION_S) is B
    router.report_good(A)
    assert set(_pick_many(router, (A, B), now)) == {"a", "b"}


def test_last_replica_is_never_ejected(router):
    for replica in (A, B):
        _eject(router, replica, 0.0)
    assert {router.pick((A, B), (), 0.1).server for _ in range(9)} == {"a", "b"}
    assert router.pick((A, B), {"a"}, 0.1) is B


def test_refusal_ejects_at_once_and_never_for_long(router):
    now = 0.0
    for _ in range(9):
        assert router.report_refused(A, now)
        assert router.pick((A, B), (), now + 0.9 * FIRST_EJECTION_S) is B
        now += FIRST_EJECTION_S
    router.report_load(B, 9, now)
    assert router.pick((A, B), (), now) is A


def test_ejection_time_is_bounded(router):
    now = 0.0
    for _ in range(9):
        _eject(router, A, now)
        now += LONGEST_EJECTION_S
    router.report_load(B, 9, now)
    assert router.pick((A, B), (), now) is A


def test_new_epoch_ends_an_ejection(router):
    """A new holder knows nothing of the old one's trouble with the server."""
    _eject(router, A, 0.0)
    moved = Replica("a", "holder-c", 2, 2)
    router.report_load(B, 9, 0.1)
    assert router.pick((moved, B), (), 0.1) is moved
    _eject(router, moved, 0.2)
    router.report_load(B, 9, 0.2)
    assert router.pick((moved, B), (), 0.2) is B


def test_repartition_moves_only_keys_of_new_shards():
    shards = [f"s{number}" for number in range(8)]
    keys = [str(number) for number in range(400)]
    before = {key: pick_keyed_shard(key, shards) for key in keys}
    after = {key: pick_keyed_shard(key, [*shards[::-1], "s8"]) for key in keys}
    assert {after[key] for key in keys if after[key] != before[key]} == {"s8"}
    assert min(Counter(before.values()).values()) >= 25
