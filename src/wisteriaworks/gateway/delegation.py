"""Delegate queries to many shards to gateways with faster links.

Load pattern: the answers of 90 shards take 60 to 100 ms on a link of 10 to
15 Mbit/s, most of an objective of 147 ms, while some VMs have a link ten times
as fast. A gateway there queries the shards and returns the merged records, which
are a hundredth of the bytes. No I/O.
"""

import math
from dataclasses import dataclass, field

# Bytes of one shard's answer with its headers; the largest bodies in the platform
# specifications have 1,000 bytes.
PART_BYTES = 1300
# A query is delegated if the transfer of its answers would take more than this share
# of the objective.
MIN_TRANSFER_SHARE = 0.1
# The link of a delegate must be this many times as fast to make up for the extra hop.
MIN_LINK_RATIO = 4.0
# A delegate that has not answered this long after the objective has stalled. It gets
# no queries until the answer arrives, or for AVOID_S after a query to it was lost.
OVERDUE_MARGIN_S = 0.05
AVOID_S = 2.0


@dataclass(slots=True)
class _Peer:
    delegate: object
    avoided_until: float = -math.inf
    # Ids of the queries without an answer, with the time at which it is due.
    waiting: dict = field(default_factory=dict)


class Delegation:
    """Choose the gateway that runs a query."""

    def __init__(self, name, domain, link_mbps, rng):
        self._name = name
        self._domain = domain
        self._link_mbps = link_mbps
        self._rng = rng
        self._peers = {}

    def set_delegates(self, delegates):
        """Replace the list of gateways that accept delegated queries."""
        previous = self._peers
        self._peers = {}
        for delegate in delegates:
            peer = previous.get(delegate.name)
            if peer is None or peer.delegate != delegate:
                peer = _Peer(delegate)
            self._peers[delegate.name] = peer

    def choose(self, route, now):
        """Return the delegate for a query on a route, or None to run it locally."""
        if not self._is_transfer_bound(route):
            return None
        usable = [peer for peer in self._peers.values() if self._is_usable(peer, now)]
        local = [peer for peer in usable if peer.delegate.domain == self._domain]
        if not usable:
            return None
        chosen = min(
            local or usable, key=lambda peer: (len(peer.waiting), self._rng.random())
        )
        return chosen.delegate

    def begin(self, delegate, query_id, due_at):
        """Record a query that is delegated; its answer is due at ``due_at``."""
        peer = self._peers.get(delegate.name)
        if peer is not None:
            peer.waiting[query_id] = due_at

    def end(self, delegate, query_id, now, is_lost=False):
        """Record the end of a query; a delegate that lost one is avoided."""
        peer = self._peers.get(delegate.name)
        if peer is not None:
            peer.waiting.pop(query_id, None)
            if is_lost:
                peer.avoided_until = now + AVOID_S

    def _is_transfer_bound(self, route):
        if not (route.shards and route.objective_ms and self._link_mbps):
            return False
        transfer_s = len(route.shards) * PART_BYTES * 8 / (self._link_mbps * 1e6)
        return transfer_s > MIN_TRANSFER_SHARE * route.objective_ms / 1000

    def _is_usable(self, peer, now):
        if peer.delegate.name == self._name or now < peer.avoided_until:
            return False
        if peer.delegate.link_mbps < MIN_LINK_RATIO * self._link_mbps:
            return False
        return all(now <= due_at for due_at in peer.waiting.values())
