"""Guard against many reads of one large state, and against results that are too old."""

import pytest
import trio

from wisteriaworks.shared_read import SharedRead


class Source:
    """Return the number of the read; reads wait until they are released."""

    def __init__(self):
        self.reads = 0
        self.released = trio.Event()
        self.exc = None

    async def read(self):
        self.reads += 1
        number = self.reads
        await self.released.wait()
        if self.exc is not None:
            raise self.exc
        return number


async def collect(shared, results):
    try:
        results.append(await shared.run())
    except ValueError as exc:
        results.append(exc)


async def test_callers_that_wait_share_a_read_that_began_later(nursery):
    source, results = Source(), []
    shared = SharedRead(source.read, ValueError)
    nursery.start_soon(collect, shared, results)
    await trio.testing.wait_all_tasks_blocked()
    for _ in range(10):
        nursery.start_soon(collect, shared, results)
    await trio.testing.wait_all_tasks_blocked()
    assert source.reads == 1
    source.released.set()
    await trio.testing.wait_all_tasks_blocked()
    assert results == [1] + [2] * 10


@pytest.mark.parametrize("waiting", [0, 3])
async def test_error_reaches_all_callers(nursery, waiting):
    source, results = Source(), []
    source.exc = ValueError("x")
    shared = SharedRead(source.read, ValueError)
    for _ in range(1 + waiting):
        nursery.start_soon(collect, shared, results)
    source.released.set()
    await trio.testing.wait_all_tasks_blocked()
    assert results == [source.exc] * (1 + waiting)


async def test_cancelled_reader_leaves_the_read_to_the_others(nursery):
    source, results = Source(), []
    shared = SharedRead(source.read, ValueError)
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as inner:
            for _ in range(3):
                inner.start_soon(collect, shared, results)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(collect, shared, results)
            await trio.testing.wait_all_tasks_blocked()
            scope.cancel()
    source.released.set()
    await trio.testing.wait_all_tasks_blocked()
    assert results == [2]
