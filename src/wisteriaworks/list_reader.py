"""Read the platform's list of servers again and again."""

import httpcore
import trio

from wisteriaworks.errors import WisteriaError
from wisteriaworks.events import Event, log_event

TIMEOUT_S = 1.0
# A list of more pages than this is taken as one that never ends.
MAX_PAGES = 1000
_OK = 200
_FAILURES = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)


class ListUnreadableError(WisteriaError):
    """Report a list of servers that could not be read."""


class ListReader:
    """Read the whole list. Use ``wire`` for its paths and format."""

    def __init__(self, address, wire):
        self._address = address
        self._wire = wire
        self._is_failing = False

    async def read(self, pool):
        """Return all servers of the list, or None if it can't be read now.

        An incomplete list is not used, since a missing server would count as
        gone.
        """
        try:
            servers = await self._read_pages(pool)
        except (*_FAILURES, ListUnreadableError) as exc:
            if not self._is_failing:
                log_event(Event.PLATFORM_UNREADABLE, reason=repr(exc))
            self._is_failing = True
            return None
        self._is_failing = False
        return servers

    async def _read_pages(self, pool):
        servers, token = [], ""
        for _ in range(MAX_PAGES):
            page = await self._read_page(pool, token)
            servers += page.servers
            token = page.next_token
            if not token:
                return servers
        raise ListUnreadableError(f"the list has more than {MAX_PAGES} pages")

    async def _read_page(self, pool, token):
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        url = f"http://{self._address}{self._wire.make_list_path(token)}"
        reply = await pool.request("GET", url, extensions={"timeout": timeouts})
        if reply.status != _OK:
            raise ListUnreadableError(f"status {reply.status}")
        try:
            return self._wire.read_list_page(reply.content)
        except ValueError as exc:
            raise ListUnreadableError(str(exc)) from exc


def open_pool():
    """Return a pool with one kept connection, as a context manager."""
    return httpcore.AsyncConnectionPool(max_connections=1)


async def follow_list(reader, on_list, interval_s, is_wanted=lambda: True):
    """Call ``on_list`` with each list, every ``interval_s`` while it is wanted."""
    async with open_pool() as pool:
        while True:
            if is_wanted():
                servers = await reader.read(pool)
                if servers is not None:
                    on_list(servers)
            await trio.sleep(interval_s)
