"""Measure running control members under heartbeats and claims."""

import functools
import itertools
import tempfile
import time

import msgspec
import trio
import uuid_utils
from capacity_data import (
    DESIGN_ENTRIES,
    count_servers,
    make_document,
    make_heartbeat,
    read_cpu_s,
    read_resident_bytes,
)
from capacity_fit import Part

from wisteriaworks.control_client import ControlClient
from wisteriaworks.generated.messages import Claim, ClaimResult, ClaimState, Resolve
from wisteriaworks.local_layout import Layout
from wisteriaworks.local_system import LocalSystem

INTERVAL_S = 0.5
TIMEOUT_S = 20.0
# Placement and balancing end some seconds after the last session was opened.
SETTLE_S = 9.0
WINDOW_S = 6.0
CLAIMS_S = 3.0
ANSWER = b'{"pass":"valid","plate":"CB 1234 AB"}' * 8
MAX_CONCURRENT_OPENS = 20


class _Members:
    """Run control members as real processes, without a platform VM list."""

    def __init__(self, count):
        layout = Layout(domains=("a",), indexes=(), entries=0, controls=count)
        self._folder = tempfile.TemporaryDirectory()
        self.system = LocalSystem(layout, self._folder.name)
        self.system.control_settings = tuple(
            msgspec.structs.replace(cfg, platform=None)
            for cfg in self.system.control_settings
        )

    async def __aenter__(self):
        await self.system.__aenter__()
        await self.system.start_control_group()
        return self

    async def __aexit__(self, *exc_info):
        await self.system.__aexit__(*exc_info)
        self._folder.cleanup()

    @property
    def addresses(self):
        """Return the addresses of all members, the initial leader first."""
        return tuple(cfg.address for cfg in self.system.control_settings)

    async def read_term(self):
        """Return the term of the leader."""
        return (await self.system.read_status()).term

    async def find_leader(self):
        """Return the settings of the leader."""
        await self.system.read_status()
        leader = self.system.control.leader
        settings = self.system.control_settings
        return next(cfg for cfg in settings if cfg.address == leader)

    def read_cpu(self):
        """Return the processor time of each member in seconds, by name."""
        controls = self.system.controls
        return {name: read_cpu_s(process.pid) for name, process in controls.items()}

    def read_resident_bytes(self, name):
        """Return the resident set size of a member in bytes."""
        return read_resident_bytes(self.system.controls[name].pid)


class _Versions:
    """Track the newest versions that any session has received.

    All sessions share them, so that control sends each change to one session
    only: this one process runs all sessions and could not decode every change
    once for each of them.
    """

    def __init__(self):
        self.config = 0
        self.route = 0

    def update(self, reply):
        """Update the versions from a reply."""
        self.config = max(self.config, reply.config_version)
        self.route = max(self.route, reply.route_version)


class _HeartbeatSender:
    """Send the heartbeats of one session over its own connections."""

    def __init__(self, number, addresses, versions):
        self.message = make_heartbeat(number, full=True)
        self.calls = 0
        self.changes = 0
        self._addresses = addresses
        self._versions = versions
        self._opened = trio.Event()

    async def open(self, nursery, limiter):
        """Open the session and keep it open with heartbeats."""
        nursery.start_soon(self._run, limiter)
        await self._opened.wait()

    async def _run(self, limiter):
        async with ControlClient(self._addresses) as client:
            async with limiter:
                await self._send_heartbeat(client)
            self._opened.set()
            for _ in itertools.count():
                began = trio.current_time()
                await self._send_heartbeat(client)
                await trio.sleep_until(began + INTERVAL_S)

    async def _send_heartbeat(self, client):
        versions = self._versions
        self.message = msgspec.structs.replace(
            self.message,
            config_version=versions.config,
            route_version=versions.route,
        )
        reply = await client.call(self.message, TIMEOUT_S)
        versions.update(reply)
        self.calls += 1
        self.changes += len(reply.routes)
        self.message = msgspec.structs.replace(
            self.message, session=reply.session, full=not self.message.session
        )


def measure_heartbeats(member_count, sessions):
    """Measure the members while each session sends a heartbeat every 0.5 s."""
    return trio.run(_measure_heartbeats, member_count, sessions)


