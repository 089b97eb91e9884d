"""Measure the CPU time of the holder per sub-query, layer by layer.

The emulator runs in another process, so only the side of the holder is measured.
Run with ``python bench/holder.py``; ``--profile`` prints the time by package.
"""

import argparse
import collections
import cProfile
import multiprocessing
import pstats
import random
import time

import httpcore
import msgspec
import trio
from httpcore._backends.trio import TrioStream
from loguru import logger

from wisteriaworks import backend_protocol as protocol
from wisteriaworks.backend_client import open_connection
from wisteriaworks.backend_emulator import Emulator
from wisteriaworks.generated import emulator as settings
from wisteriaworks.generated.document import Document, Index, Server
from wisteriaworks.generated.messages import Route, ServerState
from wisteriaworks.generated.subqueries import (
    SubqueryBatch,
    SubqueryItem,
    SubqueryOutcome,
)
from wisteriaworks.holder import Holder
from wisteriaworks.lease import Lease
from wisteriaworks.view import View

SERVERS = 10
SLOTS = 4
SHARDS = tuple(f"h{n}" for n in range(SERVERS * 3))
PORT = 18700
SESSION = 1
PACKAGES = ("wisteriaworks", "httpcore", "h11", "trio", "msgspec")
EXCHANGES = 2000
BATCHES = 200
WARM_UP_BATCHES = 150
QUERY = b'{"text":"plate"}'
BODY = protocol.SubqueryBody(msgspec.Raw(QUERY), SHARDS[0], 1, 1000.0, "r/b/1")


def _make_settings():
    service = settings.ServiceTime(median_ms=0.1, sigma=0.0)
    profile = settings.Profile(
        slots=SLOTS, open_ms=0.0, start_cold=False, service=service
    )
    servers = [
        settings.ServerSettings(
            name=f"s{n}",
            address=f"127.0.0.1:{PORT + n}",
            index="i",
            shards=SHARDS,
            profile="p",
        )
        for n in range(SERVERS)
    ]
    return settings.EmulatorSettings(
        control=f"127.0.0.1:{PORT - 1}",
        profiles={"p": profile},
        indexes={"i": settings.EmulatedIndex(partition_map=SHARDS, hits=90)},
        servers=tuple(servers),
    )


def run_emulator():
    """Run the emulated servers until the process is terminated."""
    trio.run(Emulator(_make_settings()).run)


def _make_view():
    servers = [
        Server(
            name=f"s{n}",
            address=f"127.0.0.1:{PORT + n}",
            domain="d",
            replica_set=f"r{n}",
            slots=SLOTS,
            connections=25,
        )
        for n in range(SERVERS)
    ]
    routes = {
        server.name: Route(server.name, SESSION, "", 1, ServerState.READY, False, ())
        for server in servers
    }
    document = Document(indexes={"i": Index(servers=tuple(servers))})
    return View(1, document, routes)


async def _exchange_bytes():
    """Exchange the same bytes without any HTTP library."""
    data = msgspec.json.encode(BODY)
    head = b"POST /subquery HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    stream = await trio.open_tcp_stream("127.0.0.1", PORT)
    async with stream:
        for _ in range(EXCHANGES):
            await stream.send_all(head % len(data) + data)
            await stream.receive_some(65536)
    return EXCHANGES


async def _exchange_httpcore():
    """Exchange over an httpcore connection with its default stream."""
    origin = httpcore.Origin(b"http", b"127.0.0.1", PORT)
    stream = await trio.open_tcp_stream("127.0.0.1", PORT)
    conn = httpcore.AsyncHTTP11Connection(origin, TrioStream(stream))
    async with conn:
        for _ in range(EXCHANGES):
            data = msgspec.json.encode(BODY)
            headers = {"Host": "a", "Content-Length": str(len(data))}
            url = f"http://127.0.0.1:{PORT}/subquery"
            res = await conn.request("POST", url, headers=headers, content=data)
            assert res.status == 200
    return EXCHANGES


async def _exchange_adapter():
    """Exchange over a BackendConnection (the "adapter"), without pool and queue."""
    conn = await open_connection(f"127.0.0.1:{PORT}")
    for _ in range(EXCHANGES):
        result = await conn.run_subquery(BODY, lambda: None)
        assert result.outcome is SubqueryOutcome.ANSWERED
    await conn.aclose()
    return EXCHANGES


def _make_batch(number, fan_out):
    items = tuple(
        SubqueryItem(n, f"s{n % SERVERS}", 1, SHARDS[n % len(SHARDS)])
        for n in range(fan_out)
    )
    return SubqueryBatch(f"b{number}", "r", 1, 1, 5000.0, True, QUERY, items)


async def _run_batches(holder, count, fan_out, profile=None):
    replies = []
    if profile is not None:
        profile.enable()
    started_s = time.process_time()
    for number in range(count):
        await holder.run_batch(_make_batch(number, fan_out), replies.append)
    spent_s = time.process_time() - started_s
    if profile is not None:
        profile.disable()
    answered = sum(r.outcome is SubqueryOutcome.ANSWERED for r in replies)
    return spent_s, answered, len(replies)


async def measure_holder(fan_out, batches=BATCHES, profile=None):
    """Return the CPU time per sub-query in microseconds, and two counts.

    The counts are the number of answered and of all sub-queries.
    """
    lease = Lease()
    lease.renew(0.0, float("inf"))
    async with Holder(lease, random.Random(1)) as holder:
        holder.apply_view(_make_view(), SESSION)
        await _run_batches(holder, WARM_UP_BATCHES, len(SHARDS))
        spent_s, answered, total = await _run_batches(holder, batches, fan_out, profile)
    return spent_s / total * 1e6, answered, total


async def _print_holder(profile):
    cost_us, answered, total = await measure_holder(len(SHARDS), profile=profile)
    print(f"holder: {cost_us:.0f} us per sub-query, {answered} of {total} answered")


async def _measure(exchange):
    started_s = time.process_time()
    count = await exchange()
    spent_s = time.process_time() - started_s
    name = exchange.__name__.removeprefix("_exchange_")
    print(f"{name}: {spent_s / count * 1e6:.0f} us per sub-query")


def _print_packages(stats):
    spent = collections.Counter()
    for (path, _, _), (_, _, own_s, _, _) in stats.stats.items():
        known = [package for package in PACKAGES if f"/{package}/" in path]
        spent[known[0] if known else "built-in" if path == "~" else "other"] += own_s
    total_s = spent.total()
    for package, own_s in spent.most_common():
        print(f"{package}: {own_s / total_s:.0%} of the profiled time")


def main():
    """Print the CPU time of each layer."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--profile", action="store_true")
    profile = cProfile.Profile() if parser.parse_args().profile else None
    logger.remove()
    child = multiprocessing.Process(target=run_emulator, daemon=True)
    child.start()
    time.sleep(1.5)
    for exchange in (_exchange_bytes, _exchange_httpcore, _exchange_adapter):
        trio.run(_measure, exchange)
    trio.run(_print_holder, profile)
    child.terminate()
    child.join()
    if profile is not None:
        stats = pstats.Stats(profile)
        _print_packages(stats)
        stats.sort_stats("tottime").print_stats(40)


if __name__ == "__main__":
    main()
