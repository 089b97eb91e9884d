"""Limit the bytes that a leader sends to gateways which have no list yet.

Load pattern: all gateways connect to a new leader at once, and each gets the complete
list and configuration. With 3,700 gateways and 24,000 servers these are 2 GB. No I/O.
"""

# Two thirds of a link of 100 Mbit/s.
BYTES_PER_S = 8_000_000
# With 200 gateways and 450 servers all complete lists take less, so none waits.
BURST_BYTES = 4_000_000


class ViewPacer:
    """Admit complete views at a bounded rate."""

    def __init__(self):
        self._allowance = float(BURST_BYTES)
        self._updated_at = None

    def admit(self, size, now):
        """Return whether a view of ``size`` bytes may be sent now, and count it.

        A view larger than the burst is admitted when the allowance is full.
        """
        if self._updated_at is not None:
            gained = (now - self._updated_at) * BYTES_PER_S
            self._allowance = min(BURST_BYTES, self._allowance + gained)
        self._updated_at = now
        if self._allowance < min(size, BURST_BYTES):
            return False
        self._allowance -= size
        return True
