"""Decide to which servers of one service a request is sent, and when again.

Load patterns: a server dies, breaks off or refuses part of its requests; a
server stands still for a moment while the other answers at once. No I/O.
"""

import math
from dataclasses import dataclass

from wisteriaworks.gateway.model import Answered, Failed, Refused, ServerAnswer
from wisteriaworks.gateway.server_table import KnownServer

# Statuses that another server may answer better.
_LEAST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Send:
    """Ask to send the request to a server."""

    server: KnownServer
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class FetchPolicy:
    """Hold what decides the sends of one request to one service.

    ``hedge_after_s`` is the time after which an answer counts as late.
    """

    service: str
    idempotent: bool
    attempts: int
    cold_per_s: float
    hedge_after_s: float


class Fetch:
    """Follow one request to one service until it has an answer or none is left.

    ``fleet`` has the table of servers, their statistics and the budgets.
    """

    def __init__(self, policy, fleet):
        self.policy = policy
        self._fleet = fleet
        self._tried = set()
        # Servers that the request may have reached.
        self._reached = set()
        self._running = set()
        self.answer: ServerAnswer | None = None
        self.refusal: ServerAnswer | None = None
        self.failure = None
        self.may_have_run = False
        self.is_over = False
        self.hedge_at = math.inf

    def begin(self, now):
        """Return the first send, or None if no server may receive it."""
        server = self._choose(now)
        if server is None:
            self.is_over = True
            return None
        self._fleet.budget.count_request(self.policy.service, now)
        return self._send(server, False, now)

    def note_outcome(self, server_id, outcome, now):
        """Take an outcome over and return the next send, or None."""
        self._running.discard(server_id)
        if self.is_over:
            return None
        match outcome:
            case Answered(answer):
                return self._note_answer(answer, now)
            case Refused(answer):
                self.refusal = answer
                return self._repeat_or_end(now)
            case Failed(failure, may_have_run):
                return self._note_failure(server_id, failure, may_have_run, now)

    def note_time(self, now):
        """Return a second send if the answer is late, or None."""
        if self.is_over or now < self.hedge_at:
            return None
        self.hedge_at = math.inf
        if not self.policy.idempotent:
            return None
        return self._repeat(now, is_hedge=True)

    def _note_answer(self, answer, now):
        self.may_have_run = True
        is_final = answer.is_success or answer.status < _LEAST_SERVER_ERROR
        if is_final or self.answer is None:
            self.answer = answer
        if is_final or not self.policy.idempotent:
            self.is_over = True
            return None
        return self._repeat_or_end(now)

    def _note_failure(self, server_id, failure, may_have_run, now):
        self.failure = failure
        if not may_have_run:
            self._reached.discard(server_id)
            # The next send is a repeat only if another one may have arrived.
            return self._repeat_or_end(now, is_counted=bool(self._reached))
        self.may_have_run = True
        if not self.policy.idempotent:
            self.is_over = True
            return None
        return self._repeat_or_end(now)

    def _repeat_or_end(self, now, is_counted=True):
        send = self._repeat(now, is_counted)
        if send is None and not self._running:
            self.is_over = True
        return send

    def _repeat(self, now, is_counted=True, is_hedge=False):
        """Return a send to another server within the bounds, or None.

        A send that never left is repeated without drawing on the budget.
        """
        service = self.policy.service
        if len(self._reached) >= self.policy.attempts:
            return None
        budget = self._fleet.budget
        if is_counted and not budget.may_repeat(service, now, is_hedge):
            return None
        server = self._choose(now)
        if server is None:
            return None
        if is_counted:
            budget.count_repeat(service, now)
        return self._send(server, is_counted, now)

    def _choose(self, now):
        usable = self._fleet.table.list_usable(self.policy.service)
        fresh = [server for server in usable if server.id not in self._tried]
        warm = [s for s in fresh if not self._is_bound_cold(s, now)]
        chosen = self._fleet.stats.choose(warm, now)
        if chosen is not None:
            return chosen
        cold = [s for s in fresh if self._is_bound_cold(s, now)]
        return self._choose_cold(cold, now)

    def _is_bound_cold(self, server, now):
        return self.policy.cold_per_s > 0 and server.is_cold(now)

    def _choose_cold(self, cold, now):
        limit, rate = self._fleet.cold, self.policy.cold_per_s
        allowed = [s for s in cold if limit.may_send(s.id, rate, now)]
        chosen = self._fleet.stats.choose(allowed, now)
        if chosen is not None:
            limit.count(chosen.id, now)
        return chosen

    def _send(self, server, is_repeat, now):
        self._tried.add(server.id)
        self._reached.add(server.id)
        self._running.add(server.id)
        self.hedge_at = now + self.policy.hedge_after_s
        return Send(server, is_repeat)
