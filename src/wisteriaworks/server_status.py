"""Combine what is known of one server, by authority of the source.

The server's own replies come first, then the platform's list, then the status
endpoint, which lags and may be wrong.
"""

from wisteriaworks.generated.messages import ServerState, SnapshotReport

DRAINING = "draining"


class ServerStatus:
    """Hold the known state of one server."""

    def __init__(self):
        self.incarnation = ""
        self.snapshots = ()
        self.is_down = False
        self.listed_leaving = False
        self._seen = set()
        self._drained = False
        self._claims_drain = False

    @property
    def is_draining(self):
        """Say whether the server must not receive new work."""
        return self._drained or self.listed_leaving or self._claims_drain

    def note_incarnation(self, incarnation):
        """Learn an incarnation. Returns whether it replaces an earlier one.

        An incarnation that was seen before comes from a late reply or a
        lagging status and changes nothing.
        """
        if not incarnation or incarnation in self._seen:
            return False
        replaces = self.incarnation != ""
        self._seen.add(incarnation)
        self.incarnation = incarnation
        self._drained = self._claims_drain = False
        return replaces

    def note_drain(self, incarnation):
        """Learn from the server's own refusal that it is draining."""
        replaces = self.note_incarnation(incarnation)
        self._drained = True
        return replaces

    def note_status(self, body):
        """Learn from the status endpoint. Returns whether the server restarted."""
        replaces = self.note_incarnation(body.incarnation)
        if body.incarnation != self.incarnation:
            return replaces
        self._claims_drain = body.state == DRAINING
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
