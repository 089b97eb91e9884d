"""Limit the sub-queries and the opening connections of one server.

The limit starts at 1, because a new holder does not know what the server
bears. It grows with work that the server has done at normal latency.
"""

import math
from dataclasses import dataclass

# A cold server warms up by serving. One success per step would reach the slots
# after a few milliseconds, long before caches are filled.
STEP_BUSY_S = 0.25
NORMAL_FACTOR = 2.0
SLOW_FACTOR = 4.0
# One reply in a hundred is a straggler, so a single slow reply is no sign of a
# server that has become cold.
SLOW_RUN = 3
_BASELINE_WEIGHT = 0.1
WARM_CONNECTING = 4
SPARE_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class Permit:
    """Identify the ramp-up during which a sub-query was sent."""

    generation: int


class Ramp:
    """Decide how many sub-queries may be outstanding at one server."""

    def __init__(self, slots, step_busy_s=STEP_BUSY_S):
        self._slots = slots
        self._step_busy_s = step_busy_s
        self._generation = 0
        self.limit = 1
        self.baseline_s = 0.0
        self._shortest_s = math.inf
        self._restart_step()

    @property
    def is_warm(self):
        """Say whether the limit has reached the slots."""
        return self.limit == self._slots

    @property
    def spares(self):
        """Return how many connections to keep open, used ones included."""
        return self.limit + (SPARE_CONNECTIONS if self.is_warm else 0)

    def may_connect(self, connecting):
        """Say whether one more connection may be opened now."""
        return connecting < (WARM_CONNECTING if self.is_warm else 1)

    def take_permit(self, outstanding):
        """Return a permit to send, or None if the limit is reached."""
        return Permit(self._generation) if outstanding < self.limit else None

    def is_current(self, permit):
        """Say whether the limit was not reset since the permit was given."""
        return permit.generation == self._generation

    def record_success(self, permit, latency_s):
        """Count an answered sub-query. Returns whether the limit was reset."""
        if not self.is_current(permit):
            return False
        baseline_s = self.baseline_s or latency_s
        self._update_baseline(baseline_s, latency_s)
        if latency_s >= SLOW_FACTOR * baseline_s:
            return self._record_slow()
        self._slow_run = 0
        if latency_s <= NORMAL_FACTOR * baseline_s:
            self._record_normal(latency_s)
        return False

    def reset(self):
        """Go back to one sub-query at a time."""
        self._generation += 1
        self.limit = 1
        self._shortest_s = math.inf
        self._restart_step()

    def _record_slow(self):
        self._slow_run += 1
        if self._slow_run < SLOW_RUN:
            return False
        self.reset()
        return True

    def _record_normal(self, latency_s):
        # Latencies include delays of this process and the network, in which
        # the server did not warm up; the shortest one has the least of them.
        self._shortest_s = min(self._shortest_s, latency_s)
        self._successes += 1
        self._busy_s += self._shortest_s
        if self._successes >= self.limit and self._busy_s >= self._step_busy_s:
            self.limit = min(self.limit + 1, self._slots)
            self._restart_step()

    def _update_baseline(self, baseline_s, latency_s):
        # Clipping keeps stragglers from raising the baseline.
        clipped_s = min(latency_s, NORMAL_FACTOR * baseline_s)
        self.baseline_s = baseline_s + _BASELINE_WEIGHT * (clipped_s - baseline_s)

    def _restart_step(self):
        self._successes = 0
        self._busy_s = 0.0
        self._slow_run = 0
