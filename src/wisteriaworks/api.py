"""Serve the HTTP API for callers."""

import hashlib
from dataclasses import dataclass

import msgspec
import trio

from wisteriaworks.admission import Refusal
from wisteriaworks.answers import create_answer, create_error_answer
from wisteriaworks.asgi import JSON, read_body, run_lifespan, send_response
from wisteriaworks.errors import ErrorKind, RequestError
from wisteriaworks.events import Event, log_event, log_failure
from wisteriaworks.generated.api import SearchBody
from wisteriaworks.generated.document import Caller, Routing, Search
from wisteriaworks.search import SearchRequest
from wisteriaworks.uuid7 import parse_uuid7

PREFIX = "/v1/searches/"
CLOSE = (b"connection", b"close")
# Time in which an entry whose failure domain was taken out still accepts the
# requests that the balancer sends before it notices that the entry is not ready.
DOMAIN_OUT_GRACE_S = 2.0
_BODY_DECODER = msgspec.json.Decoder(SearchBody)
# Refusals that are recorded if the request is not idempotent.
_RECORDED_REFUSAL_KINDS = frozenset(
    {
        ErrorKind.DEADLINE_PASSED,
        ErrorKind.ENTRY_FENCED,
        ErrorKind.ENTRY_STOPPING,
        ErrorKind.OVERLOADED,
    }
)


@dataclass(frozen=True, slots=True)
class _RequestHead:
    """Represent what the path and headers of a request specify."""

    caller_name: str
    caller: Caller
    search_name: str
    search: Search
    timeout_s: float


def _find_caller(view, headers):
    scheme, _, credential = headers.get(b"authorization", b"").partition(b" ")
    if scheme.lower() != b"bearer" or not credential:
        raise RequestError(ErrorKind.UNAUTHENTICATED, "a bearer credential is required")
    digest = hashlib.sha256(credential.strip()).hexdigest()
    for name, caller in view.document.callers.items():
        if caller.credential_sha256 == digest:
            return name, caller
    raise RequestError(ErrorKind.UNAUTHENTICATED, "the credential is not known")


def _read_timeout_s(headers, caller):
    text = headers.get(b"x-timeout-ms")
    if text is None:
        return caller.timeout_ms / 1000
    try:
        timeout_ms = float(text)
    except ValueError:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST, "X-Timeout-Ms is not a number"
        ) from None
    return min(timeout_ms, caller.timeout_ms) / 1000


def _read_request_head(view, path, headers):
    caller_name, caller = _find_caller(view, headers)
    search_name = path.removeprefix(PREFIX)
    search = view.document.searches.get(search_name)
    if search is None or not path.startswith(PREFIX):
        raise RequestError(ErrorKind.UNKNOWN_SEARCH, f"there is no search at {path}")
    if search_name not in caller.searches:
        raise RequestError(
            ErrorKind.CALLER_FORBIDDEN,
            f"caller {caller_name} is not allowed to use the search {search_name}",
        )
    timeout_s = _read_timeout_s(headers, caller)
    return _RequestHead(caller_name, caller, search_name, search, timeout_s)


def _parse_body(data, search):
    try:
        body = _BODY_DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise RequestError(ErrorKind.MALFORMED_REQUEST, f"body: {exc}") from exc
    parsed = parse_uuid7(body.request_id)
    if parsed is None:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST, "body: request_id is not a UUIDv7"
        )
    if search.routing is Routing.KEYED and body.routing_key is None:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST, "body: a keyed search needs a routing_key"
        )
    return msgspec.structs.replace(body, request_id=parsed.text)


def _create_request(head, body, deadline):
    minimum = head.caller.minimum_coverage
    if minimum is None:
        minimum = head.search.minimum_coverage
    return SearchRequest(
        search=head.search_name,
        request_id=body.request_id,
        caller=head.caller_name,
        query=bytes(body.query),
        routing_key=body.routing_key,
        deadline=deadline,
        minimum_coverage=minimum,
    )


def _compute_digest(request):
    text = msgspec.json.encode((request.search, request.routing_key))
    return hashlib.sha256(text + request.query).digest()


def _describe_coverage(result):
    coverage = result.coverage
    return f"{coverage.answered} of {coverage.total} shards answered"


