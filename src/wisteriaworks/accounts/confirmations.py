"""Answer gateways' questions for the configuration in force, at the leader.

Load pattern: 3,700 gateways ask once a second. One confirmation of leadership
answers all questions that arrived before it began.
"""

import trio

from wisteriaworks.errors import NotLeaderError
from wisteriaworks.generated.messages import (
    ConfigurationConfirmed,
    ConfirmConfiguration,
    NotLeader,
)

# Minimum time between the beginnings of two confirmations, each of which sends a
# message to every member. A lease of 4.75 s loses no more than this.
MIN_INTERVAL_S = 0.05


class _Round:
    """Represent one confirmation and the questions that wait for it."""

    def __init__(self):
        self.is_over = trio.Event()
        self.is_confirmed = False


class ConfirmationService:
    """Confirm the configuration in force, at one control member."""

    def __init__(self, node):
        self._node = node
        # The round that has not begun, which new questions join, or None.
        self._next = None
        self._asked = trio.Event()
        self._questions = node.metrics.create_counter(
            "wisteria.control.confirmations.asked",
            "Questions of gateways for the configuration in force, by outcome",
        )
        self._rounds = node.metrics.create_counter(
            "wisteria.control.confirmations.rounds",
            "Confirmations of leadership for these questions",
        )

    def list_handlers(self):
        """Return the handler of each message type for ``RpcServer``."""
        return {ConfirmConfiguration: self._confirm}

    async def run(self):
        """Confirm the leadership for waiting questions, until cancelled."""
        while True:
            await self._asked.wait()
            self._asked = trio.Event()
            current, self._next = self._next, None
            began_at = trio.current_time()
            try:
                await self._node.replica.confirm_leader()
                current.is_confirmed = True
            except NotLeaderError:
                pass
            finally:
                current.is_over.set()
            self._rounds.add(1)
            await trio.sleep_until(began_at + MIN_INTERVAL_S)

    async def _confirm(self, message, send):
        node = self._node
        if node.is_stopping or not node.replica.is_leader:
            return self._redirect()
        if self._next is None:
            self._next = _Round()
            self._asked.set()
        joined = self._next
        await joined.is_over.wait()
        if not joined.is_confirmed:
            return self._redirect()
        self._questions.add(1, {"outcome": "confirmed"})
        return ConfigurationConfirmed(version=node.machine.version)

    def _redirect(self):
        self._questions.add(1, {"outcome": "not_leader"})
        address = self._node.replica.leader_address
        is_self = address == self._node.cfg.address
        return NotLeader(leader="" if is_self else address or "")
