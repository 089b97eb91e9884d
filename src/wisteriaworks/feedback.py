"""Report finished attempts to the router and to the latency estimates."""

from wisteriaworks.attempts import Action, AttemptKind, AttemptOutcome, Health
from wisteriaworks.events import Event, log_event
from wisteriaworks.routing import SLOW_FACTOR


def report_load(router, replica, outcome, load, now):
    """Report the load in a reply, if its outcome gives information about load."""
    rule = outcome.rule
    if rule.action is Action.MERGE:
        router.report_load(replica, load, now)
    elif rule.action is Action.PASS_ON or (
        rule.action is Action.RESEND and rule.health is Health.NEUTRAL
    ):
        # A server without a free slot is at least fully loaded.
        router.report_load(replica, max(load, replica.slots), now)


def report_attempt(shared, attempt, now):
    """Report an attempt's health to the router, and its time to the estimate."""
    p95_s = shared.latency.read_p95(attempt.progress.plan.index, now)
    _report_health(shared.router, attempt, p95_s, now)
    if _counts_for_latency(attempt, p95_s):
        index = attempt.progress.plan.index
        shared.latency.observe(index, attempt.time_s, now)


def _counts_for_latency(attempt, p95_s):
    """Return whether the time of an attempt belongs in the estimate of its index.

    Unanswered primaries that ended after the p95 are counted with the time until
    their end; otherwise each hedge that wins would lower the estimate. Primaries
    that ended earlier, at a short deadline, say nothing about the p95.
    """
    if attempt.kind is not AttemptKind.PRIMARY:
        return False
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return True
    unanswered = attempt.outcome in (AttemptOutcome.LOST_RACE, AttemptOutcome.TIMED_OUT)
    return unanswered and attempt.time_s >= p95_s


def _report_health(router, attempt, p95_s, now):
    replica = attempt.replica
    match _assess_health(attempt, p95_s):
        case Health.GOOD:
            router.report_good(replica)
        case Health.BAD if router.report_bad(replica, now):
            _log_ejection(attempt)
        case Health.REFUSED if router.report_refused(replica, now):
            _log_ejection(attempt)


def _assess_health(attempt, p95_s):
    match attempt.outcome:
        case AttemptOutcome.ANSWERED if attempt.time_s > SLOW_FACTOR * p95_s:
            return Health.BAD
        case AttemptOutcome.LOST_RACE if attempt.kind is AttemptKind.HEDGE:
            return Health.NEUTRAL
        # A caller's short deadline is not a fault of the server.
        case AttemptOutcome.TIMED_OUT if attempt.time_s < p95_s:
            return Health.NEUTRAL
    return attempt.outcome.rule.health


def _log_ejection(attempt):
    log_event(
        Event.REPLICA_EJECTED,
        server=attempt.replica.server,
        outcome=attempt.outcome.value,
        time_ms=round(attempt.time_s * 1000, 1),
    )
