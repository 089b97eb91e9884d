"""Record in the replicated state how many gateways divide the servers' budgets.

The budgets limit repeated sends, requests to cold servers and connections.
Gateways that are cut off from the control group or restart while servers fail
continue to send. The other gateways must therefore not take over the shares of
these gateways, and a new leader must not start with the number of gateways that
have reached it so far.
"""

import contextlib
import math

import trio

from wisteriaworks.errors import NotLeaderError, ProposalOutcomeUnknownError
from wisteriaworks.generated.commands import NoteGateways

INTERVAL_S = 0.25
# Longer than usual network partitions and restarts, and than several budget windows.
SHRINK_AFTER_S = 60.0


class FleetSize:
    """Decide which number of gateways to record."""

    def __init__(self):
        # Last time at which at least the recorded number of gateways was watching, or
        # time of the first call of ``choose`` as leader.
        self._recorded_count_reached_at = -math.inf

    def choose(self, recorded, watcher_count, now):
        """Return the number to record, or None to leave it unchanged.

        The number increases at once. It decreases when fewer gateways than
        recorded were watching for all of ``SHRINK_AFTER_S``.
        """
        if watcher_count >= recorded or self._recorded_count_reached_at == -math.inf:
            self._recorded_count_reached_at = now
        if watcher_count > recorded:
            return watcher_count
        if now - self._recorded_count_reached_at > SHRINK_AFTER_S:
            return max(1, watcher_count)
        return None

    def update(self, recorded, watcher_count, now):
        """Return the number to record, which may be the recorded one."""
        chosen = self.choose(recorded, watcher_count, now)
        return recorded if chosen is None else chosen

    def reset(self):
        """Reset the state, after another member was the leader."""
        self._recorded_count_reached_at = -math.inf


async def record_fleet_size(node, operator_commands):
    """Record the number of gateways while this member is the leader."""
    gateways, delegates = FleetSize(), FleetSize()
    while True:
        await trio.sleep(INTERVAL_S)
        if not node.replica.is_leader or node.is_stopping:
            gateways.reset()
            delegates.reset()
            continue
        now, machine = trio.current_time(), node.machine
        recorded = machine.gateways, machine.delegates
        counts = (
            gateways.update(recorded[0], operator_commands.watcher_count, now),
            delegates.update(recorded[1], operator_commands.delegate_count, now),
        )
        if counts != recorded:
            with contextlib.suppress(NotLeaderError, ProposalOutcomeUnknownError):
                await node.propose(NoteGateways(*counts))
                operator_commands.notify()
