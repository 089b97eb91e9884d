"""Collect an entry's reports about its requests: burn counts, explanations."""

import itertools

import msgspec
import trio

from wisteriaworks.burn import BurnCounters
from wisteriaworks.explain_store import ExplainStore
from wisteriaworks.generated.reports import (
    AttemptExplanation,
    AttemptKind,
    Explanation,
    MissingShard,
    ShardExplanation,
)

EXPLAIN_PREFIX = "/v1/explain/"
BURN_PATH = "/v1/burn"


class RequestReports:
    """Record answers and render the reports of the admin address."""

    def __init__(self, entry):
        self._entry = entry
        self._burn = BurnCounters()
        self._explanations = ExplainStore()
        self._objectives = None
        self._config_version = 0

    def count(self, view, search, caller, total_ms, complete):
        """Count one answer against the objectives."""
        if view.document.objectives is not self._objectives:
            self._objectives = view.document.objectives
            self._config_version = view.config_version
            self._burn.set_objectives(self._objectives)
        self._burn.record(trio.current_time(), search, caller, total_ms, complete)

    def store_explanation(self, view, request, result, total_ms):
        """Store the explanation of a search: its attempts and missing shards."""
        self._explanations.put(
            Explanation(
                request_id=request.request_id,
                entry=self._entry,
                search=request.search,
                caller=request.caller,
                config_version=view.config_version,
                snapshot=result.snapshot,
                outcome=result.outcome.value,
                total_ms=total_ms,
                shards=_explain_shards(result.records),
                missing=tuple(
                    MissingShard(index=m.index, shard=m.shard, reason=m.reason)
                    for m in result.coverage.missing
                ),
            )
        )

    def render(self, path):
        """Return the JSON of a report, or None if there is no such report."""
        if path == BURN_PATH:
            now = trio.current_time()
            report = self._burn.create_report(now, self._entry, self._config_version)
            return msgspec.json.encode(report)
        if path.startswith(EXPLAIN_PREFIX):
            return self._explanations.get(path.removeprefix(EXPLAIN_PREFIX))
        return None


def _get_shard_key(record):
    return record.index, record.shard


def _explain_shards(records):
    ordered = sorted(records, key=_get_shard_key)
    return tuple(
        ShardExplanation(
            index=index, shard=shard, attempts=tuple(map(_explain_attempt, group))
        )
        for (index, shard), group in itertools.groupby(ordered, key=_get_shard_key)
    )


def _explain_attempt(record):
    return AttemptExplanation(
        kind=AttemptKind(record.kind.value),
        server=record.server,
        holder=record.holder,
        outcome=record.outcome.value,
        ms=record.time_ms,
    )
