"""Guard against calls that a silent or deposed control member delays."""

import contextlib
import functools

import pytest
import trio

from wisteriaworks.control_client import NEXT_MEMBER_AFTER_S, ControlClient
from wisteriaworks.errors import ControlError
from wisteriaworks.generated.messages import (
    ClaimRecordReply,
    NotLeader,
    ReadClaim,
    ReadStatus,
)
from wisteriaworks.generated.subqueries import Acknowledged
from wisteriaworks.rpc import RpcServer
from wisteriaworks.session import HEARTBEAT_TIMEOUT_S

UNUSED_ADDRESS = "127.0.0.1:1"


@pytest.fixture
def clock(autojump_clock):
    # Real sockets need real time before the clock may jump.
    autojump_clock.autojump_threshold = 0.05
    return autojump_clock


class Member:
    """Answer as a control member, and count the calls."""

    def __init__(self, reply=None):
        self.reply = reply or Acknowledged()
        self.calls = 0
        self.address = None

    async def start(self, nursery):
        handlers = {ReadStatus: self._answer, ReadClaim: self._wait}
        serve = functools.partial(RpcServer(handlers).serve, "127.0.0.1:0")
        self._set_address(await nursery.start(serve))
        return self

    async def start_silent(self, nursery):
        serve = functools.partial(trio.serve_tcp, self._ignore, 0, host="127.0.0.1")
        self._set_address(await nursery.start(serve))
        return self

    def _set_address(self, listeners):
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

    async def _answer(self, message, send):
        self.calls += 1
        if self.calls > 100:
            # Lets the mock clock reach the caller's deadline.
            await trio.sleep_forever()
        return self.reply

    async def _wait(self, message, send):
        await trio.sleep(message.wait_s)
        return ClaimRecordReply(record=None)

    async def _ignore(self, stream):
        self.calls += 1
        await trio.sleep_forever()


async def test_silent_leader_delays_a_call_by_one_attempt(clock, nursery):
    """Later calls must not wait for the silent member at all."""
    silent = await Member().start_silent(nursery)
    leader = await Member().start(nursery)
    async with ControlClient([silent.address, leader.address]) as client:
        client.leader = silent.address
        started_at = trio.current_time()
        assert await client.call(ReadStatus(), 5.0) == Acknowledged()
        assert trio.current_time() - started_at <= NEXT_MEMBER_AFTER_S + 0.2
        for _ in range(3):
            await client.call(ReadStatus(), 5.0)
    assert (silent.calls, leader.calls) == (1, 4)


async def test_member_that_failed_is_no_longer_the_leader(clock, nursery):
    silent = await Member().start_silent(nursery)
    leader = await Member().start(nursery)
    async with ControlClient([leader.address, silent.address]) as client:
        client.leader = silent.address
        with pytest.raises(ControlError):
            await client.call(ReadStatus(), NEXT_MEMBER_AFTER_S / 2)
        assert (
            await client.call(ReadStatus(), NEXT_MEMBER_AFTER_S / 2) == Acknowledged()
        )


async def test_named_leader_outside_the_settings_is_found(clock, nursery):
    leader = await Member().start(nursery)
    follower = await Member(NotLeader(leader.address)).start(nursery)
    async with ControlClient([UNUSED_ADDRESS, follower.address]) as client:
        for _ in range(3):
            await client.call(ReadStatus(), 5.0)
        assert client.leader == leader.address
    assert (follower.calls, leader.calls) == (1, 3)


async def test_members_that_name_each_other_are_not_called_in_a_loop(clock, nursery):
    one, two = [await Member().start(nursery) for _ in range(2)]
    one.reply, two.reply = NotLeader(two.address), NotLeader(one.address)
    async with ControlClient([one.address, two.address]) as client:
        with pytest.raises(ControlError) as caught:
            await client.call(ReadStatus(), 1.0)
    assert caught.value.sent is False
    assert one.calls + two.calls <= 30


async def test_responsive_members_are_called_while_another_is_silent(clock, nursery):
    """The failed leader must not use up the timeout until another is elected."""
    silent = await Member().start_silent(nursery)
    follower = await Member(NotLeader("")).start(nursery)
    async with ControlClient([silent.address, follower.address]) as client:
        with pytest.raises(ControlError) as caught:
            await client.call(ReadStatus(), 1.5)
    assert caught.value.sent is True
    assert (silent.calls, follower.calls > 5) == (1, True)


async def test_slow_leader_is_given_more_time_in_later_rounds(clock, nursery):
    slow = Member()

    async def answer_late(message, send):
        await trio.sleep(1.0)
        return Acknowledged()

    slow._answer = answer_late
    await slow.start(nursery)
    async with ControlClient([slow.address]) as client:
        assert await client.call(ReadStatus(), 10.0) == Acknowledged()


async def test_long_read_is_not_limited_by_the_attempt_timeout(clock, nursery):
    leader = await Member().start(nursery)
    async with ControlClient([leader.address]) as client:
        reply = await client.call(ReadClaim("c", "id", 5.0), 10.0)
    assert reply == ClaimRecordReply(record=None)


@pytest.mark.parametrize("is_silent", [False, True])
async def test_sent_is_true_if_an_attempt_may_have_arrived(clock, nursery, is_silent):
    member = await Member().start_silent(nursery)
    address = member.address if is_silent else UNUSED_ADDRESS
    async with ControlClient([address]) as client:
        with pytest.raises(ControlError) as caught:
            await client.call(ReadStatus(), 0.5)
    assert caught.value.sent is is_silent


async def test_concurrent_calls_share_one_channel(clock, nursery):
    leader = await Member().start(nursery)
    async with ControlClient([leader.address]) as client:
        async with trio.open_nursery() as calls:
            for _ in range(5):
                calls.start_soon(client.call, ReadStatus(), 5.0)
        assert len(client._channels) == 1
    assert leader.calls == 5


@pytest.mark.parametrize("frozen_at", [0.01, 0.2, 0.45])
@pytest.mark.parametrize("election_s", [1.1, 1.3, 1.5, 1.7, 1.9])
async def test_silent_leader_does_not_delay_the_next_one(
    clock, nursery, election_s, frozen_at
):
    """An election that takes its usual time must not fence an entry."""
    silent = await Member().start_silent(nursery)
    one, two = [await Member(NotLeader(silent.address)).start(nursery) for _ in "12"]
    addresses = [silent.address, one.address, two.address]
    elected_at = trio.current_time() + election_s - frozen_at
    async with ControlClient(addresses) as client:
        client.leader = silent.address

        async def elect():
            await trio.sleep_until(elected_at)
            one.reply, two.reply = NotLeader(two.address), Acknowledged()

        nursery.start_soon(elect)
        while True:
            with contextlib.suppress(ControlError):
                await client.call(ReadStatus(), HEARTBEAT_TIMEOUT_S)
                break
    assert trio.current_time() - elected_at <= NEXT_MEMBER_AFTER_S + 0.2
