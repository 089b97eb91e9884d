"""Run an emulator and a holder in one process for tests."""

import contextlib
import random

import msgspec
import trio

from wisteriaworks.backend_emulator import Emulator
from wisteriaworks.generated import emulator as settings
from wisteriaworks.generated.document import Document, Domain, Index, Server
from wisteriaworks.generated.messages import Route, ServerState
from wisteriaworks.generated.subqueries import SubqueryBatch, SubqueryItem
from wisteriaworks.holder import Holder
from wisteriaworks.lease import Lease
from wisteriaworks.view import View

SHARDS = ("a", "b", "c")
SESSION = 7
SLOW = settings.ServiceTime(median_ms=60_000.0, sigma=0.0)
WARM = {"start_cold": False}


def list_outcomes(replies):
    """Return the set of the outcomes of replies."""
    return {reply.outcome for reply in replies}


async def wait_until(condition):
    """Wait until a condition holds; bounded by the timeout of the test."""
    while not condition():
        await trio.sleep(0.005)


def make_settings(count=1, **profile):
    """Return settings of an emulator whose servers all have the same shards."""
    fields = {"open_ms": 0.0, "service": settings.ServiceTime(median_ms=2.0)}
    servers = [
        settings.ServerSettings(
            name=f"s{n}", address="127.0.0.1:0", index="i", shards=SHARDS, profile="p"
        )
        for n in range(count)
    ]
    return settings.EmulatorSettings(
        control="127.0.0.1:0",
        vm_list_lag_s=0.0,
        profiles={"p": settings.Profile(**{**fields, **profile})},
        indexes={"i": settings.EmulatedIndex(partition_map=SHARDS)},
        servers=tuple(servers),
    )


class Harness:
    """Connect an emulator to a holder and control the holder's view."""

    def __init__(self, emulator, slots):
        self.emulator = emulator
        self.lease = Lease()
        self.lease.renew(0.0, float("inf"))
        self.holder = Holder(self.lease, random.Random(1))
        servers = tuple(
            Server(
                name=name,
                address=listener.address,
                domain="d",
                replica_set="r",
                slots=slots,
                connections=listener.model.profile.connections,
            )
            for name, listener in emulator.servers.items()
        )
        self.document = Document(
            indexes={"i": Index(servers=servers)}, domains={"d": Domain()}
        )
        self.epoch = 1
        self.batches = 0

    def apply(self, holder=SESSION, leaving=False):
        """Apply a view in which session ``holder`` holds every server."""
        routes = {
            name: Route(name, holder, "", self.epoch, ServerState.READY, leaving, ())
            for name in self.emulator.servers
        }
        self.holder.apply_view(View(1, self.document, routes), SESSION)

    def set_domain(self, state):
        """Set the state of the domain that all servers are in."""
        domains = {"d": Domain(state=state)}
        self.document = msgspec.structs.replace(self.document, domains=domains)
        self.apply()

    def make_batch(self, count=1, server="s0", timeout_ms=2000.0, idempotent=True):
        """Return a batch of ``count`` attempts for one server."""
        self.batches += 1
        items = tuple(
            SubqueryItem(n, server, self.epoch, SHARDS[n % len(SHARDS)])
            for n in range(count)
        )
        name = f"b{self.batches}"
        query = b'{"q":%d}' % self.batches
        return SubqueryBatch(
            name, f"r{self.batches}", 1, 1, timeout_ms, idempotent, query, items
        )

    async def run(self, **fields):
        """Run a batch and return its replies, ordered by attempt."""
        replies = []
        await self.holder.run_batch(self.make_batch(**fields), replies.append)
        return sorted(replies, key=lambda reply: reply.attempt)

    def fault(self, command, **fields):
        """Apply a fault to every emulated server."""
        self.emulator.apply(settings.Fault(command=command, **fields))

    def finish_running(self):
        """Make the servers finish all running work immediately."""
        for listener in self.emulator.servers.values():
            for job, scope in listener._scopes.items():
                job.service_s = 0.0
                scope.deadline = 0.0

    def counters(self, server="s0"):
        """Return the counters of one server."""
        return self.emulator.servers[server].model.read_counters()


@contextlib.asynccontextmanager
async def start_harness(nursery, count=1, **profile):
    """Yield a Harness whose holder holds every emulated server."""
    emulator = Emulator(make_settings(count, **profile))
    await nursery.start(emulator.run)
    harness = Harness(emulator, slots=profile.get("slots", 2))
    async with harness.holder:
        harness.apply()
        yield harness
