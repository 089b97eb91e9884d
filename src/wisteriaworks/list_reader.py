"""Read the platform's list of servers at intervals."""

import contextlib

import trio

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import WisteriaError
from wisteriaworks.events import Event, log_event
from wisteriaworks.http_status import MalformedStatusError, is_final_status

TIMEOUT_S = 1.0
# A page has some hundred entries of 200 bytes.
MAX_PAGE_BYTES = 8 * 1024 * 1024
# TIMEOUT_S limits each read, and this the whole page.
PAGE_TIMEOUT_S = 5.0
# A list with more pages than this is treated as endless.
MAX_PAGES = 1000
_OK = 200


class ListUnreadableError(WisteriaError):
    """Report a list of servers that could not be read."""


class ListReader:
    """Read the complete list; ``wire`` defines its paths and format."""

    def __init__(self, address, wire):
        self._address = address
        self._wire = wire
        self._is_failing = False
        # Number of pages of the last complete read, or 0.
        self.pages = 0

    async def read(self, pool):
        """Return all servers of the list, or None if it can't be read now.

        An incomplete list is not used, since the servers missing from it would
        count as removed.
        """
        try:
            servers = await self._read_pages(pool)
        except (
            *_get_network_errors(),
            ListUnreadableError,
            MalformedStatusError,
        ) as exc:
            if not self._is_failing:
                log_event(Event.PLATFORM_UNREADABLE, reason=repr(exc))
            self._is_failing = True
            return None
        self._is_failing = False
        return servers

    async def _read_pages(self, pool):
        servers, token = [], ""
        for number in range(1, MAX_PAGES + 1):
            page = await self._read_page(pool, token)
            servers += page.servers
            token = page.next_token
            if not token:
                self.pages = number
                return servers
        raise ListUnreadableError(f"the list has more than {MAX_PAGES} pages")

    async def _read_page(self, pool, token):
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        url = f"http://{self._address}{self._wire.make_list_path(token)}"
        async with pool.stream("GET", url, extensions={"timeout": timeouts}) as reply:
            is_final_status(reply.status)
            if reply.status != _OK:
                raise ListUnreadableError(f"status {reply.status}")
            body = await _read_body(reply)
        try:
            return self._wire.read_list_page(body)
        except ValueError as exc:
            raise ListUnreadableError(str(exc)) from exc


async def _read_body(reply):
    """Return the body of a page. Raises ListUnreadableError if it has no end."""
    body = bytearray()
    with trio.move_on_after(PAGE_TIMEOUT_S):
        async for data in reply.aiter_stream():
            body += data
            if len(body) > MAX_PAGE_BYTES:
                raise ListUnreadableError(f"a page is over {MAX_PAGE_BYTES} bytes")
        return bytes(body)
    raise ListUnreadableError(f"a page takes longer than {PAGE_TIMEOUT_S} s")


def _get_network_errors():
    import httpcore

    return httpcore.TimeoutException, httpcore.NetworkError, httpcore.ProtocolError


def open_pool():
    """Return a pool with one persistent connection, as a context manager."""
    # The import of httpcore takes 10 to 30 ms, and most processes never read the list.
    import httpcore

    return httpcore.AsyncConnectionPool(max_connections=1)


class ListFollower:
    """Read the list at intervals while it is required.

    ``wake`` drops a read that is in progress, since the reason for it may have ended
    in the meantime, and checks at once whether the list is required.
    """

    def __init__(self, reader, interval_s, is_required):
        self._reader = reader
        self._interval_s = interval_s
        self._is_required = is_required
        self._changed = trio.Event()
        self._read_scope = trio.CancelScope()

    def wake(self):
        """Drop a read in progress and check whether the list is required."""
        self._read_scope.cancel()
        self._changed.set()

    async def run(self, on_list):
        """Call ``on_list`` with each list and the boot time at which its read began."""
        async with contextlib.AsyncExitStack() as stack:
            pool = None
            while True:
                self._changed = trio.Event()
                if self._is_required():
                    pool = pool or await stack.enter_async_context(open_pool())
                    await self._read(pool, on_list)
                with trio.move_on_after(self._interval_s):
                    await self._changed.wait()

    async def _read(self, pool, on_list):
        began_at, servers = read_boot_time(), None
        with trio.CancelScope() as self._read_scope:
            servers = await self._reader.read(pool)
        if servers is not None and not self._read_scope.cancel_called:
            on_list(servers, began_at)
