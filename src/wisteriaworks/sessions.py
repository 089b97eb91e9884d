"""The leader's volatile table of sessions: who was heard last, and how."""

from dataclasses import dataclass

from wisteriaworks.generated.messages import EntryState

# Allows for clocks of entry and control that run at different rates.
LEASE_MARGIN = 1.05


@dataclass(slots=True)
class SessionInfo:
    """Hold what the leader knows of one open session."""

    heard_at: float
    state: EntryState = EntryState.ACTIVE
    config_version: int = 0
    # A session without a heartbeat of its own may be the leftover of an
    # answer that was lost, or of an entry that died under the last leader.
    is_confirmed: bool = False
    is_closing: bool = False


class SessionTable:
    """Track the renewals of one leader's term.

    Sessions that are unknown to the table count as renewed when they are
    first seen, so a new leader treats all of them as renewed.
    """

    def __init__(self, lease_s):
        self._lease_s = lease_s
        self._infos = {}
        self._unreported = set()

    def sync(self, numbers, now):
        """Make the table hold exactly the open sessions."""
        for number in numbers:
            if number not in self._infos:
                self._infos[number] = SessionInfo(heard_at=now)
                self._unreported.add(number)
        for number in self._infos.keys() - set(numbers):
            del self._infos[number]
            self._unreported.discard(number)

    def open(self, number, received_at, heartbeat):
        """Add a session that was opened by a heartbeat."""
        self._infos[number] = SessionInfo(
            heard_at=received_at,
            state=heartbeat.state,
            config_version=heartbeat.config_version,
        )
        # It holds nothing yet, so there is nothing to report.
        self._unreported.discard(number)

    def renew(self, received_at, heartbeat):
        """Renew a session from the moment its heartbeat was received.

        Return False if the session is unknown or is being closed: the
        command that closes it may be on its way, so it cannot be revived.
        """
        info = self._infos.get(heartbeat.session)
        if info is None or info.is_closing:
            return False
        info.heard_at = max(info.heard_at, received_at)
        info.state = heartbeat.state
        info.config_version = heartbeat.config_version
        info.is_confirmed = True
        if heartbeat.full:
            self._unreported.discard(heartbeat.session)
        return True

    def get(self, number):
        """Return what is known of a session, or None."""
        return self._infos.get(number)

    def list_expired(self, now):
        """Return the sessions whose lease has run out, and mark them.

        A marked session stays so, even if closing it has to be tried again.
        """
        length = self._lease_s * LEASE_MARGIN
        expired = [
            number
            for number, info in sorted(self._infos.items())
            if info.is_closing or now - info.heard_at > length
        ]
        for number in expired:
            self._infos[number].is_closing = True
        return expired

    def forgive(self, now):
        """Renew all sessions, after the leader itself did not run."""
        for info in self._infos.values():
            info.heard_at = now

    def have_all_reported(self):
        """Say whether every session has sent its reports in full."""
        return not self._unreported
