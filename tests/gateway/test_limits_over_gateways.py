"""Guard against limits of one request that several gateways use up, each for itself.

A group of shards goes from one gateway to the next when a delegate is slow, frozen or
lost. All sends of all gateways count for the caller's request.
"""

import os
import random

import pytest
import trio
from gathering_simulation import (
    ATTEMPTS,
    DEADLINE_S,
    SHARDS,
    SimulatedGateway,
    SimulatedServers,
    Stall,
    run_simulation,
)
from hypothesis import given, settings, strategies as st

SOAK = int(os.environ.get("WISTERIA_SOAK", "1"))
# Longer than a hedge waits for the answer of the first server.
SLOW_ANSWER_S = 0.5
# A deadline that a server is told may exceed the caller's by this much.
DEADLINE_SLACK_S = 0.5
# Names and domains of the caller's gateway and of its delegates.
GATEWAYS = (("own", "a"), ("d1", "a"), ("d2", "b"), ("d3", "c"))


def make_gateways(*lags_s, stalls=()):
    """Return the caller's gateway and its delegates."""
    stalls = dict(stalls)
    return [
        SimulatedGateway(name, domain, lag_s, tuple(stalls.get(name, ())))
        for (name, domain), lag_s in zip(GATEWAYS, lags_s, strict=False)
    ]


def make_slow_servers():
    return SimulatedServers(answer_after_s=lambda server_id: SLOW_ANSWER_S)


async def ask_once(simulation):
    await simulation.ask()


def assert_within_limits(simulation, asked_at=0.0):
    servers = simulation.servers
    counts = servers.count_servers()
    assert max(counts.values(), default=0) <= ATTEMPTS
    counted = sum(gateway.counted_repeats for gateway in simulation.gateways)
    assert servers.count_repeats() <= counted
    latest = max((arrival.deadline_at for arrival in servers.arrivals), default=0.0)
    assert latest <= asked_at + DEADLINE_S + DEADLINE_SLACK_S


def test_delegate_that_accepts_late_and_the_next_one_use_too_many_servers():
    """The first one hedges before it reads the cancellation."""
    simulation = run_simulation(
        make_gateways(0.0005, 0.03, 0.0005), make_slow_servers(), ask_once
    )
    assert_within_limits(simulation)


def test_delegates_whose_acceptance_the_own_gateway_reads_late_use_too_many_servers():
    simulation = run_simulation(
        make_gateways(0.03, 0.0005, 0.0005, 0.0005), make_slow_servers(), ask_once
    )
    assert_within_limits(simulation)


def test_three_delegates_and_the_own_gateway_use_a_server_each():
    simulation = run_simulation(
        make_gateways(0.0005, 0.03, 0.03, 0.03), make_slow_servers(), ask_once
    )
    assert_within_limits(simulation)


def test_refused_sends_of_a_late_delegate_add_up_with_those_of_the_next_one():
    """A refused request is sent to another server at once."""
    simulation = run_simulation(
        make_gateways(0.0005, 0.03, 0.0005),
        SimulatedServers(refuses=lambda server_id: server_id.endswith("-a")),
        ask_once,
    )
    assert_within_limits(simulation)


def test_delegate_that_wakes_up_sends_what_another_one_has_sent():
    """The retry budget does not count the sends of the second gateway."""
    stalls = {"d1": [Stall(0.0, 0.2)]}
    simulation = run_simulation(
        make_gateways(0.0005, 0.0005, 0.0005, stalls=stalls),
        SimulatedServers(),
        ask_once,
    )
    assert simulation.servers.count_repeats() == 0


def test_lost_delegate_with_another_list_and_the_next_one_use_too_many_servers():
    """No shard has more servers than attempts, by the list of the own gateway."""
    gateways = make_gateways(0.0005, 0.0005, 0.0005)
    gateways[0].lists = gateways[2].lists = "ab"
    gateways[1].lost_at = 0.06
    simulation = run_simulation(gateways, make_slow_servers(), ask_once)
    assert_within_limits(simulation)


def test_next_delegate_with_another_list_than_a_lost_one_uses_too_many_servers():
    gateways = make_gateways(0.0005, 0.0005, 0.0005)
    gateways[0].lists = gateways[1].lists = "ab"
    gateways[2].domain = "c"
    gateways[1].lost_at = 0.06
    simulation = run_simulation(gateways, make_slow_servers(), ask_once)
    assert_within_limits(simulation)


def test_group_of_a_lost_delegate_runs_again_where_attempts_allow_it():
    """The limit would also hold if nothing was sent again."""
    gateways = make_gateways(0.0005, 0.0005, 0.0005)
    for gateway in gateways:
        gateway.lists = "ab"
    gateways[1].lost_at = 0.02
    simulation = run_simulation(gateways, make_slow_servers(), ask_once)
    assert_within_limits(simulation)
    assert gateways[2].counted_repeats >= len(SHARDS)


def test_late_delegate_costs_no_part_of_the_answer():
    """A group that is handed on without attempts would lose its parts."""
    answers = []

    async def ask(simulation):
        answers.append(await simulation.ask())

    run_simulation(make_gateways(0.0005, 0.06, 0.0005), SimulatedServers(), ask)
    ((status, headers, _),) = answers
    assert status == 200
    assert dict(headers)[b"x-wisteriaworks-missing-shards"] == b"0"


lags_s = st.sampled_from([0.0005, 0.005, 0.02, 0.026, 0.03, 0.06, 0.3])
stall_lists = st.lists(
    st.builds(Stall, st.floats(0.0, 0.3), st.floats(0.01, 1.5)), max_size=2
)


@st.composite
def fleets(draw):
    count = draw(st.integers(2, 4))
    return [
        SimulatedGateway(name, domain, draw(lags_s), tuple(draw(stall_lists)))
        for name, domain in GATEWAYS[:count]
    ]


@settings(max_examples=60 * SOAK, derandomize=True, deadline=None)
@given(
    fleets(),
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.1, 0.4]),
    st.sampled_from([0.0, 0.1, 0.5]),
)
def test_limits_hold_whenever_gateways_are_late(gateways, seed, slow, refusing):
    rng = random.Random(seed)
    servers = SimulatedServers(
        answer_after_s=lambda server_id: SLOW_ANSWER_S if rng.random() < slow else 0.01,
        refuses=lambda server_id: rng.random() < refusing,
    )

    async def ask_repeatedly(simulation):
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(simulation.ask)
                await trio.sleep(0.07)

    simulation = run_simulation(gateways, servers, ask_repeatedly, seed)
    assert_within_limits(simulation, asked_at=0.3)


@pytest.mark.parametrize("refusing", [0.0, 0.3])
def test_all_parts_arrive_while_gateways_are_prompt(refusing):
    """The limits would also hold if nothing was sent."""
    answers, rng = [], random.Random(1)

    async def ask(simulation):
        answers.append(await simulation.ask())

    servers = SimulatedServers(refuses=lambda server_id: rng.random() < refusing)
    run_simulation(make_gateways(*[0.0005] * 4), servers, ask)
    ((status, headers, _),) = answers
    stamps = dict(headers)[b"x-wisteriaworks-shard-stamps"].split(b", ")
    assert (status, len(stamps)) == (200, len(SHARDS))
