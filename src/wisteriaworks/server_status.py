"""Combine the sources of the state of one server, by their authority.

The replies of the server itself have the highest authority, then the list of the
platform, then the status endpoint, which lags and may be wrong.
"""

from wisteriaworks.generated.messages import ServerState, SnapshotReport

DRAINING = "draining"


class ServerStatus:
    """Store the known state of one server."""

    def __init__(self):
        self.incarnation = ""
        self.snapshots = ()
        self.is_down = False
        self.listed_leaving = False
        self._seen_incarnations = set()
        self._refused_as_draining = False
        self._status_draining = False

    @property
    def is_draining(self):
        """Return whether the server must not receive new work."""
        return self._refused_as_draining or self.listed_leaving or self._status_draining

    def update_incarnation(self, incarnation):
        """Update the incarnation. Returns whether it replaces an earlier one.

        A known incarnation comes from a late reply or a lagging status and is
        ignored.
        """
        if not incarnation or incarnation in self._seen_incarnations:
            return False
        replaces = self.incarnation != ""
        self._seen_incarnations.add(incarnation)
        self.incarnation = incarnation
        self._refused_as_draining = self._status_draining = False
        return replaces

    def record_drain_refusal(self, incarnation):
        """Record that the server itself refused work because it is draining."""
        replaces = self.update_incarnation(incarnation)
        self._refused_as_draining = True
        return replaces

    def update_from_status(self, body):
        """Update from the status endpoint. Returns whether the server restarted."""
        replaces = self.update_incarnation(body.incarnation)
        if body.incarnation != self.incarnation:
            return replaces
        self._status_draining = body.state == DRAINING
        self.snapshots = tuple(
            SnapshotReport(held.snapshot, held.partition_map, held.shards)
            for held in body.snapshots
        )
        return replaces

    def describe(self, is_warm):
        """Return the ServerState to report."""
        if self.is_draining:
            return ServerState.DRAINING
        if self.is_down:
            return ServerState.DOWN
        if not self.incarnation:
            return ServerState.UNKNOWN
        return ServerState.READY if is_warm else ServerState.COLD
