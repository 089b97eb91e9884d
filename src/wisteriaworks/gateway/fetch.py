"""Decide which servers of one service get a request, and when it is retried.

Load patterns: a server dies, closes connections or refuses part of its requests;
one server stalls briefly while another answers at once; all servers of a service
lose or refuse part of their requests, so that a request that failed at each of
them still succeeds when it is retried a moment later. No I/O.
"""

import math
from dataclasses import dataclass
from enum import Enum

from wisteriaworks.balancing.distance import compute_near_limit
from wisteriaworks.gateway.model import (
    KEY_FAILURES,
    Answered,
    Failed,
    Failure,
    Refused,
    ServerAnswer,
    name_outcome,
)
from wisteriaworks.gateway.server_table import KnownServer

# Statuses from here on are retried, since another server may succeed.
_MIN_SERVER_ERROR = 500
# A server that refused or failed gets the request once more when no other server
# is left: with two servers that each lose two in five answers, 3 in 100 requests
# fail instead of 16.
SENDS_PER_SERVER = 2
# A server without a free slot frees one in about the time of one answer.
RETRY_DELAY_S = 0.02


class Denial(Enum):
    """Name the reason why a request was not sent, or not sent again."""

    ATTEMPTS = "attempts"
    BUDGET = "budget"
    KEY = "key"
    NO_SERVER = "no_server"
    NOT_IDEMPOTENT = "not_idempotent"


@dataclass(frozen=True, slots=True)
class FetchTrace:
    """Describe why a service gave no answer.

    ``outcome`` is that of the last send, or ``waiting`` while one is running or if
    there was none.
    """

    service: str
    servers: tuple[str, ...]
    outcome: str
    denial: str


@dataclass(frozen=True, slots=True)
class Send:
    """Describe one send of the request to a server."""

    server: KnownServer
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class FetchPolicy:
    """Describe how one request is sent to one service.

    ``hedge_after_s`` is the time after which an answer counts as late, and
    ``median_s`` the median time of an answer on the route. With ``is_repeat``,
    another gateway may have sent the request, so even the first send is a repeat.
    With ``prefers_near``, servers of the own domain are preferred if their answers
    are expected in time before ``due_at``. Only the servers ``server_ids`` get the
    request, or any if it is None.
    """

    service: str
    idempotent: bool
    attempts: int
    cold_per_s: float
    hedge_after_s: float
    median_s: float = 0.02
    is_repeat: bool = False
    prefers_near: bool = False
    due_at: float = math.inf
    server_ids: frozenset[str] | None = None


