"""Guard against hedges that come too late to meet the objective."""

import pytest
from gateway_fakes import make_route, make_settings

from wisteriaworks.gateway.forwarder import HEDGE_OBJECTIVE_SHARE, Forwarder
from wisteriaworks.platform import wire


@pytest.fixture
async def forwarder(nursery, autojump_clock):
    return Forwarder(make_settings(), wire, nursery)


def observe(forwarder, route, times):
    for number in range(100):
        forwarder.observe(route, times[number % len(times)], 1.0)


async def test_late_is_later_than_nine_in_ten(forwarder):
    route = make_route(objective_ms=1000)
    observe(forwarder, route, [0.02] * 19 + [0.5])
    assert 0.02 <= forwarder._choose_hedge_time(route, 1.0) < 0.03


async def test_many_slow_servers_do_not_delay_the_hedge_past_the_objective(forwarder):
    """Pattern: a fifth of the servers is four times slower."""
    route = make_route(objective_ms=145)
    observe(forwarder, route, [0.02] * 4 + [0.5])
    limit_s = HEDGE_OBJECTIVE_SHARE * 0.145
    assert forwarder._choose_hedge_time(route, 1.0) == pytest.approx(limit_s)


async def test_route_without_an_objective_follows_its_servers(forwarder):
    route = make_route(objective_ms=0)
    observe(forwarder, route, [0.5])
    assert forwarder._choose_hedge_time(route, 1.0) > 0.4