class Api:
    """Serve callers as an ASGI application."""

    def __init__(self, session, admission, searches, claims, metrics, reports):
        self._session = session
        self._admission = admission
        self._searches = searches
        self._claims = claims
        self._metrics = metrics
        self._reports = reports
        self.running = 0
        # True once a stopping entry has waited ``balancer_lag_s``; new requests are
        # then refused.
        self.refusing = False

    async def __call__(self, scope, receive, send):
        match scope["type"]:
            case "lifespan":
                await run_lifespan(receive, send)
            case "http":
                await self._serve(scope, receive, send)

    async def _serve(self, scope, receive, send):
        self.running += 1
        try:
            answer = await self._answer(scope, receive)
            # Makes callers open their next connection to another entry.
            headers = (JSON, CLOSE) if self._session.is_retiring() else (JSON,)
            await send_response(send, answer.status, answer.body, headers)
        finally:
            self.running -= 1

    async def _answer(self, scope, receive):
        started = trio.current_time()
        view = self._session.view
        request_id = head = None
        try:
            if scope["method"] != "POST":
                raise RequestError(ErrorKind.UNKNOWN_SEARCH, "use POST for a search")
            head = _read_request_head(view, scope["path"], dict(scope["headers"]))
            data = await read_body(receive, view.document.limits.max_body_bytes)
            body = _parse_body(data, head.search)
            request_id = body.request_id
            request = _create_request(head, body, started + head.timeout_s)
            answer = await self._run(view, head, request)
            self._count(view, head, answer, started)
            return answer
        except RequestError as exc:
            self._count_error(view, head, exc, started)
            log_event(
                Event.REQUEST_FAILED, request_id=request_id, outcome=exc.kind.value
            )
            return create_error_answer(request_id, exc)
        except Exception as exc:
            log_failure(exc)
            failure = RequestError(ErrorKind.INTERNAL_ERROR, "internal error")
            return create_error_answer(request_id, failure)

    async def _run(self, view, head, request):
        try:
            error = self._find_refusal(request)
            if error is not None:
                raise error
            return await self._run_admitted(view, head, request)
        except RequestError as exc:
            if head.search.idempotent or exc.kind not in _RECORDED_REFUSAL_KINDS:
                raise
            # The refusal of a non-idempotent request is recorded before it is
            # returned, because the same request may be running elsewhere.
            return await self._claims.refuse(request, _compute_digest(request), exc)

    async def _run_admitted(self, view, head, request):
        now = trio.current_time()
        ticket = self._admission.admit(
            request.search,
            head.caller.priority,
            request.deadline - now,
            view.document.limits.max_running,
            now,
        )
        if isinstance(ticket, Refusal):
            raise RequestError(
                ErrorKind.OVERLOADED, f"the entry is overloaded: {ticket.value}"
            )
        complete = overloaded = False
        try:
            if head.search.idempotent:
                answer = await self._run_search(view, request)
            else:
                digest = _compute_digest(request)
                answer = await self._claims.run(view, request, digest)
            complete, overloaded = answer.complete, answer.overloaded
            return answer
        finally:
            now = trio.current_time()
            self._admission.finish(ticket, complete, now, overloaded)

    async def _run_search(self, view, request):
        started = trio.current_time()
        result = await self._searches.run(view, request)
        elapsed_ms = 1000 * (trio.current_time() - started)
        self._reports.store_explanation(view, request, result, elapsed_ms)
        if isinstance(result.outcome, ErrorKind):
            error = RequestError(result.outcome, _describe_coverage(result))
            return create_error_answer(request.request_id, error, result)
        return create_answer(request.request_id, view, result)

    def _find_refusal(self, request):
        if not request.deadline > trio.current_time():
            return RequestError(
                ErrorKind.DEADLINE_PASSED,
                "the deadline passed before the request arrived",
            )
        if (
            self.refusing
            or self._session.seconds_since_domain_out() > DOMAIN_OUT_GRACE_S
        ):
            return RequestError(
                ErrorKind.ENTRY_STOPPING, "the entry is going out of service"
            )
        if self._session.is_fenced():
            return RequestError(
                ErrorKind.ENTRY_FENCED, "the entry cannot confirm its configuration"
            )
        return None

    def _count(self, view, head, answer, started):
        complete = answer.status == 200 and answer.complete
        self._record(view, head, str(answer.status), complete, started)

    def _count_error(self, view, head, exc, started):
        if head is not None:
            self._record(view, head, exc.kind.value, False, started)

    def _record(self, view, head, outcome, complete, started):
        elapsed_ms = 1000 * (trio.current_time() - started)
        names = {"search": head.search_name, "caller": head.caller_name}
        self._metrics.requests.add(1, {**names, "outcome": outcome})
        self._metrics.request_ms.record(elapsed_ms, names)
        self._reports.count(view, **names, total_ms=elapsed_ms, complete=complete)
