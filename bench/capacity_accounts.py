"""Measure the cost of the confirmations on which gateways' leases on keys depend."""

import functools
import random
import time
from types import SimpleNamespace

import trio
from capacity_fit import Part

from wisteriaworks import codec
from wisteriaworks.accounts import confirmations
from wisteriaworks.consensus import Consensus
from wisteriaworks.consensus_log import StoredState
from wisteriaworks.consensus_timing import Timing
from wisteriaworks.effects import ConfirmationDone, DiskEffect, SendMessage
from wisteriaworks.framing import Frame, FrameKind, pack_frame
from wisteriaworks.generated.consensus import EntryKind, LogEntry, Member
from wisteriaworks.generated.messages import (
    ConfigurationConfirmed,
    ConfirmConfiguration,
)
from wisteriaworks.membership import encode_members
from wisteriaworks.metrics import Metrics
from wisteriaworks.rpc import Channel, RpcServer

# The first size is that of the deployment with accounts. The pings of more
# connections than the last size take all the time of one process with both ends.
GATEWAYS = (94, 300, 900)
MEMBERS = (3, 4, 5)
TEST_SIZES = (3, 4, 5)
DESIGN_GATEWAYS = 3_700
ROUNDS = 5
CONFIRMATIONS = 100
# Questions at the same time. With all of them, connections of this process would be
# silent for so long that they are closed.
BURST = 100


async def _run_channel(address, task_status):
    # Channels in one task would nest their nurseries too deeply.
    async with Channel(address) as channel:
        await channel.connect()
        task_status.started(channel)
        await trio.sleep_forever()


async def _ask_all(channels):
    question = ConfirmConfiguration("gateway-0001")
    for first in range(0, len(channels), BURST):
        async with trio.open_nursery() as nursery:
            for channel in channels[first : first + BURST]:
                nursery.start_soon(channel.call, question, 20.0)


async def _confirm_at_once():
    await trio.lowlevel.checkpoint()


def measure_questions(size):
    """Return the cost of one question of each gateway, over loopback connections."""

    async def measure():
        # The pauses would count the pings of all connections.
        confirmations.MIN_INTERVAL_S = 0.0
        node = SimpleNamespace(
            metrics=Metrics(),
            is_stopping=False,
            machine=SimpleNamespace(version=7),
            replica=SimpleNamespace(is_leader=True, confirm_leader=_confirm_at_once),
        )
        service = confirmations.ConfirmationService(node)
        server = RpcServer(service.list_handlers())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.run)
            serve = functools.partial(server.serve, "127.0.0.1:0")
            (listener,) = await nursery.start(serve)
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            channels = [await nursery.start(_run_channel, address) for _ in range(size)]
            times = []
            for _ in range(ROUNDS):
                started = time.process_time()
                await _ask_all(channels)
                times.append(time.process_time() - started)
            nursery.cancel_scope.cancel()
        question = codec.encode(ConfirmConfiguration("gateway-0001"))
        reply = codec.encode(ConfigurationConfirmed(2**31))
        return {
            "one question of each, both ends, ms": min(times) * 1000,
            "bytes of a question": _count_bytes(question, FrameKind.REQUEST),
            "bytes of its answer": _count_bytes(reply, FrameKind.REPLY)
            + _count_bytes(b"", FrameKind.END),
        }

    return trio.run(measure)


def _count_bytes(payload, kind):
    return float(len(pack_frame(Frame(1000, kind, payload))))


class _Group:
    """Run members in memory, with the encoding of their messages and no disk."""

    def __init__(self, count):
        ids = [f"control-{n}/0123456789abcdef" for n in range(count)]
        listed = tuple(Member(id=i, address="10.0.0.1:7380", voter=True) for i in ids)
        entry = LogEntry(
            index=1, term=1, kind=EntryKind.MEMBERS, data=encode_members(listed)
        )
        stored = StoredState(1, None, None, (entry,))
        self._now = 0.0
        self._confirmed = 0
        self.bytes = 0
        self._members = {
            i: Consensus(i, stored, Timing(), random.Random(n), 0.0)
            for n, i in enumerate(ids)
        }
        while not any(member.is_leader for member in self._members.values()):
            self._now += 0.01
            for member in self._members.values():
                member.tick(self._now)
            self._exchange()
        self._leader = next(m for m in self._members.values() if m.is_leader)

    def confirm(self):
        """Confirm the leadership once."""
        before = self._confirmed
        self._leader.confirm(self._now)
        self._exchange()
        assert self._confirmed == before + 1

    def _exchange(self):
        """Pass messages on until there are none."""
        is_active = True
        while is_active:
            is_active = False
            for member in self._members.values():
                for effect in member.take_effects():
                    is_active = True
                    self._execute(member, effect)

    def _execute(self, member, effect):
        match effect:
            case SendMessage(recipient, message):
                data = codec.encode(message)
                self.bytes += len(data)
                self._members[recipient].receive(codec.decode(data), self._now)
            case ConfirmationDone(confirmed=True):
                self._confirmed += 1
            case _ if isinstance(effect, DiskEffect):
                member.handle_synced(effect.sequence, self._now)


def measure_confirmations(size):
    """Return the cost of a confirmation of leadership, at all members together."""
    group = _Group(size)
    times = []
    group.bytes = 0
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(CONFIRMATIONS):
            group.confirm()
        times.append(time.process_time() - started)
    return {
        "one confirmation, all members, ms": min(times) * 1000 / CONFIRMATIONS,
        "bytes between the members": group.bytes / ROUNDS / CONFIRMATIONS,
    }


PARTS = (
    Part(
        "accounts: questions",
        "gateway",
        GATEWAYS,
        TEST_SIZES,
        DESIGN_GATEWAYS,
        measure_questions,
    ),
    Part(
        "accounts: confirmations",
        "member",
        MEMBERS,
        TEST_SIZES,
        None,
        measure_confirmations,
    ),
)
