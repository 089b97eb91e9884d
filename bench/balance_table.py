"""Print the tables of docs/design/balancing.md, by simulations without a network.

Before: the policies without the weights of requests in flight, and without the
preference of the own domain.
"""

import itertools
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests" / "gateway")]

from load_simulation import Load, LoadSimulation  # noqa: E402

from wisteriaworks.balancing import in_flight  # noqa: E402

SEEDS = range(1, 9)
WEIGHTS = in_flight.IN_FLIGHT_WEIGHT, in_flight.LATE_WEIGHT
SERVERS = {
    "replicas": 3,
    "speeds": (0.8, 1.0, 1.3),
    "stall_s": 0.25,
    "stall_period_s": 6.0,
    "max_held": 14,
    "slack": 200.0,
    "objective_ms": 350,
    "minimum_coverage": 0.95,
}


def make_even_load(gateways, data_age_s, queries_per_s):
    """Return a load of four shards with work of 30 ms, near 60% at 120 queries/s."""
    return Load(
        gateways=gateways,
        shards=4,
        queries_per_s=queries_per_s,
        work_s=0.03,
        data_age_s=data_age_s,
        **SERVERS,
    )


def make_distance_load(prefers_near, domain_weights, work_s, objective_ms):
    """Return the load of deployment B at six delegates, with fewer shards."""
    fields = SERVERS | {"objective_ms": objective_ms}
    return Load(
        gateways=6,
        shards=30,
        queries_per_s=26.0,
        work_s=work_s,
        domains=3,
        prefers_near=prefers_near,
        domain_weights=domain_weights,
        connect_s=0.008,
        **fields,
    )


def run(load, is_new=True):
    """Return the means over the seeds of what the tables show."""
    weights = WEIGHTS if is_new else (1.0, 0.0)
    in_flight.IN_FLIGHT_WEIGHT, in_flight.LATE_WEIGHT = weights
    rows = []
    for seed in SEEDS:
        simulation = LoadSimulation(load, seed).run()
        rows.append(
            (
                simulation.compute_busiest_share(),
                simulation.compute_answer_quantile(0.99) * 1000,
                simulation.refusals,
                simulation.far_sends / simulation.sends,
                len(simulation.repeats) / simulation.sends,
                simulation.mean_score,
            )
        )
    return [sum(column) / len(rows) for column in zip(*rows, strict=True)]


def print_even_loads():
    """Print the table of even load."""
    for rate, gateways, age in itertools.product(
        (60.0, 120.0), (4, 6, 24, 94, 139), (0.0, 1.0, 2.0)
    ):
        load = make_even_load(gateways, age, rate)
        old, new = run(load, is_new=False), run(load)
        print(
            f"| {rate:.0f} | {gateways} | {age:.0f} s | {old[0]:.2f}, {new[0]:.2f} "
            f"| {old[1]:.0f}, {new[1]:.0f} ms | {old[2]:.0f}, {new[2]:.0f} |",
            flush=True,
        )


def print_distances():
    """Print the table of parts that cross domains."""
    for (work_s, objective_ms), weights in itertools.product(
        ((0.012, 97), (0.03, 350), (0.08, 804)), ((1, 1, 1), (4, 1, 1), (1, 0, 0))
    ):
        rows = [
            run(make_distance_load(near, weights, work_s, objective_ms))
            for near in (False, True)
        ]
        (_, p99, _, far, repeats, score), new = rows
        print(
            f"| {work_s * 1000:.0f} | {objective_ms} | {weights} "
            f"| {far:.3f}, {new[3]:.3f} | {p99:.0f}, {new[1]:.0f} ms "
            f"| {repeats:.3f}, {new[4]:.3f} | {score:.3f}, {new[5]:.3f} |",
            flush=True,
        )


if __name__ == "__main__":
    print_distances()
    print_even_loads()
