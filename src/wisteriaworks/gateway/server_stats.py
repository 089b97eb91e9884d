"""What this gateway observed of each server, and the choice among them.

Load patterns: one server of a service is several times slower than the other,
fails part of its requests while its health answer is good, or pauses for a
moment while requests wait on it. Routes with different work share a server, so
its speed is kept as a factor of what is typical for the route. Many gateways
with little traffic each would open a connection for almost every send, so a
server with an open connection is preferred a little.
"""

import math
from dataclasses import dataclass, field

# Weight of one observation in the moving averages; about the last ten count.
AVERAGE_WEIGHT = 0.2
# Time taken as typical where a route has no observations, in seconds.
START_S = 0.02
# What was observed of a server counts less by and by, so that one that has
# recovered gets work again. Slow times and failures of a cause last 4 to 10 s.
FORGET_S = 4.0
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
# A server at whose address another one answered has ended, and leaves the list
# within some seconds. Each send there reaches the other server's service, which
# counts it as a repeat: 50 of 150 arrivals on day hunt-aff3-7 of rodopi-parks.
GONE_S = 6.0


@dataclass(slots=True)
class _Stats:
    # Time of its answers as a factor of what is typical for their routes.
    slowness: float = 1.0
    success: float = 1.0
    observed_at: float = -math.inf
    failures_in_row: int = 0
    avoided_until: float = -math.inf
    gone_until: float = -math.inf
    # Attempt key to the time at which it was sent.
    waiting: dict = field(default_factory=dict)


class ServerStats:
    """Keep moving averages by server id."""

    def __init__(self, domain, rng):
        self._domain = domain
        self._rng = rng
        self._stats = {}
        # Seconds that a send of ``work_s`` waits for a connection to a server.
        self.estimate_wait = lambda server_id, work_s, now: 0.0

    def begin(self, server_id, attempt, now):
        """Note a request that was handed to a server."""
        self._find(server_id).waiting[attempt] = now

    def succeed(self, server_id, attempt, now, typical_s=START_S):
        """Note an answer; ``typical_s`` is usual on its route."""
        stats = self._refresh(server_id, now)
        began = stats.waiting.pop(attempt, now)
        factor = (now - began) / typical_s
        stats.slowness += AVERAGE_WEIGHT * (factor - stats.slowness)
        stats.success += AVERAGE_WEIGHT * (1.0 - stats.success)
        stats.failures_in_row = 0

    def fail(self, server_id, attempt, now, is_silent=False):
        """Note a failure; ``is_silent`` if there was no answer at all.

        Return for how many seconds the server is avoided.
        """
        stats = self._refresh(server_id, now)
        stats.waiting.pop(attempt, None)
        stats.success -= AVERAGE_WEIGHT * stats.success
        stats.failures_in_row += FAILURES_TO_AVOID if is_silent else 1
        over = stats.failures_in_row - FAILURES_TO_AVOID
        if over < 0:
            return 0.0
        pause_s = min(AVOID_LONGEST_S, AVOID_FIRST_S * 2**over)
        pause_s *= self._rng.uniform(0.75, 1.25)
        stats.avoided_until = now + pause_s
        return pause_s

    def refuse(self, server_id, attempt, now):
        """Note that the server did not run a request.

        It lowers the share of successes and so the choice of the server, but
        never makes it avoided, since a full server frees a slot soon.
        """
        stats = self._refresh(server_id, now)
        stats.waiting.pop(attempt, None)
        stats.success -= AVERAGE_WEIGHT * stats.success

    def note_gone(self, server_id, attempt, now):
        """Note that another server answered at the address of this one."""
        stats = self._find(server_id)
        stats.waiting.pop(attempt, None)
        stats.gone_until = now + GONE_S

    def is_gone(self, server_id, now):
        """Say whether another server answered at the address just now."""
        stats = self._stats.get(server_id)
        return stats is not None and now < stats.gone_until

    def forget(self, server_id, attempt):
        """Drop an attempt that says nothing about the server."""
        self._find(server_id).waiting.pop(attempt, None)

    def keep(self, server_ids):
        """Forget the servers that are gone."""
        self._stats = {k: v for k, v in self._stats.items() if k in server_ids}

    def is_avoided(self, server_id, now):
        """Say whether the server failed several times just now."""
        return now < self._find(server_id).avoided_until

    def choose(self, servers, now, typical_s=START_S):
        """Return the server that most likely answers first, or None.

        ``typical_s`` is the usual time of an answer on the route.
        """
        if not servers:
            return None
        if len(servers) > 1:
            good = [s for s in servers if not self.is_avoided(s.id, now)]
            servers = good or servers
        return min(servers, key=lambda server: self._score(server, now, typical_s))

    def _score(self, server, now, typical_s):
        stats = self._find(server.id)
        kept = math.exp((stats.observed_at - now) / FORGET_S)
        work_s = typical_s * (1 + (stats.slowness - 1) * kept)
        success = 1 + (stats.success - 1) * kept
        score = (1 + len(stats.waiting) / max(1, server.listed.slots)) * work_s
        score += self.estimate_wait(server.id, work_s, now)
        score /= max(LEAST_SUCCESS, success) ** 2
        if server.listed.domain != self._domain:
            score *= OTHER_DOMAIN_PENALTY
        if server.is_cold(now):
            score *= COLD_PENALTY
        if self._is_stalled(stats, now, work_s):
            score *= STALLED_PENALTY
        return score * self._rng.uniform(0.8, 1.2)

    def _is_stalled(self, stats, now, work_s):
        if not stats.waiting:
            return False
        oldest = next(iter(stats.waiting.values()))
        return now - oldest > STALLED_FACTOR * work_s

    def _refresh(self, server_id, now):
        """Return the statistics of a server, aged up to now."""
        stats = self._find(server_id)
        kept = math.exp((stats.observed_at - now) / FORGET_S)
        stats.slowness = 1 + (stats.slowness - 1) * kept
        stats.success = 1 + (stats.success - 1) * kept
        stats.observed_at = now
        return stats

    def _find(self, server_id):
        stats = self._stats.get(server_id)
        if stats is None:
            stats = self._stats[server_id] = _Stats()
        return stats
