"""Keep the connections to one server.

An open connection can go silent for good while new ones work. When requests
end without a byte from the server, one fresh connection is opened as a probe;
when the probe works, all connections that have been silent are closed at once.
"""

import contextlib
import math
from dataclasses import dataclass

import trio

from wisteriaworks.backend_client import open_connection
from wisteriaworks.events import Event, log_event

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.5
MAX_AGE_S = 300.0
MAX_AGE_JITTER = 0.2
# Past this idle time the server may have closed its side unnoticed.
STALE_IDLE_S = 1.0
UPKEEP_INTERVAL_S = 0.1
CONNECT_RETRY_S = 0.5
# A single unanswered request is usually a straggler.
STRIKES_BEFORE_PROBE = 2
STRIKE_SHARE = 0.25


class ConnectFailedError(Exception):
    """Report that no connection to the server could be opened."""


@dataclass(frozen=True, slots=True)
class PoolSize:
    """Count the connections of a pool."""

    open: int
    idle: int
    connecting: int


class ConnectionPool:
    """Open, reuse and close the connections to one server.

    ``on_all_closed()`` is called when the server has closed all idle
    connections, which is the first sign of a restart.
    """

    def __init__(self, address, max_connections, ramp, rng, on_all_closed):
        self._address = address
        self._max = max_connections
        self._ramp = ramp
        self._rng = rng
        self._on_all_closed = on_all_closed
        self._idle = []
        self._expiry = {}
        self._suspects = set()
        self._connecting = 0
        self._heard_at = -math.inf
        self._strikes = 0
        self._probe_since = None
        self._changed = trio.Event()
        self._probe_wanted = trio.Event()

    @property
    def size(self):
        """Return the PoolSize."""
        return PoolSize(len(self._expiry), len(self._idle), self._connecting)

    async def acquire(self, fresh=False):
        """Return a connection. Raises ConnectFailedError.

        ``fresh`` asks for one that was not idle so long that it may be stale,
        and protects its request from being broken off.
        """
        while True:
            conn = await self._take_idle(fresh)
            if conn is None and self._may_open():
                conn = await self._open()
            if conn is not None:
                conn.protected = fresh
                return conn
            await self._changed.wait()

    async def release(self, conn):
        """Take a connection back, or close it if it is no longer usable."""
        self._heard_at = max(self._heard_at, conn.heard_at)
        if conn in self._expiry and conn.is_idle and conn not in self._suspects:
            self._strikes = 0
            self._idle.append(conn)
            self._notify()
        else:
            with trio.CancelScope(shield=True):
                await self.discard(conn)

    async def discard(self, conn):
        """Close a connection."""
        self._forget(conn)
        await conn.aclose()

    def note_unanswered(self, began_at, elapsed_limit_s):
        """Record a request that ended without a byte from the server.

        Connections count as suspect when the server has been silent on all of
        them since ``began_at`` for ``elapsed_limit_s``, or repeatedly for a
        part of it. A request that was cancelled earlier, because a hedge won,
        says nothing.
        """
        waited_s = trio.current_time() - began_at
        if waited_s < STRIKE_SHARE * elapsed_limit_s:
            return
        heard_at = max((conn.heard_at for conn in self._expiry), default=-math.inf)
        if max(heard_at, self._heard_at) >= began_at:
            self._strikes = 0
            return
        self._strikes += 1
        is_long = waited_s >= elapsed_limit_s
        if is_long or self._strikes >= STRIKES_BEFORE_PROBE:
            self._suspect(began_at)

    async def run(self):
        """Open spare connections, close old ones and probe; until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_upkeep)
                nursery.start_soon(self._run_probes)
        finally:
            with trio.CancelScope(shield=True):
                await self.aclose()

    async def aclose(self):
        """Close all connections."""
        for conn in tuple(self._expiry):
            self._forget(conn)
            await conn.abort()

    def _may_open(self):
        if not self._ramp.may_connect(self._connecting):
            return False
        return len(self._expiry) + self._connecting < self._max

    async def _take_idle(self, fresh):
        now = trio.current_time()
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_usable:
                self._idle.append(conn)
                await self._drop_closed()
                continue
            is_stale = fresh and now - conn.idle_since >= STALE_IDLE_S
            if not is_stale and conn not in self._suspects:
                return conn
            await self.discard(conn)
        return None

    async def _drop_closed(self):
        closed = [conn for conn in self._idle if not conn.is_usable]
        if closed and len(closed) == len(self._idle):
            self._on_all_closed()
        for conn in closed:
            await self.discard(conn)

    async def _open(self):
        self._connecting += 1
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                conn = await open_connection(self._address)
        except (OSError, trio.TooSlowError) as exc:
            raise ConnectFailedError(f"{self._address}: {exc!r}") from exc
        finally:
            self._connecting -= 1
            self._notify()
        assert len(self._expiry) < self._max
        jitter = self._rng.uniform(1 - MAX_AGE_JITTER, 1 + MAX_AGE_JITTER)
        self._expiry[conn] = conn.opened_at + MAX_AGE_S * jitter
        return conn

    def _forget(self, conn):
        self._expiry.pop(conn, None)
        self._suspects.discard(conn)
        with contextlib.suppress(ValueError):
            self._idle.remove(conn)
        self._notify()

    def _notify(self):
        if self._changed.statistics().tasks_waiting:
            self._changed.set()
            self._changed = trio.Event()

    async def _run_upkeep(self):
        while True:
            await self._close_old()
            try:
                await self._open_spares()
            except ConnectFailedError:
                await trio.sleep(CONNECT_RETRY_S)
            await trio.sleep(UPKEEP_INTERVAL_S)

    async def _close_old(self):
        await self._drop_closed()
        now = trio.current_time()
        for conn in [conn for conn in self._idle if self._expiry[conn] <= now]:
            await self.discard(conn)

    async def _open_spares(self):
        while len(self._expiry) < self._ramp.spares and self._may_open():
            conn = await self._open()
            self._idle.insert(0, conn)
            self._notify()

    def _suspect(self, since):
        if self._probe_since is not None:
            return
        self._suspects.update(
            conn
            for conn in self._expiry
            if conn.used_at <= since and conn.heard_at < since and not conn.protected
        )
        self._probe_since = since
        self._probe_wanted.set()

    async def _run_probes(self):
        while True:
            await self._probe_wanted.wait()
            await self._probe()
            self._probe_wanted = trio.Event()
            self._probe_since = None
            self._strikes = 0

    async def _probe(self):
        if not await self._make_room() or not await self._answers_anew():
            return
        suspects = tuple(self._suspects)
        for conn in suspects:
            self._forget(conn)
            await conn.abort()
        log_event(Event.CONNECTION_SILENT, address=self._address, closed=len(suspects))

    async def _make_room(self):
        """Give up a suspect if the probe would be one connection too many."""
        if len(self._expiry) + self._connecting < self._max:
            return True
        if not self._suspects:
            return False
        conn = next(iter(self._suspects))
        self._forget(conn)
        await conn.abort()
        return True

    async def _answers_anew(self):
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                conn = await self._open()
            except ConnectFailedError:
                return False
            status = await conn.read_status()
            await self.release(conn)
            return status is not None
        return False
