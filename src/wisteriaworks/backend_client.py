"""Client for the HTTP protocol of backend servers; all requests go through it."""

import contextlib
import math
from dataclasses import dataclass
from enum import Enum

import h11
import httpcore
import msgspec
import trio

from wisteriaworks import backend_protocol as protocol
from wisteriaworks.generated.subqueries import SubqueryOutcome
from wisteriaworks.http_status import MalformedStatusError, is_final_status
from wisteriaworks.rpc import split_address

READ_BYTES = 65536
# To cancel a request, the client ends its side of the stream and waits this long for
# the server to close its side. Until the server does, the work may still occupy a
# slot.
CANCEL_CLOSE_TIMEOUT_S = 0.05
HTTP_OK = 200
_REFUSALS = {
    (409, "snapshot_gone"): SubqueryOutcome.SNAPSHOT_GONE,
    (503, "shedding"): SubqueryOutcome.SHED,
    (503, "draining"): SubqueryOutcome.DRAINING,
    (503, "cold"): SubqueryOutcome.COLD,
}
NOT_RUN_REFUSALS = frozenset(
    {SubqueryOutcome.SHED, SubqueryOutcome.DRAINING, SubqueryOutcome.COLD}
)
_ENCODER = msgspec.json.Encoder()
_DECODE_ANSWER = msgspec.json.Decoder(protocol.AnswerBody).decode
_DECODE_REFUSAL = msgspec.json.Decoder(protocol.RefusalBody).decode
_DECODE_STATUS = msgspec.json.Decoder(protocol.StatusBody).decode
_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
    h11.ProtocolError,
    MalformedStatusError,
    msgspec.MsgspecError,
    OSError,
)


class SendRefusedError(Exception):
    """Raised when the last check before a send forbids it."""

    def __init__(self, outcome):
        super().__init__(outcome.value)
        self.outcome = outcome


class ExchangeEnd(Enum):
    """Describe how far one exchange with a server got.

    This value stays in the process; replies carry the ``outcome`` of the
    ExchangeResult.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Represent the result of one sub-query on one connection.

    ``may_have_run`` is false only when no byte was sent, or when a refusal proves that
    the sub-query did not run.
    """

    end: ExchangeEnd
    outcome: SubqueryOutcome
    may_have_run: bool
    snapshot: int = 0
    incarnation: str = ""
    results: bytes = b""
    detail: str = ""


