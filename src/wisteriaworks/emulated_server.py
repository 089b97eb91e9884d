"""Model one backend server: slots, queue, cold start, drain and snapshots."""

import collections
import functools
import math
from dataclasses import dataclass, field
from enum import Enum

import msgspec
import xxhash

from wisteriaworks.backend_protocol import SnapshotBody, StatusBody, SubqueryBody
from wisteriaworks.generated.emulator import Counters

MAX_RECORDED_EXECUTIONS = 200_000


class Refusal(Enum):
    """List the reasons for which a server refuses a sub-query."""

    SHEDDING = "shedding"
    DRAINING = "draining"
    COLD = "cold"
    SNAPSHOT_GONE = "snapshot_gone"
    UNKNOWN_SHARD = "unknown_shard"


@dataclass(slots=True, eq=False)
class Job:
    """Represent an accepted sub-query. ``started_at`` is None while it waits."""

    body: SubqueryBody
    service_s: float
    incarnation: str
    started_at: float | None = None


@functools.lru_cache(maxsize=1024)
def list_hits(index, hits, query, partition_map):
    """Return the hits of a query by shard, each list as JSON.

    A hit depends only on the index and the query, and its shard only on its id and
    the partition map. So a repartitioned index returns the same hits from its new
    shards.
    """
    digest = xxhash.xxh3_64_intdigest(index.encode() + b"\0" + query)
    by_shard = {shard: [] for shard in partition_map}
    for number in range(hits):
        key = xxhash.xxh3_64_intdigest(number.to_bytes(4, "big"), seed=digest)
        shard = partition_map[key % len(partition_map)]
        by_shard[shard].append(_make_hit(index, key))
    return {
        shard: msgspec.json.encode(shard_hits) for shard, shard_hits in by_shard.items()
    }


def _make_hit(index, key):
    name = f"{index}-{key:016x}"
    return {
        "id": name,
        "score": (key >> 16) % 10_000 / 10_000,
        "fields": {"name": name},
    }


@dataclass
class EmulatedServer:
    """Model how one server handles sub-queries, without I/O."""

    name: str
    index: str
    hits: int
    profile: object
    rng: object
    snapshots: dict = field(default_factory=dict)
    counters: Counters = field(default_factory=Counters)
    slow_factor: float = 1.0
    reported_state_override: str = ""
    draining: bool = False
    cold: bool = False

    def __post_init__(self):
        self._counts = collections.Counter()
        self._executions = {}
        self._running = set()
        self._waiting = collections.deque()
        self._busy_s = 0.0
        self._collapsed_until = -math.inf
        self._start_count = 0
        self.incarnation = ""
        self.restart()
        self.cold = self.profile.start_cold

    @property
    def outstanding(self):
        """Return the number of sub-queries that run or wait."""
        return len(self._running) + len(self._waiting)

    @property
    def capacity(self):
        """Return how many outstanding sub-queries the server can handle."""
        if not self.cold:
            return math.inf
        steps = int(self._busy_s / self.profile.cold.step_busy_s)
        return self.profile.cold.capacity + steps

    def restart(self):
        """Start a new incarnation that is cold and has no work."""
        self._start_count += 1
        self.incarnation = f"{self.name}#{self._start_count}"
        self._running.clear()
        self._waiting.clear()
        self.draining = False
        self.make_cold()

    def make_cold(self):
        """Make the server cold without a new incarnation."""
        self.cold = True
        self._busy_s = 0.0

    def collapse(self, now):
        """Start a new, cold incarnation that refuses all work for ``collapse_s``."""
        self.restart()
        self._collapsed_until = now + self.profile.cold.collapse_s

    def admit(self, body, now):
        """Return a Job, which may have to wait for a slot, or a Refusal."""
        self._counts["received"] += 1
        refusal = self._find_refusal(body, now)
        if refusal is not None:
            self._counts["shed"] += refusal in (Refusal.SHEDDING, Refusal.COLD)
            return refusal
        job = Job(body, self._draw_service_s(), self.incarnation)
        if len(self._running) < self.profile.slots:
            self._start(job, now)
        else:
            self._waiting.append(job)
        self._record_concurrency()
        return job

    def finish(self, job, now, outcome="run"):
        """Remove a job and return the job that starts in its slot, if any.

        ``outcome`` is the name of the counter: run, cancelled or expired.
        """
        self._counts[outcome] += 1
        if job in self._waiting:
            self._waiting.remove(job)
            return None
        if job not in self._running:
            return None
        self._running.discard(job)
        self._warm_up(now - job.started_at)
        if not self._waiting:
            return None
        next_job = self._waiting.popleft()
        self._start(next_job, now)
        return next_job

    def results(self, job):
        """Return the hits of a job as JSON."""
        partition_map = self.snapshots[job.body.snapshot].partition_map
        query = bytes(job.body.query)
        return list_hits(self.index, self.hits, query, partition_map)[job.body.shard]

    def status(self):
        """Return the status body. The fault ``lie`` can override the true state."""
        state = "draining" if self.draining else "cold" if self.cold else "ready"
        return StatusBody(
            incarnation=self.incarnation,
            state=self.reported_state_override or state,
            snapshots=tuple(self.snapshots.values()),
        )

    def add_snapshot(self, snapshot, partition_map, shards):
        """Add a snapshot and the shards of it that this server serves."""
        self.snapshots[snapshot] = SnapshotBody(snapshot, partition_map, shards)

    def count(self, name):
        """Increment a counter."""
        self._counts[name] += 1

    def read_counters(self):
        """Return the counters."""
        return Counters(**self._counts, executions=self._executions)

    def _find_refusal(self, body, now):
        if self.draining:
            self._counts["received_after_drain"] += 1
            return Refusal.DRAINING
        if now < self._collapsed_until:
            return Refusal.SHEDDING
        snapshot = self.snapshots.get(body.snapshot)
        if snapshot is None:
            return Refusal.SNAPSHOT_GONE
        if body.shard not in snapshot.shards:
            return Refusal.UNKNOWN_SHARD
        if self.outstanding + 1 > self.capacity:
            return self._handle_violation(now)
        if self.outstanding >= self.profile.slots + self.profile.queue:
            return Refusal.SHEDDING
        return None

    def _handle_violation(self, now):
        """Count a sub-query beyond the capacity as a violation; refuse or collapse."""
        self._counts["violations"] += 1
        if self.profile.cold.refuses:
            return Refusal.COLD
        self.collapse(now)
        return Refusal.SHEDDING

    def _draw_service_s(self):
        service = self.profile.service
        median_s = service.median_ms / 1000.0
        drawn = self.rng.lognormvariate(math.log(median_s), service.sigma)
        if self.rng.random() < service.straggler_probability:
            drawn *= service.straggler_factor
        if self.cold:
            drawn *= self.profile.cold.latency_factor
        return drawn * self.slow_factor

    def _start(self, job, now):
        job.started_at = now
        self._running.add(job)
        request_id = job.body.request.partition("/")[0]
        key = f"{request_id}/{job.body.shard}"
        self._executions[key] = self._executions.get(key, 0) + 1
        if len(self._executions) > MAX_RECORDED_EXECUTIONS:
            del self._executions[next(iter(self._executions))]

    def _warm_up(self, busy_s):
        if not self.cold:
            return
        self._busy_s += busy_s
        self.cold = self.capacity < self.profile.slots

    def _record_concurrency(self):
        name = "highest_cold" if self.cold else "highest_warm"
        self._counts[name] = max(self._counts[name], self.outstanding)
