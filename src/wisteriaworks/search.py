"""Run searches: plan, fan out, restart once, merge before the deadline."""

import itertools
from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum

import msgspec
import trio

from wisteriaworks.attempts import AttemptOutcome, AttemptRecord, read_outcome
from wisteriaworks.catalog import CatalogCache, SnapshotPlan
from wisteriaworks.errors import ErrorKind, RpcError
from wisteriaworks.events import Event, log_event
from wisteriaworks.fan_out import HOP_ALLOWANCE_S, NO_REPLICA, FanOut, FanOutTask
from wisteriaworks.generated.document import Routing
from wisteriaworks.generated.subqueries import (
    SubqueryBatch,
    SubqueryItem,
    SubqueryOutcome,
)
from wisteriaworks.hedging import create_shared_state
from wisteriaworks.merge import NO_COVERAGE, Coverage, Hit, decode_hits, merge_replies
from wisteriaworks.routing import pick_keyed_shard

# Time for merging and sending, so that the caller gets a partial answer in time.
ANSWER_ALLOWANCE_S = 0.003


class SearchOutcome(Enum):
    """Say whether all shards are in an answer."""

    COMPLETE = "complete"
    PARTIAL = "partial"


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """Describe one request of a caller that was let in."""

    search: str
    request_id: str
    caller: str
    # JSON text.
    query: bytes
    routing_key: str | None
    # Time of trio's clock.
    deadline: float
    # Share of the shards below which the answer is an error.
    minimum_coverage: float = 0.0


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Hold the answer to an idempotent search."""

    outcome: SearchOutcome | ErrorKind
    hits: tuple[Hit, ...] = ()
    # 0 if none was selected.
    snapshot: int = 0
    coverage: Coverage = NO_COVERAGE
    explanation: tuple[AttemptRecord, ...] = ()


class OnceOutcome(Enum):
    """Say what is known of the single attempt of a request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OnceResult:
    """Hold the result of the single attempt of a non-idempotent request."""

    outcome: OnceOutcome
    # False only if no byte reached a server or a refusal proves it did not run.
    sent: bool
    # An AttemptOutcome's value, an ErrorKind's value or ``no_replica``.
    reason: str
    hits: tuple[Hit, ...] = ()
    snapshot: int = 0
    server: str = ""
    holder: str = ""


