"""Choose by version which servers of a service a gateway may send to.

Load patterns: a service moves to servers of another version that may be bad; a gateway
is cut off from control halfway, and reads the list of servers itself. No I/O.
"""

import math
from dataclasses import dataclass, field

from wisteriaworks.gateway.model import Answered, Failed, Failure
from wisteriaworks.generated.messages import (
    ReportVersions,
    RolloutPhase,
    VersionCounts,
)
from wisteriaworks.rollouts.answer_times import BROKEN_BUCKET, BUCKETS, find_bucket
from wisteriaworks.rollouts.share import USED_PART, ShareRule
from wisteriaworks.rollouts.table import is_over

# A gateway that got this many failures of the new version itself stops sending to it
# until it hears from the leader that all requests move to that version.
OWN_FAILURES_TO_STOP = 3
# Without an update for this long, a gateway relies on the answers that it saw itself.
SILENCE_S = 2.0
# A process that did not run for this long may have missed the end of a rollout. Its
# checks come every 0.1 s.
STALL_S = 1.0
# Servers may still be slow for this long after the cold start that the list states.
COLD_GRACE_S = 1.0
# The leader needs the confirmations of all gateways quickly before the deadline.
REPORT_INTERVALS_S = {RolloutPhase.RUNNING: 0.5, RolloutPhase.PROMOTING: 0.2}


@dataclass(slots=True)
class _Row:
    """Count the answers of one server on one route."""

    version: str
    sent: int = 0
    failed: int = 0
    times: list = field(default_factory=lambda: [0] * BUCKETS)


@dataclass(slots=True)
class _Followed:
    """Hold the state of a service that has had a rollout."""

    state: object
    share: ShareRule
    rows: dict = field(default_factory=dict)
    own_failures: int = 0
    is_changed: bool = True
    reported_at: float = -math.inf

    @property
    def phase(self):
        return self.state.phase

    def is_new(self, server):
        """Return whether the server has the target version."""
        return server.entry.version == self.state.target_version


