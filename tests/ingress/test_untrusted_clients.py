"""Guard against clients that exhaust the memory or the descriptors of a program.

The sizes of the crowds and the bounds were fixed on the code without limits; those of
the crowd of all forms after answers had been limited.
"""

import crowd
import pytest
import trio
from programs import BODY_BYTES, CLIENTS, check_memory, check_served

CONNECTIONS = 300
MAX_CONNECTIONS = 100
CLIENTS_PER_FORM = 8
# Time for the answers to arrive; not a bound.
SETTLE_S = 2.0


@pytest.mark.parametrize("target", ["gateway", "control", "entry"], indirect=True)
@pytest.mark.parametrize(
    "make",
    [crowd.make_body, crowd.make_chunks],
    ids=["length", "chunks"],
)
async def test_unfinished_bodies_are_bounded(target, make):
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    pieces = make(target.head, target.body_bytes)
    async with crowd.open_crowd(target.address, target.clients, pieces):
        await check_served(target)
        check_memory(target, before)
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "entry"], indirect=True)
async def test_one_byte_chunks_are_bounded(target):
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    pieces = crowd.make_chunks(target.head, 20_000, chunk=1)
    async with crowd.open_crowd(target.address, CLIENTS, pieces):
        await check_served(target)
        check_memory(target, before)
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "control", "entry"], indirect=True)
async def test_short_header_lines_are_bounded(target):
    """A line of two bytes takes a hundred times as much memory once it is read."""
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    pieces = crowd.make_header_lines(target.head, 16_000)
    async with crowd.open_crowd(target.address, CLIENTS, pieces):
        await check_served(target)
        check_memory(target, before)
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "entry"], indirect=True)
async def test_trailers_without_end_are_bounded(target):
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    pieces = crowd.make_trailers(target.head, 500_000)
    async with crowd.open_crowd(target.address, CLIENTS, pieces):
        await check_served(target)
        check_memory(target, before)
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "control", "entry"], indirect=True)
async def test_open_connections_are_bounded(target):
    before = crowd.count_descriptors(target.pid)
    async with crowd.open_crowd(target.address, CONNECTIONS, (b"",)):
        await check_served(target)
        assert crowd.count_descriptors(target.pid) - before <= MAX_CONNECTIONS
    await check_served(target)


@pytest.mark.parametrize("target", ["gateway", "entry"], indirect=True)
async def test_connections_of_refused_bodies_are_closed(target):
    """A body that is refused before its end must not keep its connection."""
    before = crowd.count_descriptors(target.pid)
    pieces = crowd.make_chunks(target.head, 3 * BODY_BYTES)
    async with crowd.open_crowd(target.address, CLIENTS, pieces):
        await check_served(target)
    with trio.move_on_after(10):
        while crowd.count_descriptors(target.pid) - before > CLIENTS // 4:
            await trio.sleep(0.2)
    assert crowd.count_descriptors(target.pid) - before <= CLIENTS // 4
    await check_served(target)


@pytest.mark.parametrize(
    "target", ["gateway", "control", "redirect", "entry", "console"], indirect=True
)
async def test_crowd_of_all_forms_is_bounded(target):
    await target.lengthen()
    await check_served(target)
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    crowd.reset_peak(target.pid)
    forms = (
        crowd.make_body(target.head, target.body_bytes),
        crowd.make_chunks(target.head, target.body_bytes),
        crowd.make_chunks(target.head, 20_000, chunk=1),
        crowd.make_header_lines(target.head, 16_000),
        crowd.make_trailers(target.head, 500_000),
    )
    clients = [*forms * CLIENTS_PER_FORM]
    clients += [[target.ask()] for _ in range(CLIENTS_PER_FORM)]
    clients += [[target.ask() for _ in range(8)] for _ in range(CLIENTS_PER_FORM)]
    async with crowd.open_clients(target.address, clients, settle_s=SETTLE_S):
        await check_served(target)
        check_memory(target, before)
    await check_served(target)
