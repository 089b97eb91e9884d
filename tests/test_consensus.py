"""Guard against lost or diverging entries, two leaders and false confirmations."""

import os

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from log_simulation import Simulation

from wisteriaworks import leadership

SOAK_FACTOR = int(os.environ.get("WISTERIA_SOAK", "1"))
FAULT_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=200 * SOAK_FACTOR,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.fixture(autouse=True, scope="module")
def _small_chunks():
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(leadership, "CHUNK_BYTES", 64)
        yield


def _pick(sim, number):
    ids = sorted(sim.processes)
    return ids[number % len(ids)]


def _pick_leader(sim, number):
    return sim.leaders[0].id if sim.leaders else _pick(sim, number)


def _block_one_link(sim, number):
    sim.blocked_links.add((_pick(sim, number), _pick(sim, number // 7)))


def _isolate(sim, number):
    sim.isolate(_pick(sim, number))


def _isolate_leader(sim, number):
    sim.isolate(_pick_leader(sim, number))


def _unblock_links(sim, number):
    sim.blocked_links.clear()


def _freeze(sim, number):
    process = sim.processes[_pick_leader(sim, number)]
    process.frozen_until = sim.now + 0.1 * (number % 30)


def _kill(sim, number):
    process = sim.processes[_pick(sim, number)]
    if process.is_alive:
        process.kill()


def _restart(sim, number):
    sim.restart(_pick(sim, number))


def _restart_all(sim, number):
    for member_id in list(sim.processes):
        sim.restart(member_id)


def _lose_disk(sim, number):
    member_id = _pick(sim, number)
    if sim.may_lose(member_id):
        sim.lose_disk(member_id)


def _change_desired(sim, number):
    member_id = _pick(sim, number)
    if member_id not in sim.desired:
        sim.desired.add(member_id)
    elif len(sim.desired) > 2:
        sim.desired.discard(member_id)


def _lose_messages(sim, number):
    sim.loss_rate = (number % 4) * 0.1


def _propose_many(sim, number):
    for _ in range(number % 20):
        sim.propose()


FAULTS = (
    _block_one_link,
    _isolate,
    _isolate_leader,
    _unblock_links,
    _freeze,
    _kill,
    _restart,
    _restart_all,
    _lose_disk,
    _change_desired,
    _lose_messages,
    _propose_many,
)
_STEP = st.tuples(
    st.sampled_from(FAULTS),
    st.integers(0, 1000),
    st.sampled_from((0.0, 0.03, 0.3, 1.2, 2.5)),
)


@FAULT_SETTINGS
@given(
    seed=st.integers(0, 2**32),
    count=st.integers(3, 5),
    steps=st.lists(_STEP, min_size=5, max_size=25),
)
def test_any_faults_keep_the_log_safe_and_end_in_recovery(seed, count, steps):
    sim = Simulation(seed, count)
    sim.run(2.5)
    for fault, number, duration in steps:
        fault(sim, number)
        sim.run(duration)
    sim.check_recovery()


@pytest.mark.parametrize("seed", range(5 * SOAK_FACTOR))
@pytest.mark.parametrize("count", [3, 5])
def test_isolated_leader_steps_down_before_another_is_elected(seed, count):
    sim = Simulation(seed, count)
    sim.run_until(lambda: sim.leaders)
    sim.run(1.0)
    old = sim.leaders[0]
    sim.isolate(old.id)
    sim.run_until(lambda: any(leader is not old for leader in sim.leaders))
    assert not old.consensus.is_leader


@pytest.mark.parametrize("seed", range(5 * SOAK_FACTOR))
def test_member_that_was_cut_off_does_not_depose_the_leader(seed):
    sim = Simulation(seed, 3)
    sim.run_until(lambda: sim.leaders)
    leader = sim.leaders[0]
    term = leader.consensus.term
    other = next(id for id in sim.processes if id != leader.id)
    sim.isolate(other)
    sim.run(5.0)
    sim.heal()
    sim.run(3.0)
    assert leader.consensus.is_leader
    assert leader.consensus.term == term


@pytest.mark.parametrize("seed", range(5 * SOAK_FACTOR))
def test_second_lost_disk_right_after_a_repair_loses_no_entry(seed):
    sim = Simulation(seed, 3)
    sim.run(3.0)
    first, second, third = sorted(sim.processes)
    replacement = sim.lose_disk(first)
    sim.run_until(lambda: sim.is_repaired)
    committed = list(sim.committed)
    sim.lose_disk(second)
    sim.run_until(lambda: len(sim.committed) > len(committed) + 5)
    assert sim.committed[: len(committed)] == committed
    assert sim.leaders[0].id in (replacement, third)
    sim.check_recovery()


def test_frozen_leader_is_not_confirmed_by_replies_from_before_the_freeze():
    sim = Simulation(1, 3)
    sim.run_until(lambda: sim.leaders)
    sim.run(1.0)
    old = sim.leaders[0]
    old.call(old.confirm)
    token = max(old.confirmations)
    old.frozen_until = sim.now + 6.0
    sim.run(5.0)
    assert [p for p in sim.leaders if p is not old]
    confirmed = sim.confirmed
    sim.blocked_links |= {
        (id, other) for id in sim.processes for other in sim.processes
    }
    sim.run(1.5)
    assert token not in old.confirmations
    assert sim.confirmed == confirmed
    assert not old.consensus.is_leader


@pytest.mark.parametrize("seed", range(20 * SOAK_FACTOR))
@pytest.mark.parametrize("count", [4, 5])
@pytest.mark.parametrize("others", ["keep running", "restart", "stop for a time"])
def test_two_lost_disks_at_once_lose_nothing_committed(seed, count, others):
    """The survivors of four voters have a copy of each entry but no majority."""
    sim = Simulation(seed, count, tolerated_losses=2)
    sim.run_until(lambda: sim.leaders)
    sim.run(0.5 + seed / 10)
    committed = len(sim.committed)
    assert committed > 2
    lost = sim.rng.sample(sorted(sim.processes), 2)
    if seed % 2 and sim.leaders:
        lost[0] = sim.leaders[0].id
        lost[1] = next(id for id in sorted(sim.processes) if id != lost[0])
    for member_id in lost:
        sim.lose_disk(member_id)
    survivors = [id for id in sim.processes if id.endswith("/0")]
    if others == "restart":
        for member_id in survivors:
            sim.restart(member_id)
    elif others == "stop for a time":
        for member_id in survivors:
            sim.processes[member_id].kill()
        sim.run(1.0)
        for member_id in survivors:
            sim.restart(member_id)
    sim.check_recovery()
    assert len(sim.committed) > committed


@pytest.mark.parametrize("seed", range(5 * SOAK_FACTOR))
def test_more_lost_disks_than_tolerated_elect_nobody(seed):
    """Committed entries may be lost, so no survivor may serve an older state."""
    sim = Simulation(seed, 4, tolerated_losses=1)
    sim.run_until(lambda: sim.leaders)
    sim.run(1.0)
    # The members restart, since a leader that keeps running could still replace
    # the lost members one by one.
    for member_id in sorted(sim.processes):
        sim.restart(member_id)
    for member_id in sorted(sim.processes)[:2]:
        sim.lose_disk(member_id)
    sim.run(5.0)
    assert sim.leaders == []
