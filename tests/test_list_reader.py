"""Guard against reads of the server list that come late or are not required."""

import contextlib
import functools

import pytest
import trio
import trio.testing

from wisteriaworks import list_reader
from wisteriaworks.list_reader import ListFollower, ListReader
from wisteriaworks.platform import wire

NEVER_S = 1e9


class StandInReader:
    """Return a new list at each read, or None while it is not readable.

    A read ends only when ``answer`` is set.
    """

    def __init__(self):
        self.read_count = 0
        self.is_readable = True
        self.answer = trio.Event()
        self.answer.set()

    async def read(self, pool):
        self.read_count += 1
        servers = [f"server-{self.read_count}"] if self.is_readable else None
        await self.answer.wait()
        return servers


class FollowerHarness:
    """Follow the list as a member that may or may not be the leader."""

    def __init__(self, nursery, interval_s, is_leader):
        self.reader, self.lists, self.is_leader = StandInReader(), [], is_leader
        self.follower = ListFollower(self.reader, interval_s, lambda: self.is_leader)
        nursery.start_soon(self.follower.run, self._add)

    def _add(self, servers, read_at):
        self.lists.append(servers)

    def set_leader(self, is_leader):
        self.is_leader = is_leader
        self.follower.wake()


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
    nursery.start_soon(follower.run, lambda servers, read_at: lists.append(servers))
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


@pytest.mark.parametrize(
    "start", [b"Transfer-Encoding: chunked\r\n\r\n", b"\r\n", b"X: "]
)
async def test_list_without_end_is_given_up(nursery, monkeypatch, start):
    """A list whose body never ends grew the process until it was killed."""
    monkeypatch.setattr(list_reader, "MAX_PAGE_BYTES", 100_000)
    sent_bytes = 0

    async def serve(stream):
        nonlocal sent_bytes
        chunk = b"1f40\r\n" + b"x" * 8000 + b"\r\n"
        data = chunk if b"chunked" in start else b"x" * 8000
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(1000)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + start)
            while True:
                await stream.send_all(data)
                sent_bytes += len(data)

    (listener,) = await nursery.start(
        functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    )
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    with trio.fail_after(10):
        async with list_reader.open_pool() as pool:
            assert await ListReader(address, wire).read(pool) is None
    assert sent_bytes < 16 * 1024 * 1024


async def test_read_of_an_earlier_leadership_is_dropped(nursery):
    """Its list would replace the newer ones that another leader sent meanwhile."""
    member = FollowerHarness(nursery, NEVER_S, is_leader=True)
    member.reader.answer = trio.Event()
    await trio.testing.wait_all_tasks_blocked()
    member.set_leader(False)
    member.reader.answer.set()
    await trio.testing.wait_all_tasks_blocked()
    assert member.lists == []


async def test_leader_that_leads_again_reads_the_list_anew(nursery):
    """It waited for the slow read of its earlier leadership, and an interval more."""
    member = FollowerHarness(nursery, NEVER_S, is_leader=True)
    first_answer = member.reader.answer = trio.Event()
    await trio.testing.wait_all_tasks_blocked()
    member.reader.answer = trio.Event()
    member.reader.answer.set()
    member.set_leader(False)
    member.set_leader(True)
    await trio.testing.wait_all_tasks_blocked()
    first_answer.set()
    await trio.testing.wait_all_tasks_blocked()
    assert member.lists == [["server-2"]]


async def test_list_has_the_time_at_which_its_reading_began(nursery, monkeypatch):
    """A list that took long to read is as old as its first page."""
    times = iter([100.0, 200.0])
    monkeypatch.setattr(list_reader, "read_boot_time", lambda: next(times))
    reader, read_times, is_required = StandInReader(), [], iter([True, False])
    follower = ListFollower(reader, NEVER_S, lambda: next(is_required))
    nursery.start_soon(follower.run, lambda servers, at: read_times.append(at))
    await trio.testing.wait_all_tasks_blocked()
    assert read_times == [100.0]
