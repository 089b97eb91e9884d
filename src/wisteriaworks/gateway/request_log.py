"""Log requests that got no complete answer, and a sample of the answered ones.

An error status of a server counts as an answer. Except for the sample, the lines of
each event are limited per second, and the lines left out are counted.

A line has the id of the request, the cause of its outcome, and the age of the
state that the decisions were based on.
"""

import math

import trio

from wisteriaworks.events import Event, log_event
from wisteriaworks.log_limit import LogLimiter

# One of this many complete answers is logged.
SAMPLED_ONE_IN = 200
SUPPRESSED_COUNTS_INTERVAL_S = 1.0


class RequestLog:
    """Write the log lines and metrics of one gateway's requests."""

    def __init__(self, state, metrics, rng):
        self._state = state
        self._rng = rng
        self._limiter = LogLimiter()
        self._requests = metrics.create_counter(
            "wisteria.gateway.requests", "Requests by route, outcome and reason"
        )
        self._durations = metrics.create_histogram(
            "wisteria.gateway.request.duration", "Time from a request to its answer"
        )
        self._missing = metrics.create_counter(
            "wisteria.gateway.shards.missing", "Shards missing from answers by route"
        )
        self._handed_on = metrics.create_counter(
            "wisteria.gateway.groups.handed.on",
            "Groups of shards that went to the next gateway, by cause",
        )

    async def run(self):
        """Log the number of lines that were left out, every second."""
        while True:
            await trio.sleep(SUPPRESSED_COUNTS_INTERVAL_S)
            for event, count in self._limiter.pop_suppressed_counts().items():
                log_event(Event.LINES_LEFT_OUT, of_event=event, count=count)

    def record_answer(self, route, request, status, arrived_at):
        """Record a complete answer, or an error status of a server."""
        self._count(route, "answered", "", arrived_at)
        if self._rng.random() * SAMPLED_ONE_IN < 1:
            fields = self._describe(route, request, arrived_at)
            log_event(
                Event.REQUEST_SERVED, **fields, status=status, one_in=SAMPLED_ONE_IN
            )

    def record_partial(self, route, request, missing, causes, arrived_at):
        """Record an answer with missing shards."""
        self._count(route, "partial", "", arrived_at)
        self._missing.add(missing, {"route": route.name})
        self._write(
            Event.ANSWER_PARTIAL, route, request, arrived_at, missing, causes=causes
        )

    def record_unserved(self, route, request, result, kind, arrived_at):
        """Record a request that was refused or given up."""
        self._count(route, "unserved", kind.value, arrived_at)
        self._write(
            Event.REQUEST_UNSERVED,
            route,
            request,
            arrived_at,
            kind=kind.value,
            reason=result.reason.value,
            may_have_run=result.may_have_run,
            causes=result.causes,
        )

    def record_refused(self, kind, request, arrived_at):
        """Record a request that was refused before its route was known."""
        self._count(None, "refused", kind.value, arrived_at)
        self._write(Event.REQUEST_REFUSED, None, request, arrived_at, kind=kind.value)

    def record_key_refused(self, kind, route, request, arrived_at):
        """Record a request that was refused because of its key, or the lack of one."""
        self._count(route, "refused", kind.value, arrived_at)
        self._write(Event.KEY_REFUSED, route, request, arrived_at, kind=kind.value)

    def record_disconnect(self, route, request, arrived_at):
        """Record a caller that disconnected before it was answered."""
        self._count(route, "caller_gone", "", arrived_at)
        self._write(Event.CALLER_GONE, route, request, arrived_at)

    def record_handed_on(self, query, delegate, cause, tried, asked_at):
        """Record that a group goes to the next gateway, ``tried`` gateways in all."""
        self._handed_on.add(1, {"cause": cause})
        self._write(
            Event.GROUP_HANDED_ON,
            query.route,
            query.request,
            asked_at,
            delegate=delegate.name,
            cause=cause,
            tried=tried,
        )

    def record_group_cancelled(self, query, servers_used, arrived_at):
        """Record a cancelled group; ``servers_used`` is the most of any shard."""
        self._write(
            Event.GROUP_CANCELLED,
            query.route,
            query.request,
            arrived_at,
            servers_used=servers_used,
        )

    def _write(self, event, route, request, arrived_at, missing=None, **fields):
        if not self._limiter.admit(event.value.number, trio.current_time()):
            return
        if missing is not None:
            fields["missing"] = missing
        log_event(event, **self._describe(route, request, arrived_at), **fields)

    def _describe(self, route, request, arrived_at):
        now = trio.current_time()
        fields = {
            "request": request.id.decode("latin-1") if request else "",
            "route": route.name if route else "",
            "waited_ms": round((now - arrived_at) * 1000),
            "version": self._state.routes.version,
        }
        if math.isfinite(self._state.updated_at):
            # Age of the leader's last update, which the decisions are based on.
            fields["state_age_ms"] = round((now - self._state.updated_at) * 1000)
        if request and math.isfinite(request.deadline_at):
            fields["left_ms"] = round((request.deadline_at - now) * 1000)
        return fields

    def _count(self, route, outcome, reason, arrived_at):
        name = route.name if route else ""
        self._requests.add(1, {"route": name, "outcome": outcome, "reason": reason})
        elapsed_ms = (trio.current_time() - arrived_at) * 1000
        self._durations.record(elapsed_ms, {"route": name, "outcome": outcome})
