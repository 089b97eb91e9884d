"""Decide to which servers of one service a request is sent, and when again.

Load patterns: a server dies, breaks off or refuses part of its requests; a
server stands still for a moment while the other answers at once; all servers of
a service lose or refuse part of their requests, so that a request that failed
at each of them is still served by one of them a moment later. No I/O.
"""

import math
from dataclasses import dataclass
from enum import Enum

from wisteriaworks.gateway.model import (
    Answered,
    Failed,
    Failure,
    Refused,
    ServerAnswer,
    name_outcome,
)
from wisteriaworks.gateway.server_table import KnownServer

# Statuses that another server may answer better.
_LEAST_SERVER_ERROR = 500
# A server that refused or failed is asked again once when no other is left;
# with two servers that each lose two in five answers, 3 in 100 requests fail
# instead of 16.
SENDS_PER_SERVER = 2
# A server that was full frees a slot within about one answer.
ASK_AGAIN_S = 0.02


class Denial(Enum):
    """Say why a request was not sent once more."""

    ATTEMPTS = "attempts"
    BUDGET = "budget"
    NO_SERVER = "no_server"
    NOT_IDEMPOTENT = "not_idempotent"


@dataclass(frozen=True, slots=True)
class FetchTrace:
    """Hold what explains why a service gave no answer.

    ``outcome`` is that of the last send, or ``waiting``.
    """

    service: str
    servers: tuple[str, ...]
    outcome: str
    denial: str


@dataclass(frozen=True, slots=True)
class Send:
    """Ask to send the request to a server."""

    server: KnownServer
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class FetchPolicy:
    """Hold what decides the sends of one request to one service.

    ``hedge_after_s`` is the time after which an answer counts as late, and
    ``typical_s`` the usual one.
    """

    service: str
    idempotent: bool
    attempts: int
    cold_per_s: float
    hedge_after_s: float
    typical_s: float = 0.02


