"""Ask the shards of one snapshot and collect one reply per shard."""

import functools
import itertools
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec
import trio

from wisteriaworks.attempts import (
    RULES,
    Action,
    Attempt,
    AttemptKind,
    AttemptOutcome,
    AttemptRecord,
    Health,
    read_outcome,
)
from wisteriaworks.catalog import ShardPlan, SnapshotPlan
from wisteriaworks.errors import RpcError
from wisteriaworks.generated.document import Limits
from wisteriaworks.generated.subqueries import SubqueryBatch, SubqueryItem
from wisteriaworks.hedging import PAUSE_S, RepeatLimit, Timers
from wisteriaworks.merge import ShardReply, decode_hits
from wisteriaworks.routing import SLOW_FACTOR

# Time for one hop between entries; the holder must stop before the sender.
HOP_ALLOWANCE_S = 0.002
# A hedge that the budget refused is tried again after this share of the p95.
HEDGE_RECHECK_SHARE = 0.5
NO_REPLICA = "no_replica"
_REPEAT_KINDS = {Action.RESEND: AttemptKind.RESEND, Action.RETRY: AttemptKind.RETRY}


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

    replies: list[ShardReply]
    reasons: dict[tuple[str, str], str]
    records: tuple[AttemptRecord, ...]
    # The snapshot is gone and the query should start again.
    restart: bool


@dataclass(slots=True, eq=False)
class _Progress:
    """Hold the state of one shard."""

    plan: ShardPlan
    tried: set[str] = field(default_factory=set)
    in_flight: list[Attempt] = field(default_factory=list)
    retries: int = 0
    resends: int = 0
    done: bool = False
    reply: ShardReply | None = None
    reason: str = AttemptOutcome.TIMED_OUT.value


