"""Send sub-queries to the shards of one snapshot and collect the replies."""

import functools
import itertools
import math
from collections import defaultdict
from dataclasses import dataclass

import msgspec
import trio

from wisteriaworks.attempts import (
    Action,
    Attempt,
    AttemptKind,
    AttemptOutcome,
    AttemptRecord,
    BatchCall,
    ShardProgress,
    make_record,
    read_outcome,
)
from wisteriaworks.catalog import SnapshotPlan
from wisteriaworks.errors import RpcError
from wisteriaworks.feedback import report_attempt, report_load
from wisteriaworks.generated.document import Limits
from wisteriaworks.generated.subqueries import SubqueryBatch, SubqueryItem
from wisteriaworks.hedging import PlannedAttempt, RepeatPolicy, Timers
from wisteriaworks.merge import ShardReply, decode_hits

# Time reserved for one hop between entries: the holder must stop before the
# sender.
HOP_ALLOWANCE_S = 0.002
# Share of the p95 after which late shards that got no hedge, for lack of a token or
# because too many shards are late, are checked again.
HEDGE_RECHECK_SHARE = 0.5
NO_REPLICA = "no_replica"


@dataclass(frozen=True, slots=True)
class FanOutTask:
    """Describe one run of a query on one snapshot."""

    request_id: str
    query: bytes
    config_version: int
    limits: Limits
    plan: SnapshotPlan
    # Deadline for collecting replies.
    ends_at: float
    # 0 for the first run of the query, 1 after a restart.
    run_number: int


@dataclass(frozen=True, slots=True)
class FanOutResult:
    """Represent the replies and attempts of one run of a query."""

    task: FanOutTask
    replies: list[ShardReply]
    reasons: dict[tuple[str, str], str]
    records: tuple[AttemptRecord, ...]
    # The restart to run next if a server no longer has the snapshot, or None.
    next_task: FanOutTask | None


