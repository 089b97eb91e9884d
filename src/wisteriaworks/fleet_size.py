"""Record how many gateways share the budgets, in the replicated state.

Load pattern: some gateways are cut off or restart while servers fail. They go
on sending, so the others must not take over their parts of the budgets, and a
new leader must not begin with the first gateway that finds it.
"""

import contextlib
import math

import trio

from wisteriaworks.errors import NotLeaderError, ProposalUnknownError
from wisteriaworks.generated.commands import NoteGateways

INTERVAL_S = 0.25
# Longer than cuts and restarts, and several windows of the budgets.
SHRINK_AFTER_S = 60.0


class FleetSize:
    """Decide which number to record."""

    def __init__(self):
        self._enough_at = -math.inf

    def choose(self, recorded, watching, now):
        """Return the number to record, or None.

        It grows at once, and shrinks when fewer gateways were there all the
        time for ``SHRINK_AFTER_S``.
        """
        if watching >= recorded or self._enough_at == -math.inf:
            self._enough_at = now
        if watching > recorded:
            return watching
        if now - self._enough_at > SHRINK_AFTER_S:
            return max(1, watching)
        return None

    def forget(self):
        """Start anew, as after a time in which another member led."""
        self._enough_at = -math.inf


async def keep_fleet_size(node, orders):
    """Record the number of gateways while this member leads."""
    size = FleetSize()
    while True:
        await trio.sleep(INTERVAL_S)
        if not node.replica.is_leader or node.is_stopping:
            size.forget()
            continue
        now = trio.current_time()
        count = size.choose(node.machine.gateways, orders.watching, now)
        if count is not None and count != node.machine.gateways:
            with contextlib.suppress(NotLeaderError, ProposalUnknownError):
                await node.propose(NoteGateways(count))
                orders.notify()
