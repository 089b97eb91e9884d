"""Combine three sources of the state of one server.

The replies of the server itself have the highest authority, then the list of the
platform, then the status endpoint. The status lags and may be wrong, so it never
ends a drain that one of the other two sources reported for the same incarnation.
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
        """Update the incarnation. Returns whether the server restarted.

        An incarnation that was seen before changes nothing: it is the current one, or
        comes from a late reply or a lagging status.
        """
        if not incarnation or incarnation in self._seen_incarnations:
            return False
        restarted = self.incarnation != ""
        self._seen_incarnations.add(incarnation)
        self.incarnation = incarnation
        self._refused_as_draining = self._status_draining = False
        return restarted

    def record_drain_refusal(self, incarnation):
        """Record that the server itself refused work because it is draining.

        Returns whether the server restarted.
        """
        restarted = self.update_incarnation(incarnation)
        self._refused_as_draining = True
        return restarted

    def update_from_status(self, body):
        """Update from the status endpoint. Returns whether the server restarted."""
        restarted = self.update_incarnation(body.incarnation)
        if body.incarnation != self.incarnation:
            return restarted
        self._status_draining = body.state == DRAINING
        self.snapshots = tuple(
            SnapshotReport(snapshot.snapshot, snapshot.partition_map, snapshot.shards)
            for snapshot in body.snapshots
        )
        return restarted

    def describe(self, is_warm):
        """Return the ServerState to report."""
        if self.is_draining:
            return ServerState.DRAINING
        if self.is_down:
            return ServerState.DOWN
        if not self.incarnation:
            return ServerState.UNKNOWN
        return ServerState.READY if is_warm else ServerState.COLD