class Fetch:
    """Follow one request to one service until it has an answer or none is left.

    ``fleet`` has the table of servers, their statistics and the budgets.
    """

    def __init__(self, policy, fleet):
        self.policy = policy
        self._fleet = fleet
        # How often the request was sent to each server.
        self._tried = {}
        # Servers that the request may have reached.
        self._reached = set()
        self._running = set()
        # Servers that refused or failed, and may do better.
        self._failed = set()
        self._ask_again_at = math.inf
        self._outcome = "waiting"
        self._denial = None
        self.answer: ServerAnswer | None = None
        self.refusal: ServerAnswer | None = None
        self.failure = None
        self.may_have_run = False
        self.is_over = False
        self._hedge_at = math.inf

    @property
    def wake_at(self):
        """Return when ``note_time`` is due."""
        return min(self._hedge_at, self._ask_again_at)

    @property
    def is_running(self):
        """Say whether a send has no outcome yet."""
        return bool(self._running)

    def trace(self):
        """Return what explains the state of the fetch."""
        denial = self._denial.value if self._denial else ""
        outcome = "waiting" if self._running else self._outcome
        return FetchTrace(self.policy.service, tuple(self._tried), outcome, denial)

    def begin(self, now):
        """Return the first send, or None if no server may receive it."""
        server = self._choose(now)
        if server is None:
            self._denial = Denial.NO_SERVER
            self.is_over = True
            return None
        self._fleet.budget.count_request(self.policy.service, now)
        return self._send(server, False, now)

    def note_outcome(self, server_id, outcome, now):
        """Take an outcome over and return the next send, or None."""
        self._running.discard(server_id)
        if self.is_over:
            return None
        self._outcome = name_outcome(outcome)
        match outcome:
            case Answered(answer):
                return self._note_answer(server_id, answer, now)
            case Refused(answer):
                self.refusal = answer
                self._failed.add(server_id)
                return self._repeat_or_end(now, pause_s=ASK_AGAIN_S)
            case Failed(failure, may_have_run):
                return self._note_failure(server_id, failure, may_have_run, now)

    def note_time(self, now):
        """Return the next send if one is due by time, or None."""
        if self.is_over:
            return None
        if now >= self._ask_again_at:
            self._ask_again_at = math.inf
            return self._repeat_or_end(now)
        if now < self._hedge_at:
            return None
        self._hedge_at = math.inf
        if not self.policy.idempotent:
            return None
        return self._repeat(now, is_hedge=True)

    def _note_answer(self, server_id, answer, now):
        self.may_have_run = True
        is_final = answer.is_success or answer.status < _LEAST_SERVER_ERROR
        if is_final or self.answer is None:
            self.answer = answer
        if is_final or not self.policy.idempotent:
            self.is_over = True
            return None
        self._failed.add(server_id)
        return self._repeat_or_end(now)

    def _note_failure(self, server_id, failure, may_have_run, now):
        self.failure = failure
        if not may_have_run:
            if self._tried[server_id] == 1:
                self._reached.discard(server_id)
            # The next send is a repeat only if another one may have arrived.
            return self._repeat_or_end(now, is_counted=bool(self._reached))
        self.may_have_run = True
        if not self.policy.idempotent:
            self._denial = Denial.NOT_IDEMPOTENT
            self.is_over = True
            return None
        # A silent server would be silent again.
        if failure is not Failure.TIMED_OUT:
            self._failed.add(server_id)
        return self._repeat_or_end(now)

    def _repeat_or_end(self, now, is_counted=True, pause_s=0.0):
        send = self._repeat(now, is_counted, may_ask_again=not pause_s)
        if send is None and not self._running:
            is_denied = self._denial is Denial.BUDGET
            if pause_s and not is_denied and self._list_again(now):
                self._ask_again_at = now + pause_s
                self._hedge_at = math.inf
            else:
                self.is_over = True
        return send

    def _repeat(self, now, is_counted=True, is_hedge=False, may_ask_again=False):
        """Return one more send within the bounds, or None.

        A send that never left is repeated without drawing on the budget.
        """
        service = self.policy.service
        budget = self._fleet.budget
        self._denial = None
        if is_counted and not budget.may_repeat(service, now, is_hedge):
            self._denial = Denial.BUDGET
            return None
        server = None
        if len(self._reached) < self.policy.attempts:
            server = self._choose(now)
        if server is None and may_ask_again and not self._running:
            server = self._choose_among(self._list_again(now), now)
        if server is None:
            is_bound = len(self._reached) >= self.policy.attempts
            self._denial = Denial.ATTEMPTS if is_bound else Denial.NO_SERVER
            return None
        if is_counted:
            budget.count_repeat(service, now)
        return self._send(server, is_counted, now)

    def _choose(self, now):
        fresh = [s for s in self._list_usable(now) if s.id not in self._tried]
        return self._choose_among(fresh, now)

    def _list_usable(self, now):
        """Return the servers of the service that still answer at their addresses."""
        stats = self._fleet.stats
        usable = self._fleet.table.list_usable(self.policy.service)
        return [server for server in usable if not stats.is_gone(server.id, now)]

    def _choose_among(self, servers, now):
        warm = [s for s in servers if not self._is_bound_cold(s, now)]
        chosen = self._fleet.stats.choose(warm, now, self.policy.typical_s)
        if chosen is not None:
            return chosen
        cold = [s for s in servers if self._is_bound_cold(s, now)]
        return self._choose_cold(cold, now)

    def _list_again(self, now):
        """Return the servers that may be asked once more."""
        return [
            server
            for server in self._list_usable(now)
            if server.id in self._failed
            and server.id not in self._running
            and self._tried[server.id] < SENDS_PER_SERVER
        ]

    def _is_bound_cold(self, server, now):
        return self.policy.cold_per_s > 0 and server.is_cold(now)

    def _choose_cold(self, cold, now):
        limit, rate = self._fleet.cold, self.policy.cold_per_s
        allowed = [s for s in cold if limit.may_send(s.id, rate, now)]
        chosen = self._fleet.stats.choose(allowed, now, self.policy.typical_s)
        if chosen is not None:
            limit.count(chosen.id, now)
        return chosen

    def _send(self, server, is_repeat, now):
        self._tried[server.id] = self._tried.get(server.id, 0) + 1
        self._reached.add(server.id)
        self._running.add(server.id)
        self._hedge_at = now + self.policy.hedge_after_s
        return Send(server, is_repeat)
