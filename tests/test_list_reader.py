"""Guard against gateways that wait for a list which nobody reads yet."""

import pytest
import trio
import trio.testing

from wisteriaworks.list_reader import ListFollower

NEVER_S = 1e9


class StandInReader:
    """Return a new list at each reading, or None where it can't be read."""

    def __init__(self):
        self.readings = 0
        self.is_readable = True

    async def read(self, pool):
        self.readings += 1
        return [f"server-{self.readings}"] if self.is_readable else None


class FollowingMember:
    """Follow a list as a member that may or may not lead."""

    def __init__(self, nursery, interval_s, leads):
        self.reader, self.lists, self.leads = StandInReader(), [], leads
        self.follower = ListFollower(self.reader, interval_s, lambda: self.leads)
        nursery.start_soon(self.follower.run, self.lists.append)


async def test_list_is_read_as_soon_as_it_is_wanted(nursery):
    """After a loss of all processes callers are refused until the list is read."""
    member = FollowingMember(nursery, NEVER_S, leads=False)
    await trio.testing.wait_all_tasks_blocked()
    assert member.lists == []
    member.leads = True
    member.follower.wake()
    await trio.testing.wait_all_tasks_blocked()
    assert member.lists == [["server-1"]]


async def test_list_that_is_not_wanted_is_not_read(nursery):
    """Calls are bounded over all members, so only the leader reads."""
    member = FollowingMember(nursery, NEVER_S, leads=True)
    await trio.testing.wait_all_tasks_blocked()
    member.leads = False
    member.follower.wake()
    await trio.testing.wait_all_tasks_blocked()
    assert member.reader.readings == 1


async def test_each_time_that_the_list_is_wanted_is_asked_for_once(nursery):
    """A gateway that decides to read must not have to decide twice."""
    reader, lists, answers = StandInReader(), [], iter([True, False, False])
    follower = ListFollower(reader, NEVER_S, lambda: next(answers))
    nursery.start_soon(follower.run, lists.append)
    await trio.testing.wait_all_tasks_blocked()
    assert lists == [["server-1"]]


@pytest.mark.parametrize("interval_s", [0.5, 2.0])
async def test_list_is_read_at_intervals(nursery, autojump_clock, interval_s):
    member = FollowingMember(nursery, interval_s, leads=True)
    await trio.sleep(10 * interval_s + 0.1)
    assert member.reader.readings == 11


async def test_unreadable_list_is_not_taken(nursery):
    member = FollowingMember(nursery, NEVER_S, leads=True)
    member.reader.is_readable = False
    await trio.testing.wait_all_tasks_blocked()
    assert (member.reader.readings, member.lists) == (1, [])
