"""Bound what a server in a cold start receives, over all gateways.

Load pattern: a server, or all servers of a domain, return cold while every
gateway has work for them. Each gateway sends at most its part of the bound in
any second. Where a part is less than one request, only as many gateways send
to the server as the bound has whole requests; the leader numbers the gateways.
"""

import zlib
from collections import deque

# Requests of several gateways may arrive bunched, and a gateway that joins or
# leaves changes the parts, so not the whole bound is used.
USED_SHARE = 0.6
# A second, and the time by which the ways to the server may differ.
SPAN_S = 1.1


class ColdLimit:
    """Count what this gateway sent to cold servers in the last second."""

    def __init__(self, cfg):
        self._cfg = cfg
        self._sent = {}
        self.gateways = 1
        self.position = 0

    def may_send(self, server_id, cold_per_s, now):
        """Say whether one more request may go to a cold server."""
        sent = self._sent.get(server_id)
        while sent and sent[0] <= now - SPAN_S:
            sent.popleft()
        return len(sent or ()) < self._compute_part(server_id, cold_per_s)

    def count(self, server_id, now):
        """Count one request to a cold server."""
        self._sent.setdefault(server_id, deque()).append(now)

    def keep(self, server_ids):
        """Forget the servers that are gone."""
        self._sent = {k: v for k, v in self._sent.items() if k in server_ids}

    def _compute_part(self, server_id, cold_per_s):
        bound = cold_per_s * self._cfg.cold_burst + self._cfg.cold_slack
        whole = int(USED_SHARE * bound)
        if whole >= self.gateways:
            return whole // self.gateways
        # Other gateways for each server, so that no gateway has all of them.
        start = zlib.crc32(server_id.encode())
        rank = (self.position + start) % self.gateways
        return 1 if rank < whole else 0
