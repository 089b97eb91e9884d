"""Limit the requests to a server in its cold start, over all gateways.

Load pattern: a server, or all servers of a domain, restart cold while every
gateway has work for them. Each gateway sends at most its share of the limit in
any second. If the limit allows fewer requests than there are gateways, only that
many gateways send to the server, one request each. They are chosen by the number
that the leader gives each gateway.
"""

import zlib
from collections import deque

# Share of the limit that is used: requests of several gateways may arrive in
# bursts, and a gateway that joins or leaves changes the shares.
USED_SHARE = 0.6
# The limit is per second. 0.1 s is added because network delays to the server differ.
RATE_WINDOW_S = 1.1


class ColdLimit:
    """Limit the requests that this gateway sends to cold servers."""

    def __init__(self, cfg):
        self._cfg = cfg
        self._sent = {}
        self.gateway_count = 1
        self.position = 0

    def may_send(self, server_id, cold_per_s, now):
        """Return whether one more request may be sent to a cold server."""
        sent = self._sent.get(server_id)
        while sent and sent[0] <= now - RATE_WINDOW_S:
            sent.popleft()
        return len(sent or ()) < self._compute_quota(server_id, cold_per_s)

    def count(self, server_id, now):
        """Count one request that is sent to a cold server."""
        self._sent.setdefault(server_id, deque()).append(now)

    def retain(self, server_ids):
        """Drop the counts of all other servers."""
        self._sent = {k: v for k, v in self._sent.items() if k in server_ids}

    def _compute_quota(self, server_id, cold_per_s):
        bound = cold_per_s * self._cfg.cold_burst + self._cfg.cold_slack
        quota = int(USED_SHARE * bound)
        if quota >= self.gateway_count:
            return quota // self.gateway_count
        # Each server gets different gateways, so that no gateway serves all of them.
        offset = zlib.crc32(server_id.encode())
        rank = (self.position + offset) % self.gateway_count
        return 1 if rank < quota else 0
