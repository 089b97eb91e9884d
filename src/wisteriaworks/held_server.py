"""Queue and send the sub-queries of one held server."""

import collections
import functools

import msgspec
import trio

from wisteriaworks import backend_protocol as protocol
from wisteriaworks.backend_client import ExchangeEnd, SendRefusedError
from wisteriaworks.connection_pool import ConnectFailedError, ConnectionPool
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.messages import ServerReport
from wisteriaworks.generated.subqueries import SubqueryOutcome
from wisteriaworks.ramp import Ramp
from wisteriaworks.server_status import ServerStatus

QUEUE_PER_SLOT = 16
# An idempotent request that receives no byte for this multiple of the normal latency
# is aborted and counts as unanswered in the connection pool. The factor tolerates
# stragglers that take 20 times the normal service time.
PROGRESS_TIMEOUT_FACTOR = 40.0
MIN_PROGRESS_TIMEOUT_S = 0.3
MAX_PROGRESS_TIMEOUT_S = 2.0
STATUS_INTERVAL_S = 1.0
STATUS_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
_RAMP_RESET_OUTCOMES = frozenset({SubqueryOutcome.SHED, SubqueryOutcome.COLD})


class HeldServer:
    """Send sub-queries to one server under one epoch.

    ``find_holder_refusal()`` returns the outcome for which the holder forbids sending
    to the server now, or None.
    """

    def __init__(self, server, epoch, find_holder_refusal, rng):
        self.server = server
        self.epoch = epoch
        self.status = ServerStatus()
        self.ramp = Ramp(server.slots)
        self.outstanding = 0
        self.accepting = True
        self.finished = trio.Event()
        self._find_holder_refusal = find_holder_refusal
        self._queue = collections.deque()
        self._idle_workers = trio.lowlevel.ParkingLot()
        self._pool = ConnectionPool(
            server.address,
            server.connections,
            self.ramp,
            rng,
            functools.partial(self._reset_ramp, "connections closed"),
        )
        self._rng = rng
        self._scope = trio.CancelScope()
        self._backoff_s = 0.0
        self._down_until = -1.0
        self._last_report = None

    @property
    def load(self):
        """Return the number of sub-queries outstanding and queued."""
        return self.outstanding + len(self._queue)

    def submit(self, work):
        """Queue an attempt, or refuse it immediately."""
        now = trio.current_time()
        refusal = self._find_refusal(work, now) or self._find_overload_refusal(
            work, now
        )
        if refusal is None and not work.item.may_queue:
            refusal = self._find_busy_refusal()
        if refusal is not None:
            work.reply(refusal, sent=False, load=self.load)
            return
        self._queue.append(work)
        self._idle_workers.unpark()

    def refuse_queued(self, outcome):
        """Answer all queued work with an outcome."""
        while self._queue:
            self._queue.popleft().reply(outcome, sent=False)

    def refuse_queued_if_forbidden(self):
        """Refuse all queued work if nothing may be sent now."""
        refusal = self._find_send_refusal(trio.current_time())
        if refusal is not None:
            self.refuse_queued(refusal)

    def drop_answered(self):
        """Remove answered work from the queue."""
        if any(work.answered for work in self._queue):
            self._queue = collections.deque(w for w in self._queue if not w.answered)

    async def run(self, predecessors=()):
        """Run the workers, the connections and the status polls until closed.

        The workers start after the ``predecessors``, earlier HeldServers of the same
        server, have finished, so that old and new work never run at the server
        together.
        """
        for held in predecessors:
            await held.finished.wait()
        log_event(Event.SERVER_HELD, server=self.server.name, epoch=self.epoch)
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pool.run)
                    nursery.start_soon(self._poll_status)
                    for _ in range(self.server.slots):
                        nursery.start_soon(self._run_worker)
        finally:
            self.refuse_queued(SubqueryOutcome.NOT_HOLDER)
            self.finished.set()
            log_event(Event.SERVER_RELEASED, server=self.server.name, epoch=self.epoch)

    async def close(self, timeout_s):
        """Finish accepted work within ``timeout_s``, then close the connections."""
        self.accepting = False
        with trio.move_on_after(timeout_s):
            while self.load:
                await trio.sleep(0.005)
        self._scope.cancel()
        await self.finished.wait()

    def collect_report(self, full):
        """Return the ServerReport if it changed or ``full`` is set, else None."""
        report = ServerReport(
            server=self.server.name,
            epoch=self.epoch,
            incarnation=self.status.incarnation,
            state=self.status.describe(self.ramp.is_warm),
            snapshots=self.status.snapshots,
        )
        if report == self._last_report and not full:
            return None
        self._last_report = report
        return report

    def _find_refusal(self, work, now):
        if not self.accepting:
            return SubqueryOutcome.NOT_HOLDER
        return self._find_send_refusal(now) or self._find_deadline_refusal(work, now)

    def _find_send_refusal(self, now):
        refusal = self._find_holder_refusal()
        if refusal is not None:
            return refusal
        if self.status.is_draining:
            return SubqueryOutcome.DRAINING
        if now < self._down_until:
            return SubqueryOutcome.FAILED
        return None

    def _find_deadline_refusal(self, work, now):
        remaining_s = work.deadline - now
        if remaining_s <= self.ramp.baseline_s:
            return SubqueryOutcome.TIMED_OUT
        return None

    def _find_overload_refusal(self, work, now):
        if len(self._queue) >= QUEUE_PER_SLOT * self.server.slots:
            return SubqueryOutcome.QUEUE_FULL
        rounds = self.load // self.ramp.limit + 1
        if rounds * self.ramp.baseline_s > work.deadline - now:
            return SubqueryOutcome.QUEUE_FULL
        return None

    def _find_busy_refusal(self):
        is_free = self.load < self.ramp.limit
        return None if is_free else SubqueryOutcome.BUSY

    async def _run_worker(self):
        while True:
            work, permit = self._pop_work()
            if work is None:
                await self._idle_workers.park()
                continue
            self.outstanding += 1
            try:
                await self._run_work(work, permit)
            except trio.Cancelled:
                work.reply(
                    SubqueryOutcome.FAILED,
                    work.sent,
                    detail="server released before it answered",
                )
                raise
            finally:
                self.outstanding -= 1
                self._idle_workers.unpark_all()

    def _pop_work(self):
        now = trio.current_time()
        while self._queue:
            work = self._queue[0]
            refusal = None if work.answered else self._find_queued_refusal(work, now)
            if work.answered or refusal is not None:
                self._queue.popleft()
                # reply() does nothing if the work was already answered.
                work.reply(refusal, sent=False, load=self.load)
                continue
            permit = self.ramp.acquire_permit(self.outstanding)
            if permit is not None:
                self._queue.popleft()
            return (work if permit else None), permit
        return None, None

    def _find_queued_refusal(self, work, now):
        return self._find_send_refusal(now) or self._find_deadline_refusal(work, now)

    async def _run_work(self, work, permit):
        with trio.CancelScope(deadline=work.deadline) as work.scope:
            try:
                work.conn = await self._pool.acquire(fresh=not work.batch.idempotent)
            except ConnectFailedError as exc:
                self._handle_unreachable(work, exc)
                return
            if not self.ramp.is_current(permit):
                await self._requeue(work)
                return
            await self._exchange(work, permit)
        if not work.answered:
            self._handle_timeout(work)

    def _handle_timeout(self, work):
        if trio.current_time() >= work.deadline:
            work.reply(SubqueryOutcome.TIMED_OUT, work.sent, load=self.load)
            return
        self._reset_ramp("no progress")
        work.reply(SubqueryOutcome.FAILED, work.sent, detail="no progress")

    async def _requeue(self, work):
        conn, work.conn = work.conn, None
        self._queue.appendleft(work)
        await self._pool.release(conn)

    async def _exchange(self, work, permit):
        work.started_at = trio.current_time()
        conn, result = work.conn, None
        progress_timeout_s = self._progress_timeout_s()
        work.extend_progress_deadline(progress_timeout_s)
        try:
            result = await conn.run_subquery(
                self._make_body(work),
                functools.partial(self._check_send, work, permit),
                functools.partial(work.extend_progress_deadline, progress_timeout_s),
            )
        finally:
            self._record_silence(work, conn, result, progress_timeout_s)
            await self._pool.release(conn)
        self._handle_result(work, permit, result)

    def _make_body(self, work):
        batch, item = work.batch, work.item
        remaining_s = work.deadline - work.started_at
        return protocol.SubqueryBody(
            query=msgspec.Raw(batch.query),
            shard=item.shard,
            snapshot=batch.snapshot,
            timeout_ms=round(remaining_s * 1000.0, 3),
            request=f"{batch.request_id}/{batch.batch_id}/{item.attempt}",
        )

    def _check_send(self, work, permit):
        refusal = self._find_send_refusal(trio.current_time())
        if refusal is None and not self.ramp.is_current(permit):
            refusal = SubqueryOutcome.SHED
        if work.answered:
            # The attempt was answered as not sent after the worker popped it. Its
            # cancellation is delivered only at the next checkpoint, after the send.
            refusal = SubqueryOutcome.FAILED
        if refusal is not None:
            raise SendRefusedError(refusal)
        assert self.outstanding <= self.ramp.limit <= self.server.slots
        assert not self.status.is_draining

    def _progress_timeout_s(self):
        scaled_s = (
            PROGRESS_TIMEOUT_FACTOR * self.ramp.baseline_s or MAX_PROGRESS_TIMEOUT_S
        )
        return min(max(scaled_s, MIN_PROGRESS_TIMEOUT_S), MAX_PROGRESS_TIMEOUT_S)

    def _record_silence(self, work, conn, result, progress_timeout_s):
        # A broken connection yields a result and does not count as silent.
        if result is None and conn.has_sent and conn.last_received_at < work.started_at:
            self._pool.record_unanswered(work.started_at, progress_timeout_s)

    def _handle_result(self, work, permit, result):
        self._handle_restart(self.status.update_incarnation(result.incarnation))
        latency_s = trio.current_time() - work.started_at
        match result.end:
            case ExchangeEnd.ANSWERED:
                self._handle_reachable()
                if self.ramp.record_success(permit, latency_s):
                    self._log_reset("latency")
            case ExchangeEnd.BROKEN:
                self._reset_ramp("connection broken")
            case ExchangeEnd.REFUSED:
                self._handle_refusal(result)
        work.reply(
            result.outcome,
            result.may_have_run,
            snapshot=result.snapshot,
            # The worker still counts this attempt as outstanding.
            load=self.load - 1,
            service_ms=latency_s * 1000.0,
            results=result.results,
            detail=result.detail,
        )

    def _handle_refusal(self, result):
        if result.outcome in _RAMP_RESET_OUTCOMES:
            self._reset_ramp(result.detail)
        elif result.outcome is SubqueryOutcome.DRAINING:
            self.status.record_drain_refusal(result.incarnation)
            self._log_state()

    def _handle_restart(self, restarted):
        if restarted:
            self._reset_ramp("new incarnation")
            self._log_state()

    def _handle_status(self, body):
        was_draining = self.status.is_draining
        self._handle_reachable()
        self._handle_restart(self.status.update_from_status(body))
        if self.status.is_draining != was_draining:
            self._log_state()
            self.refuse_queued_if_forbidden()

    def _handle_unreachable(self, work, exc):
        doubled_s = max(2.0 * self._backoff_s, MIN_BACKOFF_S)
        self._backoff_s = min(doubled_s, MAX_BACKOFF_S)
        self._down_until = trio.current_time() + self._backoff_s
        # This reason also covers a connect that timed out.
        self._reset_ramp("connection refused")
        if not self.status.is_down:
            self.status.is_down = True
            self._log_state()
        work.reply(SubqueryOutcome.FAILED, sent=False, detail=str(exc))

    def _handle_reachable(self):
        self._backoff_s = 0.0
        self._down_until = -1.0
        self.status.is_down = False

    def _reset_ramp(self, reason):
        self.ramp.reset()
        self._log_reset(reason)

    def _log_reset(self, reason):
        log_event(Event.SERVER_RAMP_RESET, server=self.server.name, reason=reason)

    def _log_state(self):
        state = self.status.describe(self.ramp.is_warm).value
        log_event(Event.SERVER_STATE_CHANGED, server=self.server.name, state=state)

    async def _poll_status(self):
        while True:
            if self._find_holder_refusal() is not SubqueryOutcome.FENCED:
                await self._poll_once()
            await trio.sleep(STATUS_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    async def _poll_once(self):
        started_at, conn, body = trio.current_time(), None, None
        with trio.move_on_after(STATUS_TIMEOUT_S) as scope:
            try:
                conn = await self._pool.acquire()
                body = await conn.read_status()
            except ConnectFailedError:
                return
        if body is not None:
            self._handle_status(body)
        elif conn is not None and scope.cancelled_caught:
            self._pool.record_unanswered(started_at, STATUS_TIMEOUT_S)
        if conn is not None:
            await self._pool.release(conn)