class FanOut:
    """Run a query once on one snapshot.

    ``plan_restart()`` is called when a server no longer has the snapshot. It
    returns the FanOutTask of a restart, or None if no restart is possible.
    """

    def __init__(self, task, peers, shared, batch_ids, plan_restart):
        self._task = task
        self._peers = peers
        self._shared = shared
        self._batch_ids = batch_ids
        self._plan_restart = plan_restart
        self._numbers = itertools.count(1)
        self._shards = [ShardProgress(shard) for shard in task.plan.shards]
        self._pending = len(self._shards)
        self._policy = RepeatPolicy(shared, self._pending)
        self._outbox = []
        self._attempts = []
        self._timers = Timers()
        self._wake = trio.Event()
        # Time at which the main task wakes up by itself; -inf while it runs.
        self._wake_at = -math.inf
        self._next_task = None
        self._closed = False

    async def run(self):
        """Return a FanOutResult at ``ends_at`` or earlier."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._send_primaries()
            await self._wait_for_replies()
            self._close()
            nursery.cancel_scope.cancel()
        replies = [p.reply for p in self._shards if p.reply is not None]
        reasons = {
            (p.plan.index, p.plan.shard): p.reason
            for p in self._shards
            if p.reply is None
        }
        # Attempts and shards refer to each other, so the replies would be kept until
        # the garbage collector runs.
        for progress in self._shards:
            progress.reply = None
        return FanOutResult(
            task=self._task,
            replies=replies,
            reasons=reasons,
            records=tuple(
                make_record(self._task.run_number, a) for a in self._attempts
            ),
            next_task=self._next_task,
        )

    async def _wait_for_replies(self):
        ends_at = self._task.ends_at
        while self._pending and self._next_task is None:
            self._wake_at = min(ends_at, self._timers.next_due())
            with trio.move_on_at(self._wake_at):
                await self._wake.wait()
            self._wake_at = -math.inf
            now = trio.current_time()
            if now >= ends_at:
                return
            self._wake = trio.Event()
            self._timers.run_due(now)

    def _close(self):
        """Stop accepting replies, and record the attempts still in flight."""
        self._closed = True
        now = trio.current_time()
        outcome = AttemptOutcome.TIMED_OUT
        if self._next_task is not None:
            outcome = AttemptOutcome.CANCELLED
        # Attempts that were planned but not sent have no record.
        self._outbox.clear()
        for progress in self._shards:
            for attempt in tuple(progress.in_flight):
                self._finish(attempt, outcome, now)

    # Sending

    def _send_primaries(self):
        now = trio.current_time()
        # Deriving the catalog may have taken the rest of the time.
        if not self._has_time(now):
            return
        by_index = defaultdict(list)
        for progress in self._shards:
            replica = self._shared.router.pick(progress.plan.replicas, (), now)
            if replica is None:
                self._give_up(progress, NO_REPLICA)
                continue
            self._outbox.append(PlannedAttempt(AttemptKind.PRIMARY, progress, replica))
            by_index[progress.plan.index].append(progress)
        self._deposit_tokens(len(self._outbox))
        self._send_outbox(now)
        for index, shards in by_index.items():
            self._schedule_hedges(index, shards, now)

    def _deposit_tokens(self, primaries):
        # A restart repeats sub-queries whose tokens were added in the first run.
        if self._task.run_number == 0:
            limits = self._task.limits
            self._shared.hedge_budget.deposit(primaries, limits.hedge_ratio)
            self._shared.retry_budget.deposit(primaries, limits.retry_ratio)

    def _send_outbox(self, now):
        """Send the attempts in the outbox as one batch per holder."""
        if not self._outbox or self._next_task is not None:
            return
        by_holder = defaultdict(dict)
        for planned in self._outbox:
            attempt = self._start_attempt(planned, now)
            by_holder[planned.replica.address][attempt.number] = attempt
        self._outbox.clear()
        for address, attempts in by_holder.items():
            call = BatchCall(address, self._make_batch(attempts, now), attempts)
            for attempt in attempts.values():
                attempt.call = call
            self._nursery.start_soon(self._run_call, call)

    def _start_attempt(self, planned, now):
        progress, replica = planned.progress, planned.replica
        attempt = Attempt(next(self._numbers), planned.kind, progress, replica, now)
        progress.tried.add(replica.server)
        progress.busy.discard(replica.server)
        progress.in_flight.append(attempt)
        self._attempts.append(attempt)
        return attempt

    def _make_batch(self, attempts, now):
        task = self._task
        time_left_s = task.ends_at - now - HOP_ALLOWANCE_S
        return SubqueryBatch(
            batch_id=next(self._batch_ids),
            request_id=task.request_id,
            config_version=task.config_version,
            snapshot=task.plan.snapshot,
            timeout_ms=time_left_s * 1000,
            idempotent=True,
            query=task.query,
            items=tuple(map(_make_item, attempts.values())),
        )

    # Receiving

    async def _run_call(self, call):
        failure = AttemptOutcome.NO_REPLY
        timeout_s = self._task.ends_at - trio.current_time()
        with call.scope:
            try:
                stream = self._peers.stream(call.address, call.batch, timeout_s)
                async with stream as replies:
                    await self._receive_all(call, replies)
            except RpcError as exc:
                failure = AttemptOutcome.NOT_SENT
                if exc.sent:
                    failure = AttemptOutcome.BROKEN
            except msgspec.MsgspecError:
                # A malformed message must not fail the entire search.
                failure = AttemptOutcome.MALFORMED
        self._fail_call(call, failure)

    async def _receive_all(self, call, replies):
        async for reply in replies:
            self._receive(call, reply)
            if not call.pending:
                return

    def _fail_call(self, call, outcome):
        now = trio.current_time()
        if now >= self._task.ends_at:
            outcome = AttemptOutcome.TIMED_OUT
        while call.pending and not self._closed:
            _, attempt = call.pending.popitem()
            self._handle_outcome(attempt, outcome, now)
        self._send_outbox(now)

    def _receive(self, call, reply):
        attempt = call.pending.pop(reply.attempt, None)
        # Drops duplicates, late replies of attempts that lost to another one,
        # and replies that arrive after collecting has ended.
        if attempt is None or self._closed:
            return
        now = trio.current_time()
        outcome = read_outcome(reply, self._task.plan.snapshot)
        if outcome is AttemptOutcome.ANSWERED:
            outcome = _store_reply(attempt.progress, reply)
        report_load(self._shared.router, attempt.replica, outcome, reply.load, now)
        self._handle_outcome(attempt, outcome, now)
        if self._outbox:
            self._send_outbox(now)

    def _handle_outcome(self, attempt, outcome, now):
        self._finish(attempt, outcome, now)
        progress = attempt.progress
        action = outcome.rule.action
        if action is Action.MERGE:
            self._mark_done(progress)
            self._cancel_losers(progress, now)
        elif action is Action.RESTART and self._try_restart():
            self._wake.set()
        elif not progress.in_flight:
            self._repeat_attempt(attempt, now)

    def _try_restart(self):
        if self._next_task is None:
            self._next_task = self._plan_restart()
        return self._next_task is not None

    def _finish(self, attempt, outcome, now):
        attempt.outcome = outcome
        attempt.time_s = now - attempt.started_at
        attempt.progress.in_flight.remove(attempt)
        report_attempt(self._shared, attempt, now)

    def _mark_done(self, progress):
        progress.done = True
        self._pending -= 1
        if not self._pending:
            self._wake.set()

    def _give_up(self, progress, reason):
        progress.reason = reason
        self._mark_done(progress)

    def _cancel_losers(self, progress, now):
        for attempt in tuple(progress.in_flight):
            call = attempt.call
            del call.pending[attempt.number]
            self._finish(attempt, AttemptOutcome.LOST_RACE, now)
            if call.pending:
                batch_id = call.batch.batch_id
                self._peers.cancel(call.address, batch_id, (attempt.number,))
            else:
                # Leaving the stream cancels the whole batch at the holder.
                call.scope.cancel()

    # Repeated attempts and hedges

    def _repeat_attempt(self, failed, now):
        planned = None
        if self._has_time(now):
            planned = self._policy.plan_repeat(failed, now)
        if planned is None:
            self._give_up(failed.progress, failed.outcome.value)
        elif planned.delay_s:
            send = functools.partial(self._send_delayed, planned)
            self._add_timer(now + planned.delay_s, send)
        else:
            self._enqueue(planned, now)

    def _send_delayed(self, planned, now):
        if self._has_time(now):
            self._enqueue(planned, now)
            self._send_outbox(now)
        else:
            self._give_up(planned.progress, AttemptOutcome.TIMED_OUT.value)

    def _enqueue(self, planned, now):
        self._outbox.append(planned)
        self._schedule_hedges(planned.progress.plan.index, [planned.progress], now)

    def _has_time(self, now):
        return now + HOP_ALLOWANCE_S < self._task.ends_at

    def _schedule_hedges(self, index, shards, now):
        """Schedule hedges for shards without a reply after their index's p95."""
        p95_s = self._shared.latency.read_p95(index, now)
        send_hedges = functools.partial(self._send_hedges, index, shards)
        self._add_timer(now + p95_s, send_hedges)

    def _send_hedges(self, index, shards, now):
        if not self._has_time(now):
            return
        hedges, unhedged = self._policy.plan_hedges(shards, now)
        self._outbox.extend(hedges)
        self._send_outbox(now)
        if unhedged:
            p95_s = self._shared.latency.read_p95(index, now)
            recheck = functools.partial(self._send_hedges, index, unhedged)
            self._add_timer(now + HEDGE_RECHECK_SHARE * p95_s, recheck)

    def _add_timer(self, due, callback):
        self._timers.add(due, callback)
        if due < self._wake_at:
            self._wake.set()


def _store_reply(progress, reply):
    """Store the hits of a reply, and return the outcome of the attempt."""
    assert progress.reply is None, "a shard has answered twice"
    try:
        hits = decode_hits(reply.results)
    except msgspec.MsgspecError:
        return AttemptOutcome.MALFORMED
    plan = progress.plan
    size = len(reply.results)
    progress.reply = ShardReply(plan.index, plan.shard, reply.snapshot, hits, size)
    return AttemptOutcome.ANSWERED


def _make_item(attempt):
    replica, progress = attempt.replica, attempt.progress
    # The last replica tried queues the sub-query instead of answering BUSY.
    untried = len(progress.plan.replicas) - len(progress.tried)
    return SubqueryItem(
        attempt.number,
        replica.server,
        replica.epoch,
        progress.plan.shard,
        may_queue=untried <= 0,
    )
