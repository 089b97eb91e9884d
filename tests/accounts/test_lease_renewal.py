"""Guard against leases that are not renewed, and against too many questions."""

import types

import pytest
import trio

from wisteriaworks.accounts.lease import KeyLease
from wisteriaworks.accounts.renewal import LeaseRenewal
from wisteriaworks.errors import RpcError
from wisteriaworks.generated.messages import ConfigurationConfirmed, NotLeader

ANSWER_S = 0.3


class Leader:
    """Stand in for the gateway's channel to a leader; answer by a script."""

    def __init__(self, *script):
        self._script = list(script)
        self.asked_at = []

    async def call(self, message, timeout_s):
        self.asked_at.append(trio.current_time())
        await trio.sleep(ANSWER_S)
        reply = self._script.pop(0) if len(self._script) > 1 else self._script[0]
        if reply is None:
            raise RpcError("no answer", sent=True)
        return reply


class Gateway:
    """Hold a renewal and what it reads."""

    def __init__(self, leader):
        self.leader = leader
        self.needs_lease = True
        self.lease = KeyLease(5.0)
        self._state = types.SimpleNamespace(routes=types.SimpleNamespace(version=7))
        self.renewal = LeaseRenewal(
            "g1", self, self.lease, self._state, lambda: self.leader, trio.current_time
        )

    @property
    def has_lease(self):
        return self.lease.is_valid(trio.current_time(), 7)


CONFIRMED = ConfigurationConfirmed(7)


@pytest.mark.parametrize(
    ("script", "has_lease"),
    [
        ((CONFIRMED,), True),
        ((None, CONFIRMED), True),
        ((None,), False),
        ((NotLeader(""),), False),
        ((ConfigurationConfirmed(8),), False),
    ],
)
async def test_lease_needs_an_answer_for_the_version_in_use(
    nursery, autojump_clock, script, has_lease
):
    gateway = Gateway(Leader(*script))
    nursery.start_soon(gateway.renewal.run)
    await trio.sleep(10.5)
    assert gateway.has_lease is has_lease
    assert len(gateway.leader.asked_at) == 11


async def test_lease_counts_from_the_question_not_from_the_answer(
    nursery, autojump_clock
):
    gateway = Gateway(Leader(CONFIRMED, None))
    nursery.start_soon(gateway.renewal.run)
    await trio.sleep(1.0)
    asked_at = gateway.leader.asked_at[0]
    assert gateway.lease.read_left(asked_at, 7) == pytest.approx(4.75)


async def test_no_question_without_accounts_and_one_at_once_with_them(
    nursery, autojump_clock
):
    gateway = Gateway(Leader(CONFIRMED))
    gateway.needs_lease = False
    nursery.start_soon(gateway.renewal.run)
    await trio.sleep(100.0)
    assert gateway.leader.asked_at == []
    gateway.needs_lease = True
    gateway.renewal.wake()
    await trio.sleep(ANSWER_S + 0.01)
    assert gateway.has_lease


async def test_next_leader_is_asked_soon_after_an_election(nursery, autojump_clock):
    gateway = Gateway(None)
    nursery.start_soon(gateway.renewal.run)
    await trio.sleep(3.0)
    gateway.leader = Leader(CONFIRMED)
    await trio.sleep(ANSWER_S + 0.1)
    assert gateway.has_lease
