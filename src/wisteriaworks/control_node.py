"""What the parts of a control member share."""

import time

import trio

from wisteriaworks.claim_waiters import ClaimWaiters
from wisteriaworks.events import Event, log_event
from wisteriaworks.leader_state import LeaderState
from wisteriaworks.single_replica import NotLeaderError
from wisteriaworks.state_machine import StateMachine, encode_command


def read_wall_ms():
    """Return milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


class ControlNode:
    """Hold the state machine, the replica and the leader's volatile state."""

    def __init__(self, cfg, metrics, wall_ms=read_wall_ms):
        self.cfg = cfg
        self.metrics = metrics
        self.wall_ms = wall_ms
        self.waiters = ClaimWaiters()
        self.machine = StateMachine(self.waiters.notify)
        self.replica = None
        self.leaving = frozenset()
        self.is_stopping = False
        self.assigner_wake = trio.Event()
        self._leader = None

    async def propose(self, command):
        """Return the state machine's result for a command.

        Raises NotLeaderError or ProposalUnknownError.
        """
        data = encode_command(command, self.wall_ms())
        self.metrics.proposals.add(1, {"command": type(command).__name__})
        return await self.replica.propose(data)

    def lead(self):
        """Return the volatile state of this leader's term, up to date.

        Raises NotLeaderError, so that no reply carries a route table under
        the term of another leader.
        """
        if not self.replica.is_leader:
            raise NotLeaderError(self.replica.leader_address)
        now = trio.current_time()
        if self._leader is None or self._leader.term != self.replica.term:
            self.machine.take_changed_servers()
            self._leader = LeaderState(self.replica.term, self.cfg, self.machine, now)
            log_event(Event.LEADER_ELECTED, term=self.replica.term)
        self._leader.set_leaving(self.leaving)
        self._leader.sync(now)
        return self._leader

    def follow(self):
        """Drop the volatile state of a term that this member led."""
        if self._leader is not None:
            log_event(Event.LEADER_LOST, term=self._leader.term)
            self._leader = None
        self.waiters.notify_all()

    def wake_assigner(self):
        """Make the assigner look at the servers now."""
        self.assigner_wake.set()

    def stop(self):
        """Refuse new calls and wake those that wait."""
        self.is_stopping = True
        self.waiters.notify_all()
