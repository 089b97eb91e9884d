"""Measure the processor time of a search per sub-query.

Holders are replaced by an object in this process that answers at once, so the
figures are the cost of planning, fan-out and merge only.
"""

import argparse
import contextlib
import cProfile
import pstats
import random
import statistics
import time

import trio

from wisteriaworks.generated.document import Document, Index, Search, Server
from wisteriaworks.generated.messages import Route, ServerState, SnapshotReport
from wisteriaworks.generated.subqueries import SubqueryOutcome, SubqueryReply
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.search import SearchOutcome, SearchRequest, SearchRunner
from wisteriaworks.view import View

FAN_OUTS = (4, 20, 57)
DEADLINE_S = 60.0


class _Replies:
    """Iterate over replies without an asynchronous generator, like rpc.py."""

    def __init__(self, replies):
        self._replies = iter(replies)

    def __aiter__(self):
        return self

    async def __anext__(self):
        for reply in self._replies:
            return reply
        raise StopAsyncIteration


class InstantPeers:
    """Answer each batch at once with a fixed number of hits per shard."""

    def __init__(self, hits):
        self._hits = hits
        self._results = {}

    @contextlib.asynccontextmanager
    async def stream(self, address, batch, timeout_s):
        """Yield the replies to a batch."""
        await trio.lowlevel.checkpoint()
        yield _Replies([self._reply(batch, item) for item in batch.items])

    def cancel(self, address, batch_id, attempts):
        """Ignore cancellations; nothing runs for long."""

    def _reply(self, batch, item):
        return SubqueryReply(
            attempt=item.attempt,
            outcome=SubqueryOutcome.ANSWERED,
            sent=True,
            snapshot=batch.snapshot,
            load=1,
            results=self._make_results(item.shard),
        )

    def _make_results(self, shard):
        if shard not in self._results:
            hits = ",".join(
                f'{{"id":"{shard}-{number}","score":{number},"fields":{{"plate":"CB"}}}}'
                for number in range(self._hits)
            )
            self._results[shard] = f"[{hits}]".encode()
        return self._results[shard]


def make_view(fan_out, holders):
    """Return a view with two servers for each shard."""
    shards = tuple(f"s{number:02}" for number in range(fan_out))
    servers = tuple(
        Server(
            name=f"{shard}-{replica}",
            address="127.0.0.1:1",
            domain=f"d{replica}",
            replica_set=shard,
            slots=2,
            connections=25,
        )
        for shard in shards
        for replica in range(2)
    )
    routes = {
        server.name: Route(
            server=server.name,
            holder=1,
            address=f"holder-{number % holders}",
            epoch=1,
            state=ServerState.READY,
            leaving=False,
            snapshots=(SnapshotReport(1, shards, (server.replica_set,)),),
        )
        for number, server in enumerate(servers)
    }
    document = Document(
        searches={"all": Search(indexes=("spaces",))},
        indexes={"spaces": Index(servers=servers)},
    )
    return View(config_version=1, document=document, routes=routes)


async def measure(fan_out, holders, args):
    """Return the processor time of one search in each round, in microseconds."""
    view = make_view(fan_out, holders)
    metrics = create_unexported_metrics()
    peers = InstantPeers(args.hits)
    runner = SearchRunner(peers, "own", metrics, random.Random(1), lambda: view)
    rounds = []
    for _ in range(args.rounds):
        started = time.process_time()
        for number in range(args.searches):
            await _search(runner, view, number)
        used_s = time.process_time() - started
        rounds.append(used_s / args.searches * 1e6)
    return rounds


async def _search(runner, view, number):
    deadline = trio.current_time() + DEADLINE_S
    request = SearchRequest("all", str(number), "app", b"{}", None, deadline)
    answer = await runner.run(view, request)
    assert answer.outcome is SearchOutcome.COMPLETE


def print_table(args):
    """Measure each fan-out and print one line each."""
    print("| fan-out | holders | us/search | us/sub-query | lowest | highest |")
    print("|---|---|---|---|---|---|")
    for fan_out in args.fan_outs:
        holders = min(args.holders, 2 * fan_out)
        rounds = trio.run(measure, fan_out, holders, args)
        search_us = statistics.median(rounds)
        subquery_us = [used / fan_out for used in (search_us, min(rounds), max(rounds))]
        print(
            f"| {fan_out} | {holders} | {search_us:.0f} "
            f"| {subquery_us[0]:.1f} | {subquery_us[1]:.1f} | {subquery_us[2]:.1f} |"
        )


def main():
    """Print the table, or a profile of the largest fan-out."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fan-outs", type=int, nargs="+", default=FAN_OUTS)
    parser.add_argument("--holders", type=int, default=10)
    parser.add_argument("--hits", type=int, default=10, help="hits per shard")
    parser.add_argument("--searches", type=int, default=300, help="per round")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--profile", action="store_true")
    args = parser.parse_args()
    if not args.profile:
        print_table(args)
        return
    profiler = cProfile.Profile()
    profiler.runcall(trio.run, measure, max(args.fan_outs), args.holders, args)
    pstats.Stats(profiler).sort_stats("tottime").print_stats(35)


if __name__ == "__main__":
    main()
