"""Decide when a rollout is promoted, has succeeded or is rolled back.

Load pattern: a version is bad only under load, so that its first bad answers come after
the promotion, when all requests go to it. The promotion therefore comes before the
deadline by no more time than the rest of the allowed requests takes. No I/O.
"""

from collections.abc import Callable
from dataclasses import dataclass

from wisteriaworks.generated.messages import RolloutPhase

# Longest time from the promotion to the deadline, and its largest part of the duration.
MAX_LEAD_S = 2.0
MAX_LEAD_PART = 0.3
# Part of the allowed extra requests that is left for requests that no report has yet,
# and factor for hedges, retries and bursts.
RESERVED_SLACK = 0.2
BURST_FACTOR = 1.15
# Time for the command and the operators' next read before the deadline.
COMMIT_S = 0.25
# Time that the new version is watched under all requests before it has succeeded, also
# past the deadline, or the time of as many requests, but no less than reports take.
MAX_WATCH_S = 1.2
MIN_WATCH_S = 0.5
WATCHED_REQUESTS = 40
# Time after the promotion for which the last gateways are awaited, also past the
# deadline: requests at old servers break when these are stopped. A doubtful version is
# watched as long, since it can't be rolled back after that.
MAX_SETTLE_S = 3.0
# A new leader waits so long for gateways to find it, unless all have.
MIN_LEADING_S = 2.0
# Time after the deadline at which a rollout without usable servers is rolled back.
NO_SERVER_GRACE_S = 1.0
# The promotion waits until the new version has this part of the old servers' number.
MIN_SERVER_PART = 0.5


@dataclass(frozen=True, slots=True)
class UsableServers:
    """Count the usable servers: new ones, warm ones of them, and others."""

    new: int
    warm: int
    old: int


@dataclass(frozen=True, slots=True)
class Situation:
    """Describe a rollout at one moment; times are in seconds.

    ``elapsed_s`` counts from the command, ``promoted_for_s`` from the promotion.
    ``unconfirmed`` is the number of gateways that have not reported that nothing runs
    at the old servers. ``lead_s`` and ``watch_s`` are the results of ``compute_lead``
    and ``compute_watch``. ``count_servers`` returns the UsableServers, or None if the
    leader has not read the list of servers; it is called only near the deadline.
    ``have_all_reported`` is whether this leader has the totals of all gateways.
    """

    phase: RolloutPhase
    elapsed_s: float
    duration_s: float
    lead_s: float
    watch_s: float
    promoted_for_s: float
    leading_s: float
    are_all_watching: bool
    bad_reason: str
    final_bad_reason: str
    is_doubtful: bool
    unconfirmed: int
    have_all_reported: bool
    count_servers: Callable[[], UsableServers | None]


@dataclass(frozen=True, slots=True)
class Decision:
    """Represent the next phase of a rollout and why it is due."""

    phase: RolloutPhase
    reason: str


def compute_lead(cfg, duration_s, elapsed_s, sent, sent_new):
    """Return how long before the deadline a rollout may be promoted, in seconds.

    ``cfg`` are the RolloutSettings, ``sent`` and ``sent_new`` the sends so far.
    """
    rate = sent / max(elapsed_s, 1.0)
    allowed = cfg.exposure_share * rate * duration_s
    allowed += cfg.exposure_slack * (1 - RESERVED_SLACK)
    longest_s = min(MAX_LEAD_S, MAX_LEAD_PART * duration_s)
    if rate == 0:
        return longest_s
    return min(longest_s, max(0.0, (allowed - sent_new) / (rate * BURST_FACTOR)))


def compute_watch(elapsed_s, sent):
    """Return how long a version is watched under all requests, in seconds."""
    if sent == 0:
        return MAX_WATCH_S
    watch_s = WATCHED_REQUESTS * max(elapsed_s, 1.0) / sent
    return min(MAX_WATCH_S, max(MIN_WATCH_S, watch_s))


def decide(situation):
    """Return the Decision that is due, or None."""
    if situation.bad_reason:
        return Decision(RolloutPhase.ROLLED_BACK, situation.bad_reason)
    if situation.phase is RolloutPhase.RUNNING:
        return _decide_running(situation)
    return _decide_promoting(situation)


def _decide_running(situation):
    left_s = situation.duration_s - situation.elapsed_s
    if left_s > situation.lead_s:
        return None
    # Without the totals of the gateways, neither the rate of requests nor the verdict
    # is known. A new leader would promote a bad version too early.
    are_known = situation.have_all_reported or situation.leading_s >= MIN_LEADING_S
    if not are_known and left_s > COMMIT_S:
        return None
    servers = situation.count_servers()
    if servers is None:
        return None
    if servers.new == 0:
        if left_s > -NO_SERVER_GRACE_S:
            return None
        return Decision(RolloutPhase.ROLLED_BACK, "no usable server")
    is_ready = servers.warm >= max(1, MIN_SERVER_PART * servers.old)
    if is_ready or left_s <= COMMIT_S:
        return Decision(RolloutPhase.PROMOTING, "due")
    return None


def _decide_promoting(situation):
    left_s = situation.duration_s - situation.elapsed_s
    is_watched = situation.promoted_for_s >= situation.watch_s and left_s <= COMMIT_S
    are_known = situation.are_all_watching or situation.leading_s >= MIN_LEADING_S
    if not is_watched or not are_known:
        return None
    is_unsettled = situation.unconfirmed or situation.is_doubtful
    if is_unsettled and situation.promoted_for_s < MAX_SETTLE_S:
        return None
    if situation.final_bad_reason:
        return Decision(RolloutPhase.ROLLED_BACK, situation.final_bad_reason)
    servers = situation.count_servers()
    if servers is not None and servers.new == 0:
        # The old servers are the only ones that work, and would be stopped.
        return Decision(RolloutPhase.ROLLED_BACK, "no usable server")
    return Decision(RolloutPhase.SUCCEEDED, f"{situation.unconfirmed} unconfirmed")
