"""Decide what is gathered in the gateway's own failure domain, and when it is left.

Load pattern: each shard has one server in each of three domains, and every query to
90 shards brings 117 KB of parts to the gateway that gathers them, so each part from
another domain costs more than all that a merged answer does. The own domain is
preferred as long as the answer does not suffer: while its servers are expected to
answer well before a hedge is due, and while its delegates have no backlog. Callers
in one domain may be more active than in others; then the load spills over. No I/O.
"""

import math

# Share of the time until an answer is due that the expected answer of a near server
# may take. Hedges are sent after two fifths of the objective; with answer times that
# vary by a third, one answer in ten of a server at this limit is that late.
FIRST_SEND_SHARE = 0.3
HEDGE_DELAY_SHARE = 0.75
# The same for a hedge or retry, after which no other send follows in time.
REPEAT_SHARE = 0.6
# A near server that takes no more than this many medians of the route is preferred on
# any objective: where no server answers within the limit, leaving the domain is of no
# use, and all delegates would decline their groups.
MIN_LIMIT_MEDIANS = 1.25
# A near server is left if its success rate is lower: three failures or refusals
# among about ten answers cost more repeats than the budget allows in the long run.
MIN_NEAR_SUCCESS_RATE = 0.7
# A route is served in the own domain if so many of its shards have a server there.
# Where the servers of a shard are in two or three of four to six domains, the share
# is 0.75 at most, and queries are divided over domains as before.
MIN_NEAR_SHARE = 0.85
# Parts that a delegate gathers in a second; see MAX_GATHERED_PARTS.
PARTS_PER_S = 10_000
# Backlog of a near delegate, as a share of the objective, up to which it is preferred
# to idle delegates of other domains.
BACKLOG_SHARE = 0.2
# A delegate declines a group if more than this share of the group's near servers are
# loaded. Pauses of 250 ms each 6 s affect 4% of the servers at any moment.
MAX_LOADED_SHARE = 0.25
# Cost in parts of a group in another domain: its request and the signatures and
# records that come back.
FAR_GROUP_COST = 4
# After a declined group, other groups leave the domain for this long.
SPILL_S = 0.25
# Reason that a delegate states when it declines a group because of loaded servers.
LOADED = "loaded"
MAX_KEPT = 64


def compute_near_limit(now, due_at, hedge_after_s, median_s, is_repeat):
    """Return the expected answer time up to which a near server is preferred.

    ``due_at`` is when the answer has to be given, and ``median_s`` the median time of
    an answer on the route. The limit of a first send, and of any send on a route
    without an objective, is below the hedge delay too.
    """
    left_s = max(0.0, due_at - now)
    if is_repeat and math.isfinite(left_s):
        limit_s = REPEAT_SHARE * left_s
    else:
        limit_s = min(FIRST_SEND_SHARE * left_s, HEDGE_DELAY_SHARE * hedge_after_s)
    return max(limit_s, MIN_LIMIT_MEDIANS * median_s)


def is_group_loaded(near_servers, is_in_time):
    """Return whether too many near servers of a group are loaded.

    ``is_in_time(server)`` is whether a server is expected to answer in time.
    """
    loaded = sum(not is_in_time(server) for server in near_servers)
    return loaded > MAX_LOADED_SHARE * len(near_servers)


def compute_backlog_limit(objective_s):
    """Return how many more parts a near delegate may gather than another one."""
    return BACKLOG_SHARE * objective_s * PARTS_PER_S


class NearShards:
    """Find which shards of a route have a usable server in the own domain.

    ``table`` is the table of servers. Results are kept until it changes.
    """

    def __init__(self, table, domain):
        self._table = table
        self._domain = domain
        self._revision = None
        self._far_positions = {}

    def covers(self, shards):
        """Return whether the route to ``shards`` is served in the own domain."""
        if not shards:
            return False
        near_count = len(shards) - len(self.list_far(shards))
        return near_count >= MIN_NEAR_SHARE * len(shards)

    def list_far(self, shards):
        """Return the positions of the shards without a near server."""
        if self._revision != self._table.revision:
            self._revision = self._table.revision
            self._far_positions.clear()
        if shards not in self._far_positions:
            while len(self._far_positions) >= MAX_KEPT:
                del self._far_positions[next(iter(self._far_positions))]
            self._far_positions[shards] = frozenset(
                position
                for position, shard in enumerate(shards)
                if not self._has_near_server(shard)
            )
        return self._far_positions[shards]

    def _has_near_server(self, shard):
        return any(
            server.entry.domain == self._domain
            for server in self._table.list_usable(shard)
        )


def divide_near(shards, far, own_domain, other_domains):
    """Return the positions by domain for a query that is gathered in the own domain.

    ``far`` has the positions of the shards without a near server. Few of them are
    gathered with the others, because a group in another domain costs as much; more
    go to the first of ``other_domains``.
    """
    positions = range(len(shards))
    if len(far) <= FAR_GROUP_COST or not other_domains:
        return {own_domain: tuple(positions)}
    return {
        own_domain: tuple(p for p in positions if p not in far),
        other_domains[0]: tuple(sorted(far)),
    }


class SpillMemory:
    """Remember the domains whose servers were loaded a moment ago."""

    def __init__(self):
        self._loaded_until = {}

    def record(self, domain, now):
        """Record that a delegate declined a group because of loaded servers."""
        self._loaded_until[domain] = now + SPILL_S

    def is_loaded(self, domain, now):
        """Return whether groups should leave the domain now."""
        return now < self._loaded_until.get(domain, -math.inf)
