"""Guard against repeats and cold requests that exceed the limits over all gateways."""

import random

import pytest

from wisteriaworks.gateway.cold_limit import ColdLimit
from wisteriaworks.gateway.fleet_shares import FleetShares, Role
from wisteriaworks.gateway.retry_budget import (
    BURST_PART,
    DEBT_PART,
    USED_SHARE,
    RetryBudget,
)
from wisteriaworks.generated.settings import BudgetSettings

CFG = BudgetSettings(
    retry_ratio=0.2, window_s=10.0, slack=58.0, cold_burst=1.5, cold_slack=5.0
)


def simulate_outage(gateways, per_s, seed, until_s=40.0):
    """Repeat each request that the budget allows.

    Returns the times of the requests and of the repeats.
    """
    rng = random.Random(seed)
    budgets = [RetryBudget(CFG, 0.0) for _ in range(gateways)]
    for budget in budgets:
        budget.set_shares(FleetShares(gateways), 0.0)
    now, requests, repeats = 0.0, [], []
    while now < until_s:
        now += rng.expovariate(per_s)
        budget = rng.choice(budgets)
        budget.count_request("s", now)
        requests.append(now)
        if budget.may_repeat("s", now):
            budget.count_repeat("s", now)
            repeats.append(now)
    return requests, repeats


@pytest.mark.parametrize("gateways", [1, 3, 10])
@pytest.mark.parametrize("per_s", [1.0, 45.0, 300.0])
@pytest.mark.parametrize("seed", range(3))
def test_repeats_of_all_gateways_stay_within_the_limit_in_any_window(
    gateways, per_s, seed
):
    """In an outage every request would be repeated, beyond the system's limit."""
    requests, repeats = simulate_outage(gateways, per_s, seed)
    for start in repeats:
        end = start + CFG.window_s
        arrived = sum(start <= at < end for at in requests)
        repeated = sum(start <= at < end for at in repeats)
        assert repeated <= CFG.retry_ratio * arrived + CFG.slack


def spend(budget, now, is_hedge=False, service="s"):
    """Send all repeats that the budget allows now, and return their number."""
    count = 0
    while budget.may_repeat(service, now, is_hedge):
        budget.count_repeat(service, now)
        count += 1
    return count


def test_budget_returns_within_the_window():
    """A full credit and what is earned in a window are the allowance of a window."""
    cfg = BudgetSettings(retry_ratio=0.0, slack=20.0, window_s=10.0)
    budget = RetryBudget(cfg, -60.0)
    allowance = int(USED_SHARE * cfg.slack)
    first = spend(budget, 1.0)
    assert first == int((BURST_PART + DEBT_PART) * allowance)
    assert spend(budget, 1.0) == 0
    # Within the window, no more than its allowance.
    assert spend(budget, 10.9) == allowance - first
    assert spend(budget, 11.0) == 0
    assert spend(budget, 32.0) == first


def test_service_that_returns_does_not_begin_with_a_full_credit():
    """A configuration without it, followed by one with it, doubled the repeats."""
    cfg = BudgetSettings(retry_ratio=0.0, slack=20.0, window_s=10.0)
    budget = RetryBudget(cfg, -60.0)
    budget.retain({"s", "t"}, {"s"}, -60.0)
    assert spend(budget, 1.0) > 0
    budget.retain({"t"}, {"t"}, 1.1)
    budget.retain({"s", "t", "new"}, {"s", "new"}, 1.2)
    assert spend(budget, 1.3) == 0
    # A service that no configuration named before has had no repeats.
    assert spend(budget, 1.3, service="new") > 0


@pytest.mark.parametrize("routed", [{"s"}, {"t"}])
def test_service_keeps_its_credit_when_it_becomes_a_shard(routed):
    """After the index was cut into other shards, all hedges were denied for seconds."""
    cfg = BudgetSettings(retry_ratio=0.0, slack=200.0, window_s=10.0)
    budget = RetryBudget(cfg, -60.0)
    budget.set_shares(FleetShares(20, 2, Role.DELEGATE), -60.0)
    budget.retain({"s", "t"}, routed, -60.0)
    budget.set_delegated_services(frozenset({"s"}), 1.0)
    # If requests were sent to it before, the former share holds.
    share = FleetShares(20, 2, Role.DELEGATE).compute(is_delegated="t" in routed)
    full = int((BURST_PART + DEBT_PART) * USED_SHARE * cfg.slack * share)
    assert spend(budget, 1.0) == full


def test_hedges_leave_budget_for_failed_requests():
    """Otherwise hedges to slow servers leave no budget for refused requests."""
    cfg = BudgetSettings(retry_ratio=0.0, slack=40.0, window_s=10.0)
    budget = RetryBudget(cfg, -60.0)
    assert spend(budget, 1.0, is_hedge=True)
    assert spend(budget, 1.0)


@pytest.mark.parametrize("gateways", [1, 4, 10, 40])
@pytest.mark.parametrize("cold_per_s", [0.5, 4.0, 30.0])
def test_cold_server_gets_no_more_than_its_bound(gateways, cold_per_s):
    """Otherwise all gateways together overload a domain that restarts cold."""
    rng = random.Random(gateways)
    limits = [ColdLimit(CFG) for _ in range(gateways)]
    for position, limit in enumerate(limits):
        limit.gateway_count, limit.position = gateways, position
    sent, now = [], 0.0
    while now < 5.0:
        now += rng.expovariate(200.0)
        limit = rng.choice(limits)
        if limit.may_send("i1", cold_per_s, now):
            limit.count("i1", now)
            sent.append(now)
    bound = cold_per_s * CFG.cold_burst + CFG.cold_slack
    for start in sent:
        assert sum(start <= at < start + 1.0 for at in sent) <= bound
    assert sent


def test_gateway_that_restarts_does_not_spend_its_slack_twice():
    """Otherwise gateways that all restart in an outage exceed the limit together."""
    cfg = BudgetSettings(retry_ratio=0.0, slack=58.0, window_s=10.0)
    sent = []
    for started_at, until in ((0.0, 15.0), (15.5, 40.0)):
        budget = RetryBudget(cfg, started_at)
        now = started_at
        while (now := now + 0.01) < until:
            if budget.may_repeat("s", now):
                budget.count_repeat("s", now)
                sent.append(now)
    for start in sent:
        assert sum(start <= at < start + cfg.window_s for at in sent) <= cfg.slack
