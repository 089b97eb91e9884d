"""Guard against leases that outlast the time of revocation, or end too early."""

import random

import pytest

from wisteriaworks.accounts.lease import KeyLease

REVOKE_S = 5.0


@pytest.mark.parametrize(
    ("age_s", "is_valid"), [(0.0, True), (4.0, True), (5.0, False), (-1.0, True)]
)
def test_lease_counts_from_the_question(age_s, is_valid):
    lease = KeyLease(REVOKE_S)
    assert not lease.is_valid(100.0, 7)
    lease.confirm(7, 100.0, 7)
    assert lease.is_valid(100.0 + age_s, 7) is is_valid


def test_confirmed_version_must_be_in_use():
    """A gateway that missed the newest version could accept a removed key."""
    lease = KeyLease(REVOKE_S)
    lease.confirm(8, 100.0, 7)
    assert not lease.is_valid(100.0, 7)
    assert lease.is_valid(100.0, 8)
    assert not lease.is_valid(105.0, 9)


def test_answer_for_a_missed_version_does_not_extend_the_lease():
    lease = KeyLease(REVOKE_S)
    lease.confirm(7, 100.0, 7)
    lease.confirm(8, 103.0, 7)
    assert not lease.is_valid(105.0, 7)
    assert lease.is_valid(105.0, 8)


@pytest.mark.parametrize("seed", range(20))
def test_lease_never_covers_a_version_replaced_for_longer_than_allowed(seed):
    """Random losses, late answers and late updates, as with a disconnected gateway."""
    rng = random.Random(seed)
    lease, now, in_use = KeyLease(REVOKE_S), 0.0, 1
    # Time at which the next version was acknowledged, by version.
    acknowledged_at = {}
    for _ in range(500):
        now += rng.uniform(0, 1.5)
        latest = len(acknowledged_at) + 1
        asked_at, confirmed = now, latest
        now += rng.choice([0.0, 0.2, rng.uniform(0, 7)])
        if rng.random() < 0.3:
            acknowledged_at[latest] = now
        if rng.random() < 0.6:
            lease.confirm(confirmed, asked_at, in_use)
        if rng.random() < 0.4:
            in_use = rng.randint(in_use, len(acknowledged_at) + 1)
        if lease.is_valid(now, in_use):
            assert now - acknowledged_at.get(in_use, now) < REVOKE_S