class Fetch:
    """Track one request to one service until it is answered or has failed.

    ``fleet`` has the table of servers, their statistics and the budgets.
    """

    def __init__(self, policy, fleet):
        self.policy = policy
        self._fleet = fleet
        # Number of sends by server id.
        self._send_counts = {}
        # Ids of the servers that the request may have reached.
        self._reached = set()
        self._running = set()
        # Ids of the servers that refused or failed and may get the request again.
        self._retryable = set()
        self._retry_at = math.inf
        self._outcome = "waiting"
        self._denial = None
        # Whether the request may not be sent any more, because of its key.
        self._is_barred = False
        self.answer: ServerAnswer | None = None
        self.refusal: ServerAnswer | None = None
        self.failure = None
        self.may_have_run = False
        self.is_over = False
        self._hedge_at = math.inf

    @property
    def wake_at(self):
        """Return when ``handle_timer`` is due."""
        return min(self._hedge_at, self._retry_at)

    @property
    def is_running(self):
        """Return whether a send has no outcome yet."""
        return bool(self._running)

    @property
    def servers_used(self):
        """Return how many servers the request may have reached."""
        return len(self._reached)

    @property
    def has_part(self):
        """Return whether a server has answered with a success."""
        return self.answer is not None and self.answer.is_success

    def trace(self):
        """Return a description of the state of the fetch."""
        denial = self._denial.value if self._denial else ""
        outcome = "waiting" if self._running else self._outcome
        return FetchTrace(
            self.policy.service, tuple(self._send_counts), outcome, denial
        )

    def begin(self, now):
        """Return the first send, or None if no server may receive it."""
        if self.policy.is_repeat:
            return self._repeat_or_end(now)
        server = self._choose(now, is_first=True)
        if server is None:
            self._denial = Denial.NO_SERVER
            self.is_over = True
            return None
        self._fleet.budget.count_request(self.policy.service, now)
        return self._send(server, False, now)

    def handle_outcome(self, server_id, outcome, now):
        """Process the outcome of a send and return the next send, or None."""
        self._running.discard(server_id)
        if self.is_over:
            return None
        self._outcome = name_outcome(outcome)
        match outcome:
            case Answered(answer):
                return self._handle_answer(server_id, answer, now)
            case Refused(answer):
                self.refusal = answer
                self._retryable.add(server_id)
                return self._repeat_or_end(now, retry_delay_s=RETRY_DELAY_S)
            case Failed(failure, may_have_run):
                return self._handle_failure(server_id, failure, may_have_run, now)

    def handle_timer(self, now):
        """Return the hedge or retry that is due, or None."""
        if self.is_over:
            return None
        if now >= self._retry_at:
            self._retry_at = math.inf
            return self._repeat_or_end(now)
        if now < self._hedge_at:
            return None
        self._hedge_at = math.inf
        if not self.policy.idempotent:
            return None
        return self._repeat(now, is_hedge=True)

    def _handle_answer(self, server_id, answer, now):
        self.may_have_run = True
        is_final = answer.is_success or answer.status < _MIN_SERVER_ERROR
        if is_final or self.answer is None:
            self.answer = answer
        if is_final or not self.policy.idempotent:
            self.is_over = True
            return None
        self._retryable.add(server_id)
        return self._repeat_or_end(now)

    def _handle_failure(self, server_id, failure, may_have_run, now):
        self.failure = failure
        self._is_barred |= failure in KEY_FAILURES
        if not may_have_run:
            if self._send_counts[server_id] == 1:
                self._reached.discard(server_id)
            # The next send is a repeat only if an earlier one may have arrived.
            return self._repeat_or_end(now, is_counted=bool(self._reached))
        self.may_have_run = True
        if not self.policy.idempotent:
            self._denial = Denial.NOT_IDEMPOTENT
            self.is_over = True
            return None
        # A server that timed out would most likely time out again.
        if failure is not Failure.TIMED_OUT:
            self._retryable.add(server_id)
        return self._repeat_or_end(now)

    def _repeat_or_end(self, now, is_counted=True, retry_delay_s=0.0):
        """Send again at once, schedule a retry, or end the fetch.

        A server that got the request before may get it again: at once if
        ``retry_delay_s`` is 0, else after that delay.
        """
        send = self._repeat(now, is_counted, may_reuse_servers=not retry_delay_s)
        if send is None and not self._running:
            is_denied = self._denial in (Denial.BUDGET, Denial.KEY)
            if retry_delay_s and not is_denied and self._list_retryable(now):
                self._retry_at = now + retry_delay_s
                self._hedge_at = math.inf
            else:
                self.is_over = True
        return send

    def _repeat(self, now, is_counted=True, is_hedge=False, may_reuse_servers=False):
        """Return one more send within the limits, or None.

        If ``is_counted`` is false, no earlier send can have reached a server, and
        the send does not draw on the budget.
        """
        service = self.policy.service
        budget = self._fleet.budget
        self._denial = Denial.KEY if self._is_barred else None
        if self._is_barred:
            return None
        if is_counted and not budget.may_repeat(service, now, is_hedge):
            self._denial = Denial.BUDGET
            return None
        server = None
        if len(self._reached) < self.policy.attempts:
            server = self._choose(now)
        if server is None and may_reuse_servers and not self._running:
            server = self._choose_among(self._list_retryable(now), now)
        if server is None:
            is_limit_reached = len(self._reached) >= self.policy.attempts
            self._denial = Denial.ATTEMPTS if is_limit_reached else Denial.NO_SERVER
            return None
        if is_counted:
            budget.count_repeat(service, now)
        return self._send(server, is_counted, now)

    def _choose(self, now, is_first=False):
        usable = self._list_usable(now, is_first)
        untried = [s for s in usable if s.id not in self._send_counts]
        return self._choose_among(untried, now)

    def _list_usable(self, now, is_first=False):
        """Return the usable servers, without those whose address was reused.

        During a rollout, the versions that the request may not go to are left out.
        """
        stats = self._fleet.stats
        usable = self._fleet.table.list_usable(self.policy.service)
        known = self.policy.server_ids
        usable = [
            server
            for server in usable
            if not stats.is_address_reused(server.id, now)
            and (known is None or server.id in known)
        ]
        versions = self._fleet.versions
        if versions is None:
            return usable
        return versions.narrow(self.policy.service, usable, now, is_first)

    def _choose_among(self, servers, now):
        warm = [s for s in servers if not self._is_cold_limited(s, now)]
        near_limit_s = self._compute_near_limit(now)
        chosen = self._fleet.stats.choose(warm, now, self.policy.median_s, near_limit_s)
        if chosen is not None:
            return chosen
        cold = [s for s in servers if self._is_cold_limited(s, now)]
        return self._choose_cold(cold, now)

    def _compute_near_limit(self, now):
        policy, is_repeat = self.policy, bool(self._reached)
        if not policy.prefers_near:
            return 0.0
        return compute_near_limit(
            now, policy.due_at, policy.hedge_after_s, policy.median_s, is_repeat
        )

    def _list_retryable(self, now):
        """Return the servers that may get the request once more."""
        return [
            server
            for server in self._list_usable(now)
            if server.id in self._retryable
            and server.id not in self._running
            and self._send_counts[server.id] < SENDS_PER_SERVER
        ]

    def _is_cold_limited(self, server, now):
        return self.policy.cold_per_s > 0 and server.is_cold(now)

    def _choose_cold(self, cold, now):
        limit, rate = self._fleet.cold, self.policy.cold_per_s
        allowed = [s for s in cold if limit.may_send(s.id, rate, now)]
        chosen = self._fleet.stats.choose(allowed, now, self.policy.median_s)
        if chosen is not None:
            limit.count(chosen.id, now)
        return chosen

    def _send(self, server, is_repeat, now):
        self._send_counts[server.id] = self._send_counts.get(server.id, 0) + 1
        self._reached.add(server.id)
        self._running.add(server.id)
        self._hedge_at = now + self.policy.hedge_after_s
        if self._fleet.versions is not None:
            self._fleet.versions.count_send(server)
        return Send(server, is_repeat)
