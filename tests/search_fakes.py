"""Scripted holders and views for the tests of the search."""

import contextlib
import functools
import itertools
import random
from dataclasses import dataclass, field

import msgspec
import trio

from wisteriaworks.errors import RpcError
from wisteriaworks.generated.document import (
    Document,
    Domain,
    Index,
    Routing,
    Search,
    Server,
)
from wisteriaworks.generated.messages import Route, ServerState, SnapshotReport
from wisteriaworks.generated.subqueries import SubqueryOutcome, SubqueryReply
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.search import SearchRequest, SearchRunner
from wisteriaworks.view import View

DOMAINS = ("plovdiv-a", "plovdiv-b")


def make_view(shards=4, replicas=2, snapshots=(1,), holders=4, indexes=("spaces",)):
    """Return a view in which server ``INDEX-SET-REPLICA`` serves one shard."""
    servers = {
        index: tuple(
            Server(
                name=f"{index}-{shard}-{replica}",
                address="127.0.0.1:1",
                domain=DOMAINS[replica % 2],
                replica_set=f"{index}-{shard}",
                slots=2,
                connections=25,
            )
            for shard in range(shards)
            for replica in range(replicas)
        )
        for index in indexes
    }
    document = Document(
        searches={
            "all": Search(indexes=tuple(indexes)),
            "keyed": Search(indexes=indexes[:1], routing=Routing.KEYED),
        },
        indexes={index: Index(servers=some) for index, some in servers.items()},
        domains={domain: Domain() for domain in DOMAINS},
    )
    numbers = itertools.count()
    routes = {
        server.name: Route(
            server=server.name,
            holder=1,
            address=f"holder-{next(numbers) % holders}",
            epoch=1,
            state=ServerState.READY,
            leaving=False,
            snapshots=make_reports(server.name, shards, snapshots),
        )
        for server in itertools.chain.from_iterable(servers.values())
    }
    return View(config_version=1, document=document, routes=routes)


def make_reports(server, shards, snapshots):
    """Return what a server reports; shard names do not depend on the snapshot."""
    index, shard, _ = server.split("-")
    names = tuple(f"{index}-s{number:02}" for number in range(shards))
    return tuple(SnapshotReport(s, names, (names[int(shard)],)) for s in snapshots)


def change_route(view, server, **changes):
    """Return a view in which one route differs."""
    route = msgspec.structs.replace(view.routes[server], **changes)
    return View(view.config_version, view.document, {**view.routes, server: route})


@dataclass(frozen=True)
class Act:
    """Script how a fake holder treats one sub-query."""

    outcome: SubqueryOutcome = SubqueryOutcome.ANSWERED
    delay_s: float = 0.01
    # Answers from another snapshot than the one asked for.
    snapshot: int | None = None
    copies: int = 1
    # The connection breaks instead; ``sent`` is for RpcError.
    breaks: bool = False
    sent: bool = True
    results: bytes | None = None
    load: int = 0


@dataclass(frozen=True)
class Asked:
    """Record one sub-query that reached a fake holder."""

    batch_id: str
    attempt: int
    holder: str
    server: str
    shard: str
    snapshot: int
    at: float
    timeout_ms: float
    idempotent: bool


