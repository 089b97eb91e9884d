"""Statistics of each server as seen by this gateway, and the choice among servers.

Load patterns: one server of a service is several times slower than the other,
fails part of its requests while its health check passes, or stalls briefly
while requests wait on it. Routes of different cost share a server, so its speed
is stored relative to the median time of the route. Many gateways with little
traffic each would open a connection for almost every send, so a server with an
open connection is slightly preferred.
"""

import math
from dataclasses import dataclass, field

from wisteriaworks.balancing.distance import MIN_NEAR_SUCCESS_RATE
from wisteriaworks.balancing.in_flight import (
    MIN_SERVERS,
    estimate_loaded_s,
    estimate_queue_s,
)

# Weight of one observation in the moving averages, which cover about the last ten.
AVERAGE_WEIGHT = 0.2
# Lower bound of an answer time relative to the median, for its logarithm.
MIN_FACTOR = 0.1
# Median time that is assumed for a route without observations.
DEFAULT_MEDIAN_S = 0.02
# Time until a new connection can carry a request: up to 6 ms at the server and a
# round trip.
NEW_CONNECTION_COST_S = 0.008
# Time constant by which observations lose weight, so that a server that has
# recovered gets work again. A period of slow answers or failures of a server lasts
# 4 to 10 s.
DECAY_S = 4.0
# Lower bound of the success rate in the cost.
MIN_SUCCESS_RATE = 0.05
# A server is avoided after this many consecutive failures. A server that does not
# answer at all is avoided at once, since each send costs a hedge.
FAILURES_TO_AVOID = 2
INITIAL_AVOID_S = 1.0
MAX_AVOID_S = 4.0
# A server counts as stalled while a request waits for this many times the
# server's usual time.
STALLED_FACTOR = 3.0
STALLED_PENALTY = 10.0
# A server in another domain costs a longer round trip and traffic between domains,
# so a server in the gateway's domain is preferred until its cost is 1.5 times as
# high. The cost of a server is its expected answer time with all penalties; the
# server with the lowest cost is chosen.
OTHER_DOMAIN_PENALTY = 1.5
COLD_PENALTY = 4.0
# When another server answers at the address of a listed server, the listed server has
# ended and leaves the list within some seconds. Requests sent to that address count
# as repeats at the other server's service. Without this pause they were 50 of 150
# arrivals at one service.
ADDRESS_REUSE_AVOID_S = 6.0


@dataclass(slots=True)
class _Stats:
    # Average answer time of the server, relative to the median time on the route.
    slowness: float = 1.0
    # Average of the logarithms of the same ratio, on which one pause has little effect.
    log_slowness: float = 0.0
    success_rate: float = 1.0
    observed_at: float = -math.inf
    consecutive_failures: int = 0
    avoided_until: float = -math.inf
    address_reused_until: float = -math.inf
    # Send times of the sends without an outcome, by send id.
    waiting: dict = field(default_factory=dict)


