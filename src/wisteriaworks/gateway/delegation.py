"""Choose the gateways that gather the parts of a query to many shards.

Load patterns: the answers of 90 shards take 60 to 100 ms of an objective of 147 ms
on a link of 10 to 15 Mbit/s, while some VMs have a link ten times as fast. A
gateway on such a VM queries the shards and returns only the merged records, a
hundredth of the bytes of the answers. When most of these VMs are down, or when slow
shards make their answers late, hundreds of gateways that queried the shards
themselves would exceed the servers' connections, so the queries go to a reserve of
a few other gateways, or wait at the delegates that are alive. Where each shard has a
server in the domain of the caller's gateway, a query stays there unless the delegates
or the servers of the domain are loaded. No I/O.
"""

import math
from dataclasses import dataclass, field

from wisteriaworks.balancing.distance import (
    LOADED,
    SpillMemory,
    compute_backlog_limit,
)
from wisteriaworks.gateway.gathering import Group

# Bytes of one shard's answer with its headers; the largest bodies in the platform
# specifications have 1,000 bytes.
PART_BYTES = 1300
# A query is delegated if the transfer of its answers would take more than this share
# of the objective.
MIN_TRANSFER_SHARE = 0.1
# The link of a delegate must be this many times as fast to make up for the extra hop.
MIN_LINK_RATIO = 4.0
# A delegate accepts a query within a round trip and the work of some other queries.
# One that takes longer is frozen or cut off, and gets no queries for SILENCE_S, or
# while nothing at all arrives from it for so long. Pings are 0.5 s apart.
ACCEPT_TIMEOUT_S = 0.05
SILENCE_S = 0.8
# After a failed call the delegate is avoided for AVOID_S.
AVOID_S = 2.0
# A delegate in another domain than the servers is chosen if it has this many fewer
# parts to gather, because the parts cost traffic between domains.
OTHER_DOMAIN_PARTS = 300.0
# A delegate states with each answer how many parts it gathers. The number loses
# weight with this time constant.
LOAD_DECAY_S = 0.5


@dataclass(slots=True)
class _DelegateState:
    delegate: object
    avoided_until: float = -math.inf
    # Numbers of parts of the open queries, and start times of those that are not
    # accepted, by id.
    open_parts: dict = field(default_factory=dict)
    unaccepted: dict = field(default_factory=dict)
    reported: float = 0.0
    reported_at: float = -math.inf

    def has_unaccepted(self, now):
        """Return whether a recent query has waited too long to be accepted."""
        return any(
            ACCEPT_TIMEOUT_S < now - at < ACCEPT_TIMEOUT_S + SILENCE_S
            for at in self.unaccepted.values()
        )

    def estimate_load(self, now):
        """Return the number of parts that the delegate probably gathers."""
        reported = self.reported * math.exp((self.reported_at - now) / LOAD_DECAY_S)
        return max(sum(self.open_parts.values()), reported)


@dataclass(frozen=True, slots=True)
class Placement:
    """Represent a group of the shards of a query and the delegate that gathers it.

    ``is_near`` is whether the query is gathered in the own domain by preference, so
    that the delegate may decline the group while its servers are loaded.
    """

    delegate: object
    group: Group
    is_near: bool = False


