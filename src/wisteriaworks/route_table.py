"""The leader's table of routes, with versions and changes since a version."""

from collections import OrderedDict
from dataclasses import dataclass

from wisteriaworks.generated.messages import Route, ServerState
from wisteriaworks.partition_maps import PartitionMaps

TERM_SHIFT_BITS = 40
# Removed servers are remembered for entries that have not heard of them.
MAX_REMOVED = 10_000


@dataclass(frozen=True, slots=True)
class RouteChanges:
    """Hold what an entry needs to bring its table up to date.

    ``removed`` may name servers that the entry never heard of.
    """

    version: int
    full: bool
    routes: tuple[Route, ...]
    removed: tuple[str, ...]


class RouteTable:
    """Hold one route per server.

    Versions grow over terms: the term is in the high bits, so that a table
    of another leader is replaced as a whole.
    """

    def __init__(self, term):
        self._first = term << TERM_SHIFT_BITS
        self._oldest = self._first
        self.version = self._first
        self._routes = {}
        # Server to version of its last change, the latest change last.
        self._changes = OrderedDict()
        self._removed = OrderedDict()
        self._reports = {}
        self._maps = PartitionMaps()
        self._listed = ()
        self._listed_version = self.version

    def refresh(self, holding, address, leaving):
        """Rebuild the route of a server from its current holding."""
        server = holding.server
        report = self._reports.get(server)
        if report is not None and report.epoch != holding.epoch:
            del self._reports[server]
            report = None
        self._put(
            Route(
                server=server,
                holder=holding.session,
                address=address if holding.session else "",
                epoch=holding.epoch,
                state=ServerState.UNKNOWN if report is None else report.state,
                leaving=leaving,
                snapshots=() if report is None else report.snapshots,
            )
        )

    def accept_report(self, report, session, holding):
        """Keep a report if it comes from the current holder.

        Reports with another epoch were made before the server changed hands.
        """
        if holding is None or not session:
            return False
        if (holding.session, holding.epoch) != (session, report.epoch):
            return False
        self._reports[report.server] = self._maps.share(report)
        return True

    def remove(self, server):
        """Remove the route of a server that left the document."""
        self._reports.pop(server, None)
        if self._routes.pop(server, None) is None:
            return
        self._note_change(server)
        self._removed[server] = self.version
        while len(self._removed) > MAX_REMOVED:
            oldest, version = self._removed.popitem(last=False)
            del self._changes[oldest]
            self._oldest = version

    def list_routes(self):
        """Return all routes, ordered by server."""
        if self._listed_version != self.version:
            self._listed = tuple(route for _, route in sorted(self._routes.items()))
            self._listed_version = self.version
        return self._listed

    def list_changes(self, version):
        """Return what changed since the version that an entry has."""
        if not self._oldest <= version <= self.version or version == 0:
            return RouteChanges(self.version, True, self.list_routes(), ())
        routes, removed = [], []
        for server in reversed(self._changes):
            if self._changes[server] <= version:
                break
            if server in self._removed:
                removed.append(server)
            else:
                routes.append(self._routes[server])
        return RouteChanges(self.version, False, tuple(routes), tuple(removed))

    def _put(self, route):
        if self._routes.get(route.server) == route:
            return
        self._routes[route.server] = route
        self._removed.pop(route.server, None)
        self._note_change(route.server)

    def _note_change(self, server):
        self.version += 1
        self._changes[server] = self.version
        self._changes.move_to_end(server)