class BackendStream(httpcore.AsyncNetworkStream):
    """Wrap the stream of one connection and record when bytes are sent and received.

    Writes are buffered until the next read, so that the head and the body of a
    request are sent in one segment, immediately after the last check.
    """

    def __init__(self, stream):
        self._stream = stream
        self._pending = []
        self.before_send = None
        self.on_bytes = None
        # True once a byte of the current request may have been sent.
        self.sent = False
        self.unanswered = False
        self.last_received_at = -math.inf
        self._closed = False

    async def read(self, max_bytes, timeout=None):
        """Send the buffered bytes, then return received bytes."""
        if self._pending:
            await self._flush()
        try:
            data = await self._stream.receive_some(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.ReadError(str(exc)) from exc
        self.last_received_at = trio.current_time()
        if self.on_bytes is not None:
            self.on_bytes()
        return data

    async def write(self, buffer, timeout=None):
        """Buffer bytes until the next read."""
        self._pending.append(buffer)

    async def aclose(self):
        """Close the stream, after cancelling unanswered work at the server."""
        if self._closed:
            return
        self._closed = True
        if self.unanswered:
            with trio.move_on_after(CANCEL_CLOSE_TIMEOUT_S, shield=True):
                await self._cancel_at_server()
        await trio.aclose_forcefully(self._stream)

    async def abort(self):
        """Close the stream immediately, even while another task reads from it."""
        self._closed = True
        await trio.aclose_forcefully(self._stream)

    def get_extra_info(self, info):
        """Return the information about the socket that httpcore requests."""
        if info == "is_readable":
            return self._stream.socket.is_readable()
        return None

    async def _flush(self):
        data = b"".join(self._pending)
        self._pending.clear()
        if self.before_send is not None:
            self.before_send()
        self.sent = self.unanswered = True
        # A server may refuse and close before it has read the entire request; its
        # reply can still be read.
        with contextlib.suppress(trio.BrokenResourceError):
            await self._stream.send_all(data)

    async def _cancel_at_server(self):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                pass


class BackendConnection:
    """Exchange one request at a time with one server."""

    def __init__(self, address, stream):
        host, port = split_address(address)
        host = host.encode()
        self._origin = httpcore.Origin(b"http", host, port)
        self._host = (b"Host", b"%s:%d" % (host, port))
        self._urls = {
            target: httpcore.URL(scheme=b"http", host=host, port=port, target=target)
            for target in (protocol.SUBQUERY_TARGET, protocol.STATUS_TARGET)
        }
        self._stream = BackendStream(stream)
        self._http = httpcore.AsyncHTTP11Connection(self._origin, self._stream)
        self.opened_at = self.idle_since = self.last_used_at = trio.current_time()
        self.requests = 0
        # True from an acquire() for a non-idempotent request until the next acquire().
        # A protected connection does not become suspect, so no probe aborts the
        # request.
        self.protected = False

    @property
    def last_received_at(self):
        """Return the time of the last received byte in seconds; -inf if none."""
        return self._stream.last_received_at

    @property
    def is_idle(self):
        """Return whether no exchange is in progress and the connection is open."""
        return self.requests == 0 or self._http.is_idle()

    @property
    def is_usable(self):
        """Return whether the connection is idle and not closed by the server."""
        return self.is_idle and not self._stream.get_extra_info("is_readable")

    async def run_subquery(self, body, before_send, on_bytes=None):
        """Return the ExchangeResult of one sub-query.

        ``before_send()`` runs immediately before the first byte is sent and may raise
        SendRefusedError; ``on_bytes()`` runs whenever bytes arrive. Cancelling
        closes the connection.
        """
        self._stream.before_send, self._stream.on_bytes = before_send, on_bytes
        try:
            status, data = await self._exchange(
                b"POST", protocol.SUBQUERY_TARGET, _ENCODER.encode(body)
            )
            return _read_result(status, data, body)
        except SendRefusedError as exc:
            return ExchangeResult(ExchangeEnd.NOT_SENT, exc.outcome, may_have_run=False)
        except _ERRORS as exc:
            end = ExchangeEnd.BROKEN if self._stream.sent else ExchangeEnd.NOT_SENT
            failed = SubqueryOutcome.FAILED
            return ExchangeResult(end, failed, self._stream.sent, detail=repr(exc))
        finally:
            self._stream.before_send = self._stream.on_bytes = None

    async def read_status(self):
        """Return the server's StatusBody, or None if it could not be read."""
        try:
            status, data = await self._exchange(b"GET", protocol.STATUS_TARGET, b"")
            return _DECODE_STATUS(data) if status == HTTP_OK else None
        except _ERRORS:
            return None

    @property
    def has_sent(self):
        """Return whether a byte of the current request may have been sent."""
        return self._stream.sent

    async def aclose(self):
        """Close the connection, which cancels its request at the server."""
        await self._http.aclose()

    async def abort(self):
        """Close the connection immediately, even while another task uses it."""
        await self._stream.abort()

    async def _exchange(self, method, target, content):
        self.requests += 1
        self.last_used_at = trio.current_time()
        self._stream.sent = False
        res = await self._http.handle_async_request(
            self._make_request(method, target, content)
        )
        is_final_status(res.status)
        data = await res.aread()
        self._stream.unanswered = False
        await res.aclose()
        self.idle_since = trio.current_time()
        return res.status, data

    def _make_request(self, method, target, content):
        headers = [self._host]
        if content:
            headers.append((b"Content-Length", b"%d" % len(content)))
        url = self._urls[target]
        return httpcore.Request(method, url, headers=headers, content=content)


async def open_connection(address):
    """Return a new connection. Raises OSError."""
    host, port = split_address(address)
    return BackendConnection(address, await trio.open_tcp_stream(host, port))


def _read_result(status, data, body):
    if status == HTTP_OK:
        answer = _DECODE_ANSWER(data)
        if answer.shard != body.shard:
            return _make_failure(f"the answer is for the wrong shard {answer.shard}")
        return ExchangeResult(
            ExchangeEnd.ANSWERED,
            SubqueryOutcome.ANSWERED,
            may_have_run=True,
            snapshot=answer.snapshot,
            incarnation=answer.incarnation,
            results=bytes(answer.results),
        )
    refusal = _DECODE_REFUSAL(data)
    outcome = _REFUSALS.get((status, refusal.reason), SubqueryOutcome.FAILED)
    return ExchangeResult(
        ExchangeEnd.REFUSED,
        outcome,
        may_have_run=outcome not in NOT_RUN_REFUSALS,
        incarnation=refusal.incarnation,
        detail=f"{status} {refusal.reason}",
    )


def _make_failure(detail):
    return ExchangeResult(
        ExchangeEnd.REFUSED, SubqueryOutcome.FAILED, may_have_run=True, detail=detail
    )
