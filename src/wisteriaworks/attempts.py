"""Describe attempts of sub-queries and what follows from their outcomes."""

from dataclasses import dataclass
from enum import Enum

from wisteriaworks.catalog import Replica
from wisteriaworks.generated.subqueries import SubqueryOutcome


class AttemptKind(Enum):
    """Say why an attempt was made."""

    PRIMARY = "primary"
    HEDGE = "hedge"
    RETRY = "retry"
    RESEND = "resend"


class AttemptOutcome(Enum):
    """Say how an attempt ended, as far as the sender knows."""

    ANSWERED = "answered"
    SNAPSHOT_GONE = "snapshot_gone"
    SHED = "shed"
    DRAINING = "draining"
    COLD = "cold"
    NOT_HOLDER = "not_holder"
    QUEUE_FULL = "queue_full"
    TIMED_OUT = "timed_out"
    FAILED = "failed"
    FENCED = "fenced"
    DOMAIN_OUT = "domain_out"
    # The rest is not reported by the holder but found out by the sender.
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    NO_REPLY = "no_reply"
    OTHER_SNAPSHOT = "other_snapshot"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"


class Action(Enum):
    """Say what follows from the outcome of an attempt."""

    MERGE = "merge"
    RESTART = "restart"
    # Nothing ran: ask again outside the retry budget.
    RESEND = "resend"
    # Something may have run: ask again under the retry budget.
    RETRY = "retry"


class Health(Enum):
    """Say what an outcome tells about the replica."""

    GOOD = "good"
    NEUTRAL = "neutral"
    BAD = "bad"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Rule:
    """Hold what follows from one outcome."""

    action: Action
    health: Health
    # The same server may be asked again if it is the only one.
    same_server: bool


_BUSY = Rule(Action.RESEND, Health.NEUTRAL, same_server=True)
_REFUSED = Rule(Action.RESEND, Health.REFUSED, same_server=False)
_FAULT = Rule(Action.RETRY, Health.BAD, same_server=True)

RULES = {
    AttemptOutcome.ANSWERED: Rule(Action.MERGE, Health.GOOD, same_server=False),
    AttemptOutcome.SNAPSHOT_GONE: Rule(
        Action.RESTART, Health.NEUTRAL, same_server=False
    ),
    AttemptOutcome.SHED: _BUSY,
    AttemptOutcome.COLD: _BUSY,
    AttemptOutcome.QUEUE_FULL: _BUSY,
    AttemptOutcome.DRAINING: _REFUSED,
    AttemptOutcome.NOT_HOLDER: _REFUSED,
    AttemptOutcome.FENCED: _REFUSED,
    AttemptOutcome.DOMAIN_OUT: _REFUSED,
    AttemptOutcome.NOT_SENT: Rule(Action.RESEND, Health.REFUSED, same_server=True),
    # The time that the holder was given has passed.
    AttemptOutcome.TIMED_OUT: Rule(Action.RETRY, Health.BAD, same_server=False),
    AttemptOutcome.FAILED: _FAULT,
    AttemptOutcome.BROKEN: _FAULT,
    AttemptOutcome.NO_REPLY: _FAULT,
    AttemptOutcome.MALFORMED: _FAULT,
    AttemptOutcome.OTHER_SNAPSHOT: Rule(Action.RETRY, Health.NEUTRAL, same_server=True),
}

_OUTCOMES = {outcome: AttemptOutcome(outcome.value) for outcome in SubqueryOutcome}


def read_outcome(reply, snapshot):
    """Return the outcome of a reply to a sub-query of one snapshot."""
    if reply.outcome is SubqueryOutcome.ANSWERED and reply.snapshot != snapshot:
        return AttemptOutcome.OTHER_SNAPSHOT
    if reply.outcome is SubqueryOutcome.FAILED and not reply.sent:
        return AttemptOutcome.NOT_SENT
    return _OUTCOMES[reply.outcome]


@dataclass(slots=True, eq=False)
class Attempt:
    """Hold one attempt while it is in flight."""

    number: int
    kind: AttemptKind
    shard: object
    replica: Replica
    started_at: float
    call: object = None
    outcome: AttemptOutcome | None = None
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Explain one attempt of a finished search."""

    # 0 for the first start of the query, 1 after a restart.
    start: int
    index: str
    shard: str
    server: str
    holder: str
    kind: AttemptKind
    outcome: AttemptOutcome
    time_ms: float
