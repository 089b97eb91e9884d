"""Guard against invalid orders for rollouts, and states that operators do not know."""

import json

import pytest

from wisteriaworks.generated.messages import RolloutPhase, RolloutState
from wisteriaworks.platform.rollout_format import encode_state, read_order

ORDER = {"service": "huvo11a", "targetVersion": "v2", "durationS": 12}


def test_order_is_read():
    order = read_order(json.dumps(ORDER | {"unknownField": 1}).encode())
    assert (order.service, order.target_version) == ("huvo11a", "v2")
    assert order.duration_ms == 12_000


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff",
        b"[" * 100_000,
        *(
            json.dumps(ORDER | change).encode()
            for change in (
                {"service": ""},
                {"service": 5},
                {"targetVersion": None},
                {"targetVersion": "v" * 300},
                {"durationS": 0},
                {"durationS": -1},
                {"durationS": "12"},
                {"durationS": 1e300},
            )
        ),
        *(
            json.dumps({k: v for k, v in ORDER.items() if k != name}).encode()
            for name in ORDER
        ),
    ],
)
def test_invalid_order_is_refused(body):
    with pytest.raises(ValueError, match=r"rollout|names|durationS"):
        read_order(body)


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        (RolloutPhase.RUNNING, "running"),
        (RolloutPhase.PROMOTING, "running"),
        (RolloutPhase.SUCCEEDED, "succeeded"),
        (RolloutPhase.ROLLED_BACK, "rolled_back"),
    ],
)
def test_state_is_one_that_operators_know(phase, state):
    """The promotion can still end in a rollback."""
    encoded = encode_state(RolloutState("s", "v2", 7, phase))
    assert json.loads(encoded) == {"state": state, "targetVersion": "v2"}
