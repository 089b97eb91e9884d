"""Estimate how many requests of an account a gateway will get."""

import math

# Long enough for a rate of some requests in ten seconds, short enough to follow a
# client that moves to another gateway.
MEMORY_S = 10.0
# A gateway holds a permission for an account for about 16 s after its last request:
# exp(-16 / MEMORY_S) / MEMORY_S. Where the requests of an account come through 15
# gateways, permissions that were held for a minute took a third of its limit.
MIN_RATE_PER_S = 0.02
# Number of standard deviations of the requests in a lifetime that are provided for.
DEVIATIONS = 1.5


class DemandEstimate:
    """Average the rate of requests with exponentially decreasing weights."""

    def __init__(self, now):
        self._rate_per_s = 0.0
        self._updated_at = now

    def add(self, now):
        """Count one request."""
        self._rate_per_s = self.read(now) + 1 / MEMORY_S
        self._updated_at = now

    def read(self, now):
        """Return the requests per second."""
        elapsed_s = max(0.0, now - self._updated_at)
        return self._rate_per_s * math.exp(-elapsed_s / MEMORY_S)

    def compute_stock(self, lifetime_s, now):
        """Return how many permissions to hold for requests that are expected."""
        rate = self.read(now)
        if rate < MIN_RATE_PER_S:
            return 0
        mean = rate * lifetime_s
        return max(1, math.ceil(mean + DEVIATIONS * math.sqrt(mean)))