class ServerStats:
    """Track moving averages by server id and choose servers by them."""

    def __init__(self, domain, rng):
        self._domain = domain
        self._rng = rng
        self._stats = {}
        # Returns the estimated seconds that a send waits for a connection to a
        # server; ``work_s`` is the time of its answer.
        self.estimate_wait = lambda server_id, work_s, now: 0.0

    def record_send(self, server_id, send_id, now):
        """Record a request that was sent to a server."""
        self._get_or_create(server_id).waiting[send_id] = now

    def record_success(self, server_id, send_id, now, median_s=DEFAULT_MEDIAN_S):
        """Record an answer; ``median_s`` is the median time on its route."""
        stats = self._decay(server_id, now)
        began = stats.waiting.pop(send_id, now)
        factor = (now - began) / median_s
        stats.slowness += AVERAGE_WEIGHT * (factor - stats.slowness)
        log_factor = math.log(max(factor, MIN_FACTOR))
        stats.log_slowness += AVERAGE_WEIGHT * (log_factor - stats.log_slowness)
        stats.success_rate += AVERAGE_WEIGHT * (1.0 - stats.success_rate)
        stats.consecutive_failures = 0

    def record_failure(self, server_id, send_id, now, is_silent=False):
        """Record a failure; ``is_silent`` if the server did not answer at all.

        Returns for how many seconds the server is avoided from now on.
        """
        stats = self._decay(server_id, now)
        stats.waiting.pop(send_id, None)
        stats.success_rate -= AVERAGE_WEIGHT * stats.success_rate
        stats.consecutive_failures += FAILURES_TO_AVOID if is_silent else 1
        excess = stats.consecutive_failures - FAILURES_TO_AVOID
        if excess < 0:
            return 0.0
        pause_s = min(MAX_AVOID_S, INITIAL_AVOID_S * 2**excess)
        pause_s *= self._rng.uniform(0.75, 1.25)
        stats.avoided_until = now + pause_s
        return pause_s

    def record_refusal(self, server_id, send_id, now):
        """Record that the server did not run a request.

        This lowers the success rate, and so the server is chosen less often. The
        server is never avoided for it, since an overloaded one soon frees a slot.
        """
        stats = self._decay(server_id, now)
        stats.waiting.pop(send_id, None)
        stats.success_rate -= AVERAGE_WEIGHT * stats.success_rate

    def record_address_reuse(self, server_id, send_id, now):
        """Record that another server answered at the address of this one."""
        stats = self._get_or_create(server_id)
        stats.waiting.pop(send_id, None)
        stats.address_reused_until = now + ADDRESS_REUSE_AVOID_S

    def is_address_reused(self, server_id, now):
        """Return whether another server recently answered at the server's address."""
        stats = self._stats.get(server_id)
        return stats is not None and now < stats.address_reused_until

    def discard(self, server_id, send_id):
        """Drop a send whose outcome does not depend on the server."""
        self._get_or_create(server_id).waiting.pop(send_id, None)

    def count_waiting(self, server_id):
        """Return the number of sends to a server without an outcome."""
        stats = self._stats.get(server_id)
        return 0 if stats is None else len(stats.waiting)

    def retain(self, server_ids):
        """Drop the statistics of all other servers."""
        self._stats = {k: v for k, v in self._stats.items() if k in server_ids}

    def is_avoided(self, server_id, now):
        """Return whether the server is avoided after recent failures."""
        return now < self._get_or_create(server_id).avoided_until

    def choose(self, servers, now, median_s=DEFAULT_MEDIAN_S, near_limit_s=0.0):
        """Return the server that most likely answers first, or None.

        ``median_s`` is the median time of an answer on the route. Servers of the own
        domain are preferred if their answers are expected within ``near_limit_s``.
        """
        if not servers:
            return None
        is_load_weighed = len(servers) >= MIN_SERVERS
        if len(servers) > 1:
            available = [s for s in servers if not self.is_avoided(s.id, now)]
            servers = available or servers
        if near_limit_s > 0.0:
            servers = [
                server
                for server in servers
                if self.is_near_in_time(server, now, median_s, near_limit_s)
            ] or servers
        return min(
            servers,
            key=lambda server: self._compute_cost(
                server, now, median_s, is_load_weighed
            ),
        )

    def is_near_in_time(self, server, now, median_s, limit_s):
        """Return whether a server of the own domain is expected to answer in time."""
        if server.entry.domain != self._domain or server.is_cold(now):
            return False
        stats = self._get_or_create(server.id)
        _, success_rate = self._estimate(stats, now, median_s)
        # A pause of 250 ms of a server that answers within 12 ms would raise its mean
        # to five times that for seconds.
        decay = math.exp((stats.observed_at - now) / DECAY_S)
        work_s = median_s * math.exp(stats.log_slowness * decay)
        return (
            now >= stats.avoided_until
            and success_rate >= MIN_NEAR_SUCCESS_RATE
            and not self._is_stalled(stats, now, work_s)
            and self._estimate_answer(server, stats, work_s, now) <= limit_s
        )

    def _estimate(self, stats, now, median_s):
        """Return the decayed time of an answer and success rate of a server."""
        decay = math.exp((stats.observed_at - now) / DECAY_S)
        work_s = median_s * (1 + (stats.slowness - 1) * decay)
        return work_s, 1 + (stats.success_rate - 1) * decay

    def _estimate_answer(self, server, stats, work_s, now):
        queue_s = estimate_queue_s(work_s, len(stats.waiting), server.entry.slots)
        return queue_s + self.estimate_wait(server.id, work_s, now)

    def _estimate_loaded(self, server, stats, work_s, now):
        waiting = stats.waiting
        oldest_s = now - next(iter(waiting.values())) if waiting else 0.0
        loaded_s = estimate_loaded_s(work_s, len(waiting), server.entry.slots, oldest_s)
        return loaded_s + self.estimate_wait(server.id, work_s, now)

    def _compute_cost(self, server, now, median_s, is_load_weighed):
        stats = self._get_or_create(server.id)
        work_s, success_rate = self._estimate(stats, now, median_s)
        estimate = self._estimate_loaded if is_load_weighed else self._estimate_answer
        cost = estimate(server, stats, work_s, now)
        cost /= max(MIN_SUCCESS_RATE, success_rate) ** 2
        if server.entry.domain != self._domain:
            cost *= OTHER_DOMAIN_PENALTY
        if server.is_cold(now):
            cost *= COLD_PENALTY
        if self._is_stalled(stats, now, work_s):
            cost *= STALLED_PENALTY
        return cost * self._rng.uniform(0.8, 1.2)

    def _is_stalled(self, stats, now, work_s):
        if not stats.waiting:
            return False
        oldest = next(iter(stats.waiting.values()))
        return now - oldest > STALLED_FACTOR * work_s

    def _decay(self, server_id, now):
        """Return the statistics of a server, decayed to the present time."""
        stats = self._get_or_create(server_id)
        decay = math.exp((stats.observed_at - now) / DECAY_S)
        stats.slowness = 1 + (stats.slowness - 1) * decay
        stats.log_slowness *= decay
        stats.success_rate = 1 + (stats.success_rate - 1) * decay
        stats.observed_at = now
        return stats

    def _get_or_create(self, server_id):
        stats = self._stats.get(server_id)
        if stats is None:
            stats = self._stats[server_id] = _Stats()
        return stats
