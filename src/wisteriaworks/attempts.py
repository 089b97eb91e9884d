"""Attempts of sub-queries, their outcomes and the reactions to them."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from wisteriaworks.catalog import Replica, ShardPlan
from wisteriaworks.generated.subqueries import SubqueryBatch, SubqueryOutcome
from wisteriaworks.merge import ShardReply


class AttemptKind(Enum):
    """Describe why an attempt was made."""

    PRIMARY = "primary"
    HEDGE = "hedge"
    RETRY = "retry"
    RESEND = "resend"
    # The only attempt of a non-idempotent request.
    ONCE = "once"

    __hash__ = object.__hash__


class Action(Enum):
    """Describe the reaction to the outcome of an attempt."""

    NONE = "none"
    MERGE = "merge"
    RESTART = "restart"
    # The server has no free slot: try another replica before queueing.
    PASS_ON = "pass_on"
    # Nothing ran: repeat the attempt outside the retry budget.
    RESEND = "resend"
    # Something may have run: repeat the attempt under the retry budget.
    RETRY = "retry"


class Health(Enum):
    """Describe what an outcome indicates about the health of the replica."""

    GOOD = "good"
    NEUTRAL = "neutral"
    # Counts towards an ejection.
    BAD = "bad"
    # Ejects the replica at once, for the shortest time.
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Rule:
    """Describe the reaction to one outcome."""

    action: Action
    health: Health
    # The attempt may be repeated at the same server if no other is left.
    same_server: bool


_BUSY = Rule(Action.RESEND, Health.NEUTRAL, same_server=True)
_REFUSED = Rule(Action.RESEND, Health.REFUSED, same_server=False)
_UNSENT = Rule(Action.RESEND, Health.REFUSED, same_server=True)
_FAULT = Rule(Action.RETRY, Health.BAD, same_server=True)


class AttemptOutcome(Enum):
    """Describe how an attempt ended, as far as the sender knows, with its Rule."""

    ANSWERED = "answered", Rule(Action.MERGE, Health.GOOD, same_server=False)
    SNAPSHOT_GONE = (
        "snapshot_gone",
        Rule(Action.RESTART, Health.NEUTRAL, same_server=False),
    )
    BUSY = "busy", Rule(Action.PASS_ON, Health.NEUTRAL, same_server=True)
    SHED = "shed", _BUSY
    COLD = "cold", _BUSY
    QUEUE_FULL = "queue_full", _BUSY
    DRAINING = "draining", _REFUSED
    NOT_HOLDER = "not_holder", _REFUSED
    FENCED = "fenced", _REFUSED
    DOMAIN_OUT = "domain_out", _REFUSED
    # The deadline passed, at the holder or at the sender.
    TIMED_OUT = "timed_out", Rule(Action.RETRY, Health.BAD, same_server=False)
    FAILED = "failed", _FAULT
    # The holder never reports the following outcomes; the sender derives them.
    NOT_SENT = "not_sent", _UNSENT
    # The connection to the holder broke; the server is ejected for a short time.
    BROKEN = "broken", Rule(Action.RETRY, Health.REFUSED, same_server=True)
    NO_REPLY = "no_reply", _FAULT
    MALFORMED = "malformed", _FAULT
    OTHER_SNAPSHOT = (
        "other_snapshot",
        Rule(Action.RETRY, Health.NEUTRAL, same_server=True),
    )
    # Another attempt of the shard answered first.
    LOST_RACE = "lost_race", Rule(Action.NONE, Health.BAD, same_server=False)
    # The query was restarted on another snapshot.
    CANCELLED = "cancelled", Rule(Action.NONE, Health.NEUTRAL, same_server=False)

    def __new__(cls, value, rule):
        member = object.__new__(cls)
        member._value_ = value
        member.rule = rule
        return member

    # Members are singletons; Enum's own hash costs a call into Python.
    __hash__ = object.__hash__


_OUTCOMES = {outcome: AttemptOutcome(outcome.value) for outcome in SubqueryOutcome}


def read_outcome(reply, snapshot):
    """Return the AttemptOutcome of a reply; ``snapshot`` is the requested one."""
    if reply.outcome is SubqueryOutcome.ANSWERED and reply.snapshot != snapshot:
        return AttemptOutcome.OTHER_SNAPSHOT
    if reply.outcome is SubqueryOutcome.FAILED and not reply.sent:
        return AttemptOutcome.NOT_SENT
    return _OUTCOMES[reply.outcome]


@dataclass(slots=True, eq=False)
class ShardProgress:
    """Track the state of one shard during a fan-out."""

    plan: ShardPlan
    # Names of the servers for which an attempt was sent to the holder.
    tried: set[str] = field(default_factory=set)
    # Servers in ``tried`` whose holder answered BUSY, so the sub-query did not reach
    # the server.
    busy: set[str] = field(default_factory=set)
    in_flight: "list[Attempt]" = field(default_factory=list)
    retries: int = 0
    resends: int = 0
    done: bool = False
    reply: ShardReply | None = None
    # Why the shard is missing, if it has no reply.
    reason: str = AttemptOutcome.TIMED_OUT.value


@dataclass(slots=True, eq=False)
class Attempt:
    """Represent one attempt of a sub-query."""

    number: int
    kind: AttemptKind
    progress: ShardProgress
    replica: Replica
    started_at: float
    call: "BatchCall | None" = None
    outcome: AttemptOutcome | None = None
    time_s: float = 0.0


@dataclass(slots=True, eq=False)
class BatchCall:
    """Track one batch while its replies arrive."""

    address: str
    batch: SubqueryBatch
    # Attempts without a reply, by number.
    pending: dict[int, Attempt]
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Describe one attempt of a finished search."""

    # 0 for the first run of the query, 1 after a restart.
    run_number: int
    index: str
    shard: str
    server: str
    holder: str
    kind: AttemptKind
    outcome: AttemptOutcome
    time_ms: float


def make_record(run_number, attempt):
    """Return the record of a finished attempt."""
    plan, replica = attempt.progress.plan, attempt.replica
    return AttemptRecord(
        run_number=run_number,
        index=plan.index,
        shard=plan.shard,
        server=replica.server,
        holder=replica.address,
        kind=attempt.kind,
        outcome=attempt.outcome,
        time_ms=attempt.time_s * 1000,
    )
