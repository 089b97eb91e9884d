"""Measure the CPU time of a sub-query: planning and merge, messages, holder."""

import argparse
import contextlib
import functools
import multiprocessing
import socket
import time

import holder as holder_bench
import search as search_bench
import trio
from capacity_data import REPEATS
from capacity_fit import Part

from wisteriaworks import processes, rpc
from wisteriaworks.generated.subqueries import (
    SubqueryBatch,
    SubqueryItem,
    SubqueryOutcome,
    SubqueryReply,
)
from wisteriaworks.peers import Peers

EMULATOR_START_TIMEOUT_S = 30.0
POLL_S = 0.05
RESULTS = b'[{"id":"s-1","score":1,"fields":{"plate":"CB"}}]' * 10
# Approximate number of sub-queries in one round, in BATCHES // items batches.
BATCHES = 2000
HOLDER_SUBQUERIES = 4000
CONCURRENT_TASKS = 20
FAN_OUTS = (4, 20, 57)


def measure_search(holders, fan_out):
    """Measure planning, fan-out and merge of a search without the network."""
    args = argparse.Namespace(hits=10, searches=100, rounds=REPEATS)
    count = min(holders, 2 * fan_out)
    rounds = trio.run(search_bench.measure, fan_out, count, args)
    return {
        "one search, us": min(rounds),
        "one sub-query, us": min(rounds) / fan_out,
    }


def measure_holder(fan_out):
    """Measure the holder with HTTP to servers in another process."""
    holder_bench.PORT = _find_port()
    context = multiprocessing.get_context("fork")
    child = context.Process(target=holder_bench.run_emulator, daemon=True)
    child.start()
    _wait_for_servers()
    batches = HOLDER_SUBQUERIES // fan_out
    results = [
        trio.run(holder_bench.measure_holder, fan_out, batches) for _ in range(3)
    ]
    child.terminate()
    child.join()
    assert all(answered == total for _, answered, total in results)
    cost_us = min(cost for cost, *_ in results)
    return {"one batch, us": cost_us * fan_out, "one sub-query, us": cost_us}


def _find_port():
    """Return the first port of the servers; the control port precedes it."""
    ports = set(processes.find_free_ports(500))
    count = holder_bench.SERVERS + 1
    return 1 + next(p for p in sorted(ports) if ports.issuperset(range(p, p + count)))


def _wait_for_servers():
    last = holder_bench.PORT + holder_bench.SERVERS - 1
    deadline = time.monotonic() + EMULATOR_START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", last)).close()
            return
        time.sleep(POLL_S)
    raise TimeoutError("the emulated servers did not start")


def measure_peers(items):
    """Measure both sides of a batch message between entries and its replies."""
    return trio.run(_measure_peers, items)


async def _measure_peers(items):
    server = rpc.RpcServer({SubqueryBatch: _answer_batch})
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(server.serve, "127.0.0.1:0")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with Peers("127.0.0.1:1", None) as peers:
            costs_us = [await _time_batches(peers, address, items) for _ in range(3)]
        nursery.cancel_scope.cancel()
    return {"one batch, us": min(costs_us), "one sub-query, us": min(costs_us) / items}


async def _answer_batch(batch, send):
    for item in batch.items:
        send(
            SubqueryReply(
                item.attempt, SubqueryOutcome.ANSWERED, True, 1, results=RESULTS
            )
        )


async def _time_batches(peers, address, items):
    batch_items = tuple(SubqueryItem(n, f"s{n}", 1, f"s{n}") for n in range(items))
    count = BATCHES // items // CONCURRENT_TASKS + 1
    started_ns = time.process_time_ns()
    async with trio.open_nursery() as nursery:
        for task in range(CONCURRENT_TASKS):
            nursery.start_soon(_send_batches, peers, address, batch_items, count, task)
    return (time.process_time_ns() - started_ns) / 1e3 / (count * CONCURRENT_TASKS)


async def _send_batches(peers, address, batch_items, count, task):
    for number in range(count):
        name = f"{task}-{number}"
        batch = SubqueryBatch(name, "r", 1, 1, 5000.0, True, b"{}", batch_items)
        async with peers.stream(address, batch, 5.0) as replies:
            received = [reply async for reply in replies]
        assert len(received) == len(batch_items)


PARTS = (
    Part(
        "entry: search over 10 holders",
        "sub-query",
        FAN_OUTS,
        (2, 3, 4),
        None,
        functools.partial(measure_search, 10),
    ),
    Part(
        "entry: search, a holder per server",
        "sub-query",
        FAN_OUTS,
        (2, 3, 4),
        None,
        functools.partial(measure_search, 2 * max(FAN_OUTS)),
    ),
    Part(
        "entry: messages", "sub-query", (1, 4, 20, 57), (1, 2, 3), None, measure_peers
    ),
    Part("entry: holder", "sub-query", FAN_OUTS, (), None, measure_holder),
)
