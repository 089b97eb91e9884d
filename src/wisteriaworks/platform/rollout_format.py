"""Format of the platform's orders for rollouts and of their states."""

import math
from dataclasses import dataclass

import msgspec

from wisteriaworks.generated.messages import RolloutPhase
from wisteriaworks.platform.server_list import MAX_NAME_LENGTH

MAX_DURATION_S = 86_400.0
_STATES = {
    RolloutPhase.RUNNING: "running",
    RolloutPhase.PROMOTING: "running",
    RolloutPhase.SUCCEEDED: "succeeded",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Represent an order for a rollout."""

    service: str
    target_version: str
    duration_ms: int


class _Order(msgspec.Struct):
    service: str
    target_version: str = msgspec.field(name="targetVersion")
    duration_s: float = msgspec.field(name="durationS")


_ORDERS = msgspec.json.Decoder(_Order)


def read_order(body):
    """Return a RolloutOrder. Raises ValueError if the body is not valid."""
    try:
        order = _ORDERS.decode(body)
    except (ValueError, RecursionError) as exc:
        raise ValueError(f"not an order for a rollout: {exc}") from exc
    for name in (order.service, order.target_version):
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise ValueError(f"names need 1 to {MAX_NAME_LENGTH} characters")
    if not (math.isfinite(order.duration_s) and 0 < order.duration_s <= MAX_DURATION_S):
        raise ValueError(f"durationS: expected more than 0, up to {MAX_DURATION_S:g}")
    duration_ms = max(1, math.floor(order.duration_s * 1000))
    return RolloutOrder(order.service, order.target_version, duration_ms)


def encode_state(state):
    """Return a RolloutState as JSON."""
    fields = {"state": _STATES[state.phase], "targetVersion": state.target_version}
    return msgspec.json.encode(fields)
