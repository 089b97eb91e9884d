"""The latest rollout of each service in the replicated state.

Load pattern: operators resend a command after its acknowledgement was lost, also when
the rollout is already decided, and a deposed leader still advances a rollout. No I/O;
the state depends on nothing but the commands in the log.
"""

from enum import Enum

import msgspec

from wisteriaworks.generated.commands import AdvanceRollout, RolloutRecord, StartRollout
from wisteriaworks.generated.messages import RolloutPhase, RolloutState

# Versions of a service that stay excluded after they were rolled back. Servers of
# older ones have left the list.
MAX_EXCLUDED = 16
# Operators resend a command for 6 s. Within this time after the command, the same
# one counts as resent, and later as a new one.
RESEND_S = 6.5

_RANKS = {
    RolloutPhase.RUNNING: 0,
    RolloutPhase.PROMOTING: 1,
    RolloutPhase.SUCCEEDED: 2,
    RolloutPhase.ROLLED_BACK: 2,
}
_OVER = frozenset((RolloutPhase.SUCCEEDED, RolloutPhase.ROLLED_BACK))


class OrderAction(Enum):
    """Name what the leader does with an order."""

    START = "start"
    ACKNOWLEDGE = "acknowledge"
    REFUSE = "refuse"


def is_over(phase):
    """Return whether a rollout in this phase is decided."""
    return phase in _OVER


def classify_order(latest, order, elapsed_s):
    """Return the OrderAction for an OrderRollout.

    ``latest`` is the RolloutRecord of the service, or None, and ``elapsed_s`` a lower
    bound of the time since its command. A bound that is too low, after a change of
    the leader, only prolongs the time in which an order counts as resent.
    """
    if latest is None:
        return OrderAction.START
    is_same = (latest.target_version, latest.duration_ms) == (
        order.target_version,
        order.duration_ms,
    )
    if not is_over(latest.phase):
        return OrderAction.ACKNOWLEDGE if is_same else OrderAction.REFUSE
    is_in_force = (
        latest.phase is RolloutPhase.SUCCEEDED
        and latest.target_version == order.target_version
    )
    if is_in_force or (is_same and elapsed_s < RESEND_S):
        return OrderAction.ACKNOWLEDGE
    return OrderAction.START


class RolloutTable:
    """Store the latest rollout of each service."""

    def __init__(self, records=()):
        self._records = {record.service: record for record in records}
        self._states = None

    def get(self, service):
        """Return the latest RolloutRecord of a service, or None."""
        return self._records.get(service)

    def list_records(self):
        """Return all records, sorted by service."""
        return tuple(record for _, record in sorted(self._records.items()))

    def list_in_progress(self):
        """Return the records of the rollouts that are not decided."""
        return [r for r in self._records.values() if not is_over(r.phase)]

    @property
    def states(self):
        """Return the RolloutStates; the same object until a state changes."""
        if self._states is None:
            self._states = tuple(map(make_state, self.list_records()))
        return self._states

    def apply(self, command, index):
        """Apply StartRollout or AdvanceRollout; return the latest record or None."""
        match command:
            case StartRollout():
                return self.start(command, index)
            case AdvanceRollout():
                return self.advance(command)

    def start(self, command, index):
        """Apply StartRollout and return the latest record of the service."""
        latest = self._records.get(command.service)
        if command.replaces != (latest.number if latest else 0):
            return latest
        if latest is not None and not is_over(latest.phase):
            return latest
        excluded = latest.excluded if latest else ()
        target = command.target_version
        return self._store(
            RolloutRecord(
                service=command.service,
                target_version=target,
                duration_ms=command.duration_ms,
                number=index,
                phase=RolloutPhase.RUNNING,
                elapsed_ms=0,
                excluded=tuple(version for version in excluded if version != target),
            )
        )

    def advance(self, command):
        """Apply AdvanceRollout; a phase or time that goes back changes nothing."""
        latest = self._records.get(command.service)
        if latest is None or latest.number != command.number or is_over(latest.phase):
            return latest
        phase = max(command.phase, latest.phase, key=_RANKS.__getitem__)
        if phase is RolloutPhase.SUCCEEDED and latest.phase is RolloutPhase.RUNNING:
            # The gateways still send to the old servers.
            return latest
        excluded = latest.excluded
        if phase is RolloutPhase.ROLLED_BACK:
            excluded = (*excluded, latest.target_version)[-MAX_EXCLUDED:]
        return self._store(
            msgspec.structs.replace(
                latest,
                phase=phase,
                elapsed_ms=max(latest.elapsed_ms, command.elapsed_ms),
                excluded=excluded,
            )
        )

    def _store(self, record):
        previous = self._records.get(record.service)
        self._records[record.service] = record
        if previous is None or make_state(previous) != make_state(record):
            self._states = None
        return record


def make_state(record):
    """Return the part of a record that gateways and operators see."""
    return RolloutState(
        service=record.service,
        target_version=record.target_version,
        number=record.number,
        phase=record.phase,
        excluded=record.excluded,
    )