class SearchRunner:
    """Run searches from this entry.

    ``current_view()`` returns the newest view, for a query whose snapshot is
    gone.
    """

    def __init__(self, peers, own_address, metrics, rng, current_view):
        self._peers = peers
        self._metrics = metrics
        self._current_view = current_view
        self._catalogs = CatalogCache()
        self._shared = create_shared_state(rng)
        # Unique over all entries and restarts, because holders serve many entries.
        prefix = f"{own_address}/{rng.getrandbits(64):016x}"
        self._batch_ids = (f"{prefix}/{number}" for number in itertools.count())

    async def run(self, view, request):
        """Return the SearchAnswer of an idempotent search before its deadline."""
        plan = self._plan(view, view, request)
        if isinstance(plan, ErrorKind):
            return SearchAnswer(plan)
        task = FanOutTask(
            request_id=request.request_id,
            query=request.query,
            config_version=view.config_version,
            limits=view.document.limits,
            plan=plan,
            ends_at=request.deadline - ANSWER_ALLOWANCE_S,
            start=0,
        )
        next_tasks = []

        def may_restart():
            if not next_tasks:
                next_tasks.extend(self._plan_restart(view, request, task))
            return bool(next_tasks)

        result = await self._fan_out(task, may_restart)
        answer = self._merge(task, request, result)
        if not result.restart:
            return answer
        log_event(
            Event.REQUEST_RESTARTED,
            request_id=request.request_id,
            snapshot=task.plan.snapshot,
            next_snapshot=next_tasks[0].plan.snapshot,
        )
        second = await self._fan_out(next_tasks[0], lambda: False)
        restarted = self._merge(next_tasks[0], request, second)
        return _select_answer(answer, restarted)

    async def _fan_out(self, task, may_restart):
        fan_out = FanOut(task, self._peers, self._shared, self._batch_ids, may_restart)
        result = await fan_out.run()
        counts = Counter((record.kind, record.outcome) for record in result.records)
        for (kind, outcome), count in counts.items():
            labels = {"kind": kind.value, "outcome": outcome.value}
            self._metrics.subqueries.add(count, labels)
        return result

    def _plan(self, rules, view, request):
        """Return a SnapshotPlan or the ErrorKind that prevents it.

        ``rules`` is the view the request started with; ``view`` has the routes.
        """
        search = rules.document.searches.get(request.search)
        if search is None:
            return ErrorKind.UNKNOWN_SEARCH
        keyed = search.routing is Routing.KEYED
        if keyed and request.routing_key is None:
            return ErrorKind.MALFORMED_REQUEST
        time_left_s = request.deadline - trio.current_time()
        if time_left_s <= ANSWER_ALLOWANCE_S + HOP_ALLOWANCE_S:
            return ErrorKind.DEADLINE_PASSED
        ranked = self._catalogs.find(view).rank_snapshots(search.indexes)
        if not ranked:
            return ErrorKind.NO_SNAPSHOT
        return _plan_keyed(ranked, request.routing_key) if keyed else ranked[0]

    def _plan_restart(self, rules, request, task):
        """Return the task of the restart, or nothing if there is no newer snapshot."""
        view = self._current_view()
        plan = self._plan(rules, view, request)
        if isinstance(plan, ErrorKind) or plan.snapshot <= task.plan.snapshot:
            return []
        version = view.config_version
        return [replace(task, plan=plan, config_version=version, start=1)]

    def _merge(self, task, request, result):
        merged = merge_replies(
            task.plan, result.replies, result.reasons, task.limits.max_answer_bytes
        )
        coverage = merged.coverage
        outcome = SearchOutcome.PARTIAL
        if not coverage.missing:
            outcome = SearchOutcome.COMPLETE
        elif coverage.ratio < request.minimum_coverage:
            outcome = ErrorKind.INSUFFICIENT_COVERAGE
        return SearchAnswer(
            outcome, merged.hits, task.plan.snapshot, coverage, result.records
        )

    async def run_once(self, view, request):
        """Return the OnceResult of the single attempt of a request.

        Nothing is retried, hedged or restarted here.
        """
        plan = self._plan(view, view, request)
        if isinstance(plan, ErrorKind):
            return _not_run(plan.value)
        shard = plan.shards[0]
        now = trio.current_time()
        replica = self._shared.router.pick(shard.replicas, (), now)
        if replica is None:
            return _not_run(NO_REPLICA)
        ends_at = request.deadline - ANSWER_ALLOWANCE_S
        batch = SubqueryBatch(
            batch_id=next(self._batch_ids),
            request_id=request.request_id,
            config_version=view.config_version,
            snapshot=plan.snapshot,
            timeout_ms=(ends_at - now - HOP_ALLOWANCE_S) * 1000,
            idempotent=False,
            query=request.query,
            items=(SubqueryItem(1, replica.server, replica.epoch, shard.shard),),
        )
        reply, failure, sent = await self._ask_once(replica.address, batch, ends_at)
        if reply is None:
            result = _conclude_without_reply(failure, sent)
        else:
            result = _conclude_once(reply, shard, plan.snapshot)
        self._count_once(result)
        return replace(result, server=replica.server, holder=replica.address)

    async def _ask_once(self, address, batch, ends_at):
        """Return the reply, or None with what went wrong and whether it was sent."""
        timeout_s = ends_at - trio.current_time()
        try:
            with trio.move_on_at(ends_at):
                async with self._peers.stream(address, batch, timeout_s) as replies:
                    async for reply in replies:
                        if reply.attempt == batch.items[0].attempt:
                            return reply, None, True
                return None, AttemptOutcome.NO_REPLY, True
        except RpcError as exc:
            outcome = AttemptOutcome.BROKEN if exc.sent else AttemptOutcome.NOT_SENT
            return None, outcome, exc.sent
        return None, AttemptOutcome.TIMED_OUT, True

    def _count_once(self, result):
        labels = {"kind": "once", "outcome": result.reason}
        self._metrics.subqueries.add(1, labels)


def _plan_keyed(ranked, routing_key):
    """Return the first plan whose shard of the key has a replica, or the first."""
    plans = (_narrow(plan, routing_key) for plan in ranked)
    covered = (plan for plan in plans if plan.coverage)
    return next(covered, None) or _narrow(ranked[0], routing_key)


def _narrow(plan, routing_key):
    by_name = {shard.shard: shard for shard in plan.shards}
    shard = by_name[pick_keyed_shard(routing_key, by_name)]
    return SnapshotPlan(plan.snapshot, (shard,), float(bool(shard.replicas)))


def _select_answer(first, restarted):
    """Return the answer with the higher coverage and all attempts explained.

    The first start is whole and honest by itself, so it is better than a
    restart that found less before the deadline.
    """
    better = max(restarted, first, key=lambda answer: answer.coverage.ratio)
    return replace(better, explanation=first.explanation + restarted.explanation)


def _not_run(reason):
    return OnceResult(OnceOutcome.NOT_RUN, sent=False, reason=reason)


def _conclude_without_reply(failure, sent):
    outcome = OnceOutcome.UNKNOWN if sent else OnceOutcome.NOT_RUN
    return OnceResult(outcome, sent=sent, reason=failure.value)


def _conclude_once(reply, shard, snapshot):
    outcome = read_outcome(reply, snapshot)
    if outcome is not AttemptOutcome.ANSWERED:
        ran = reply.sent or reply.outcome is SubqueryOutcome.ANSWERED
        return _conclude_without_reply(outcome, ran)
    try:
        hits = decode_hits(reply.results)
    except msgspec.MsgspecError:
        return _conclude_without_reply(AttemptOutcome.MALFORMED, True)
    merged = tuple(Hit(shard.index, hit.id, hit.score, hit.fields) for hit in hits)
    return OnceResult(OnceOutcome.DONE, True, outcome.value, merged, snapshot)
