"""The leader's in-memory table of sessions and their latest heartbeats."""

from dataclasses import dataclass

from wisteriaworks.generated.messages import EntryState

# Allows for clocks of entries and control members that run at different rates.
LEASE_MARGIN_FACTOR = 1.05


@dataclass(slots=True)
class SessionInfo:
    """Store the latest heartbeat data of one open session."""

    last_contact_at: float
    state: EntryState = EntryState.ACTIVE
    config_version: int = 0
    # A session that has sent no heartbeat yet may be orphaned: the reply that
    # opened it was lost, or its entry failed under the previous leader.
    is_confirmed: bool = False
    is_closing: bool = False


class SessionTable:
    """Track the session renewals of one leader's term.

    A session counts as renewed when it is added to the table, so a new leader
    treats all sessions as renewed.
    """

    def __init__(self, lease_s):
        self._lease_s = lease_s
        self._infos = {}
        self._unreported = set()

    def sync(self, numbers, now):
        """Add and remove sessions so that the table has exactly the open ones."""
        for number in numbers:
            if number not in self._infos:
                self._infos[number] = SessionInfo(last_contact_at=now)
                self._unreported.add(number)
        for number in self._infos.keys() - set(numbers):
            del self._infos[number]
            self._unreported.discard(number)

    def open(self, number, received_at, heartbeat):
        """Add a session that was opened by a heartbeat."""
        self._infos[number] = SessionInfo(
            last_contact_at=received_at,
            state=heartbeat.state,
            config_version=heartbeat.config_version,
        )
        # A new session holds no servers, so it has no reports to send.
        self._unreported.discard(number)

    def renew(self, received_at, heartbeat):
        """Renew a session from the time at which its heartbeat was received.

        Return False if the session is unknown or is being closed. The command
        that closes it may already be proposed, so it cannot be renewed.
        """
        info = self._infos.get(heartbeat.session)
        if info is None or info.is_closing:
            return False
        info.last_contact_at = max(info.last_contact_at, received_at)
        info.state = heartbeat.state
        info.config_version = heartbeat.config_version
        info.is_confirmed = True
        if heartbeat.full:
            self._unreported.discard(heartbeat.session)
        return True

    def get(self, number):
        """Return the data of a session, or None."""
        return self._infos.get(number)

    def list_expired(self, now):
        """Return the sessions whose lease has expired, and mark them as closing.

        The mark is permanent, even if the command that closes a session has
        to be retried.
        """
        length = self._lease_s * LEASE_MARGIN_FACTOR
        expired = [
            number
            for number, info in sorted(self._infos.items())
            if info.is_closing or now - info.last_contact_at > length
        ]
        for number in expired:
            self._infos[number].is_closing = True
        return expired

    def renew_all(self, now):
        """Renew all sessions, after the leader process was suspended."""
        for info in self._infos.values():
            info.last_contact_at = now

    def have_all_reported(self):
        """Return whether every session has sent a full report."""
        return not self._unreported
