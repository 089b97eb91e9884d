"""Guard against too many, stale or silent connections."""

import random

import pytest
import trio
from emulation import make_settings

from wisteriaworks import connection_pool
from wisteriaworks.backend_emulator import Emulator
from wisteriaworks.connection_pool import ConnectFailedError, ConnectionPool
from wisteriaworks.generated.emulator import Fault, FaultCommand
from wisteriaworks.ramp import Ramp


@pytest.fixture
async def emulator(nursery):
    emulator = Emulator(make_settings(start_cold=False))
    await nursery.start(emulator.run)
    return emulator


@pytest.fixture
def closed():
    return []


@pytest.fixture
def make_pool(emulator, closed):
    def make(max_connections=3, slots=1):
        return ConnectionPool(
            emulator.servers["s0"].address,
            max_connections,
            Ramp(slots),
            random.Random(1),
            lambda: closed.append(True),
        )

    return make


async def test_pool_opens_at_most_its_maximum(make_pool):
    pool = make_pool(max_connections=3)
    conns = [await pool.acquire() for _ in range(3)]
    with trio.move_on_after(0.05) as scope:
        await pool.acquire()
    assert scope.cancelled_caught
    await pool.release(conns[0])
    assert await pool.acquire() is conns[0]


async def test_cold_pool_opens_one_connection_at_a_time(make_pool, monkeypatch):
    pool, sizes = make_pool(slots=4), []
    open_connection = connection_pool.open_connection

    async def record_connecting(address):
        sizes.append(pool.size.connecting)
        await trio.sleep(0.005)
        return await open_connection(address)

    monkeypatch.setattr(connection_pool, "open_connection", record_connecting)
    async with trio.open_nursery() as tasks:
        for _ in range(3):
            tasks.start_soon(pool.acquire)
    assert sizes == [1, 1, 1]


@pytest.mark.parametrize("fresh", [True, False])
async def test_stale_idle_connection_is_not_used_when_fresh_is_set(
    make_pool, monkeypatch, fresh
):
    """A lost non-idempotent request cannot be retried.

    So it must not be sent on a stale connection, where it may be lost.
    """
    pool = make_pool()
    conn = await pool.acquire()
    await conn.read_status()
    await pool.release(conn)
    monkeypatch.setattr(connection_pool, "STALE_IDLE_S", 0.01)
    await trio.sleep(0.02)
    assert (await pool.acquire(fresh=fresh) is conn) is not fresh


async def test_connection_closed_by_the_server_is_replaced(make_pool, emulator, closed):
    pool = make_pool()
    conn = await pool.acquire()
    await conn.read_status()
    await pool.release(conn)
    emulator.apply(Fault(command=FaultCommand.RESTART))
    await trio.sleep(0.02)
    assert await pool.acquire() is not conn
    assert closed == [True]


async def test_old_connection_is_closed(make_pool, monkeypatch, nursery):
    monkeypatch.setattr(connection_pool, "MAX_AGE_S", 0.01)
    pool = make_pool()
    conn = await pool.acquire()
    await pool.release(conn)
    nursery.start_soon(pool.run)
    while conn in pool._expires_at_by_conn:
        await trio.sleep(0.005)


async def test_refused_connection_is_an_error(make_pool, emulator):
    emulator.apply(Fault(command=FaultCommand.KILL))
    await trio.sleep(0.02)
    with pytest.raises(ConnectFailedError):
        await make_pool().acquire()


@pytest.mark.parametrize("command", [FaultCommand.ANSWER, FaultCommand.STOP_ANSWERING])
async def test_suspects_in_use_are_closed_only_after_a_working_probe(
    make_pool, emulator, nursery, command
):
    """If the server answers no connection, running requests must not be aborted."""
    pool = make_pool(max_connections=4)
    used, protected = await pool.acquire(), await pool.acquire(fresh=True)
    await trio.sleep(0.001)
    emulator.apply(Fault(command=command))
    nursery.start_soon(pool.run)
    pool.record_unanswered(trio.current_time(), 0.0)
    while pool._silent_since is not None:
        await trio.sleep(0.005)
    assert (used in pool._expires_at_by_conn) == (
        command is FaultCommand.STOP_ANSWERING
    )
    assert protected in pool._expires_at_by_conn


async def test_suspect_is_not_used_before_the_probe_has_ended(make_pool):
    pool = make_pool()
    conn = await pool.acquire()
    await pool.release(conn)
    await trio.sleep(0.001)
    pool.record_unanswered(trio.current_time(), 0.0)
    assert await pool.acquire() is not conn


async def test_full_pool_closes_a_suspect_for_the_probe(make_pool, nursery):
    pool = make_pool(max_connections=2)
    silent = [await pool.acquire(), await pool.acquire()]
    await trio.sleep(0.001)
    nursery.start_soon(pool.run)
    pool.record_unanswered(trio.current_time(), 0.0)
    while not set(silent).isdisjoint(pool._expires_at_by_conn):
        await trio.sleep(0.005)
    assert await pool.acquire() not in silent


async def test_no_probe_while_other_connections_receive_bytes(make_pool):
    pool = make_pool()
    started_at = trio.current_time()
    conn = await pool.acquire()
    await conn.read_status()
    for _ in range(10):
        pool.record_unanswered(started_at, 0.0)
    assert pool._silent_since is None


async def test_early_cancellation_makes_no_suspects(make_pool):
    """Requests that lose to a hedge are cancelled early on connections that work."""
    pool = make_pool()
    await pool.acquire()
    for _ in range(10):
        pool.record_unanswered(trio.current_time(), 2.0)
    assert pool._silent_since is None
