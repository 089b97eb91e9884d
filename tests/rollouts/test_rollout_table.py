"""Guard against rollouts that revert, and resent commands that start another one."""

import pytest

from wisteriaworks.generated.commands import AdvanceRollout, StartRollout
from wisteriaworks.generated.messages import OrderRollout, RolloutPhase
from wisteriaworks.rollouts.table import RESEND_S, OrderAction, classify_order
from wisteriaworks.state_machine import StateMachine, encode_command

RUNNING, PROMOTING = RolloutPhase.RUNNING, RolloutPhase.PROMOTING
SUCCEEDED, ROLLED_BACK = RolloutPhase.SUCCEEDED, RolloutPhase.ROLLED_BACK


class Machine:
    """Apply commands for one service to a state machine."""

    def __init__(self):
        self.machine = StateMachine()
        self._index = 0

    def _apply(self, command):
        self._index += 1
        return self.machine.apply(self._index, encode_command(command, 0))

    def start(self, target="v2", replaces=0):
        return self._apply(StartRollout("s", target, 12_000, replaces))

    def advance(self, *phases, number=None, elapsed_ms=0):
        number = number or self.machine.rollouts.get("s").number
        for phase in phases:
            record = self._apply(AdvanceRollout("s", number, phase, elapsed_ms))
        return record


@pytest.mark.parametrize("end", [(PROMOTING, SUCCEEDED), (ROLLED_BACK,)])
@pytest.mark.parametrize("late", RolloutPhase)
def test_decided_rollout_never_changes(end, late):
    machine = Machine()
    machine.start()
    assert machine.advance(*end) == machine.advance(late)


def test_promotion_is_not_taken_back_and_time_does_not_decrease():
    machine = Machine()
    machine.start()
    machine.advance(PROMOTING, elapsed_ms=900)
    record = machine.advance(RUNNING, elapsed_ms=500)
    assert (record.phase, record.elapsed_ms) == (PROMOTING, 900)


def test_rollout_does_not_succeed_before_its_promotion():
    """The old servers are stopped then, and gateways would still send to them."""
    machine = Machine()
    machine.start()
    assert machine.advance(SUCCEEDED).phase is RUNNING


def test_command_of_a_deposed_leader_starts_no_second_rollout():
    machine = Machine()
    first = machine.start()
    assert machine.start("v3") == first
    over = machine.advance(ROLLED_BACK)
    assert machine.start("v2") == over
    assert machine.start("v2", replaces=first.number).phase is RUNNING
    assert machine.advance(ROLLED_BACK, number=first.number).phase is RUNNING


def test_rolled_back_version_stays_excluded_until_it_is_named():
    machine = Machine()
    machine.start("v2")
    machine.advance(ROLLED_BACK)
    number = machine.machine.rollouts.get("s").number
    assert machine.start("v3", replaces=number).excluded == ("v2",)
    machine.advance(ROLLED_BACK)
    number = machine.machine.rollouts.get("s").number
    assert machine.start("v2", replaces=number).excluded == ("v3",)


def test_snapshot_keeps_the_rollouts():
    machine, restored = Machine(), StateMachine()
    machine.start()
    machine.advance(ROLLED_BACK, elapsed_ms=700)
    restored.restore_snapshot(machine.machine.encode_snapshot())
    assert restored.rollouts.states == machine.machine.rollouts.states
    assert restored.rollouts.get("s").elapsed_ms == 700


def test_states_are_the_same_object_until_a_phase_changes():
    """Each new object is sent to all gateways."""
    machine = Machine()
    machine.start()
    states = machine.machine.rollouts.states
    machine.advance(RUNNING, elapsed_ms=500)
    assert machine.machine.rollouts.states is states
    machine.advance(PROMOTING)
    assert machine.machine.rollouts.states is not states


@pytest.mark.parametrize(
    ("phases", "target", "elapsed_s", "action"),
    [
        ((), "v2", 1.0, OrderAction.ACKNOWLEDGE),
        ((), "v3", 1.0, OrderAction.REFUSE),
        ((PROMOTING,), "v2", 11.0, OrderAction.ACKNOWLEDGE),
        ((ROLLED_BACK,), "v2", RESEND_S - 0.1, OrderAction.ACKNOWLEDGE),
        ((ROLLED_BACK,), "v2", RESEND_S, OrderAction.START),
        ((ROLLED_BACK,), "v3", 1.0, OrderAction.START),
        ((PROMOTING, SUCCEEDED), "v2", 99.0, OrderAction.ACKNOWLEDGE),
        ((PROMOTING, SUCCEEDED), "v3", 99.0, OrderAction.START),
    ],
)
def test_order_is_classified_by_the_latest_rollout(phases, target, elapsed_s, action):
    machine = Machine()
    record = machine.start()
    if phases:
        record = machine.advance(*phases)
    order = OrderRollout("s", target, 12_000)
    assert classify_order(record, order, elapsed_s) is action
