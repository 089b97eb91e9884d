"""Select the replica that serves a shard."""

from dataclasses import dataclass

import xxhash

# A reported load is out of date after a few service times.
LOAD_HALF_LIFE_S = 0.1
# A decayed load below this counts as 0; otherwise an idle replica would never
# again be preferred to one that reports 0.
MIN_LOAD = 0.25
# Consecutive bad replies that eject a replica. A single one may be random; with
# 1% stragglers, three are not.
BAD_REPLIES_TO_EJECT = 3
# A replica counts as slow from this multiple of the index's p95.
SLOW_FACTOR = 4.0
FIRST_EJECTION_S = 1.0
# A server that has recovered must not stay idle for long.
LONGEST_EJECTION_S = 8.0
# A probe that gets no reply must not keep a replica ejected forever.
PROBE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class _ReplicaState:
    """Track the load and health of one server under one epoch."""

    epoch: int
    load: float = 0.0
    load_at: float = 0.0
    bad_replies: int = 0
    ejected_until: float = 0.0
    ejection_s: float = 0.0
    probe_until: float = 0.0


class Router:
    """Select replicas by reported load, and eject slow or failing ones."""

    def __init__(self, rng):
        self._rng = rng
        self._states = {}

    def pick(self, replicas, tried, now, allow_probe=True):
        """Return a replica that was not tried, or None if there is none.

        With ``allow_probe`` the request may probe a replica whose ejection time
        has passed.
        """
        untried = [r for r in replicas if r.server not in tried] if tried else replicas
        if not untried:
            return None
        # An ejected replica is used if no other is left, because a slow answer is
        # better than none.
        available = [
            r for r in untried if self._is_available(r, now, allow_probe)
        ] or untried
        replica = self._pick_less_loaded(available, now)
        self._add_started_request(replica, now)
        return replica

    def report_load(self, replica, load, now):
        """Store the load that a reply reported."""
        state = self._get_state(replica)
        state.load = load
        state.load_at = now

    def report_good(self, replica):
        """Record a timely reply, which ends an ejection."""
        state = self._get_state(replica)
        state.bad_replies = 0
        state.ejection_s = 0.0
        state.ejected_until = 0.0

    def report_bad(self, replica, now):
        """Record a slow or failed reply. Return whether it ejects the replica."""
        state = self._get_state(replica)
        state.bad_replies += 1
        if state.bad_replies < BAD_REPLIES_TO_EJECT or now < state.ejected_until:
            return False
        ejection_s = max(FIRST_EJECTION_S, 2 * state.ejection_s)
        return self._eject(state, min(LONGEST_EJECTION_S, ejection_s), now)

    def report_refused(self, replica, now):
        """Record that a server refuses work. Return whether this ejects it.

        A refusal costs one hop and no work, so repeated refusals do not lengthen
        the ejection.
        """
        state = self._get_state(replica)
        state.bad_replies = BAD_REPLIES_TO_EJECT
        if now < state.ejected_until:
            return False
        return self._eject(state, FIRST_EJECTION_S, now)

    def _eject(self, state, time_s, now):
        state.ejection_s = time_s
        state.ejected_until = now + state.ejection_s
        state.probe_until = 0.0
        return True

    def _is_available(self, replica, now, allow_probe):
        state = self._states.get(replica.server)
        if state is None or state.ejection_s == 0.0:
            return True
        if state.epoch != replica.epoch:
            return True
        probe_due = now >= state.ejected_until and now >= state.probe_until
        return allow_probe and probe_due

    def _pick_less_loaded(self, replicas, now):
        if len(replicas) == 1:
            return replicas[0]
        if len(replicas) == 2:
            first, second = replicas
        else:
            first, second = self._rng.sample(replicas, 2)
        first_load = self._estimate_load(first, now)
        second_load = self._estimate_load(second, now)
        if first_load == second_load:
            return first if self._rng.random() < 0.5 else second
        return first if first_load < second_load else second

    def _estimate_load(self, replica, now):
        state = self._states.get(replica.server)
        if state is None:
            return 0.0
        load = _decay_load(state, now)
        return load / replica.slots if load >= MIN_LOAD else 0.0

    def _add_started_request(self, replica, now):
        """Add a request to the load until the next report includes it."""
        state = self._get_state(replica)
        state.load = _decay_load(state, now) + 1.0
        state.load_at = now
        if state.ejection_s:
            state.probe_until = now + PROBE_TIMEOUT_S

    def _get_state(self, replica):
        state = self._states.get(replica.server)
        if state is None or state.epoch < replica.epoch:
            state = _ReplicaState(replica.epoch)
            self._states[replica.server] = state
        return state


def _decay_load(state, now):
    return state.load * 0.5 ** ((now - state.load_at) / LOAD_HALF_LIFE_S)


def pick_keyed_shard(routing_key, shards):
    """Return the shard of a routing key by rendezvous hashing.

    A repartition moves only the keys of shards that it adds or removes.
    """
    key = routing_key.encode()
    return max(
        sorted(shards),
        key=lambda shard: xxhash.xxh3_64_intdigest(shard.encode() + b"\0" + key),
    )
