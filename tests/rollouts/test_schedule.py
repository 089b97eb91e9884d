"""Guard against promotions that exceed the allowed requests, and early successes."""

import itertools

import pytest

from wisteriaworks.generated.messages import RolloutPhase
from wisteriaworks.generated.settings import RolloutSettings
from wisteriaworks.rollouts.coordinator import CHECK_S
from wisteriaworks.rollouts.schedule import (
    MAX_LEAD_S,
    MAX_SETTLE_S,
    Situation,
    UsableServers,
    compute_lead,
    compute_watch,
    decide,
)
from wisteriaworks.rollouts.share import USED_PART

CFG = RolloutSettings()
RUNNING, PROMOTING = RolloutPhase.RUNNING, RolloutPhase.PROMOTING
SUCCEEDED, ROLLED_BACK = RolloutPhase.SUCCEEDED, RolloutPhase.ROLLED_BACK
DUE = {"elapsed_s": 11.8, "promoted_for_s": 1.8, "phase": PROMOTING}


def choose_phase(new=3, warm=3, **fields):
    defaults = {
        "phase": RUNNING,
        "elapsed_s": 5.0,
        "duration_s": 12.0,
        "lead_s": 1.8,
        "watch_s": 1.2,
        "promoted_for_s": 0.0,
        "leading_s": 60.0,
        "are_all_watching": False,
        "bad_reason": "",
        "final_bad_reason": "",
        "is_doubtful": False,
        "unconfirmed": 0,
        "have_all_reported": True,
        "count_servers": lambda: UsableServers(new, min(new, warm), old=3),
    }
    decision = decide(Situation(**(defaults | fields)))
    return None if decision is None else decision.phase


@pytest.mark.parametrize(
    ("fields", "phase"),
    [
        ({}, None),
        ({"bad_reason": "slow"}, ROLLED_BACK),
        ({"elapsed_s": 10.3}, PROMOTING),
        ({"elapsed_s": 10.3, "new": 1}, None),
        ({"elapsed_s": 10.3, "warm": 1}, None),
        ({"elapsed_s": 11.8, "new": 1}, PROMOTING),
        ({"elapsed_s": 11.8, "warm": 0}, PROMOTING),
        ({"elapsed_s": 11.8, "new": 0}, None),
        # A new leader has no totals, so it would promote a bad version too early.
        ({"elapsed_s": 10.3, "leading_s": 0.2, "have_all_reported": False}, None),
        ({"elapsed_s": 10.3, "leading_s": 0.2}, PROMOTING),
        ({"elapsed_s": 11.8, "leading_s": 0.2, "have_all_reported": False}, PROMOTING),
        # A new leader without a list rolled a good version back.
        ({"elapsed_s": 13.1, "count_servers": lambda: None}, None),
        # The old servers, which are the only ones that work, were stopped.
        (DUE | {"new": 0}, ROLLED_BACK),
        (DUE | {"count_servers": lambda: None}, SUCCEEDED),
        ({"elapsed_s": 13.1, "new": 0}, ROLLED_BACK),
        (DUE | {"elapsed_s": 11.0, "promoted_for_s": 1.0}, None),
        (DUE, SUCCEEDED),
        (DUE | {"bad_reason": "failed"}, ROLLED_BACK),
        (DUE | {"final_bad_reason": "failed in few answers"}, ROLLED_BACK),
        (DUE | {"promoted_for_s": 0.5}, None),
        (DUE | {"leading_s": 1.0}, None),
        (DUE | {"leading_s": 1.0, "are_all_watching": True}, SUCCEEDED),
        (DUE | {"unconfirmed": 1}, None),
        (DUE | {"is_doubtful": True}, None),
        (DUE | {"unconfirmed": 1, "promoted_for_s": MAX_SETTLE_S}, SUCCEEDED),
    ],
)
def test_phase_follows_the_situation(fields, phase):
    assert choose_phase(**fields) is phase


@pytest.mark.parametrize("rate", [0, 1, 5, 20, 100, 1000])
@pytest.mark.parametrize("duration_s", [2, 12, 60])
def test_share_and_promotion_together_keep_to_the_allowed_requests(rate, duration_s):
    """The version may turn out to be bad only after the promotion."""
    used = CFG.exposure_share * USED_PART
    for elapsed_s in (step * CHECK_S for step in itertools.count()):
        sent = rate * elapsed_s
        lead_s = compute_lead(CFG, duration_s, elapsed_s, sent, used * sent)
        if duration_s - elapsed_s <= lead_s:
            break
    exposed = used * rate * elapsed_s + rate * (duration_s - elapsed_s)
    assert exposed <= CFG.exposure_share * rate * duration_s + CFG.exposure_slack
    assert lead_s <= MAX_LEAD_S


@pytest.mark.parametrize(
    ("rate", "watch_s"), [(0, 1.2), (20, 1.2), (50, 0.8), (500, 0.5)]
)
def test_version_with_many_answers_is_watched_for_less_time(rate, watch_s):
    """A good version with many requests should succeed by its deadline too."""
    assert compute_watch(10.0, 10 * rate) == pytest.approx(watch_s)
