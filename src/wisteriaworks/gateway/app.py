"""ASGI application that answers requests on the configured routes."""

import dataclasses
import math
import random

import trio

from wisteriaworks.asgi import read_body, run_lifespan, wait_for_disconnect
from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import ERROR_RESPONSES, ErrorKind, RequestError, RunState
from wisteriaworks.gateway.group_server import GroupServer
from wisteriaworks.gateway.model import AnswerTimes, ShardQuery
from wisteriaworks.gateway.query import (
    GatheredAnswer,
    SingleAnswer,
    Unserved,
    UnservedReason,
)
from wisteriaworks.gateway.records import merge_greatest
from wisteriaworks.gateway.route_index import ServiceRotation
from wisteriaworks.quotas.gate import compute_patience
from wisteriaworks.quotas.tokens import Granted, OverLimit, Unavailable

# Retry-After of a refused caller is RETRY_AFTER_MIN_S plus a random part of
# RETRY_AFTER_SPREAD_S. This spreads the retries, and by then the server list may be
# updated or a connection may be free.
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_SPREAD_S = 0.25
# A gateway without a configuration has just started, usually together with all
# others; control elects a leader and sends the configuration within about a second.
RETRY_AFTER_STARTING_S = 0.7
_ERROR_KINDS = {
    UnservedReason.NO_SERVER: ErrorKind.NO_LIVE_SERVER,
    UnservedReason.REFUSED: ErrorKind.BACKEND_REFUSED,
    UnservedReason.BROKEN: ErrorKind.OUTCOME_UNKNOWN,
    UnservedReason.DEADLINE: ErrorKind.DEADLINE_EXCEEDED,
    UnservedReason.COVERAGE: ErrorKind.TOO_FEW_PARTS,
    UnservedReason.DELEGATE: ErrorKind.OUTCOME_UNKNOWN,
    UnservedReason.KEY_REMOVED: ErrorKind.UNAUTHENTICATED,
    UnservedReason.NOT_CONFIRMED: ErrorKind.ENTRY_FENCED,
}
_CLOSE = (b"connection", b"close")
_SUCCESS = 200
_MIN_RETRY_STATUS = 500


