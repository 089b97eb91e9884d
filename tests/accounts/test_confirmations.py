"""Guard against answers of deposed leaders, and one confirmation per question."""

import types

import pytest
import trio

from wisteriaworks.accounts.confirmations import ConfirmationService
from wisteriaworks.errors import NotLeaderError
from wisteriaworks.generated.messages import (
    ConfigurationConfirmed,
    ConfirmConfiguration,
    NotLeader,
)
from wisteriaworks.metrics import create_unexported_metrics


class Member:
    """Stand in for a control member whose confirmations take one second."""

    def __init__(self):
        self.cfg = types.SimpleNamespace(address="own:1")
        self.metrics = create_unexported_metrics()
        self.machine = types.SimpleNamespace(version=7)
        self.is_stopping = False
        self.replica = self
        self.is_leader = True
        self.leader_address = "own:1"
        self.is_deposed = False
        self.rounds = 0

    async def confirm_leader(self):
        self.rounds += 1
        await trio.sleep(1.0)
        if self.is_deposed:
            self.leader_address = "next:1"
            raise NotLeaderError("next:1")


@pytest.fixture
async def member(nursery, autojump_clock):
    member = Member()
    member.service = ConfirmationService(member)
    nursery.start_soon(member.service.run)
    return member


async def ask(member, replies):
    (handler,) = member.service.list_handlers().values()
    replies.append(await handler(ConfirmConfiguration("g1"), None))


async def test_questions_share_one_confirmation(member):
    """At the design size there are 3,700 questions a second."""
    replies = []
    async with trio.open_nursery() as asking:
        for _ in range(1000):
            asking.start_soon(ask, member, replies)
    assert replies == [ConfigurationConfirmed(7)] * 1000
    assert member.rounds == 1


async def test_question_is_not_answered_by_a_confirmation_that_had_begun(member):
    """The version could have been acknowledged between its beginning and the question.

    A deposed leader may not know of it.
    """
    replies = []
    async with trio.open_nursery() as asking:
        asking.start_soon(ask, member, replies)
        await trio.sleep(0.5)
        member.is_deposed = True
        asking.start_soon(ask, member, replies)
    assert member.rounds == 2
    assert replies == [NotLeader("next:1")] * 2


@pytest.mark.parametrize("field", ["is_leader", "is_stopping"])
async def test_member_that_does_not_lead_names_the_leader(member, field):
    setattr(member, field, field == "is_stopping")
    member.leader_address = "next:1"
    replies = []
    await ask(member, replies)
    assert replies == [NotLeader("next:1")]
    assert member.rounds == 0


async def test_lost_leadership_does_not_end_the_service(member):
    member.is_deposed = True
    await ask(member, [])
    member.is_deposed = False
    replies = []
    await ask(member, replies)
    assert replies == [ConfigurationConfirmed(7)]
