"""Build the HTTP answers to callers."""

from dataclasses import dataclass

import msgspec

from wisteriaworks.errors import ERROR_RESPONSES
from wisteriaworks.generated.api import AnswerBody, ErrorBody, RecordedAnswer
from wisteriaworks.merge import Coverage

# Reasons for missing shards that indicate overload; lost replicas and drains do
# not cause them.
_OVERLOAD_REASONS = frozenset({"timed_out", "queue_full", "shed"})
_ENCODER = msgspec.json.Encoder()
_COMPLETE = "complete"
_ONE_SHARD = Coverage(total=1, answered=1)


@dataclass(frozen=True, slots=True)
class Answer:
    """Represent one HTTP answer: status code and JSON body."""

    request_id: str | None
    status: int
    body: bytes
    complete: bool = False
    # Whether shards are missing for reasons that indicate overload.
    overloaded: bool = False

    def encode_record(self):
        """Return the answer as it is stored in the replicated state."""
        recorded = RecordedAnswer(status=self.status, body=msgspec.Raw(self.body))
        return _ENCODER.encode(recorded)


def create_answer(request_id, view, result):
    """Return the answer for a search that ran."""
    return _create_search_answer(
        request_id, view, result, result.outcome.value, result.coverage
    )


def create_single_attempt_answer(request_id, view, result):
    """Return the answer for a non-idempotent request that ran on its shard."""
    return _create_search_answer(request_id, view, result, _COMPLETE, _ONE_SHARD)


def _create_search_answer(request_id, view, result, outcome, coverage):
    body = AnswerBody(
        request_id=request_id,
        outcome=outcome,
        configuration_version=view.config_version,
        snapshot=result.snapshot,
        coverage=coverage,
        results=result.hits,
    )
    return Answer(
        request_id,
        200,
        _ENCODER.encode(body),
        complete=outcome == _COMPLETE,
        overloaded=_is_overloaded(coverage),
    )


def _is_overloaded(coverage):
    return any(shard.reason in _OVERLOAD_REASONS for shard in coverage.missing)


def create_error_answer(request_id, exc, result=None):
    """Return the answer for a RequestError, with any partial ``result``."""
    spec = ERROR_RESPONSES[exc.kind]
    has_default_run_state = exc.run_state is spec.run_state
    body = ErrorBody(
        request_id=request_id,
        outcome=exc.kind.value,
        run_state=exc.run_state.value,
        retry_safe=spec.retry_safe and has_default_run_state,
        message=exc.message,
        snapshot=result.snapshot if result else None,
        coverage=result.coverage if result else None,
        results=result.hits if result else None,
    )
    overloaded = result is not None and _is_overloaded(result.coverage)
    return Answer(
        request_id, spec.http_status, _ENCODER.encode(body), overloaded=overloaded
    )