class GatewayApp:
    """Serve one gateway as an ASGI app.

    ``accounts`` is the AccountGate.
    """

    def __init__(
        self,
        state,
        forwarder,
        wire,
        readiness_port,
        log,
        admin=None,
        gatherer=None,
        *,
        accounts,
        quotas=None,
    ):
        self._state = state
        self._log = log
        self._gatherer = gatherer
        self._accounts = accounts
        # Limits of accounts; None if the platform has none.
        self._quotas = quotas
        self._forwarder = forwarder
        self._wire = wire
        self._readiness_port = readiness_port
        # The admin port is served by another app.
        self._admin_port, self._admin = admin or (None, None)
        self._rng = random.Random()
        self._rotation = ServiceRotation(self._rng)
        self.is_stopping = False
        # Set once the HTTP server closes connections. It may close the connection of
        # a request that it has just read, so such a request must not be passed on.
        self.is_closing = False
        # Set shortly before the process ends; requests without an answer get one then.
        self._must_end = trio.Event()
        self._running = 0
        self.groups = GroupServer(
            state, forwarder, accounts, log, lambda: self.is_ready
        )

    @property
    def running(self):
        """Return the number of requests and groups without an answer."""
        return self._running + self.groups.running

    @property
    def is_ready(self):
        """Return whether this gateway can serve callers."""
        return self._state.is_initialized and not self.is_stopping

    async def __call__(self, scope, receive, send):
        match scope["type"]:
            case "lifespan":
                await run_lifespan(receive, send)
            case "http" if scope["server"][1] == self._readiness_port:
                await self._send(send, 200 if self.is_ready else 503, (), b"")
            case "http" if scope["server"][1] == self._admin_port:
                await self._admin(scope, receive, send)
            case "http":
                await self._serve(scope, receive, send)

    def end_requests(self):
        """Answer all running requests now."""
        self._must_end.set()

    async def _serve(self, scope, receive, send):
        arrived_at = trio.current_time()
        self._running += 1
        try:
            answer = await self._answer_while_connected(scope, receive, arrived_at)
            if answer is not None:
                decided_at = trio.current_time()
                await self._send(send, *answer)
                sent_after_s = trio.current_time() - decided_at
                self._forwarder.return_time.own.observe(sent_after_s)
        finally:
            self._running -= 1

    async def _answer_while_connected(self, scope, receive, arrived_at):
        """Return status, headers and body, or None if the caller disconnected."""
        if self.is_closing:
            return self._refuse_early(ErrorKind.ENTRY_STOPPING, None, arrived_at)
        limit = self._state.routes.document.limits.max_body_bytes
        try:
            body = await read_body(receive, limit)
            request = self._wire.read_request(scope, body, arrived_at)
        except RequestError as exc:
            return self._refuse_early(exc.kind, None, arrived_at)
        except (KeyError, ValueError):
            kind = ErrorKind.MALFORMED_REQUEST
            return self._refuse_early(kind, None, arrived_at)
        if not self._state.is_initialized:
            kind = ErrorKind.NO_CONFIGURATION
            return self._refuse_early(kind, request, arrived_at)
        routes = self._state.routes
        route = routes.find(request.host, scope["path"])
        if route is None:
            kind = ErrorKind.UNKNOWN_ROUTE
            return self._refuse_early(kind, request, arrived_at)
        request, refusal = self._check_account(scope, request, route, arrived_at)
        if refusal is None:
            request, refusal = await self._check_quota(request, route, arrived_at)
        if refusal is not None:
            return refusal
        answer = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            nursery.start_soon(self._cancel_at_end, nursery.cancel_scope)
            answer = await self._answer(request, route, routes, arrived_at)
            nursery.cancel_scope.cancel()
        if answer is None and self._must_end.is_set():
            # A server may be at work on the request, so it must not count as not run.
            result = Unserved(UnservedReason.DEADLINE, may_have_run=True)
            return self._make_answer(result, route, request, arrived_at)
        if answer is None:
            self._log.record_disconnect(route, request, arrived_at)
        return answer

    def _check_account(self, scope, request, route, arrived_at):
        """Return the request with its account, and the answer if it is refused."""
        checked = self._accounts.identify(request, route, scope["headers"])
        if not isinstance(checked, ErrorKind):
            return checked, None
        self._log.record_key_refused(checked, route, request, arrived_at)
        return request, self._refuse(checked)

    async def _check_quota(self, request, route, arrived_at):
        """Return the request with its permission, and the refusal if it has none."""
        if self._quotas is None or not request.account:
            return request, None
        patience_s = compute_patience(route.objective_ms / 1000)
        left_s = request.deadline_at - trio.current_time()
        patience_s = max(0.0, min(patience_s, left_s))
        match await self._quotas.take(request.account, read_boot_time(), patience_s):
            case Granted(expires_at):
                return dataclasses.replace(request, expires_at=expires_at), None
            case OverLimit(retry_after_s):
                kind = ErrorKind.QUOTA_EXCEEDED
            case Unavailable(retry_after_s):
                kind = ErrorKind.QUOTA_UNAVAILABLE
        return request, self._refuse_early(kind, request, arrived_at, retry_after_s)

    async def _cancel_at_end(self, scope):
        await self._must_end.wait()
        scope.cancel()

    async def _answer(self, request, route, routes, arrived_at):
        times = self._compute_times(request, route, arrived_at)
        document, result = routes.document, None
        if route.shards and self._gatherer is not None:
            query = ShardQuery(request, route, document, routes.version, times)
            result = await self._gatherer.run(query)
        if result is None:
            services = route.shards or (self._rotation.choose(route),)
            result = await self._forwarder.run(
                request, route, services, document, times
            )
        return self._make_answer(result, route, request, arrived_at)

    def _compute_times(self, request, route, arrived_at):
        objective_s = route.objective_ms / 1000
        return AnswerTimes.create(
            arrived_at + objective_s if objective_s else math.inf,
            min(request.deadline_at, arrived_at + route.timeout_ms / 1000),
            self._forwarder.return_time.estimate(objective_s),
        )

    def _make_answer(self, result, route, request, arrived_at):
        match result:
            case SingleAnswer(answer):
                self._log.record_answer(route, request, answer.status, arrived_at)
                return answer.status, answer.headers, answer.body
            case GatheredAnswer(parts, missing, causes):
                if missing:
                    self._log.record_partial(
                        route, request, missing, causes, arrived_at
                    )
                else:
                    self._log.record_answer(route, request, _SUCCESS, arrived_at)
                body = merge_greatest([p.body for p in parts], route.top_records)
                return _SUCCESS, self._wire.encode_parts(parts, missing), body
            case Unserved(reason, may_have_run):
                kind = _ERROR_KINDS[reason]
                if not may_have_run and reason is UnservedReason.DEADLINE:
                    kind = ErrorKind.NO_LIVE_SERVER
                # If a send may have run, the answer must not state that nothing ran.
                if may_have_run and ERROR_RESPONSES[kind].run_state is RunState.NOT_RUN:
                    kind = ErrorKind.TOO_FEW_PARTS
                self._log.record_unserved(route, request, result, kind, arrived_at)
                return self._refuse(kind)

    def _refuse_early(self, kind, request, arrived_at, retry_after_s=0.0):
        self._log.record_refused(kind, request, arrived_at)
        return self._refuse(kind, retry_after_s)

    def _refuse(self, kind, retry_after_s=0.0):
        status = ERROR_RESPONSES[kind].http_status
        headers = ()
        if status in (429, 503):
            is_starting = kind is ErrorKind.NO_CONFIGURATION
            min_s = RETRY_AFTER_STARTING_S if is_starting else RETRY_AFTER_MIN_S
            wait_s = (
                max(min_s, retry_after_s) + self._rng.random() * RETRY_AFTER_SPREAD_S
            )
            headers = (self._wire.encode_retry_after(wait_s),)
        return status, headers, kind.value.encode()

    async def _send(self, send, status, headers, body):
        filtered = tuple((n, v) for n, v in headers if n.lower() != b"content-length")
        headers = [*filtered, (b"content-length", b"%d" % len(body))]
        if self.is_stopping:
            headers.append(_CLOSE)
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": body})


async def _cancel_on_disconnect(receive, scope):
    """Cancel the work for a caller once it closes its connection."""
    await wait_for_disconnect(receive)
    scope.cancel()
