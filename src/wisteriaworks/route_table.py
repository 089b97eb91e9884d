"""The leader's route table, with its changes since a version."""

from collections import OrderedDict
from dataclasses import dataclass

from wisteriaworks.generated.messages import Route, ServerState
from wisteriaworks.partition_maps import PartitionMaps

TERM_SHIFT_BITS = 40
# Removed servers are kept for entries that have not received the removal yet.
MAX_REMOVED = 10_000


@dataclass(frozen=True, slots=True)
class RouteChanges:
    """Describe the changes that bring an entry's table up to date.

    ``removed`` may include servers that the entry has never received.
    """

    version: int
    full: bool
    routes: tuple[Route, ...]
    removed: tuple[str, ...]


class RouteTable:
    """Store one route per server.

    The high bits of a version are the term, so versions increase from term to
    term, and an entry replaces the table of another leader completely.
    """

    def __init__(self, term):
        self._first_version = term << TERM_SHIFT_BITS
        self._oldest_version = self._first_version
        self.version = self._first_version
        self._routes = {}
        # Version of the last change of each server, in ascending order.
        self._changes = OrderedDict()
        self._removed = OrderedDict()
        self._reports = {}
        self._partition_maps = PartitionMaps()
        self._sorted_routes = ()
        self._sorted_version = self.version

    def refresh(self, holding, address, leaving):
        """Update the route of a server from its current holding."""
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
        """Store a report if it comes from the current holder.

        Reports with another epoch were made under an earlier holding.
        """
        if holding is None or not session:
            return False
        if (holding.session, holding.epoch) != (session, report.epoch):
            return False
        self._reports[report.server] = self._partition_maps.share(report)
        return True

    def remove(self, server):
        """Remove the route of a server that was removed from the document."""
        self._reports.pop(server, None)
        if self._routes.pop(server, None) is None:
            return
        self._record_change(server)
        self._removed[server] = self.version
        while len(self._removed) > MAX_REMOVED:
            oldest, version = self._removed.popitem(last=False)
            del self._changes[oldest]
            self._oldest_version = version

    def list_routes(self):
        """Return all routes, ordered by server."""
        if self._sorted_version != self.version:
            self._sorted_routes = tuple(
                route for _, route in sorted(self._routes.items())
            )
            self._sorted_version = self.version
        return self._sorted_routes

    def list_changes(self, version):
        """Return the changes since a version of the table."""
        if not self._oldest_version <= version <= self.version or version == 0:
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
        self._record_change(route.server)

    def _record_change(self, server):
        self.version += 1
        self._changes[server] = self.version
        self._changes.move_to_end(server)
