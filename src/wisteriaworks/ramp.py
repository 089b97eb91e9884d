"""Limit the concurrent sub-queries and connection attempts of one server.

The limit starts at 1, because a new holder does not know how much load the server
can handle. It grows with the work that the server does at normal latency.
"""

import math
from dataclasses import dataclass

# Service time between increases of the limit. A cold server warms up by serving; an
# increase after every success would reach the number of slots within a few
# milliseconds, long before the caches are filled.
STEP_BUSY_S = 0.25
NORMAL_LATENCY_FACTOR = 2.0
SLOW_LATENCY_FACTOR = 4.0
# About 1% of the replies are stragglers, so a single slow reply does not indicate
# that the server has become cold.
SLOW_REPLIES_BEFORE_RESET = 3
_BASELINE_WEIGHT = 0.1
MAX_CONNECTING_WARM = 4
SPARE_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class Permit:
    """Identify the generation of the ramp in which a sub-query was sent."""

    generation: int


class Ramp:
    """Decide how many sub-queries may be outstanding at one server."""

    def __init__(self, slots, step_busy_s=STEP_BUSY_S):
        self._slots = slots
        self._step_busy_s = step_busy_s
        self._generation = 0
        self.limit = 1
        self.baseline_s = 0.0
        self._min_latency_s = math.inf
        self._restart_step()

    @property
    def is_warm(self):
        """Return whether the limit has reached the number of slots."""
        return self.limit == self._slots

    @property
    def target_connections(self):
        """Return how many connections to keep open, including those in use."""
        return self.limit + (SPARE_CONNECTIONS if self.is_warm else 0)

    def may_connect(self, connecting):
        """Return whether one more connection may be opened now."""
        return connecting < (MAX_CONNECTING_WARM if self.is_warm else 1)

    def acquire_permit(self, outstanding):
        """Return a permit to send, or None if the limit is reached."""
        return Permit(self._generation) if outstanding < self.limit else None

    def is_current(self, permit):
        """Return whether the limit was not reset since the permit was issued."""
        return permit.generation == self._generation

    def record_success(self, permit, latency_s):
        """Record an answered sub-query. Returns whether the limit was reset."""
        if not self.is_current(permit):
            return False
        baseline_s = self.baseline_s or latency_s
        self._update_baseline(baseline_s, latency_s)
        if latency_s >= SLOW_LATENCY_FACTOR * baseline_s:
            return self._record_slow()
        self._consecutive_slow = 0
        if latency_s <= NORMAL_LATENCY_FACTOR * baseline_s:
            self._record_normal(latency_s)
        return False

    def reset(self):
        """Reset the limit to one sub-query at a time."""
        self._generation += 1
        self.limit = 1
        self._min_latency_s = math.inf
        self._restart_step()

    def _record_slow(self):
        self._consecutive_slow += 1
        if self._consecutive_slow < SLOW_REPLIES_BEFORE_RESET:
            return False
        self.reset()
        return True

    def _record_normal(self, latency_s):
        # Latencies include delays of this process and of the network, during which
        # the server does not warm up. The shortest latency contains the
        # smallest delay, so it is the best estimate of the service time.
        self._min_latency_s = min(self._min_latency_s, latency_s)
        self._successes += 1
        self._busy_s += self._min_latency_s
        if self._successes >= self.limit and self._busy_s >= self._step_busy_s:
            self.limit = min(self.limit + 1, self._slots)
            self._restart_step()

    def _update_baseline(self, baseline_s, latency_s):
        # Clipping prevents stragglers from raising the baseline.
        clipped_s = min(latency_s, NORMAL_LATENCY_FACTOR * baseline_s)
        self.baseline_s = baseline_s + _BASELINE_WEIGHT * (clipped_s - baseline_s)

    def _restart_step(self):
        self._successes = 0
        self._busy_s = 0.0
        self._consecutive_slow = 0
