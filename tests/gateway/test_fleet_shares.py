"""Guard against limits that are exceeded, or unused, when few gateways send most."""

import random

import pytest
from gateway_fakes import make_route

from wisteriaworks.gateway.fleet_shares import (
    MAX_RESERVE,
    MIN_DELEGATED_SHARDS,
    FleetShares,
    Role,
    list_delegated_services,
)
from wisteriaworks.gateway.retry_budget import RetryBudget
from wisteriaworks.generated.document import Document
from wisteriaworks.generated.settings import BudgetSettings

CFG = BudgetSettings(retry_ratio=0.0, window_s=10.0, slack=440.0)


def list_roles(gateways, delegates, reserve):
    common = gateways - delegates - reserve
    return (
        [Role.DELEGATE] * delegates + [Role.RESERVE] * reserve + [Role.COMMON] * common
    )


@pytest.mark.parametrize("is_delegated", [False, True])
@pytest.mark.parametrize(
    ("gateways", "delegates", "reserve"),
    [(9, 0, 0), (84, 8, 16), (200, 6, 24), (400, 6, MAX_RESERVE), (3700, 32, 24)],
)
def test_shares_of_all_gateways_are_at_most_the_whole(
    gateways, delegates, reserve, is_delegated
):
    """Otherwise all gateways together exceed a limit of the servers."""
    roles = list_roles(gateways, delegates, reserve)
    shares = [
        FleetShares(gateways, delegates, role).compute(is_delegated) for role in roles
    ]
    assert sum(shares) <= 1 + 1e-9


def test_delegates_may_use_most_of_the_slack():
    """With equal parts six senders among 200 could use 13 of 440 repeats."""
    shares = FleetShares(200, 6, Role.DELEGATE)
    assert 6 * shares.compute(is_delegated=True) > 0.5
    assert 6 * shares.compute(is_delegated=False) == pytest.approx(0.03)


def test_delegate_opens_several_connections_to_a_server():
    """With equal parts each query waits for the one connection to a server."""
    shares = FleetShares(200, 6, Role.DELEGATE)
    assert shares.compute_connections(109.8, is_delegated=True) == 11
    assert FleetShares(200, 6).compute_connections(109.8, is_delegated=True) == 1


def test_services_of_short_routes_are_divided_equally():
    many = tuple(f"s{n}" for n in range(MIN_DELEGATED_SHARDS))
    routes = (make_route(shards=many), make_route(shards=("a", "b")))
    services = list_delegated_services(Document(routes=routes))
    assert services == frozenset(many)


@pytest.mark.parametrize("seed", range(3))
def test_repeats_stay_within_the_limit_while_roles_move(seed):
    """A gateway that becomes a delegate must not spend what the former one spent."""
    rng = random.Random(seed)
    budgets = [RetryBudget(CFG, -60.0) for _ in range(40)]
    delegates, repeats, now = set(range(4)), [], 0.0
    for number, budget in enumerate(budgets):
        role = Role.DELEGATE if number in delegates else Role.COMMON
        budget.set_delegated_services(frozenset(["s"]), -60.0)
        budget.set_shares(FleetShares(40, 4, role), -60.0)
    for _ in range(300):
        now += 0.1
        if rng.random() < 0.02:
            delegates.remove(rng.choice(sorted(delegates)))
            delegates.add(rng.choice(sorted(set(range(40)) - delegates)))
        for number, budget in enumerate(budgets):
            role = Role.DELEGATE if number in delegates else Role.COMMON
            budget.set_shares(FleetShares(40, 4, role), now)
            while budget.may_repeat("s", now):
                budget.count_repeat("s", now)
                repeats.append(now)
    for start in repeats:
        assert sum(start <= at < start + CFG.window_s for at in repeats) <= CFG.slack
    assert len(repeats) > CFG.slack


def test_role_that_returns_keeps_its_slack():
    """Each election lists the delegates anew; their slack must not start from 0."""
    counts = []
    for roles in ([Role.DELEGATE], [Role.DELEGATE, Role.COMMON, Role.DELEGATE]):
        budget = RetryBudget(CFG, -60.0)
        budget.set_delegated_services(frozenset(["s"]), -60.0)
        budget.set_shares(FleetShares(200, 6, roles[0]), -30.0)
        budget.count_request("s", -1.0)
        for number, role in enumerate(roles):
            budget.set_shares(FleetShares(200, 6, role), 0.1 * number)
        counts.append(0)
        while budget.may_repeat("s", 0.2):
            budget.count_repeat("s", 0.2)
            counts[-1] += 1
    kept, returned = counts
    assert returned >= 0.9 * kept > 10
