"""Track one request to one service, or to all shards, until it has a result.

A request to shards is answered when all parts have arrived. At its latency
objective it is answered with the parts that have arrived, if they reach the
minimum coverage. It fails at once when the minimum coverage can no longer be
reached. No I/O.
"""

import itertools
import math
from dataclasses import dataclass, field
from enum import Enum

from wisteriaworks.gateway.fetch import FetchTrace
from wisteriaworks.gateway.model import Failure, ServerAnswer

# Maximum number of unanswered services that an explanation lists; listing more adds
# no information.
MAX_EXPLAINED_SERVICES = 4


class UnservedReason(Enum):
    """Name the reason why a request has no answer of a server."""

    NO_SERVER = "no_server"
    REFUSED = "refused"
    BROKEN = "broken"
    DEADLINE = "deadline"
    COVERAGE = "coverage"
    DELEGATE = "delegate"
    KEY_REMOVED = "key_removed"
    NOT_CONFIRMED = "not_confirmed"


# Reasons of a request that was not sent because of its key, by the failure.
KEY_REASONS = {
    Failure.KEY_REMOVED: UnservedReason.KEY_REMOVED,
    Failure.NOT_CONFIRMED: UnservedReason.NOT_CONFIRMED,
}


@dataclass(frozen=True, slots=True)
class SingleAnswer:
    """Represent the answer of one server, which is passed on."""

    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class GatheredAnswer:
    """Represent an answer that is merged from the parts of shards."""

    parts: tuple[ServerAnswer, ...]
    missing: int
    causes: tuple[FetchTrace, ...] = field(default=(), compare=False)


@dataclass(frozen=True, slots=True)
class Unserved:
    """Represent a request without an answer to pass on.

    ``may_have_run`` is whether a server may have run the request.
    """

    reason: UnservedReason
    may_have_run: bool
    causes: tuple[FetchTrace, ...] = field(default=(), compare=False)


Result = SingleAnswer | GatheredAnswer | Unserved


class Query:
    """Combine the fetches of one request.

    ``fetches`` maps services to them, and ``times`` are its AnswerTimes.
    """

    def __init__(self, route, fetches, times):
        self._route = route
        self.fetches = fetches
        self._give_up_at = times.give_up_at
        self._accept_partial_at = times.partial_at
        self._over_count = 0
        self._min_parts = max(
            1, math.ceil(route.minimum_coverage * len(fetches) - 1e-9)
        )

    def fail_to_begin(self):
        """Return the result of a query of which too few services have a server."""
        return Unserved(UnservedReason.NO_SERVER, may_have_run=False)

    def is_due(self, now):
        """Return whether an answer with missing parts may be given."""
        return now >= self._accept_partial_at

    def begin(self, now):
        """Return the first sends, or an empty list if too few services have a server.

        A request that can't reach the minimum coverage is not sent at all.
        """
        sends = [(fetch, fetch.begin(now)) for fetch in self.fetches.values()]
        started = [(fetch, send) for fetch, send in sends if send is not None]
        self._over_count = sum(fetch.is_over for fetch in self.fetches.values())
        return started if len(started) >= self._min_parts else []

    def compute_wake_at(self):
        """Return when ``get_result`` or ``Fetch.handle_timer`` is due next."""
        fetches = (f.wake_at for f in self.fetches.values() if not f.is_over)
        return min(
            self._give_up_at, self._compute_accept_partial_at(), *fetches, math.inf
        )

    def record_end(self, fetch, now):
        """Record that ``fetch`` is over; return whether there may be a result now.

        Most ends of fetches do not, and ``get_result`` looks at all of them.
        """
        self._over_count += 1
        is_last = self._over_count >= len(self.fetches)
        return is_last or not fetch.has_part or now >= self._accept_partial_at

    def get_result(self, now):
        """Return the result if there is one now, or None."""
        if not self._route.shards:
            return self._get_single_result(now)
        parts = [fetch.answer for fetch in self.fetches.values() if fetch.has_part]
        missing = len(self.fetches) - len(parts)
        open_count = sum(not fetch.is_over for fetch in self.fetches.values())
        is_enough = len(parts) >= self._min_parts
        is_due = now >= min(self._accept_partial_at, self._give_up_at)
        if is_enough and (open_count == 0 or is_due):
            causes = self._explain() if missing else ()
            return GatheredAnswer(tuple(parts), missing, causes)
        if len(parts) + open_count < self._min_parts:
            return self._fail(self._find_reason())
        return self._fail(UnservedReason.DEADLINE) if now >= self._give_up_at else None

    def _compute_accept_partial_at(self):
        parts = sum(fetch.has_part for fetch in self.fetches.values())
        return self._accept_partial_at if parts >= self._min_parts else math.inf

    def _get_single_result(self, now):
        (fetch,) = self.fetches.values()
        if fetch.is_over:
            if fetch.answer is not None:
                return SingleAnswer(fetch.answer)
            return self._fail(self._find_reason())
        return self._fail(UnservedReason.DEADLINE) if now >= self._give_up_at else None

    def _fail(self, reason):
        fetches = self.fetches.values()
        # The server may have read a request that has no outcome yet.
        may_have_run = any(f.may_have_run or f.is_running for f in fetches)
        return Unserved(reason, may_have_run, self._explain())

    def _explain(self):
        """Return the traces of the first services without a usable part."""
        missing = (f.trace() for f in self.fetches.values() if not f.has_part)
        return tuple(itertools.islice(missing, MAX_EXPLAINED_SERVICES))

    def _find_reason(self):
        fetches = self.fetches.values()
        if any(fetch.may_have_run for fetch in fetches):
            return (
                UnservedReason.BROKEN
                if not self._route.shards
                else UnservedReason.COVERAGE
            )
        failures = {fetch.failure for fetch in fetches}
        for failure, reason in KEY_REASONS.items():
            if failure in failures:
                return reason
        if any(fetch.refusal is not None for fetch in fetches):
            return UnservedReason.REFUSED
        return UnservedReason.NO_SERVER
