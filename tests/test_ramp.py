"""Guard against early growth of the limit and missing resets for a cold server."""

import os

import pytest
from hypothesis import given, settings, strategies as st

from wisteriaworks.ramp import SLOW_REPLIES_BEFORE_RESET, STEP_BUSY_S, Ramp

EXAMPLES = 100 * int(os.environ.get("WISTERIA_SOAK", "1"))
LATENCY_S = 0.01
steps = st.lists(
    st.one_of(st.floats(0.001, 1.0), st.sampled_from(["reset", "send"])), max_size=300
)


def _warm_up(ramp):
    sent = 0
    while not ramp.is_warm:
        ramp.record_success(ramp.acquire_permit(0), LATENCY_S)
        sent += 1
    return sent


@given(st.integers(1, 8), steps)
@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
def test_outstanding_stays_within_a_limit_that_grows_with_work(slots, actions):
    ramp, permits, busy_s = Ramp(slots), [], 0.0
    for action in actions:
        before = ramp.limit
        match action:
            case "reset":
                ramp.reset()
                assert ramp.limit == 1
                busy_s = 0.0
            case "send":
                permit = ramp.acquire_permit(len(permits))
                assert (permit is None) == (len(permits) >= before)
                permits += [permit] if permit else []
            case latency_s if permits:
                busy_s += latency_s
                ramp.record_success(permits.pop(), latency_s)
                if ramp.limit > before:
                    assert ramp.limit == before + 1
                    assert busy_s >= STEP_BUSY_S
                    busy_s = 0.0
        assert 1 <= ramp.limit <= slots


def test_server_warms_up_after_enough_normal_work():
    """A limit that never reaches the number of slots would waste slots."""
    assert _warm_up(Ramp(4)) == pytest.approx(3 * STEP_BUSY_S / LATENCY_S, abs=4)


def test_delays_of_the_holder_do_not_warm_up_the_server():
    """On a busy machine most of the latency is not service time of the server."""
    ramp, sent = Ramp(2), 1
    ramp.record_success(ramp.acquire_permit(0), LATENCY_S)
    while not ramp.is_warm:
        ramp.record_success(ramp.acquire_permit(0), 1.9 * LATENCY_S)
        sent += 1
    assert sent == pytest.approx(STEP_BUSY_S / LATENCY_S, abs=2)


@pytest.mark.parametrize(
    "slow", [SLOW_REPLIES_BEFORE_RESET - 1, SLOW_REPLIES_BEFORE_RESET]
)
def test_only_a_run_of_slow_replies_resets(slow):
    """Single stragglers must not reset the limit of a warm server to 1."""
    ramp = Ramp(2)
    _warm_up(ramp)
    results = [
        ramp.record_success(ramp.acquire_permit(0), 20 * LATENCY_S) for _ in range(slow)
    ]
    assert any(results) == (slow == SLOW_REPLIES_BEFORE_RESET)
    assert ramp.is_warm == (slow < SLOW_REPLIES_BEFORE_RESET)


def test_replies_to_earlier_sends_do_not_count_after_a_reset():
    """Work of the warm incarnation must not raise the limit of the cold one."""
    ramp = Ramp(2)
    _warm_up(ramp)
    permit = ramp.acquire_permit(0)
    ramp.reset()
    for _ in range(1000):
        ramp.record_success(permit, LATENCY_S)
    assert ramp.limit == 1
    assert not ramp.is_current(permit)


def test_cold_server_gets_one_connection_at_a_time():
    ramp = Ramp(2)
    assert ramp.may_connect(0)
    assert not ramp.may_connect(1)
    _warm_up(ramp)
    assert ramp.may_connect(1)