async def _measure_heartbeats(member_count, sessions):
    async with _Members(member_count) as members, trio.open_nursery() as nursery:
        term = await members.read_term()
        versions = _Versions()
        senders = [
            _HeartbeatSender(n, members.addresses, versions) for n in range(sessions)
        ]
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_OPENS)
        async with trio.open_nursery() as opening:
            for sender in senders:
                opening.start_soon(sender.open, nursery, limiter)
        await members.system.apply(make_document(count_servers(sessions)), 0)
        await trio.sleep(SETTLE_S)
        used = await _measure_load(members, senders)
        elections = await members.read_term() - term
        nursery.cancel_scope.cancel()
    leader_figures = {**used.pop(None), "elections meanwhile": elections}
    follower = {"a follower, % of a core": max(used.values())} if used else {}
    return {**leader_figures, **follower}


async def _measure_load(members, senders):
    """Return the load of each follower by name, and that of the leader under None.

    The busiest member is taken as the leader.
    """
    calls, changes = (sum(s.calls for s in senders), sum(s.changes for s in senders))
    before, began = members.read_cpu(), time.monotonic()
    await trio.sleep(WINDOW_S)
    elapsed = time.monotonic() - began
    after = members.read_cpu()
    used = {name: (after[name] - before[name]) / elapsed * 100 for name in after}
    calls = sum(s.calls for s in senders) - calls
    leader = max(used, key=used.get)
    busiest = used.pop(leader)
    used[None] = {
        "leader, % of a core": busiest,
        "heartbeats a second": calls / elapsed,
        "leader, us of processor per heartbeat": busiest * 1e4 * elapsed / calls,
        "leader, resident, MB": members.read_resident_bytes(leader) / 1e6,
        "routes sent meanwhile": sum(s.changes for s in senders) - changes,
    }
    return used


def measure_claims(member_count, concurrency):
    """Measure claims and their outcomes at a given concurrency."""
    return trio.run(_measure_claims, member_count, concurrency)


async def _measure_claims(member_count, concurrency):
    async with _Members(member_count) as members, trio.open_nursery() as nursery:
        leader = await members.find_leader()
        sender = _HeartbeatSender(0, members.addresses, _Versions())
        await sender.open(nursery, trio.CapacityLimiter(1))
        before, began = members.read_cpu(), time.monotonic()
        counts = await _claim_for(CLAIMS_S, leader.address, sender, concurrency)
        elapsed = time.monotonic() - began
        used = {n: s - before[n] for n, s in members.read_cpu().items()}
        nursery.cancel_scope.cancel()
    # Each claim is one proposal, and so is each outcome.
    proposals = 2 * sum(counts)
    leader_cpu_s = used.pop(leader.name)
    figures = {
        "time of a batch of claims and outcomes, ms": concurrency
        * elapsed
        * 1e3
        / sum(counts),
        "proposals a second": proposals / elapsed,
        "leader, us of processor per proposal": leader_cpu_s / proposals * 1e6,
        "leader, us of processor per batch": leader_cpu_s
        / sum(counts)
        * concurrency
        * 1e6,
    }
    if used:
        follower = max(used.values()) / proposals * 1e6
        figures["a follower, us of processor per proposal"] = follower
    return figures


async def _claim_for(seconds, address, sender, concurrency):
    counts = [0] * concurrency
    async with ControlClient((address,)) as client, trio.open_nursery() as nursery:
        deadline = trio.current_time() + seconds
        for task in range(concurrency):
            nursery.start_soon(_claim_until, deadline, client, sender, counts, task)
    return counts


async def _claim_until(deadline, client, sender, counts, task):
    session = sender.message.session
    while trio.current_time() < deadline:
        request = str(uuid_utils.uuid7())
        claim = Claim(session, "app", request, bytes(32))
        reply = await client.call(claim, TIMEOUT_S)
        assert reply.result is ClaimResult.GRANTED
        done = Resolve(session, "app", request, ClaimState.DONE, ANSWER)
        await client.call(done, TIMEOUT_S)
        counts[task] += 1


PARTS = tuple(
    Part(
        f"members: {kind}, {count} running",
        size_name,
        sizes,
        test_sizes,
        design,
        measure,
    )
    for count in (1, 3)
    for kind, size_name, sizes, test_sizes, design, measure in (
        (
            "heartbeats",
            "session",
            (100, 200, 400),
            (),
            DESIGN_ENTRIES,
            functools.partial(measure_heartbeats, count),
        ),
        (
            "claims",
            "request",
            (1, 16, 64, 256),
            (),
            None,
            functools.partial(measure_claims, count),
        ),
    )
)
