"""Ask the shards of one snapshot and collect one reply per shard."""

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
from wisteriaworks.hedging import Pick, RepeatPolicy, Timers
from wisteriaworks.merge import ShardReply, decode_hits

# Time for one hop between entries; the holder must stop before the sender.
HOP_ALLOWANCE_S = 0.002
# A hedge that the budget refused is tried again after this share of the p95.
HEDGE_RECHECK_SHARE = 0.5
NO_REPLICA = "no_replica"


@dataclass(frozen=True, slots=True)
class FanOutTask:
    """Describe one start of a query."""

    request_id: str
    query: bytes
    config_version: int
    limits: Limits
    plan: SnapshotPlan
    # Time at which collecting ends.
    ends_at: float
    # 0 for the first start of the query, 1 after a restart.
    start: int


@dataclass(frozen=True, slots=True)
class FanOutResult:
    """Hold what one start of a query collected."""

    task: FanOutTask
    replies: list[ShardReply]
    reasons: dict[tuple[str, str], str]
    records: tuple[AttemptRecord, ...]
    # The restart that should follow, because the snapshot is gone.
    next_task: FanOutTask | None


class FanOut:
    """Run one start of a query.

    ``plan_restart()`` is called when a server no longer has the snapshot. It
    returns the FanOutTask of a restart, or None if there is none.
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
        # Time at which the main task wakes by itself; it is awake if infinite.
        self._waits_until = -math.inf
        self._next_task = None
        self._closed = False

    async def run(self):
        """Return a FanOutResult at ``ends_at`` or earlier."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._send_primaries()
            await self._wait()
            self._close()
            nursery.cancel_scope.cancel()
        return FanOutResult(
            task=self._task,
            replies=[p.reply for p in self._shards if p.reply is not None],
            reasons={
                (p.plan.index, p.plan.shard): p.reason
                for p in self._shards
                if p.reply is None
            },
            records=tuple(make_record(self._task.start, a) for a in self._attempts),
            next_task=self._next_task,
        )

    async def _wait(self):
        ends_at = self._task.ends_at
        while self._pending and self._next_task is None:
            self._waits_until = min(ends_at, self._timers.next_due())
            with trio.move_on_at(self._waits_until):
                await self._wake.wait()
            self._waits_until = -math.inf
            now = trio.current_time()
            if now >= ends_at:
                return
            self._wake = trio.Event()
            self._timers.run_due(now)

    def _close(self):
        """Stop merging, and record the attempts that are still in flight."""
        self._closed = True
        now = trio.current_time()
        outcome = AttemptOutcome.TIMED_OUT
        if self._next_task is not None:
            outcome = AttemptOutcome.CANCELLED
        # Attempts that were queued but not sent have no record.
        self._outbox.clear()
        for progress in self._shards:
            for attempt in tuple(progress.in_flight):
                self._finish(attempt, outcome, now)

    # Sending

    def _send_primaries(self):
        now = trio.current_time()
        # Deriving the catalogue may have taken the rest of the time.
        if not self._has_time(now):
            return
        by_index = defaultdict(list)
        for progress in self._shards:
            replica = self._shared.router.pick(progress.plan.replicas, (), now)
            if replica is None:
                self._give_up(progress, NO_REPLICA)
                continue
            self._outbox.append(Pick(AttemptKind.PRIMARY, progress, replica))
            by_index[progress.plan.index].append(progress)
        self._earn_tokens(len(self._outbox))
        self._send_outbox(now)
        for index, shards in by_index.items():
            self._watch(index, shards, now)

    def _earn_tokens(self, primaries):
        # A restart repeats sub-queries that have earned their tokens.
        if self._task.start == 0:
            limits = self._task.limits
            self._shared.hedge_budget.earn(primaries, limits.hedge_ratio)
            self._shared.retry_budget.earn(primaries, limits.retry_ratio)

    def _send_outbox(self, now):
        """Send one batch to each holder of the queued attempts."""
        if not self._outbox or self._next_task is not None:
            return
        by_holder = defaultdict(dict)
        for pick in self._outbox:
            attempt = self._start_attempt(pick, now)
            by_holder[pick.replica.address][attempt.number] = attempt
        self._outbox.clear()
        for address, attempts in by_holder.items():
            call = BatchCall(address, self._make_batch(attempts, now), attempts)
            for attempt in attempts.values():
                attempt.call = call
            self._nursery.start_soon(self._run_call, call)

    def _start_attempt(self, pick, now):
        progress, replica = pick.progress, pick.replica
        attempt = Attempt(next(self._numbers), pick.kind, progress, replica, now)
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
                # A message that cannot be read must not end the whole search.
                failure = AttemptOutcome.MALFORMED
        self._fail_call(call, failure)

    async def _receive_all(self, call, replies):
        async for reply in replies:
            self._receive(call, reply)
            if not call.open:
                return

    def _fail_call(self, call, outcome):
        now = trio.current_time()
        if now >= self._task.ends_at:
            outcome = AttemptOutcome.TIMED_OUT
        while call.open and not self._closed:
            _, attempt = call.open.popitem()
            self._conclude(attempt, outcome, now)
        self._send_outbox(now)

    def _receive(self, call, reply):
        attempt = call.open.pop(reply.attempt, None)
        # Drops duplicates, late replies of attempts that lost to another one,
        # and replies that arrive while an earlier start is being closed.
        if attempt is None or self._closed:
            return
        now = trio.current_time()
        outcome = read_outcome(reply, self._task.plan.snapshot)
        if outcome is AttemptOutcome.ANSWERED:
            outcome = _accept(attempt.progress, reply)
        report_load(self._shared.router, attempt.replica, outcome, reply.load, now)
        self._conclude(attempt, outcome, now)
        if self._outbox:
            self._send_outbox(now)

    def _conclude(self, attempt, outcome, now):
        self._finish(attempt, outcome, now)
        progress = attempt.progress
        action = outcome.rule.action
        if action is Action.MERGE:
            self._mark_done(progress)
            self._cancel_losers(progress, now)
        elif action is Action.RESTART and self._start_again():
            self._wake.set()
        elif not progress.in_flight:
            self._repeat(attempt, now)

    def _start_again(self):
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
            del call.open[attempt.number]
            self._finish(attempt, AttemptOutcome.LOST_RACE, now)
            if call.open:
                batch_id = call.batch.batch_id
                self._peers.cancel(call.address, batch_id, (attempt.number,))
            else:
                # Leaving the stream cancels the whole batch at the holder.
                call.scope.cancel()

    # Asking again

    def _repeat(self, failed, now):
        pick = None
        if self._has_time(now):
            pick = self._policy.pick_repeat(failed, now)
        if pick is None:
            self._give_up(failed.progress, failed.outcome.value)
        elif pick.pause_s:
            send = functools.partial(self._send_pick, pick)
            self._add_timer(now + pick.pause_s, send)
        else:
            self._queue(pick, now)

    def _send_pick(self, pick, now):
        if self._has_time(now):
            self._queue(pick, now)
            self._send_outbox(now)
        else:
            self._give_up(pick.progress, AttemptOutcome.TIMED_OUT.value)

    def _queue(self, pick, now):
        self._outbox.append(pick)
        self._watch(pick.progress.plan.index, [pick.progress], now)

    def _has_time(self, now):
        return now + HOP_ALLOWANCE_S < self._task.ends_at

    def _watch(self, index, shards, now):
        """Hedge shards that have not answered after the p95 of their index."""
        p95_s = self._shared.latency.read_p95(index, now)
        hedge = functools.partial(self._hedge, index, shards)
        self._add_timer(now + p95_s, hedge)

    def _hedge(self, index, shards, now):
        if not self._has_time(now):
            return
        picks, refused = self._policy.pick_hedges(shards, now)
        self._outbox.extend(picks)
        self._send_outbox(now)
        if refused:
            p95_s = self._shared.latency.read_p95(index, now)
            recheck = functools.partial(self._hedge, index, refused)
            self._add_timer(now + HEDGE_RECHECK_SHARE * p95_s, recheck)

    def _add_timer(self, due, callback):
        self._timers.add(due, callback)
        if due < self._waits_until:
            self._wake.set()


def _accept(progress, reply):
    """Store the hits of a reply, and return the outcome."""
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
    # The last replica has to take the work.
    untried = len(progress.plan.replicas) - len(progress.tried)
    return SubqueryItem(
        attempt.number,
        replica.server,
        replica.epoch,
        progress.plan.shard,
        may_queue=untried <= 0,
    )
