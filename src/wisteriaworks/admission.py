"""Accept or refuse requests by priority before any work is done."""

import itertools
from dataclasses import dataclass
from enum import Enum

from wisteriaworks.concurrency_limit import ConcurrencyLimit
from wisteriaworks.latency import QuantileEstimate

LOWEST_PRIORITY = 9
# Share of the limit that the lowest priority (9) may not use. The share shrinks in
# proportion to the number; priority 0 may use the entire limit.
RESERVED_SHARE = 0.5
# A request is refused if it has less time left than this quantile of the times
# of recent complete answers. A higher quantile would refuse requests that often
# succeed.
MIN_TIME_QUANTILE = 0.05
# Answers that took more than this share of their time limit probably waited in
# queues, so they neither raise the concurrency limit nor count in the estimate of
# the minimum time.
UNQUEUED_TIME_SHARE = 0.5


class Refusal(Enum):
    """Describe why a request was not accepted."""

    TOO_MANY_RUNNING = "too_many_running"
    DEADLINE_TOO_SHORT = "deadline_too_short"


@dataclass(frozen=True, slots=True)
class Ticket:
    """Represent one running request."""

    number: int
    search: str
    started_at: float
    time_left_s: float


class Admission:
    """Limit the requests that run at once, without a queue.

    A queue would only add waiting time to requests that have a deadline.
    """

    def __init__(self):
        self._running = {}
        self._numbers = itertools.count()
        self._min_times = {}
        self._limit = ConcurrencyLimit()

    @property
    def running(self):
        """Return the number of running requests."""
        return len(self._running)

    def admit(self, search, priority, time_left_s, max_running, now):
        """Return a Ticket or a Refusal."""
        limit = self._limit.compute_limit(max_running)
        if len(self._running) >= _compute_priority_limit(priority, limit):
            return Refusal.TOO_MANY_RUNNING
        if time_left_s < self._read_min_time(search, now):
            return Refusal.DEADLINE_TOO_SHORT
        ticket = Ticket(next(self._numbers), search, now, time_left_s)
        self._running[ticket.number] = ticket
        return ticket

    def finish(self, ticket, complete, now, overloaded=False):
        """End a running request.

        ``overloaded`` means that shards are missing for reasons that
        indicate overload. Only the times of complete answers are recorded: partial
        answers end at their deadline and say nothing about the time an answer
        needs.
        """
        running = len(self._running)
        del self._running[ticket.number]
        if overloaded:
            self._limit.record_overload(running, ticket.started_at, now)
        if (
            complete
            and now - ticket.started_at <= UNQUEUED_TIME_SHARE * ticket.time_left_s
        ):
            self._limit.record_complete()
            self._get_estimate(ticket.search).observe(now - ticket.started_at, now)

    def _read_min_time(self, search, now):
        return self._get_estimate(search).read(now)

    def _get_estimate(self, search):
        estimate = self._min_times.get(search)
        if estimate is None:
            # Refused requests add no times, so an estimate that kept its last
            # value would refuse them forever.
            estimate = QuantileEstimate(
                MIN_TIME_QUANTILE, floor_s=0.0, start_s=0.0, reset_when_idle=True
            )
            self._min_times[search] = estimate
        return estimate


def _compute_priority_limit(priority, max_running):
    share = 1.0 - RESERVED_SHARE * priority / LOWEST_PRIORITY
    # Every priority may run one request when no other request runs.
    return max(1, int(max_running * share))