@dataclass
class FakePeers:
    """Answer batches as ``script(item, batch, count) -> Act`` says.

    ``count`` is how often the server was asked for the shard before.
    """

    script: object
    asked: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    open: int = 0

    @contextlib.asynccontextmanager
    async def stream(self, address, batch, timeout_s):
        deadline = trio.current_time() + timeout_s
        events = [e for item in batch.items for e in self._act(address, batch, item)]
        self.open += 1
        try:
            yield self._replay(batch.batch_id, events, deadline)
        finally:
            self.open -= 1

    def cancel(self, address, batch_id, attempts):
        self.cancelled.append((address, batch_id, attempts))

    def count(self, **fields):
        """Return how many recorded sub-queries have these fields."""
        return sum(
            all(getattr(asked, name) == value for name, value in fields.items())
            for asked in self.asked
        )

    def list_answered(self, snapshot):
        """Return (server, shard) of all answers delivered from a snapshot."""
        asked = {(a.batch_id, a.attempt): a for a in self.asked}
        pairs = ((asked[batch, r.attempt], r) for batch, r in self.answers)
        return {
            (a.server, a.shard)
            for a, reply in pairs
            if reply.outcome is SubqueryOutcome.ANSWERED
            and a.snapshot == reply.snapshot == snapshot
        }

    def _act(self, address, batch, item):
        before = self.count(server=item.server, shard=item.shard)
        act = self.script(item, batch, before)
        now = trio.current_time()
        self.asked.append(
            Asked(
                batch.batch_id,
                item.attempt,
                address,
                item.server,
                item.shard,
                batch.snapshot,
                now,
                batch.timeout_ms,
                batch.idempotent,
            )
        )
        if act is None:
            return []
        at = now + act.delay_s
        if act.breaks:
            return [(at, RpcError("connection lost", sent=act.sent))]
        snapshot = batch.snapshot if act.snapshot is None else act.snapshot
        reply = SubqueryReply(
            attempt=item.attempt,
            outcome=act.outcome,
            sent=act.sent,
            snapshot=snapshot,
            load=act.load,
            results=make_results(item, snapshot)
            if act.results is None
            else act.results,
        )
        return [(at, reply)] * act.copies

    async def _replay(self, batch_id, events, deadline):
        for at, event in sorted(events, key=lambda pair: pair[0]):
            if at >= deadline:
                break
            await trio.sleep_until(at)
            if isinstance(event, RpcError):
                raise event
            self.answers.append((batch_id, event))
            yield event
        if any(at >= deadline for at, _ in events) or not events:
            await trio.sleep_until(deadline)
            raise RpcError("no answer in time", sent=True)


def make_results(item, snapshot):
    """Return one hit that tells which server answered from which snapshot."""
    fields = {"server": item.server, "snapshot": snapshot}
    return msgspec.json.encode([{"id": item.shard, "score": 1.0, "fields": fields}])


def make_runner(peers, view, seed=1):
    """Return a runner whose current view is ``view`` or the result of calling it."""
    current = view if callable(view) else functools.partial(lambda v: v, view)
    metrics = create_unexported_metrics()
    return SearchRunner(peers, "holder-0", metrics, random.Random(seed), current)


def make_request(timeout_s=0.2, search="all", key=None, coverage=0.0, number=1):
    """Return a request whose deadline starts now."""
    return SearchRequest(
        search=search,
        request_id=f"request-{number}",
        caller="app",
        query=b'{"plate": "CB1234AB"}',
        routing_key=key,
        deadline=trio.current_time() + timeout_s,
        minimum_coverage=coverage,
    )


async def run_search(script, view=None, runner=None, **request):
    """Run one search against a new fake, and check the answer against its record."""
    view = view or make_view()
    peers = FakePeers(script)
    runner = runner or make_runner(peers, view)
    answer = await runner.run(view, make_request(**request))
    check_answer(peers, answer)
    return peers, answer


def check_answer(peers, answer):
    """Compare an answer with what the fake holders delivered."""
    coverage = answer.coverage
    delivered = peers.list_answered(answer.snapshot)
    fields = [msgspec.json.decode(hit.fields) for hit in answer.hits]
    assert {entry["snapshot"] for entry in fields} <= {answer.snapshot}
    shards = [hit.id for hit in answer.hits]
    assert len(set(shards)) == len(shards) == coverage.answered
    missing = {entry.shard for entry in coverage.missing}
    assert len(missing) == len(coverage.missing)
    assert not missing & set(shards)
    assert coverage.total == coverage.answered + len(missing)
    assert missing.isdisjoint(shard for _, shard in delivered)
    pairs = zip(fields, shards, strict=True)
    assert {(entry["server"], shard) for entry, shard in pairs} <= delivered
    assert peers.open == 0
    assert len(answer.explanation) == len(peers.asked)
