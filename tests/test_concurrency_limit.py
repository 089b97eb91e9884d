"""Guard against an entry that accepts more than the servers can answer."""

import pytest

from wisteriaworks.concurrency_limit import ConcurrencyLimit


def test_no_limit_before_the_first_overload():
    limit = ConcurrencyLimit()
    limit.record_complete()
    assert limit.compute_limit(200) == 200


def test_concurrent_requests_decrease_the_limit_only_once():
    """Requests accepted before a decrease must not decrease the limit again.

    Together they would decrease it to the minimum.
    """
    limit = ConcurrencyLimit()
    for _ in range(50):
        limit.record_overload(running=100, started_at=1.0, now=2.0)
    assert limit.compute_limit(200) == 70
    limit.record_overload(running=60, started_at=2.5, now=3.0)
    assert limit.compute_limit(200) == 42


@pytest.mark.parametrize("capacity", [3, 10, 40])
def test_limit_settles_near_the_capacity(capacity):
    limit, now = ConcurrencyLimit(), 0.0
    seen = []
    for step in range(4000):
        now += 1.0
        running = limit.compute_limit(200)
        if running > capacity:
            limit.record_overload(running, now, now)
        else:
            limit.record_complete()
        if step > 2000:
            seen.append(running)
    assert min(seen) >= 0.6 * capacity
    assert sum(seen) / len(seen) >= 0.75 * capacity
    assert limit.compute_limit(200) >= 1