class VersionFilter:
    """Apply the rollouts to the choice of servers, and count answers for the leader.

    ``cfg`` are the RolloutSettings, ``run`` identifies the start of the gateway, and
    ``table`` and ``stats`` are its servers and their statistics.
    """

    def __init__(self, cfg, name, run, rng, table, stats):
        self._share = cfg.exposure_share * USED_PART
        self._name = name
        self._run = run
        self._rng = rng
        self._table = table
        self._stats = stats
        self._followed = {}
        # Versions by service that a leader has listed.
        self._listed_versions = {}
        # Whether the gateway has read the list in use itself.
        self.is_list_direct = False
        # Returns for how many seconds the VM has been suspended, which the monotonic
        # clock does not count.
        self.read_suspended_s = lambda: 0.0
        self._updated_at = self._alive_at = -math.inf
        self._is_checked = False
        # Called with "new" or "old" for each send during a rollout.
        self.on_send = lambda kind: None
        # Called once with the RolloutState of a version that this gateway stops using.
        self.on_stop = lambda state: None

    def apply_states(self, states):
        """Apply the RolloutStates of a leader; return those that have changed."""
        changed = []
        for state in states:
            followed = self._followed.get(state.service)
            if followed is None or followed.state.number != state.number:
                share = ShareRule(self._share, self._rng.random())
                self._followed[state.service] = _Followed(state, share)
            elif followed.state == state:
                continue
            else:
                followed.state = state
                followed.is_changed = True
            if is_over(state.phase):
                self._followed[state.service].rows.clear()
            changed.append(state)
        return changed

    def note_update(self, now):
        """Record that an update of the leader has arrived."""
        self._updated_at = now + self.read_suspended_s()

    def note_alive(self, now):
        """Record that the process runs; to be called every 0.1 s."""
        self._is_checked = True
        self._alive_at = now + self.read_suspended_s()

    def was_stalled(self, now):
        """Return whether the process did not run until a moment ago.

        An update that says that the version is bad may wait to be read.
        """
        stalled_s = now + self.read_suspended_s() - self._alive_at
        return self._is_checked and stalled_s > STALL_S

    def note_listed(self, entries):
        """Record the versions of servers that a leader lists."""
        for entry in entries:
            self._listed_versions.setdefault(entry.service, set()).add(entry.version)

    def narrow(self, service, servers, now, is_first=False):
        """Return the servers that may get a request to the service.

        ``servers`` are the usable ones, and ``is_first`` is whether the request has
        not been sent before.
        """
        followed = self._followed.get(service)
        if followed is None and not self.is_list_direct:
            return servers
        if self.is_list_direct:
            servers = self._drop_unlisted(service, servers)
        if followed is None:
            return servers
        excluded = followed.state.excluded
        servers = [s for s in servers if s.entry.version not in excluded]
        new = [s for s in servers if followed.is_new(s)]
        old = [s for s in servers if not followed.is_new(s)]
        return self._choose_version(followed, new, old, now, is_first)

    def _drop_unlisted(self, service, servers):
        """Drop servers of versions that no leader has listed, if there are others.

        Their rollout may have begun while this gateway did not hear of it.
        """
        versions = self._listed_versions.get(service, ())
        return [s for s in servers if s.entry.version in versions] or servers

    def _choose_version(self, followed, new, old, now, is_first):
        match followed.phase:
            case RolloutPhase.SUCCEEDED:
                return new or old
            case RolloutPhase.ROLLED_BACK:
                return old
            case _ if self.was_stalled(now):
                # Refused, unless an old server is certain to run still.
                return old if followed.phase is RolloutPhase.RUNNING else []
            case RolloutPhase.PROMOTING:
                is_stopped = self._is_stopped(followed) and self._is_cut_off(now)
                return (old or new) if is_stopped else (new or old)
        if not old or not new:
            return old or new
        if self._is_cut_off(now):
            # The version may have turned out to be bad; or the rollout has succeeded,
            # and the old servers were stopped.
            is_any_left = any(not self._stats.is_avoided(s.id, now) for s in old)
            return old if is_any_left or self._is_stopped(followed) else new
        if self._is_stopped(followed) or not followed.share.may_send:
            return old
        if not is_first:
            return old + new
        # A server that is cold or failing would answer late for reasons of its own.
        ready = [
            s
            for s in new
            if not s.is_cold(now) and not self._stats.is_avoided(s.id, now)
        ]
        return ready or old

    def _is_stopped(self, followed):
        return followed.own_failures >= OWN_FAILURES_TO_STOP

    def _is_cut_off(self, now):
        return now + self.read_suspended_s() - self._updated_at > SILENCE_S

    def count_send(self, server):
        """Count one send for the share of the new version."""
        followed = self._followed.get(server.entry.service)
        if followed is None or is_over(followed.phase):
            return
        is_new = followed.is_new(server)
        self.on_send("new" if is_new else "old")
        if followed.phase is RolloutPhase.RUNNING:
            followed.share.count(is_new)

    def record_outcome(self, route, server, outcome, began_at, now):
        """Count the outcome of a send on a route that began at ``began_at``."""
        followed = self._followed.get(server.entry.service)
        if followed is None or is_over(followed.phase):
            return
        key = route, server.id
        row = followed.rows.get(key)
        if row is None:
            row = followed.rows[key] = _Row(server.entry.version)
        row.sent += 1
        followed.is_changed = True
        if server.entry.cold_s > 0 and server.is_cold(began_at - COLD_GRACE_S):
            return
        bucket = _find_outcome_bucket(outcome, now - began_at)
        if bucket is not None:
            row.times[bucket] += 1
        elif _is_failure(outcome):
            row.failed += 1
            self._count_own_failure(followed, server)

    def _count_own_failure(self, followed, server):
        if followed.is_new(server):
            followed.own_failures += 1
            if followed.own_failures == OWN_FAILURES_TO_STOP:
                self.on_stop(followed.state)

    def report_again(self):
        """Report to a new leader, which has no counts yet."""
        for followed in self._followed.values():
            followed.is_changed = True
            followed.reported_at = -math.inf

    def pop_reports(self, now):
        """Return the reports that are due; they count as delivered."""
        reports = []
        for followed in self._followed.values():
            interval_s = REPORT_INTERVALS_S.get(followed.phase, math.inf)
            if followed.is_changed and now - followed.reported_at >= interval_s:
                followed.is_changed = False
                followed.reported_at = now
                reports.append(self._make_report(followed))
        return reports

    def _make_report(self, followed):
        state = followed.state
        rows = followed.rows.items()
        return ReportVersions(
            gateway=self._name,
            run=self._run,
            service=state.service,
            number=state.number,
            phase=state.phase,
            old_running=self._count_old_running(followed),
            counts=tuple(_make_counts(key, row) for key, row in rows),
        )

    def _count_old_running(self, followed):
        servers = self._table.list_service(followed.state.service)
        return sum(
            self._stats.count_waiting(s.id) for s in servers if not followed.is_new(s)
        )


def _make_counts(key, row):
    times = row.times
    length = next((n for n in range(BUCKETS, 0, -1) if times[n - 1]), 0)
    return VersionCounts(
        route=key[0],
        server=key[1],
        version=row.version,
        sent=row.sent,
        failed=row.failed,
        times=tuple(times[:length]),
    )


def _find_outcome_bucket(outcome, elapsed_s):
    """Return the bucket of an answer, or None if its time says nothing.

    Refusals and sends that did not reach a server are not counted, since overload and
    crashes of single servers are not caused by a version. A broken connection counts
    like a very slow answer, of which several of one server at a time count once.
    """
    match outcome:
        case Answered() if not _is_failure(outcome):
            return find_bucket(elapsed_s)
        case Failed(failure=Failure.TIMED_OUT, may_have_run=True):
            return find_bucket(elapsed_s)
        case Failed(failure=Failure.BROKEN, may_have_run=True):
            return BROKEN_BUCKET
    return None


def _is_failure(outcome):
    match outcome:
        case Answered(answer):
            is_unsigned = 200 <= answer.status < 300 and not answer.is_success
            return answer.status >= 500 or is_unsigned
        case Failed(failure=failure):
            return failure in (Failure.MALFORMED, Failure.FOREIGN)
    return False