@dataclass(slots=True, eq=False)
class _Call:
    """Hold one batch while its replies arrive."""

    address: str
    batch: SubqueryBatch
    open: dict[int, Attempt]
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class FanOut:
    """Run one start of a query.

    ``may_restart()`` is asked when a server no longer has the snapshot.
    """

    def __init__(self, task, peers, shared, batch_ids, may_restart):
        self._task = task
        self._peers = peers
        self._shared = shared
        self._batch_ids = batch_ids
        self._may_restart = may_restart
        self._numbers = itertools.count(1)
        self._shards = [_Progress(shard) for shard in task.plan.shards]
        self._pending = len(self._shards)
        self._limit = RepeatLimit(self._pending, shared.retry_budget)
        self._attempts = []
        self._timers = Timers()
        self._wake = trio.Event()
        self._restart = False
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
            replies=[p.reply for p in self._shards if p.reply is not None],
            reasons={
                (p.plan.index, p.plan.shard): p.reason
                for p in self._shards
                if p.reply is None
            },
            records=tuple(map(self._make_record, self._attempts)),
            restart=self._restart,
        )

    async def _wait(self):
        ends_at = self._task.ends_at
        while self._pending and not self._restart:
            with trio.move_on_at(min(ends_at, self._timers.next_due())):
                await self._wake.wait()
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
        if self._restart:
            outcome = AttemptOutcome.CANCELLED
        for progress in self._shards:
            for attempt in tuple(progress.in_flight):
                self._finish(attempt, outcome, now)

    # Sending

    def _send_primaries(self):
        now = trio.current_time()
        picks = []
        by_index = defaultdict(list)
        for progress in self._shards:
            replica = self._pick(progress, now)
            if replica is None:
                self._give_up(progress, NO_REPLICA)
                continue
            picks.append((progress, replica))
            by_index[progress.plan.index].append(progress)
        self._earn_tokens(len(picks))
        self._send(AttemptKind.PRIMARY, picks, now)
        for index, shards in by_index.items():
            self._watch(index, shards, now)

    def _earn_tokens(self, primaries):
        # A restart repeats sub-queries that have earned their tokens.
        if self._task.start == 0:
            limits = self._task.limits
            self._shared.hedge_budget.earn(primaries, limits.hedge_ratio)
            self._shared.retry_budget.earn(primaries, limits.retry_ratio)

    def _pick(self, progress, now):
        return self._shared.router.pick(progress.plan.replicas, progress.tried, now)

    def _send(self, kind, picks, now):
        """Send one batch to each holder."""
        by_holder = defaultdict(dict)
        for progress, replica in picks:
            attempt = Attempt(next(self._numbers), kind, progress, replica, now)
            progress.tried.add(replica.server)
            progress.in_flight.append(attempt)
            self._attempts.append(attempt)
            by_holder[replica.address][attempt.number] = attempt
        for address, attempts in by_holder.items():
            call = _Call(address, self._make_batch(attempts, now), attempts)
            for attempt in attempts.values():
                attempt.call = call
            self._nursery.start_soon(self._run_call, call)

    def _make_batch(self, attempts, now):
        task = self._task
        time_left_s = task.ends_at - now - HOP_ALLOWANCE_S
        return SubqueryBatch(
            batch_id=next(self._batch_ids),
            request_id=task.request_id,
            config_version=task.config_version,
            snapshot=task.plan.snapshot,
            timeout_ms=max(0.0, time_left_s * 1000),
            idempotent=True,
            query=task.query,
            items=tuple(
                SubqueryItem(
                    a.number, a.replica.server, a.replica.epoch, a.shard.plan.shard
                )
                for a in attempts.values()
            ),
        )

    # Receiving

    async def _run_call(self, call):
        failure = AttemptOutcome.NO_REPLY
        timeout_s = self._task.ends_at - trio.current_time()
        with call.scope:
            try:
                async with self._peers.stream(
                    call.address, call.batch, timeout_s
                ) as replies:
                    async for reply in replies:
                        self._receive(call, reply)
                        if not call.open:
                            return
            except RpcError as exc:
                failure = AttemptOutcome.BROKEN if exc.sent else AttemptOutcome.NOT_SENT
        self._fail_call(call, failure)

    def _fail_call(self, call, outcome):
        now = trio.current_time()
        if now >= self._task.ends_at:
            outcome = AttemptOutcome.TIMED_OUT
        while call.open and not self._closed:
            _, attempt = call.open.popitem()
            self._conclude(attempt, outcome, now)

    def _receive(self, call, reply):
        attempt = call.open.pop(reply.attempt, None)
        # Duplicates, and replies of attempts that lost to another one.
        if attempt is None or self._closed:
            return
        now = trio.current_time()
        outcome = read_outcome(reply, self._task.plan.snapshot)
        if outcome is AttemptOutcome.ANSWERED:
            outcome = self._accept(attempt, reply)
        self._report_load(attempt.replica, reply, outcome, now)
        self._conclude(attempt, outcome, now)

    def _accept(self, attempt, reply):
        progress = attempt.shard
        assert progress.reply is None, "a shard has answered twice"
        try:
            hits = decode_hits(reply.results)
        except msgspec.MsgspecError:
            return AttemptOutcome.MALFORMED
        plan = progress.plan
        size = len(reply.results)
        progress.reply = ShardReply(plan.index, plan.shard, reply.snapshot, hits, size)
        return AttemptOutcome.ANSWERED

    def _report_load(self, replica, reply, outcome, now):
        rule = RULES[outcome]
        if rule.action is Action.MERGE:
            self._shared.router.report_load(replica, reply.load, now)
        elif rule.health is Health.NEUTRAL and rule.action is Action.RESEND:
            # A server without a free slot is at least fully loaded.
            load = max(reply.load, replica.slots)
            self._shared.router.report_load(replica, load, now)

    def _conclude(self, attempt, outcome, now):
        self._finish(attempt, outcome, now)
        progress = attempt.shard
        action = RULES[outcome].action
        if action is Action.MERGE:
            self._mark_done(progress)
            self._cancel_losers(progress, now)
        elif action is Action.RESTART and self._may_restart():
            self._restart = True
            self._wake.set()
        elif not progress.in_flight and not progress.done:
            self._ask_again(attempt, now)

    def _finish(self, attempt, outcome, now):
        attempt.outcome = outcome
        attempt.time_s = now - attempt.started_at
        attempt.shard.in_flight.remove(attempt)
        self._report_health(attempt, now)

    def _report_health(self, attempt, now):
        router = self._shared.router
        replica = attempt.replica
        match attempt.outcome:
            case AttemptOutcome.CANCELLED:
                self._report_loser(attempt, now)
            case AttemptOutcome.ANSWERED if not self._is_slow(attempt, now):
                router.report_good(replica)
            case AttemptOutcome.ANSWERED | AttemptOutcome.TIMED_OUT:
                router.report_bad(replica, now)
            case outcome if RULES[outcome].health is Health.BAD:
                router.report_bad(replica, now)
            case outcome if RULES[outcome].health is Health.REFUSED:
                router.report_refused(replica, now)
        self._observe_latency(attempt, now)

    def _is_slow(self, attempt, now):
        p95_s = self._shared.latency.read_p95(attempt.shard.plan.index, now)
        return attempt.time_s > SLOW_FACTOR * p95_s

    def _report_loser(self, attempt, now):
        # A hedge starts later, so a loser that is no hedge was slow.
        if attempt.kind is not AttemptKind.HEDGE and not self._restart:
            self._shared.router.report_bad(attempt.replica, now)

    def _observe_latency(self, attempt, now):
        """Count primaries that answered, and those that took too long.

        Without the latter, each hedge that wins would shorten the estimate.
        """
        if attempt.kind is not AttemptKind.PRIMARY or self._restart:
            return
        if attempt.outcome in _TIMED:
            index = attempt.shard.plan.index
            self._shared.latency.observe(index, attempt.time_s, now)

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
            self._finish(attempt, AttemptOutcome.CANCELLED, now)
            if call.open:
                batch_id = call.batch.batch_id
                self._peers.cancel(call.address, batch_id, (attempt.number,))
            else:
                # Leaving the stream cancels the whole batch at the holder.
                call.scope.cancel()

    # Asking again

    def _ask_again(self, failed, now):
        progress = failed.shard
        rule = RULES[failed.outcome]
        action = Action.RESEND if rule.action is Action.RESEND else Action.RETRY
        replica = self._pick(progress, now)
        same_server = replica is None
        if same_server and rule.same_server:
            replica = failed.replica
        if replica is None or not self._limit.allow(action, progress):
            self._give_up(progress, failed.outcome.value)
            return
        send = functools.partial(
            self._send_one, _REPEAT_KINDS[action], progress, replica
        )
        if same_server:
            self._add_timer(now + PAUSE_S, send)
        else:
            send(now)

    def _send_one(self, kind, progress, replica, now):
        if now + HOP_ALLOWANCE_S >= self._task.ends_at:
            return
        self._send(kind, [(progress, replica)], now)
        self._watch(progress.plan.index, [progress], now)

    def _watch(self, index, shards, now):
        """Hedge the shards that have not answered after the p95 of their index."""
        p95_s = self._shared.latency.read_p95(index, now)
        hedge = functools.partial(self._hedge, index, shards)
        self._add_timer(now + p95_s, hedge)

    def _add_timer(self, due, callback):
        if due < self._timers.next_due():
            self._wake.set()
        self._timers.add(due, callback)

    def _hedge(self, index, shards, now):
        picks, refused = [], []
        for progress in shards:
            if progress.done or len(progress.in_flight) != 1:
                continue
            if not self._shared.hedge_budget.take():
                refused.append(progress)
                continue
            replica = self._pick(progress, now)
            if replica is None:
                self._shared.hedge_budget.give_back()
                continue
            picks.append((progress, replica))
        if picks:
            self._send(AttemptKind.HEDGE, picks, now)
        if refused:
            p95_s = self._shared.latency.read_p95(index, now)
            recheck = functools.partial(self._hedge, index, refused)
            self._timers.add(now + HEDGE_RECHECK_SHARE * p95_s, recheck)

    def _make_record(self, attempt):
        plan, replica = attempt.shard.plan, attempt.replica
        return AttemptRecord(
            start=self._task.start,
            index=plan.index,
            shard=plan.shard,
            server=replica.server,
            holder=replica.address,
            kind=attempt.kind,
            outcome=attempt.outcome,
            time_ms=attempt.time_s * 1000,
        )


_TIMED = frozenset(
    {AttemptOutcome.ANSWERED, AttemptOutcome.CANCELLED, AttemptOutcome.TIMED_OUT}
)
