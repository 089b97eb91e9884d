"""Guard against a lease that outlives what control granted."""

import pytest

from wisteriaworks.lease import Lease


@pytest.mark.parametrize(
    ("now", "valid"), [(10.0, True), (13.99, True), (14.0, False), (500.0, False)]
)
def test_lease_counts_from_the_sent_heartbeat(now, valid):
    """The lease must expire during a freeze between a heartbeat and a send."""
    lease = Lease()
    lease.renew(10.0, 4.0)
    assert lease.is_valid(now) is valid


def test_late_reply_neither_shortens_nor_extends_the_lease():
    lease = Lease()
    lease.renew(10.0, 4.0)
    lease.renew(8.0, 4.0)
    assert lease.is_valid(13.9)
    assert not lease.is_valid(14.0)


def test_new_and_expired_leases_allow_nothing():
    lease = Lease()
    assert not lease.is_valid(0.0)
    lease.renew(0.0, 4.0)
    lease.expire()
    assert not lease.is_valid(0.1)
