"""Print the limits that hold for requests which gateways hand to one another.

139 gateways on simulated time: most serve callers, some gather parts for them. A share
of the gateways and of the servers is slow.
"""

import random
import sys
from dataclasses import dataclass, field
from pathlib import Path

import trio
from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests" / "gateway")]

from gathering_simulation import (  # noqa: E402
    ATTEMPTS,
    DOMAINS,
    SimulatedGateway,
    SimulatedServers,
    run_simulation,
)

from wisteriaworks.platform.headers import MISSING_PARTS  # noqa: E402
from wisteriaworks.quantiles import LatencyHistogram  # noqa: E402

CALLERS, DELEGATES = 133, 6
QUERIES_PER_S, DURATION_S = 60.0, 5.0
ANSWER_S, SLOW_ANSWER_S = 0.01, 0.06
SLOW_SERVERS = 0.15
SEEDS = range(1, 4)


@dataclass(frozen=True, slots=True)
class Load:
    """Define which gateways are slow, and by how much."""

    slow_callers: float
    slow_delegates: float
    lag_s: float


@dataclass
class Outcomes:
    """Count the answers of some plays, and what exceeds the limits of a request."""

    latencies: LatencyHistogram = field(default_factory=LatencyHistogram)
    answered: int = 0
    incomplete: int = 0
    failed: int = 0
    over_attempts: int = 0
    uncounted_repeats: int = 0


def make_gateways(load, rng):
    """Return the gateways of callers, then the delegates."""
    shares = [load.slow_callers] * CALLERS + [load.slow_delegates] * DELEGATES
    return [
        SimulatedGateway(
            f"g{number}",
            DOMAINS[number % len(DOMAINS)],
            load.lag_s if rng.random() < share else 0.0005,
        )
        for number, share in enumerate(shares)
    ]


def make_servers(seed):
    """Return servers of which the same ones are slow to every gateway."""

    def answer_after_s(server_id):
        is_slow = random.Random(f"{seed} {server_id}").random() < SLOW_SERVERS
        return SLOW_ANSWER_S if is_slow else ANSWER_S

    return SimulatedServers(answer_after_s)


def play(load, seed, outcomes):
    """Play one load and add what it shows to the outcomes."""
    rng = random.Random(seed)

    async def ask(simulation, caller):
        began_at = trio.current_time()
        status, headers, _ = await simulation.ask(caller)
        outcomes.latencies.record((trio.current_time() - began_at) * 1000)
        outcomes.answered += 1
        outcomes.failed += status != 200
        outcomes.incomplete += dict(headers).get(MISSING_PARTS, b"0") != b"0"

    async def ask_all(simulation):
        async with trio.open_nursery() as nursery:
            while trio.current_time() < DURATION_S:
                nursery.start_soon(ask, simulation, rng.randrange(CALLERS))
                await trio.sleep(rng.expovariate(QUERIES_PER_S))

    gateways, servers = make_gateways(load, rng), make_servers(seed)
    run_simulation(gateways, servers, ask_all, seed, CALLERS)
    counts = servers.count_servers().values()
    outcomes.over_attempts += sum(count > ATTEMPTS for count in counts)
    counted = sum(gateway.counted_repeats for gateway in gateways)
    outcomes.uncounted_repeats += max(0, servers.count_repeats() - counted)


def print_loads():
    """Print a row for each load, over all seeds."""
    logger.remove()
    for callers, delegates, lag_s in (
        (0.0, 0.0, 0.0),
        (0.5, 0.0, 0.03),
        (0.0, 0.5, 0.03),
        (0.5, 0.5, 0.03),
        (0.5, 0.5, 0.1),
    ):
        outcomes = Outcomes()
        for seed in SEEDS:
            play(Load(callers, delegates, lag_s), seed, outcomes)
        p50, p99 = (outcomes.latencies.read(percent) for percent in (50, 99))
        print(
            f"| {callers:.0%} | {delegates:.0%} | {lag_s * 1000:.0f} ms "
            f"| {outcomes.answered} | {outcomes.failed} | {outcomes.incomplete} "
            f"| {p50:.0f}, {p99:.0f} ms "
            f"| {outcomes.over_attempts} | {outcomes.uncounted_repeats} |",
            flush=True,
        )


if __name__ == "__main__":
    print_loads()
