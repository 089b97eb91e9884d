"""Pool the connections to one server.

An open connection can become permanently silent while new connections work. When
requests end without a byte from the server, one new connection is opened as a
probe. If the probe succeeds, all silent connections are closed.
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
MAX_AGE_JITTER_SHARE = 0.2
# After this idle time the server may have closed its side unnoticed.
STALE_IDLE_S = 1.0
MAINTENANCE_INTERVAL_S = 0.1
CONNECT_RETRY_DELAY_S = 0.5
# A single unanswered request is usually a straggler, so it does not start a probe.
UNANSWERED_BEFORE_PROBE = 2
# Share of the timeout after which an unanswered request counts.
MIN_SILENT_TIMEOUT_SHARE = 0.25


class ConnectFailedError(Exception):
    """Raised when no connection to the server could be opened."""


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
        # All open connections, with the time at which each expires.
        self._expires_at_by_conn = {}
        self._suspects = set()
        self._connecting = 0
        self._last_received_at = -math.inf
        self._unanswered_count = 0
        self._silent_since = None
        self._changed = trio.Event()
        self._probe_requested = trio.Event()

    @property
    def size(self):
        """Return the PoolSize."""
        return PoolSize(
            len(self._expires_at_by_conn), len(self._idle), self._connecting
        )

    async def acquire(self, fresh=False):
        """Return a connection. Raises ConnectFailedError.

        With ``fresh``, the connection was not idle long enough to be stale, and it
        is protected from being closed as a suspect during its request.
        """
        while True:
            conn = await self._pop_idle(fresh)
            if conn is None and self._can_open():
                conn = await self._open()
            if conn is not None:
                conn.protected = fresh
                return conn
            await self._changed.wait()

    async def release(self, conn):
        """Return a connection to the pool, or close it if it is not usable."""
        self._last_received_at = max(self._last_received_at, conn.last_received_at)
        if (
            conn in self._expires_at_by_conn
            and conn.is_idle
            and conn not in self._suspects
        ):
            self._unanswered_count = 0
            self._idle.append(conn)
            self._notify()
        else:
            with trio.CancelScope(shield=True):
                await self.discard(conn)

    async def discard(self, conn):
        """Remove a connection from the pool and close it."""
        self._remove(conn)
        await conn.aclose()

    def record_unanswered(self, started_at, timeout_s):
        """Record a request that ended without a byte from the server.

        Connections become suspect when the server has been silent on all of them
        since ``started_at``, and either this request waited ``timeout_s`` or it is the
        last of UNANSWERED_BEFORE_PROBE unanswered requests in a row. Requests that
        ended before MIN_SILENT_TIMEOUT_SHARE of ``timeout_s`` are ignored, because they
        were probably cancelled when a hedge won.
        """
        waited_s = trio.current_time() - started_at
        if waited_s < MIN_SILENT_TIMEOUT_SHARE * timeout_s:
            return
        last_received_at = max(
            (conn.last_received_at for conn in self._expires_at_by_conn),
            default=-math.inf,
        )
        if max(last_received_at, self._last_received_at) >= started_at:
            self._unanswered_count = 0
            return
        self._unanswered_count += 1
        is_long = waited_s >= timeout_s
        if is_long or self._unanswered_count >= UNANSWERED_BEFORE_PROBE:
            self._mark_suspects(started_at)

    async def run(self):
        """Open spare connections, close old ones and run probes until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_maintenance)
                nursery.start_soon(self._run_probes)
        finally:
            with trio.CancelScope(shield=True):
                await self.aclose()

    async def aclose(self):
        """Close all connections."""
        for conn in tuple(self._expires_at_by_conn):
            self._remove(conn)
            await conn.abort()

    def _can_open(self):
        if not self._ramp.may_connect(self._connecting):
            return False
        return len(self._expires_at_by_conn) + self._connecting < self._max

    async def _pop_idle(self, fresh):
        now = trio.current_time()
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_usable:
                self._idle.append(conn)
                await self._discard_closed()
                continue
            is_stale = fresh and now - conn.idle_since >= STALE_IDLE_S
            if not is_stale and conn not in self._suspects:
                return conn
            await self.discard(conn)
        return None

    async def _discard_closed(self):
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
            raise ConnectFailedError(
                f"cannot connect to {self._address}: {exc!r}"
            ) from exc
        finally:
            self._connecting -= 1
            self._notify()
        assert len(self._expires_at_by_conn) < self._max
        jitter = self._rng.uniform(1 - MAX_AGE_JITTER_SHARE, 1 + MAX_AGE_JITTER_SHARE)
        self._expires_at_by_conn[conn] = conn.opened_at + MAX_AGE_S * jitter
        return conn

    def _remove(self, conn):
        self._expires_at_by_conn.pop(conn, None)
        self._suspects.discard(conn)
        with contextlib.suppress(ValueError):
            self._idle.remove(conn)
        self._notify()

    def _notify(self):
        if self._changed.statistics().tasks_waiting:
            self._changed.set()
            self._changed = trio.Event()

    async def _run_maintenance(self):
        while True:
            await self._close_expired()
            try:
                await self._open_spare_connections()
            except ConnectFailedError:
                await trio.sleep(CONNECT_RETRY_DELAY_S)
            await trio.sleep(MAINTENANCE_INTERVAL_S)

    async def _close_expired(self):
        await self._discard_closed()
        now = trio.current_time()
        for conn in [
            conn for conn in self._idle if self._expires_at_by_conn[conn] <= now
        ]:
            await self.discard(conn)

    async def _open_spare_connections(self):
        while (
            len(self._expires_at_by_conn) < self._ramp.target_connections
            and self._can_open()
        ):
            conn = await self._open()
            self._idle.insert(0, conn)
            self._notify()

    def _mark_suspects(self, since):
        if self._silent_since is not None:
            return
        self._suspects.update(
            conn
            for conn in self._expires_at_by_conn
            if conn.last_used_at <= since
            and conn.last_received_at < since
            and not conn.protected
        )
        self._silent_since = since
        self._probe_requested.set()

    async def _run_probes(self):
        while True:
            await self._probe_requested.wait()
            await self._probe()
            self._probe_requested = trio.Event()
            self._silent_since = None
            self._unanswered_count = 0

    async def _probe(self):
        if not await self._make_room() or not await self._test_new_connection():
            return
        suspects = tuple(self._suspects)
        for conn in suspects:
            self._remove(conn)
            await conn.abort()
        log_event(Event.CONNECTION_SILENT, address=self._address, closed=len(suspects))

    async def _make_room(self):
        """Close a suspect if the pool has no place for the probe's connection."""
        if len(self._expires_at_by_conn) + self._connecting < self._max:
            return True
        if not self._suspects:
            return False
        conn = next(iter(self._suspects))
        self._remove(conn)
        await conn.abort()
        return True

    async def _test_new_connection(self):
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                conn = await self._open()
            except ConnectFailedError:
                return False
            status = await conn.read_status()
            await self.release(conn)
            return status is not None
        return False
