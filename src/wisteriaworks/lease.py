"""The lease under which an entry may send to the servers it holds."""

import math


class Lease:
    """Store the time until which the session of this entry is confirmed."""

    def __init__(self):
        self._expires_at = -math.inf

    def renew(self, sent_at, length_s):
        """Extend the lease to ``length_s`` seconds after a heartbeat was sent.

        A reply that arrives late never shortens the lease.
        """
        self._expires_at = max(self._expires_at, sent_at + length_s)

    def expire(self):
        """End the lease at once."""
        self._expires_at = -math.inf

    def is_valid(self, now):
        """Return whether the lease is valid at ``now`` (seconds, monotonic)."""
        return now < self._expires_at
