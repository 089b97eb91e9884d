"""Accept or refuse requests by priority before any work is done."""

import itertools
from dataclasses import dataclass
from enum import Enum

from wisteriaworks.concurrency_limit import ConcurrencyLimit
from wisteriaworks.latency import QuantileEstimate

LOWEST_PRIORITY = 9
# Share of the running limit that only higher priorities may use: priority 9
# gets half of the limit, priority 0 all of it.
RESERVED_SHARE = 0.5
# A request is refused if hardly any recent answer was complete in the time it
# has left. A higher quantile would refuse requests that often succeed.
QUICK_QUANTILE = 0.05
# Answers that needed more of their time than this waited in queues, so the
# entry does not accept more at once because of them.
EASY_SHARE = 0.5


class Refusal(Enum):
    """Say why a request was not accepted."""

    TOO_MANY_RUNNING = "too_many_running"
    DEADLINE_TOO_SHORT = "deadline_too_short"


@dataclass(frozen=True, slots=True)
class Ticket:
    """Stand for one running request."""

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
        self._quick = {}
        self._limit = ConcurrencyLimit()

    @property
    def running(self):
        """Return the number of running requests."""
        return len(self._running)

    def admit(self, search, priority, time_left_s, max_running, now):
        """Return a Ticket or a Refusal."""
        limit = self._limit.read(max_running)
        if len(self._running) >= _limit_priority(priority, limit):
            return Refusal.TOO_MANY_RUNNING
        if time_left_s < self._read_quick(search, now):
            return Refusal.DEADLINE_TOO_SHORT
        ticket = Ticket(next(self._numbers), search, now, time_left_s)
        self._running[ticket.number] = ticket
        return ticket

    def finish(self, ticket, complete, now, overloaded=False):
        """End a running request.

        ``overloaded`` says that shards are missing for lack of time. Only
        complete answers count as recent times: partial answers end at
        their deadline and say nothing about the time an answer needs.
        """
        running = len(self._running)
        del self._running[ticket.number]
        if overloaded:
            self._limit.note_overload(running, ticket.started_at, now)
        if complete and now - ticket.started_at <= EASY_SHARE * ticket.time_left_s:
            self._limit.note_complete()
            self._find(ticket.search).observe(now - ticket.started_at, now)

    def _read_quick(self, search, now):
        return self._find(search).read(now)

    def _find(self, search):
        estimate = self._quick.get(search)
        if estimate is None:
            # Refused requests leave no times, so an estimate that did not
            # forget would refuse them for good.
            estimate = QuantileEstimate(
                QUICK_QUANTILE, floor_s=0.0, start_s=0.0, forget=True
            )
            self._quick[search] = estimate
        return estimate


def _limit_priority(priority, max_running):
    share = 1.0 - RESERVED_SHARE * priority / LOWEST_PRIORITY
    # Every priority can run when nothing else does.
    return max(1, int(max_running * share))
