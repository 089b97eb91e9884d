"""What this gateway observed of each server, and the choice among them.

Load patterns: one server of a service is several times slower than the other,
fails part of its requests while its health answer is good, or pauses for a
moment while requests wait on it.
"""

import math
from dataclasses import dataclass, field

# Weight of one observation in the moving averages; about the last ten count.
AVERAGE_WEIGHT = 0.2
# Time assumed of a server without observations, in seconds.
START_S = 0.02
# A success rate below this is not distinguished any further.
LEAST_SUCCESS = 0.05
# After this many failures in a row a server is avoided. One that does not
# answer at all is avoided at once: each try costs a hedge.
FAILURES_TO_AVOID = 2
AVOID_FIRST_S = 1.0
AVOID_LONGEST_S = 4.0
# A request that waits this many times the server's usual time means that the
# server stands still at the moment.
STALLED_FACTOR = 3.0
STALLED_PENALTY = 10.0
# A server of another domain costs a longer way and bytes between domains; the
# own one is taken until it is about half as fast again as the other.
OTHER_DOMAIN_PENALTY = 1.5
COLD_PENALTY = 4.0


@dataclass(slots=True)
class _Stats:
    time_s: float = START_S
    success: float = 1.0
    failures_in_row: int = 0
    avoided_until: float = -math.inf
    # Attempt key to the time at which it was sent.
    waiting: dict = field(default_factory=dict)


class ServerStats:
    """Keep moving averages by server id."""

    def __init__(self, domain, rng):
        self._domain = domain
        self._rng = rng
        self._stats = {}

    def begin(self, server_id, attempt, now):
        """Note a request that was handed to a server."""
        self._find(server_id).waiting[attempt] = now

    def succeed(self, server_id, attempt, now):
        """Note an answer."""
        stats = self._find(server_id)
        began = stats.waiting.pop(attempt, now)
        stats.time_s += AVERAGE_WEIGHT * (now - began - stats.time_s)
        stats.success += AVERAGE_WEIGHT * (1.0 - stats.success)
        stats.failures_in_row = 0

    def fail(self, server_id, attempt, now, is_silent=False):
        """Note a failure; ``is_silent`` if there was no answer at all."""
        stats = self._find(server_id)
        stats.waiting.pop(attempt, None)
        stats.success -= AVERAGE_WEIGHT * stats.success
        stats.failures_in_row += FAILURES_TO_AVOID if is_silent else 1
        over = stats.failures_in_row - FAILURES_TO_AVOID
        if over >= 0:
            pause = min(AVOID_LONGEST_S, AVOID_FIRST_S * 2**over)
            stats.avoided_until = now + pause * self._rng.uniform(0.75, 1.25)

    def refuse(self, server_id, attempt):
        """Note that the server did not run a request.

        It lowers the share of successes and so the choice of the server, but
        never makes it avoided, since a full server frees a slot soon.
        """
        stats = self._find(server_id)
        stats.waiting.pop(attempt, None)
        stats.success -= AVERAGE_WEIGHT * stats.success

    def forget(self, server_id, attempt):
        """Drop an attempt that says nothing about the server."""
        self._find(server_id).waiting.pop(attempt, None)

    def keep(self, server_ids):
        """Forget the servers that are gone."""
        self._stats = {k: v for k, v in self._stats.items() if k in server_ids}

    def is_avoided(self, server_id, now):
        """Say whether the server failed several times just now."""
        return now < self._find(server_id).avoided_until

    def choose(self, servers, now):
        """Return the server that most likely answers first, or None."""
        if not servers:
            return None
        if len(servers) > 1:
            good = [s for s in servers if not self.is_avoided(s.id, now)]
            servers = good or servers
        return min(servers, key=lambda server: self._score(server, now))

    def _score(self, server, now):
        stats = self._find(server.id)
        score = (1 + len(stats.waiting) / max(1, server.listed.slots)) * stats.time_s
        score /= max(LEAST_SUCCESS, stats.success) ** 2
        if server.listed.domain != self._domain:
            score *= OTHER_DOMAIN_PENALTY
        if server.is_cold(now):
            score *= COLD_PENALTY
        if self._is_stalled(stats, now):
            score *= STALLED_PENALTY
        return score * self._rng.uniform(0.8, 1.2)

    def _is_stalled(self, stats, now):
        if not stats.waiting:
            return False
        oldest = next(iter(stats.waiting.values()))
        return now - oldest > STALLED_FACTOR * stats.time_s

    def _find(self, server_id):
        stats = self._stats.get(server_id)
        if stats is None:
            stats = self._stats[server_id] = _Stats()
        return stats
