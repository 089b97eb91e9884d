"""Run one query: send requests to servers, await answers, and cancel the rest."""

import dataclasses
import math

import trio

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.gateway.gathering import GroupProgress
from wisteriaworks.gateway.model import (
    KEY_FAILURES,
    Answered,
    Failed,
    Failure,
    Refused,
    name_outcome,
)
from wisteriaworks.gateway.query import Unserved
from wisteriaworks.gateway.response_reader import MAX_ANSWER_BYTES
from wisteriaworks.gateway.upstream import Exchange

# A send whose result is no longer needed may still complete within this time, so
# that its connection can be reused. If no answer arrives in this time, the connection
# is closed.
ABANDONED_TIMEOUT_S = 0.6
# Time that servers may still work for a caller that has disconnected.
DISCONNECT_GRACE_S = 0.1
LATE_CANCEL_GRACE_S = 0.35
# The server has no part in these failures.
_NOT_SENT = KEY_FAILURES | {Failure.ABANDONED}
# A part has some hundred records of 16 bytes, and all parts of a query are merged.
MAX_PART_BYTES = 1024 * 1024


class QueryRun:
    """Execute the sends, hedges and retries of one query until it has a result.

    ``query`` is a Query or GroupQuery, and ``times`` its AnswerTimes. ``on_progress``
    is called with the progress of a GroupQuery once it is due.
    """

    def __init__(
        self, forwarder, request, route, query, times, document, on_progress=None
    ):
        delay_estimator = forwarder.get_delay_estimator(route)
        self._median_s = delay_estimator.read_median(trio.current_time())
        self._on_progress = on_progress
        self._forwarder = forwarder
        self._request = request
        self._route = route
        self._query = query
        self._deadline_at = times.deadline_at
        self._document = document
        self._changed = trio.Event()
        self._open_sends = {}
        self._is_ended = False
        # Sends that were written and may have run.
        self._written = set()
        self._needs_permission = math.isfinite(request.expires_at)

    async def run(self):
        """Return the result; running sends are abandoned then."""
        is_answered = False
        try:
            result = await self._run()
            is_answered = True
            return self._check_run_state(result)
        finally:
            self._is_ended = True
            keep_s = self._compute_keep(is_answered)
            for pool, exchange in tuple(self._open_sends.values()):
                self._forwarder.abandon(pool, exchange, keep_s)

    def _compute_keep(self, is_answered):
        """Return for how many seconds running sends may still be answered."""
        if is_answered:
            return ABANDONED_TIMEOUT_S
        # A due group is also cancelled because the other groups are enough.
        is_due = self._query.is_due(trio.current_time())
        return LATE_CANCEL_GRACE_S if is_due else DISCONNECT_GRACE_S

    def _check_run_state(self, result):
        """Return the result; it has not run if its sends wait for connections.

        These sends are withdrawn when the query ends.
        """
        if not (isinstance(result, Unserved | GroupProgress) and result.may_have_run):
            return result
        is_sent = any(exchange.conn for _, exchange in self._open_sends.values())
        is_sent |= any(fetch.may_have_run for fetch in self._query.fetches.values())
        return result if is_sent else dataclasses.replace(result, may_have_run=False)

    async def _run(self):
        query = self._query
        now = trio.current_time()
        sends = query.begin(now)
        if not sends:
            return query.fail_to_begin()
        for fetch, send in sends:
            self._send(fetch, send, now)
        while (result := query.get_result(now := trio.current_time())) is None:
            self._changed = trio.Event()
            if self._on_progress is not None and query.is_due(now):
                self._on_progress(query.read_progress(now))
            with trio.move_on_at(query.compute_wake_at()):
                await self._changed.wait()
            self._handle_timers()
        return result

    def _handle_timers(self):
        now = trio.current_time()
        for fetch in self._query.fetches.values():
            if fetch.is_over or now < fetch.wake_at:
                continue
            send = fetch.handle_timer(now)
            if send is not None:
                self._send(fetch, send, now)
            elif fetch.is_over:
                self._query.record_end(fetch, now)

    def _send(self, fetch, send, now):
        forwarder, server = self._forwarder, send.server
        send_id = forwarder.next_send_id()
        pool = forwarder.get_pool(server, self._document)

        def encode():
            self._written.add(send_id)
            left_s = self._deadline_at - trio.current_time()
            return forwarder.encode(self._request, server, left_s)

        def on_outcome(outcome):
            self._handle_outcome(fetch, send, send_id, now, outcome)

        exchange = Exchange(
            method=self._request.method,
            request_id=self._request.id,
            encode=encode,
            on_outcome=on_outcome,
            deadline_at=self._deadline_at,
            max_body_bytes=MAX_PART_BYTES if self._route.shards else MAX_ANSWER_BYTES,
            check_send=self._check_send,
        )
        self._open_sends[send_id] = (pool, exchange)
        forwarder.fleet.stats.record_send(server.id, send_id, now)
        pool.submit(exchange)

    def _check_send(self):
        """Return the Failure because of which the request can't be sent, or None."""
        failure = self._forwarder.check_key(self._request)
        if failure is None and self._needs_permission and not self._is_permitted():
            return Failure.ABANDONED
        return failure

    def _is_permitted(self):
        """Return whether the account's permission covers a send now.

        A request is counted once, so its first send that may run uses the permission.
        """
        return bool(self._written) or read_boot_time() < self._request.expires_at

    def _handle_outcome(self, fetch, send, send_id, began_at, outcome):
        now = trio.current_time()
        self._open_sends.pop(send_id, None)
        if not isinstance(outcome, Answered):
            self._written.discard(send_id)
        self._forwarder.record_send_outcome(send.is_repeat, name_outcome(outcome))
        server = send.server
        self._record_outcome(server, send_id, began_at, outcome, now)
        if self._is_ended:
            # No caller waits for the answer, so the request is not retried.
            return
        send = fetch.handle_outcome(server.id, outcome, now)
        if send is not None:
            self._send(fetch, send, now)
        # A new send has its own hedge time, and a fetch without a running send
        # has a retry time, so the query has to compute its wake time again.
        is_rescheduled = send is not None or not (fetch.is_over or fetch.is_running)
        may_have_result = fetch.is_over and self._query.record_end(fetch, now)
        if is_rescheduled or may_have_result:
            self._changed.set()

    def _record_outcome(self, server, send_id, began_at, outcome, now):
        """Update the statistics of a server after the outcome of a send."""
        stats, versions = self._forwarder.fleet.stats, self._forwarder.fleet.versions
        if versions is not None:
            versions.record_outcome(self._route.name, server, outcome, began_at, now)
        match outcome:
            case Answered(answer) if answer.status < 500:
                stats.record_success(server.id, send_id, now, self._median_s)
                self._forwarder.get_delay_estimator(self._route).observe(
                    now - began_at, now
                )
            case Refused(answer) if answer.is_misdirected:
                stats.record_address_reuse(server.id, send_id, now)
            case Refused():
                stats.record_refusal(server.id, send_id, now)
            case Failed(failure=failure) if failure in _NOT_SENT:
                stats.discard(server.id, send_id)
            case Failed(failure=failure):
                is_silent = failure in (Failure.TIMED_OUT, Failure.NO_CONNECTION)
                pause_s = stats.record_failure(
                    server.id, send_id, now, is_silent=is_silent
                )
                self._forwarder.log_avoided(server, outcome, pause_s, now)
            case _:
                pause_s = stats.record_failure(server.id, send_id, now)
                self._forwarder.log_avoided(server, outcome, pause_s, now)
