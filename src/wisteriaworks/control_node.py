"""The state that the components of a control member share."""

import time

import trio

from wisteriaworks.claim_waiters import ClaimWaiters
from wisteriaworks.errors import NotLeaderError
from wisteriaworks.leader_state import LeaderState
from wisteriaworks.state_machine import StateMachine, encode_command


def read_wall_ms():
    """Return milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


class ControlNode:
    """Store the state machine, the replica and the leader's volatile state."""

    def __init__(self, cfg, metrics, wall_ms=read_wall_ms):
        self.cfg = cfg
        self.metrics = metrics
        self.wall_ms = wall_ms
        self.waiters = ClaimWaiters()
        self.machine = StateMachine(self.waiters.notify)
        self.replica = None
        # Addresses that the platform lists as leaving.
        self.leaving_addresses = frozenset()
        self.is_stopping = False
        self.assigner_wake = trio.Event()
        self._leader = None

    async def propose(self, command):
        """Return the state machine's result for a command.

        Raises NotLeaderError or ProposalOutcomeUnknownError.
        """
        data = encode_command(command, self.wall_ms())
        self.metrics.proposals.add(1, {"command": type(command).__name__})
        return await self.replica.propose(data)

    def get_leader_state(self):
        """Return the current volatile state of this leader's term.

        Raises NotLeaderError, so that no reply contains a route table with
        the term of another leader.
        """
        if not self.replica.is_leader:
            raise NotLeaderError(self.replica.leader_address)
        now = trio.current_time()
        if self._leader is None or self._leader.term != self.replica.term:
            self.machine.pop_changed_servers()
            self._leader = LeaderState(self.replica.term, self.cfg, self.machine, now)
        self._leader.set_leaving(self.leaving_addresses)
        self._leader.sync(now)
        return self._leader

    def drop_leader_state(self):
        """Discard the volatile state of a term in which this member was leader."""
        if self._leader is not None:
            self._leader = None
        self.waiters.notify_all()

    def wake_assigner(self):
        """Make the assigner run its next iteration now."""
        self.assigner_wake.set()

    def stop(self):
        """Refuse new calls and wake the waiting calls."""
        self.is_stopping = True
        self.waiters.notify_all()
