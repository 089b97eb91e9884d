"""Serve the HTTP protocol of one emulated server on its own port."""

import functools

import h11
import msgspec
import trio

from wisteriaworks import backend_protocol as protocol
from wisteriaworks.emulated_server import Refusal
from wisteriaworks.emulator_http import HttpConnection, make_reply
from wisteriaworks.rpc import split_address

_REFUSAL_HTTP_STATUSES = {Refusal.SNAPSHOT_GONE: 409, Refusal.UNKNOWN_SHARD: 404}
HTTP_REFUSED = 503
HTTP_EXPIRED = 504
HTTP_CANCELLED = 499
_DECODE_SUBQUERY = msgspec.json.Decoder(protocol.SubqueryBody).decode
_DECODE_CANCEL = msgspec.json.Decoder(protocol.CancelBody).decode


class EmulatedServerListener:
    """Accept the connections of one emulated server and answer its requests."""

    def __init__(self, model, address):
        self.model = model
        self.address = address
        self.answering = True
        self._connections = {}
        self._scopes = {}
        self._alive = True
        self._listen_scope = trio.CancelScope()
        self._restarted = trio.Event()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Listen while the server is alive, until cancelled."""
        started = task_status.started
        while True:
            with self._listen_scope:
                await self._listen(started)
            started = _do_nothing
            await self._restarted.wait()

    def kill(self):
        """Close the port and all connections at once."""
        self._alive = False
        self._restarted = trio.Event()
        self._listen_scope.cancel()

    def restart(self):
        """Start listening again as a new, cold incarnation."""
        self.model.restart()
        for scope in self._connections.values():
            scope.cancel()
        if not self._alive:
            self._alive = True
            self._listen_scope = trio.CancelScope()
            self._restarted.set()

    def collapse(self):
        """Abort all running work and refuse new work until the collapse ends."""
        self.model.collapse(trio.current_time())
        self._abort_earlier_jobs()

    def drop(self):
        """Close the connections that have a request in progress."""
        for conn, scope in self._connections.items():
            if conn.busy:
                scope.cancel()

    def silence_connections(self):
        """Stop answering on the connections that are open now."""
        for conn in self._connections:
            conn.silent = True

    async def _listen(self, started):
        host, port = split_address(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
        port = listeners[0].socket.getsockname()[1]
        self.address = f"{host}:{port}"
        async with trio.open_nursery() as nursery:
            started()
            await trio.serve_listeners(self._accept, listeners, handler_nursery=nursery)

    async def _accept(self, stream):
        self.model.count("opened")
        conn = HttpConnection(stream)
        if len(self._connections) >= self.model.profile.connections:
            await trio.aclose_forcefully(stream)
            return
        with trio.CancelScope() as scope:
            self._connections[conn] = scope
            try:
                await trio.sleep(self.model.profile.open_ms / 1000.0)
                await conn.serve(functools.partial(self._handle, conn))
            except (OSError, trio.BrokenResourceError, h11.ProtocolError):
                pass
            finally:
                del self._connections[conn]
                await trio.aclose_forcefully(stream)

    async def _handle(self, conn, req):
        # A restart loses the requests that were read but not yet handled.
        if self._connections[conn].cancel_called:
            return None
        if conn.silent or not self.answering:
            await conn.read_until_closed()
            return None
        match req.method, req.target:
            case b"POST", protocol.SUBQUERY_TARGET:
                return await self._run_subquery(conn, _DECODE_SUBQUERY(req.body))
            case b"POST", protocol.CANCEL_TARGET:
                return self._cancel_subquery(_DECODE_CANCEL(req.body).request)
            case b"GET", protocol.STATUS_TARGET:
                return make_reply(200, self.model.status())
        return make_reply(404, protocol.RefusalBody("unknown_target"))

    async def _run_subquery(self, conn, body):
        now = trio.current_time()
        previous = self.model.incarnation
        admission = self.model.admit(body, now)
        if self.model.incarnation != previous:
            self._abort_earlier_jobs()
        if isinstance(admission, Refusal):
            return self._make_refusal(admission)
        return await self._wait_for_job(conn, admission, now + body.timeout_ms / 1000.0)

    async def _wait_for_job(self, conn, job, expires_at):
        scope = self._scopes[job] = trio.CancelScope(deadline=expires_at)
        self._set_deadline(job)
        closed = False
        try:
            with scope:
                await conn.read_until_closed()
                closed = True
        finally:
            outcome = self._finish_job(job, closed, expires_at)
        if closed or job.incarnation != self.model.incarnation:
            return None
        return self._make_answer(job, outcome)

    def _set_deadline(self, job):
        if job.started_at is None:
            return
        scope = self._scopes[job]
        scope.deadline = min(scope.deadline, job.started_at + job.service_s)

    def _finish_job(self, job, closed, expires_at):
        del self._scopes[job]
        now = trio.current_time()
        ends_at = None if job.started_at is None else job.started_at + job.service_s
        if not closed and ends_at is not None and ends_at <= now:
            outcome = "run"
        elif not closed and now >= expires_at:
            outcome = "expired"
        else:
            outcome = "cancelled"
        next_job = self.model.finish(job, now, outcome)
        if next_job is not None:
            self._set_deadline(next_job)
        return outcome

    def _make_answer(self, job, outcome):
        incarnation = self.model.incarnation
        if job.body.snapshot not in self.model.snapshots:
            return self._make_refusal(Refusal.SNAPSHOT_GONE)
        if outcome == "run":
            answer = protocol.AnswerBody(
                msgspec.Raw(self.model.results(job)),
                job.body.shard,
                job.body.snapshot,
                incarnation,
            )
            return make_reply(200, answer)
        status = HTTP_EXPIRED if outcome == "expired" else HTTP_CANCELLED
        return make_reply(status, protocol.RefusalBody(outcome, incarnation))

    def _make_refusal(self, refusal):
        status = _REFUSAL_HTTP_STATUSES.get(refusal, HTTP_REFUSED)
        body = protocol.RefusalBody(refusal.value, self.model.incarnation)
        return make_reply(status, body)

    def _cancel_subquery(self, request):
        jobs = [job for job in self._scopes if job.body.request == request]
        for job in jobs:
            self._scopes[job].cancel()
        return make_reply(200, {"cancelled": len(jobs)})

    def _abort_earlier_jobs(self):
        """Abort the jobs of earlier incarnations, which may have run partially."""
        for job, scope in self._scopes.items():
            if job.incarnation != self.model.incarnation:
                scope.cancel()


def _do_nothing():
    pass
