"""Make the single attempt of a non-idempotent request."""

from dataclasses import dataclass
from enum import Enum

import msgspec
import trio

from wisteriaworks.attempts import (
    Attempt,
    AttemptKind,
    AttemptOutcome,
    AttemptRecord,
    ShardProgress,
    make_record,
    read_outcome,
)
from wisteriaworks.errors import RpcError
from wisteriaworks.feedback import report_attempt, report_load
from wisteriaworks.generated.subqueries import SubqueryItem, SubqueryOutcome
from wisteriaworks.merge import Hit, decode_hits

ATTEMPT_NUMBER = 1
# The stream must time out before ``ends_at``, because only the stream knows whether
# anything was sent.
STREAM_TIMEOUT_MARGIN_S = 0.001


class SingleAttemptOutcome(Enum):
    """Describe what is known about the single attempt of a request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SingleAttemptResult:
    """Represent the result of the single attempt of a non-idempotent request."""

    outcome: SingleAttemptOutcome
    # False only if no byte reached a server or a refusal proves that the
    # request did not run.
    may_have_run: bool
    # Value of an AttemptOutcome or ErrorKind, or NO_REPLICA.
    reason: str
    hits: tuple[Hit, ...] = ()
    # 0 unless the outcome is DONE.
    snapshot: int = 0
    # None if no attempt was made.
    record: AttemptRecord | None = None


def make_items(shard, replica):
    """Return the items of the batch: one sub-query."""
    return (SubqueryItem(ATTEMPT_NUMBER, replica.server, replica.epoch, shard.shard),)


def create_not_run_result(reason):
    """Return the result of a request that was not sent."""
    return SingleAttemptResult(
        SingleAttemptOutcome.NOT_RUN, may_have_run=False, reason=reason
    )


async def make_single_attempt(peers, shared, shard, replica, batch, ends_at):
    """Send a batch of one item once, and return the result."""
    now = trio.current_time()
    progress = ShardProgress(shard)
    attempt = Attempt(ATTEMPT_NUMBER, AttemptKind.ONCE, progress, replica, now)
    reply, outcome, may_have_run = await _send(peers, replica.address, batch, ends_at)
    now = trio.current_time()
    hits = ()
    if outcome is AttemptOutcome.ANSWERED:
        outcome, hits = _read_hits(shard, reply)
    if reply is not None:
        report_load(shared.router, replica, outcome, reply.load, now)
    attempt.outcome = outcome
    attempt.time_s = now - attempt.started_at
    report_attempt(shared, attempt, now)
    done = outcome is AttemptOutcome.ANSWERED
    return SingleAttemptResult(
        _classify_result(done, may_have_run),
        may_have_run,
        outcome.value,
        hits,
        batch.snapshot if done else 0,
        make_record(0, attempt),
    )


def _classify_result(done, may_have_run):
    if done:
        return SingleAttemptOutcome.DONE
    return (
        SingleAttemptOutcome.UNKNOWN if may_have_run else SingleAttemptOutcome.NOT_RUN
    )


async def _send(peers, address, batch, ends_at):
    """Send the batch once.

    Return the reply or None, the outcome, and whether the request may have run.
    """
    stream_ends_at = ends_at - STREAM_TIMEOUT_MARGIN_S
    timeout_s = stream_ends_at - trio.current_time()
    try:
        with trio.move_on_at(ends_at):
            async with peers.stream(address, batch, timeout_s) as replies:
                async for reply in replies:
                    if reply.attempt == ATTEMPT_NUMBER:
                        return _read_reply(reply, batch.snapshot)
            return None, AttemptOutcome.NO_REPLY, True
    except RpcError as exc:
        late = trio.current_time() >= stream_ends_at
        return None, _classify_failure(exc.sent, late), exc.sent
    except msgspec.MsgspecError:
        return None, AttemptOutcome.MALFORMED, True
    return None, AttemptOutcome.TIMED_OUT, True


def _classify_failure(sent, late):
    if not sent:
        return AttemptOutcome.NOT_SENT
    return AttemptOutcome.TIMED_OUT if late else AttemptOutcome.BROKEN


def _read_reply(reply, snapshot):
    # An answer proves that the request ran, whatever ``reply.sent`` says.
    may_have_run = reply.sent or reply.outcome is SubqueryOutcome.ANSWERED
    return reply, read_outcome(reply, snapshot), may_have_run


def _read_hits(shard, reply):
    try:
        hits = decode_hits(reply.results)
    except msgspec.MsgspecError:
        return AttemptOutcome.MALFORMED, ()
    answer_hits = tuple(Hit(shard.index, hit.id, hit.score, hit.fields) for hit in hits)
    return AttemptOutcome.ANSWERED, answer_hits
