"""Run searches: plan, fan out, restart once, merge before the deadline."""

import functools
import itertools
from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum

import trio

from wisteriaworks.attempts import AttemptRecord
from wisteriaworks.catalog import CatalogCache, SnapshotPlan
from wisteriaworks.errors import ErrorKind
from wisteriaworks.events import Event, log_event
from wisteriaworks.fan_out import HOP_ALLOWANCE_S, NO_REPLICA, FanOut, FanOutTask
from wisteriaworks.generated.document import Routing
from wisteriaworks.generated.subqueries import SubqueryBatch
from wisteriaworks.hedging import create_shared_state
from wisteriaworks.merge import NO_COVERAGE, Coverage, Hit, merge_replies
from wisteriaworks.routing import pick_keyed_shard
from wisteriaworks.single_attempt import (
    create_not_run_result,
    make_items,
    make_single_attempt,
)

# Time for merging and sending, so that a partial answer meets the deadline.
ANSWER_ALLOWANCE_S = 0.003


class SearchOutcome(Enum):
    """Describe whether an answer contains all shards."""

    COMPLETE = "complete"
    PARTIAL = "partial"


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """Describe one request whose head and body were accepted as valid."""

    search: str
    request_id: str
    caller: str
    # JSON text.
    query: bytes
    routing_key: str | None
    # Absolute time on trio's clock.
    deadline: float
    # Share of answered shards below which the answer is an error.
    minimum_coverage: float = 0.0


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Represent the answer to an idempotent search."""

    outcome: SearchOutcome | ErrorKind
    hits: tuple[Hit, ...] = ()
    # 0 if no snapshot was selected.
    snapshot: int = 0
    coverage: Coverage = NO_COVERAGE
    records: tuple[AttemptRecord, ...] = ()


class SearchRunner:
    """Run searches from this entry.

    ``current_view()`` returns the newest view, which is used to restart a query
    whose snapshot no longer exists.
    """

    def __init__(self, peers, own_address, metrics, rng, current_view):
        self._peers = peers
        self._metrics = metrics
        self._current_view = current_view
        self._catalogs = CatalogCache()
        self._shared = create_shared_state(rng)
        # Batch ids must be unique across entries and across restarts of an entry.
        prefix = f"{own_address}/{rng.getrandbits(64):016x}"
        self._batch_ids = (f"{prefix}/{number}" for number in itertools.count())

    async def run(self, view, request):
        """Return the SearchAnswer of an idempotent search before its deadline."""
        plan = self._plan(view, view, request)
        if isinstance(plan, ErrorKind):
            return SearchAnswer(plan)
        task = _make_task(view, request, plan)
        plan_restart = functools.partial(self._plan_restart, view, request, task)
        first = await self._fan_out(task, plan_restart)
        answer = self._merge(request, first)
        if first.next_task is not None:
            _log_restart(first)
            second = await self._fan_out(first.next_task, lambda: None)
            answer = _select_answer(answer, self._merge(request, second))
        self._count_missing(answer)
        return answer

    async def run_single_attempt(self, view, request):
        """Return the result of the single attempt of a request.

        Nothing is retried, hedged or restarted.
        """
        plan = self._plan(view, view, request)
        if isinstance(plan, ErrorKind):
            return create_not_run_result(plan.value)
        shard = plan.shards[0]
        now = trio.current_time()
        # Ejected replicas are not probed with requests that cannot be repeated.
        replica = self._shared.router.pick(shard.replicas, (), now, allow_probe=False)
        if replica is None:
            return create_not_run_result(NO_REPLICA)
        ends_at = request.deadline - ANSWER_ALLOWANCE_S
        if now + HOP_ALLOWANCE_S >= ends_at:
            return create_not_run_result(ErrorKind.DEADLINE_PASSED.value)
        batch = SubqueryBatch(
            batch_id=next(self._batch_ids),
            request_id=request.request_id,
            config_version=view.config_version,
            snapshot=plan.snapshot,
            timeout_ms=(ends_at - HOP_ALLOWANCE_S - now) * 1000,
            idempotent=False,
            query=request.query,
            items=make_items(shard, replica),
        )
        result = await make_single_attempt(
            self._peers, self._shared, shard, replica, batch, ends_at
        )
        self._count_attempts([result.record])
        return result

    def _plan(self, initial_view, view, request):
        """Return a SnapshotPlan or the ErrorKind that prevents it.

        ``initial_view`` is the view with which the request started and defines
        the search; ``view`` supplies the servers and routes.
        """
        search = initial_view.document.searches.get(request.search)
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

    def _plan_restart(self, initial_view, request, task):
        """Return the FanOutTask of a restart, or None without a newer snapshot.

        The restart keeps the search definition of the first run, and takes
        servers, routes and domain states from the newest view.
        """
        view = self._current_view()
        plan = self._plan(initial_view, view, request)
        if isinstance(plan, ErrorKind) or plan.snapshot <= task.plan.snapshot:
            return None
        version = view.config_version
        return replace(
            task, plan=plan, config_version=version, run_number=task.run_number + 1
        )

    async def _fan_out(self, task, plan_restart):
        fan_out = FanOut(task, self._peers, self._shared, self._batch_ids, plan_restart)
        result = await fan_out.run()
        self._count_attempts(result.records)
        return result

    def _merge(self, request, result):
        task = result.task
        merged = merge_replies(
            task.plan, result.replies, result.reasons, task.limits.max_answer_bytes
        )
        coverage = merged.coverage
        outcome = SearchOutcome.COMPLETE
        if coverage.ratio < request.minimum_coverage:
            outcome = ErrorKind.INSUFFICIENT_COVERAGE
        elif coverage.missing:
            outcome = SearchOutcome.PARTIAL
        return SearchAnswer(
            outcome, merged.hits, task.plan.snapshot, coverage, result.records
        )

    def _count_attempts(self, records):
        # One call per kind and outcome, because a call costs several microseconds.
        counts = Counter((record.kind, record.outcome) for record in records)
        for (kind, outcome), count in counts.items():
            labels = {"kind": kind.value, "outcome": outcome.value}
            self._metrics.subqueries.add(count, labels)

    def _count_missing(self, answer):
        missing = answer.coverage.missing
        counts = Counter((m.index, m.reason) for m in missing)
        for (index, reason), count in counts.items():
            self._metrics.missing_shards.add(count, {"index": index, "reason": reason})


def _make_task(view, request, plan):
    return FanOutTask(
        request_id=request.request_id,
        query=request.query,
        config_version=view.config_version,
        limits=view.document.limits,
        plan=plan,
        ends_at=request.deadline - ANSWER_ALLOWANCE_S,
        run_number=0,
    )


def _plan_keyed(ranked, routing_key):
    """Return the first plan with a replica for the key's shard, or the first plan."""
    plans = (_restrict_to_shard(plan, routing_key) for plan in ranked)
    covered = (plan for plan in plans if plan.coverage)
    return next(covered, None) or _restrict_to_shard(ranked[0], routing_key)


def _restrict_to_shard(plan, routing_key):
    by_name = {shard.shard: shard for shard in plan.shards}
    shard = by_name[pick_keyed_shard(routing_key, by_name)]
    return SnapshotPlan(plan.snapshot, (shard,), float(bool(shard.replicas)))


def _select_answer(first, restarted):
    """Return the answer with the higher coverage, with the attempts of both runs.

    The replies of one run come from one snapshot and are never mixed with those
    of the other. The first answer is better if the restart reached a lower
    coverage before the deadline.
    """
    better = max(restarted, first, key=lambda answer: answer.coverage.ratio)
    return replace(better, records=first.records + restarted.records)


def _log_restart(first):
    log_event(
        Event.REQUEST_RESTARTED,
        request_id=first.task.request_id,
        snapshot=first.task.plan.snapshot,
        next_snapshot=first.next_task.plan.snapshot,
    )
