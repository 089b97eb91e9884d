"""Measure the cost of each part of the system by size, and extrapolate it.

Each size of each part is measured in a separate process, so that the memory of
one part is not counted for another. ``--part`` selects parts by name.
"""

import argparse
import concurrent.futures
import multiprocessing
import platform

import capacity_accounts
import capacity_control
import capacity_entry
import capacity_gateway
import capacity_members
import capacity_placement
import capacity_subquery
from capacity_fit import render_table
from loguru import logger

_MODULES = (
    capacity_control,
    capacity_placement,
    capacity_members,
    capacity_entry,
    capacity_subquery,
    capacity_gateway,
    capacity_accounts,
)
PARTS = {part.name: part for module in _MODULES for part in module.PARTS}


def measure_one(name, size):
    """Return the values of one part at one size."""
    logger.remove()
    return PARTS[name].measure(size)


def measure_in_child(name, size):
    """Return the values of one part at one size, measured in a new process."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
        return pool.submit(measure_one, name, size).result()


def main():
    """Print one table per part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--part", default="", help="measure only parts whose name contains this text"
    )
    parser.add_argument(
        "--sizes", type=int, nargs="+", help="sizes to use instead of the default sizes"
    )
    args = parser.parse_args()
    print(f"Python {platform.python_version()}")
    for part in PARTS.values():
        if args.part in part.name:
            sizes = args.sizes or part.sizes
            rows = {size: measure_in_child(part.name, size) for size in sizes}
            print("", *render_table(part, rows), sep="\n", flush=True)


if __name__ == "__main__":
    main()
