"""Guard against reads of the server list that come late or are not required."""

import pytest
import trio
import trio.testing

from wisteriaworks.list_reader import ListFollower

NEVER_S = 1e9


class StandInReader:
    """Return a new list at each read, or None while it is not readable."""

    def __init__(self):
        self.read_count = 0
        self.is_readable = True

    async def read(self, pool):
        self.read_count += 1
        return [f"server-{self.read_count}"] if self.is_readable else None


class FollowerHarness:
    """Follow the list as a member that may or may not be the leader."""

    def __init__(self, nursery, interval_s, is_leader):
        self.reader, self.lists, self.is_leader = StandInReader(), [], is_leader
        self.follower = ListFollower(self.reader, interval_s, lambda: self.is_leader)
        nursery.start_soon(self.follower.run, self.lists.append)


async def test_list_is_read_as_soon_as_it_is_required(nursery):
    """After all processes were lost, callers are refused until the list is read."""
    member = FollowerHarness(nursery, NEVER_S, is_leader=False)
    await trio.testing.wait_all_tasks_blocked()
    assert member.lists == []
    member.is_leader = True
    member.follower.wake()
    await trio.testing.wait_all_tasks_blocked()
    assert member.lists == [["server-1"]]


async def test_list_that_is_not_required_is_not_read(nursery):
    """The platform limits the calls of all members, so only the leader reads."""
    member = FollowerHarness(nursery, NEVER_S, is_leader=True)
    await trio.testing.wait_all_tasks_blocked()
    member.is_leader = False
    member.follower.wake()
    await trio.testing.wait_all_tasks_blocked()
    assert member.reader.read_count == 1


async def test_requirement_is_checked_once_per_interval(nursery):
    """The check of a gateway has a side effect: if it is True, a read is recorded."""
    reader, lists, answers = StandInReader(), [], iter([True, False, False])
    follower = ListFollower(reader, NEVER_S, lambda: next(answers))
    nursery.start_soon(follower.run, lists.append)
    await trio.testing.wait_all_tasks_blocked()
    assert lists == [["server-1"]]


@pytest.mark.parametrize("interval_s", [0.5, 2.0])
async def test_list_is_read_at_intervals(nursery, autojump_clock, interval_s):
    member = FollowerHarness(nursery, interval_s, is_leader=True)
    await trio.sleep(10 * interval_s + 0.1)
    assert member.reader.read_count == 11


async def test_unreadable_list_is_not_passed_on(nursery):
    member = FollowerHarness(nursery, NEVER_S, is_leader=True)
    member.reader.is_readable = False
    await trio.testing.wait_all_tasks_blocked()
    assert (member.reader.read_count, member.lists) == (1, [])
