"""Select the replica that is asked for a shard."""

from dataclasses import dataclass

import xxhash

# A report of a server's load says little after a few service times.
LOAD_HALF_LIFE_S = 0.1
# Aged remains of a load below this count as none; otherwise an idle replica
# would never again be preferred to one that reports 0.
SMALLEST_LOAD = 0.25
# One bad reply may be chance; with 1% stragglers, three in a row are not.
BAD_REPLIES = 3
# A replica counts as slow from this multiple of the index's p95.
SLOW_FACTOR = 4.0
FIRST_EJECTION_S = 1.0
# A server that is well again must not stay idle for long.
LONGEST_EJECTION_S = 8.0
# A trial whose reply never comes must not keep a replica ejected for good.
TRIAL_TIMEOUT_S = 1.0


@dataclass(slots=True)
class _Condition:
    """Hold what recent replies say about one server under one epoch."""

    epoch: int
    load: float = 0.0
    load_at: float = 0.0
    bad: int = 0
    ejected_until: float = 0.0
    ejection_s: float = 0.0
    trial_until: float = 0.0


class Router:
    """Select replicas by reported load, and eject slow or failing ones."""

    def __init__(self, rng):
        self._rng = rng
        self._conditions = {}

    def pick(self, replicas, tried, now, trials=True):
        """Return a replica that was not tried, or None if there is none.

        With ``trials`` the request may test a replica whose ejection has ended.
        """
        fresh = [r for r in replicas if r.server not in tried] if tried else replicas
        if not fresh:
            return None
        # The last replica is never ejected: a slow answer is better than none.
        open_ones = [r for r in fresh if self._is_open(r, now, trials)] or fresh
        replica = self._pick_less_loaded(open_ones, now)
        self._count_start(replica, now)
        return replica

    def report_load(self, replica, load, now):
        """Record the load that a reply reported."""
        condition = self._find(replica)
        condition.load = load
        condition.load_at = now

    def report_good(self, replica):
        """Record a reply in good time, which ends an ejection."""
        condition = self._find(replica)
        condition.bad = 0
        condition.ejection_s = 0.0
        condition.ejected_until = 0.0

    def report_bad(self, replica, now):
        """Record a slow or failed reply. Return whether it ejects the replica."""
        condition = self._find(replica)
        condition.bad += 1
        if condition.bad < BAD_REPLIES or now < condition.ejected_until:
            return False
        longer = max(FIRST_EJECTION_S, 2 * condition.ejection_s)
        return self._eject(condition, min(LONGEST_EJECTION_S, longer), now)

    def report_refused(self, replica, now):
        """Record that a server takes no work now. Return whether it is ejected.

        A refusal costs one hop and no work, so the ejection does not get longer.
        """
        condition = self._find(replica)
        condition.bad = BAD_REPLIES
        if now < condition.ejected_until:
            return False
        return self._eject(condition, FIRST_EJECTION_S, now)

    def _eject(self, condition, time_s, now):
        condition.ejection_s = time_s
        condition.ejected_until = now + condition.ejection_s
        condition.trial_until = 0.0
        return True

    def _is_open(self, replica, now, trials):
        condition = self._conditions.get(replica.server)
        if condition is None or condition.ejection_s == 0.0:
            return True
        if condition.epoch != replica.epoch:
            return True
        trial_due = now >= condition.ejected_until and now >= condition.trial_until
        return trials and trial_due

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
        condition = self._conditions.get(replica.server)
        if condition is None:
            return 0.0
        load = _age_load(condition, now)
        return load / replica.slots if load >= SMALLEST_LOAD else 0.0

    def _count_start(self, replica, now):
        """Count a request before the next report includes it."""
        condition = self._find(replica)
        condition.load = _age_load(condition, now) + 1.0
        condition.load_at = now
        if condition.ejection_s:
            condition.trial_until = now + TRIAL_TIMEOUT_S

    def _find(self, replica):
        condition = self._conditions.get(replica.server)
        if condition is None or condition.epoch < replica.epoch:
            condition = _Condition(replica.epoch)
            self._conditions[replica.server] = condition
        return condition


def _age_load(condition, now):
    return condition.load * 0.5 ** ((now - condition.load_at) / LOAD_HALF_LIFE_S)


def pick_keyed_shard(routing_key, shards):
    """Return the shard of a routing key by rendezvous hashing.

    A repartition moves only the keys of the shards that it adds or removes.
    """
    key = routing_key.encode()
    return max(
        sorted(shards),
        key=lambda shard: xxhash.xxh3_64_intdigest(shard.encode() + b"\0" + key),
    )
