"""Bound what a server in a cold start receives, over all gateways.

Load pattern: a server, or all servers of a domain, return cold while every
gateway has work for them. Each gateway sends at most its part of the bound in
any second.
"""

from collections import deque

# Requests of several gateways may arrive bunched, so not the whole bound is
# used.
USED_SHARE = 0.6
SPAN_S = 1.1


class ColdLimit:
    """Count what this gateway sent to cold servers in the last second."""

    def __init__(self, cfg, rng):
        self._cfg = cfg
        self._rng = rng
        self._sent = {}
        self.gateways = 1

    def may_send(self, server_id, cold_per_s, now):
        """Say whether one more request may go to a cold server.

        A gateway whose part is under one request sends with that probability
        after each span, so that the sum over all gateways keeps the bound.
        """
        sent = self._sent.get(server_id)
        while sent and sent[0] <= now - SPAN_S:
            sent.popleft()
        bound = cold_per_s * self._cfg.cold_burst + self._cfg.cold_slack
        part = USED_SHARE * bound / max(1, self.gateways)
        if part >= 1:
            return len(sent or ()) < int(part)
        return not sent and self._rng.random() < part

    def count(self, server_id, now):
        """Count one request to a cold server."""
        self._sent.setdefault(server_id, deque()).append(now)

    def keep(self, server_ids):
        """Forget the servers that are gone."""
        self._sent = {k: v for k, v in self._sent.items() if k in server_ids}
