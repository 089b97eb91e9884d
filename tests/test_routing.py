"""Guard against work for busy, slow or tried replicas, and against ejecting all."""

import random
from collections import Counter

import pytest

from wisteriaworks import routing
from wisteriaworks.catalog import Replica
from wisteriaworks.routing import FIRST_EJECTION_S, LONGEST_EJECTION_S

A, B, C = (Replica(name, f"holder-{name}", 1, 2) for name in "abc")


@pytest.fixture
def router():
    return routing.Router(random.Random(1))


def _eject(router, replica, now):
    return [
        router.report_bad(replica, now) for _ in range(routing.BAD_REPLIES_TO_EJECT)
    ]


def _is_preferred_to_busy(router, now, replica=A, allow_probe=True):
    """Report a high load for B, and return whether ``replica`` is picked."""
    router.report_load(B, 9, now)
    return router.pick((replica, B), (), now, allow_probe) is replica


def _pick_many(router, replicas, now):
    """Pick at intervals in which the load of earlier picks decays."""
    times = (now + 10 * number for number in range(60))
    return Counter(router.pick(replicas, (), time).server for time in times)


def test_tried_replicas_are_not_picked(router):
    assert router.pick((A, B), {"a"}, 0.0) is B
    assert router.pick((A, B), {"a", "b"}, 0.0) is None
    assert router.pick((), (), 0.0) is None


def test_less_loaded_replica_is_picked_until_its_report_is_old(router):
    router.report_load(A, 8, 0.0)
    router.report_load(B, 1, 0.0)
    # Unanswered requests count as load until a reply reports it.
    picked = [router.pick((A, B), (), 0.0).server for _ in range(13)]
    assert picked[0] == "b"
    assert 2 <= picked.count("a") <= 4
    # Idle replicas share the work.
    assert min(_pick_many(router, (A, B, C), 10.0).values()) >= 10


def test_load_is_relative_to_slots(router):
    cold = Replica("cold", "holder", 1, 1)
    for replica in (cold, A):
        router.report_load(replica, 1, 0.0)
    assert router.pick((cold, A), (), 0.0) is A


def test_ejection_and_single_probes(router):
    """A faulty replica must get one request at a time until it recovers."""
    assert _eject(router, A, 0.0) == [False, False, True]
    assert not _is_preferred_to_busy(router, 0.9 * FIRST_EJECTION_S)
    now = FIRST_EJECTION_S
    assert not _is_preferred_to_busy(router, now, allow_probe=False)
    assert [_is_preferred_to_busy(router, now) for _ in range(2)] == [True, False]
    # A probe without a reply is repeated, a bad one ejects for longer.
    now += routing.PROBE_TIMEOUT_S
    assert _is_preferred_to_busy(router, now)
    assert router.report_bad(A, now)
    assert not _is_preferred_to_busy(router, now + 1.9 * FIRST_EJECTION_S)
    router.report_good(A)
    assert set(_pick_many(router, (A, B), now)) == {"a", "b"}


def test_last_replica_is_never_ejected(router):
    for replica in (A, B):
        _eject(router, replica, 0.0)
    assert {router.pick((A, B), (), 0.1).server for _ in range(9)} == {"a", "b"}
    assert router.pick((A, B), {"a"}, 0.1) is B


def test_refusal_ejects_at_once_and_never_for_long(router):
    for now in range(9):
        assert router.report_refused(A, now * FIRST_EJECTION_S)
        assert not _is_preferred_to_busy(router, (now + 0.9) * FIRST_EJECTION_S)
    assert _is_preferred_to_busy(router, 9 * FIRST_EJECTION_S)


def test_ejection_time_is_bounded(router):
    for number in range(9):
        _eject(router, A, number * LONGEST_EJECTION_S)
    assert _is_preferred_to_busy(router, 9 * LONGEST_EJECTION_S)


def test_new_epoch_ends_an_ejection(router):
    """Failures under the old holder do not apply to a new holder."""
    _eject(router, A, 0.0)
    moved = Replica("a", "holder-c", 2, 2)
    assert _is_preferred_to_busy(router, 0.1, moved)
    _eject(router, moved, 0.2)
    assert not _is_preferred_to_busy(router, 0.2, moved)


def test_repartition_moves_only_keys_of_new_shards():
    shards = [f"s{number}" for number in range(8)]
    keys = [str(number) for number in range(400)]
    before = [routing.pick_keyed_shard(key, shards) for key in keys]
    after = [routing.pick_keyed_shard(key, [*shards[::-1], "s8"]) for key in keys]
    moved = {new for old, new in zip(before, after, strict=True) if old != new}
    assert moved == {"s8"}
    assert min(Counter(before).values()) >= 25
