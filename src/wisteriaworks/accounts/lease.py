"""The lease under which a gateway sends requests that carry a key. No I/O.

Load patterns: a gateway is disconnected, paused, suspended or restarted while an
operator removes a key. Times are boot times, which include a suspension.
"""

import math

# Share of the revocation time for which a confirmation is valid. Questions are one
# second apart, so with 5 s a gateway serves on through a loss of contact of 3.7 s
# (3 s are required), and 0.25 s are left for differences between clocks.
LEASE_SHARE = 0.95


class KeyLease:
    """Store until when the configuration in use is confirmed.

    A lease begins when its question was sent: a configuration that was acknowledged
    before that time is part of the answer.
    """

    def __init__(self, revoke_s):
        self._length_s = LEASE_SHARE * revoke_s
        self._began_at = -math.inf
        # Version and time of a question that confirmed a version not yet in use.
        self._pending = None

    def confirm(self, version, asked_at, version_in_use):
        """Record that ``version`` was in force some time after ``asked_at``."""
        self._promote(version_in_use)
        self._pending = (version, asked_at)
        self._promote(version_in_use)

    def is_valid(self, now, version_in_use):
        """Return whether requests with keys may be sent."""
        return self.read_left(now, version_in_use) > 0

    def read_left(self, now, version_in_use):
        """Return the seconds until the lease ends; 0 if it has ended."""
        self._promote(version_in_use)
        return max(0.0, self._began_at + self._length_s - now)

    def _promote(self, version_in_use):
        """Begin the lease if the confirmed version has arrived."""
        if self._pending is None:
            return
        version, asked_at = self._pending
        if version_in_use >= version:
            self._began_at = max(self._began_at, asked_at)
            self._pending = None
