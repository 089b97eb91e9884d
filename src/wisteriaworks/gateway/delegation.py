"""Delegate queries that cover many shards to gateways with faster links.

Load pattern: the answers of 90 shards take 60 to 100 ms of an objective of 147 ms
on a link of 10 to 15 Mbit/s, while some VMs have a link ten times as fast. A
gateway on such a VM queries the shards and returns only the merged records, a
hundredth of the bytes of the answers. No I/O.
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
# A delegate counts as stalled if its answer is still missing this long after the
# objective. It gets no queries until the answer arrives. After a failed call the
# delegate is avoided for AVOID_S.
OVERDUE_MARGIN_S = 0.05
AVOID_S = 2.0


@dataclass(slots=True)
class _DelegateState:
    delegate: object
    avoided_until: float = -math.inf
    # Times at which the answers to open queries are due, by query id.
    due_times: dict = field(default_factory=dict)


class DelegateSelector:
    """Select the gateway that runs a query."""

    def __init__(self, name, domain, link_mbps, rng):
        self._name = name
        self._domain = domain
        self._link_mbps = link_mbps
        self._rng = rng
        self._states = {}

    def set_delegates(self, delegates):
        """Replace the list of gateways that accept delegated queries."""
        previous = self._states
        self._states = {}
        for delegate in delegates:
            state = previous.get(delegate.name)
            if state is None or state.delegate != delegate:
                state = _DelegateState(delegate)
            self._states[delegate.name] = state

    def choose(self, route, now):
        """Return the delegate for a query on a route, or None to run it locally."""
        if not self._is_transfer_bound(route):
            return None
        usable = [
            state for state in self._states.values() if self._is_usable(state, now)
        ]
        same_domain = [
            state for state in usable if state.delegate.domain == self._domain
        ]
        if not usable:
            return None
        chosen = min(
            same_domain or usable,
            key=lambda state: (len(state.due_times), self._rng.random()),
        )
        return chosen.delegate

    def begin(self, delegate, query_id, due_at):
        """Record a query that is delegated; its answer is due at ``due_at``."""
        state = self._states.get(delegate.name)
        if state is not None:
            state.due_times[query_id] = due_at

    def end(self, delegate, query_id, now, has_failed=False):
        """Record the end of a query.

        With ``has_failed``, the delegate is avoided for AVOID_S seconds.
        """
        state = self._states.get(delegate.name)
        if state is not None:
            state.due_times.pop(query_id, None)
            if has_failed:
                state.avoided_until = now + AVOID_S

    def _is_transfer_bound(self, route):
        if not (route.shards and route.objective_ms and self._link_mbps):
            return False
        transfer_s = len(route.shards) * PART_BYTES * 8 / (self._link_mbps * 1e6)
        return transfer_s > MIN_TRANSFER_SHARE * route.objective_ms / 1000

    def _is_usable(self, state, now):
        if state.delegate.name == self._name or now < state.avoided_until:
            return False
        if state.delegate.link_mbps < MIN_LINK_RATIO * self._link_mbps:
            return False
        return all(now <= due_at for due_at in state.due_times.values())