class DelegateSelector:
    """Select the gateways that gather the parts of a query."""

    def __init__(self, name, link_mbps, rng, domain=""):
        self._name = name
        self._domain = domain
        self._spill = SpillMemory()
        self._link_mbps = link_mbps
        self._rng = rng
        self._states = {}
        # Returns for how many seconds nothing has arrived from an address.
        self.read_silence = lambda address: 0.0

    def set_delegates(self, delegates):
        """Replace the list of gateways that accept delegated queries."""
        previous = self._states
        self._states = {}
        for delegate in delegates:
            state = previous.get(delegate.name)
            if state is None or state.delegate.address != delegate.address:
                state = _DelegateState(delegate)
            state.delegate = delegate
            self._states[delegate.name] = state

    def list_addresses(self):
        """Return the addresses of all delegates, those of the reserve included."""
        return {state.delegate.address for state in self._states.values()}

    def is_near(self, address):
        """Return whether the delegate at an address is in the own domain."""
        return any(
            state.delegate.address == address and state.delegate.domain == self._domain
            for state in self._states.values()
        )

    def list_faster(self):
        """Return the delegates that are preferred to running a query locally."""
        delegates = (state.delegate for state in self._states.values())
        return [d for d in delegates if d.name != self._name and self._is_faster(d)]

    def place(self, route, planner, now):
        """Return the placements of a query, or none to run it locally.

        ``planner`` is the GroupPlanner. Of equally good divisions the one whose
        busiest delegate has the least work is chosen.
        """
        states = self._list_candidates(route, now)
        if not states:
            return ()
        by_domain = {}
        for state in states:
            by_domain.setdefault(state.delegate.domain, []).append(state)
        # The random number decides between delegates with the same load.
        best = {
            domain: min(
                (state.estimate_load(now), self._rng.random(), state.delegate.name)
                for state in known
            )
            for domain, known in by_domain.items()
        }
        chosen = self._place_near(route, planner, best, now)
        is_near = chosen is not None
        if not is_near:
            domains = frozenset(d for d in best if not self._spill.is_loaded(d, now))
            divisions = planner.list_divisions(route.shards, domains or frozenset(best))
            chosen = min(
                divisions, key=lambda groups: max(best[g.domain] for g in groups)
            )
        return tuple(
            Placement(
                self._states[best[group.domain][2]].delegate,
                group,
                is_near and group.domain == self._domain,
            )
            for group in chosen
        )

    def _place_near(self, route, planner, best, now):
        """Return the groups of a query that stays in the own domain, or None.

        ``best`` has the load of the best delegate of each domain.
        """
        own = self._domain
        if own not in best or self._spill.is_loaded(own, now):
            return None
        others = sorted((domain for domain in best if domain != own), key=best.get)
        if others:
            excess = best[own][0] - best[others[0]][0]
            if excess > compute_backlog_limit(route.objective_ms / 1000):
                return None
        return planner.find_near_division(route.shards, own, others)

    def may_decline(self, delegate, route, now):
        """Return whether a delegate with loaded servers may decline a group.

        It may if there is a delegate in another domain whose servers are not loaded.
        """
        return any(
            state.delegate.domain != delegate.domain
            and not self._spill.is_loaded(state.delegate.domain, now)
            for state in self._list_candidates(route, now)
        )

    def choose(self, route, domain, now, excluded):
        """Return another delegate for a group of shards in a domain, or None.

        Delegates whose names are in ``excluded`` are not chosen.
        """
        states = [
            state
            for state in self._list_candidates(route, now)
            if state.delegate.name not in excluded
        ]
        if not states:
            return None
        chosen = min(states, key=lambda state: self._compute_cost(state, domain, now))
        return chosen.delegate

    def _list_candidates(self, route, now):
        """Return the states of the delegates that may gather parts now."""
        if not self._is_transfer_bound(route):
            return []
        alive = [
            state
            for state in self._states.values()
            if state.delegate.name != self._name
            and state.delegate.awaits_confirmation
            and now >= state.avoided_until
        ]
        fast = [state for state in alive if self._is_faster(state.delegate)]
        responsive = [state for state in fast if not self._is_silent(state, now)]
        if responsive:
            return responsive
        reserve = [
            state
            for state in alive
            if state.delegate.is_reserve and not self._is_silent(state, now)
        ]
        return reserve or fast

    def begin(self, delegate, query_id, part_count, now):
        """Record a group of ``part_count`` shards that is delegated."""
        state = self._states.get(delegate.name)
        if state is not None:
            state.open_parts[query_id] = part_count
            state.unaccepted[query_id] = now

    def accept(self, delegate):
        """Record that the delegate runs a query."""
        state = self._states.get(delegate.name)
        if state is not None:
            # The delegate reads the queries of a connection in order.
            state.unaccepted.clear()

    def end(
        self,
        delegate,
        query_id,
        now,
        has_failed=False,
        running=None,
        decline_reason="",
    ):
        """Record the end of a query.

        ``running`` is the number of parts that the delegate states to gather. With
        ``has_failed``, the delegate is avoided for AVOID_S seconds. A query that
        was not accepted continues to count as such until another one is.
        ``decline_reason`` is what the delegate stated if it declined the query.
        """
        if decline_reason == LOADED:
            self._spill.record(delegate.domain, now)
        state = self._states.get(delegate.name)
        if state is None:
            return
        state.open_parts.pop(query_id, None)
        oldest = now - ACCEPT_TIMEOUT_S - SILENCE_S
        state.unaccepted = {k: at for k, at in state.unaccepted.items() if at > oldest}
        if running is not None:
            state.reported, state.reported_at = running, now
        if has_failed:
            state.avoided_until = now + AVOID_S
            state.unaccepted.clear()

    def _compute_cost(self, state, domain, now):
        cost = state.estimate_load(now)
        if state.delegate.domain != domain:
            cost += OTHER_DOMAIN_PARTS
        if self._spill.is_loaded(state.delegate.domain, now):
            cost += 2 * OTHER_DOMAIN_PARTS
        return cost, self._rng.random()

    def _is_silent(self, state, now):
        if state.has_unaccepted(now):
            return True
        return self.read_silence(state.delegate.address) > SILENCE_S

    def _is_transfer_bound(self, route):
        if not (route.shards and route.objective_ms and self._link_mbps):
            return False
        transfer_s = len(route.shards) * PART_BYTES * 8 / (self._link_mbps * 1e6)
        return transfer_s > MIN_TRANSFER_SHARE * route.objective_ms / 1000

    def _is_faster(self, delegate):
        if delegate.is_reserve:
            return False
        return delegate.link_mbps >= MIN_LINK_RATIO * self._link_mbps
