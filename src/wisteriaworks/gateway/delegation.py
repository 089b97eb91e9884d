"""Hand queries to many shards to gateways with better links.

Load pattern: the answers of 90 shards take 60 to 100 ms on a link of 10 to
15 Mbit/s, most of an objective of 147 ms, while some VMs have a link ten times
as fast. Such a gateway asks the shards and returns the merged records, which
are a hundredth of the bytes. No I/O.
"""

import math
from dataclasses import dataclass, field

# Bytes of one shard's answer with its headers, by the largest parts of the
# platforms' sheets (1,000 bytes).
PART_BYTES = 1300
# A query is handed over if its answers would take this share of the objective.
LEAST_SHARE = 0.1
# The other link must be this many times as fast, to be worth the detour.
LINK_FACTOR = 4.0
# A delegate that does not answer by the objective and this much more stands
# still; it gets nothing until it has answered, or was left alone for a time.
OVERDUE_S = 0.05
AVOID_S = 2.0


@dataclass(slots=True)
class _Peer:
    delegate: object
    avoided_until: float = -math.inf
    # Number of a query to the time by which its answer is due.
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
        """Take over the gateways that take queries."""
        known = self._peers
        self._peers = {}
        for delegate in delegates:
            peer = known.get(delegate.name)
            if peer is None or peer.delegate != delegate:
                peer = _Peer(delegate)
            self._peers[delegate.name] = peer

    def choose(self, route, now):
        """Return the delegate for a query on a route, or None to run it here."""
        if not self._is_worth_it(route):
            return None
        usable = [peer for peer in self._peers.values() if self._is_usable(peer, now)]
        near = [peer for peer in usable if peer.delegate.domain == self._domain]
        if not usable:
            return None
        chosen = min(
            near or usable, key=lambda peer: (len(peer.waiting), self._rng.random())
        )
        return chosen.delegate

    def begin(self, delegate, number, due_at):
        """Note a query that is handed over; its answer is due at a time."""
        peer = self._peers.get(delegate.name)
        if peer is not None:
            peer.waiting[number] = due_at

    def end(self, delegate, number, now, is_lost=False):
        """Note the end of a query; a delegate that lost one is avoided."""
        peer = self._peers.get(delegate.name)
        if peer is not None:
            peer.waiting.pop(number, None)
            if is_lost:
                peer.avoided_until = now + AVOID_S

    def _is_worth_it(self, route):
        if not (route.shards and route.objective_ms and self._link_mbps):
            return False
        transfer_s = len(route.shards) * PART_BYTES * 8 / (self._link_mbps * 1e6)
        return transfer_s > LEAST_SHARE * route.objective_ms / 1000

    def _is_usable(self, peer, now):
        if peer.delegate.name == self._name or now < peer.avoided_until:
            return False
        if peer.delegate.link_mbps < LINK_FACTOR * self._link_mbps:
            return False
        return all(now <= due_at for due_at in peer.waiting.values())
