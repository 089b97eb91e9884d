"""Judge a new version by the reports of the gateways.

Load patterns: a version fails a fifth of its requests or more, or answers three times
slower, at once, later, under load or on one route. Beside that, servers of either
version pause for 250 ms every 6 s, crash, refuse, start cold, or are one faulty server
among sound ones, and all servers of a shard slow down together. About 20 requests/s
reach the service and a thirteenth of them the new version, so few answers must suffice.

The test is a cumulative sum of log-likelihood ratios (CUSUM) of bad answers, which
never falls below 0, so that good answers at first do not hide bad ones later. It
compares with the old version on the same route over its last answers. No I/O.
"""

import math
from dataclasses import dataclass, field
from itertools import zip_longest

from wisteriaworks.rollouts.answer_times import (
    BROKEN_BUCKET,
    BUCKETS,
    compute_bound_ms,
    find_median,
)

# Sum from which a version is bad. For independent answers a sound version reaches it
# within one run up from 0 with a probability below exp(-5) = 0.7%. Three failures among
# 12 answers reach it, five slow answers in a row do.
BAD_SUM = 5.0
MIN_BAD_ANSWERS = 3
# Sum from which more answers are awaited before a version has succeeded: two failures.
DOUBTFUL_SUM = 3.0
# Number of the old version's last answers with which the new one is compared.
OLD_WINDOW = 60
MIN_OLD_ANSWERS = 10
# Rates of failures: of a sound version at least, of a bad one at least.
SOUND_FAILED, BAD_FAILED = 0.02, 0.2
# Rates of slow answers. A server that pauses for 250 ms every 6 s delays about one
# answer in twenty.
SOUND_SLOW, BAD_SLOW = 0.08, 0.3
# An answer is slow if its bucket is this many above the median of the old version on
# the route, which is 2 to 4 times its time, and later by MIN_DELAY_MS at least. A new
# connection takes up to 6 ms and a round trip.
SLOW_BUCKETS = 3
MIN_DELAY_MS = 10.0
# Slow or broken answers of one server within this time count once, since a pause or a
# crash of a server affects all that it has accepted.
SERVER_EVENT_S = 0.75
# With fewer answers at the end of a rollout, the sum cannot be high enough.
FEW_ANSWERS = 15


@dataclass(slots=True)
class _Rates:
    """Hold the rates of one kind of bad answer for the sum."""

    sound: float
    bad: float

    def weigh(self, bad_count, good_count):
        """Return the log-likelihood ratio of some answers."""
        return bad_count * math.log(self.bad / self.sound) + good_count * math.log(
            (1 - self.bad) / (1 - self.sound)
        )


@dataclass(slots=True)
class _Old:
    """Describe the last answers of the old version, on one route or on all."""

    answers: float = 0.0
    failed: float = 0.0
    timed: float = 0.0
    slow: float = 0.0
    times: list = field(default_factory=lambda: [0.0] * BUCKETS)

    def add(self, failed, times):
        """Add answers; older ones lose weight with each of them."""
        count = failed + sum(times)
        keep = (1 - 1 / OLD_WINDOW) ** count
        self.answers = self.answers * keep + count
        self.failed = self.failed * keep + failed
        self.times = [
            a * keep + b for a, b in zip_longest(self.times, times, fillvalue=0)
        ]

    def add_slow(self, slow, timed):
        """Add answers of which some were slow on their route."""
        keep = (1 - 1 / OLD_WINDOW) ** timed
        self.timed = self.timed * keep + timed
        self.slow = self.slow * keep + slow

    def find_slow_bucket(self):
        """Return from which bucket on an answer is slow, or None if unknown."""
        if sum(self.times) < MIN_OLD_ANSWERS:
            return None
        median = find_median(self.times)
        least_ms = compute_bound_ms(median) + MIN_DELAY_MS
        # Answers of a bucket take longer than the bound of the bucket before it.
        slow_bounds = (
            bucket
            for bucket in range(median + SLOW_BUCKETS, BROKEN_BUCKET)
            if compute_bound_ms(bucket - 1) >= least_ms
        )
        return next(slow_bounds, BROKEN_BUCKET)

    def get_failed_rates(self):
        """Return the rates of failures of a sound and of a bad version."""
        rate = 1.5 * self.failed / max(self.answers, MIN_OLD_ANSWERS)
        sound = min(0.6, max(SOUND_FAILED, rate))
        return _Rates(sound, max(BAD_FAILED, min(0.9, 2 * sound)))

    def get_slow_rates(self):
        """Return the rates of slow answers of a sound and of a bad version."""
        rate = 1.25 * self.slow / max(self.timed, MIN_OLD_ANSWERS)
        sound = min(0.7, max(SOUND_SLOW, rate))
        return _Rates(sound, max(BAD_SLOW, sound + 0.25))


@dataclass(slots=True)
class _Sum:
    """Accumulate the evidence of one kind against the new version."""

    value: float = 0.0
    bad_count: int = 0
    bad_servers: set = field(default_factory=set)

    def add(self, server, bad, good, rates):
        """Add answers of one server."""
        self.value = max(0.0, self.value + rates.weigh(bad, good))
        if self.value == 0.0:
            self.bad_count = 0
            self.bad_servers.clear()
        elif bad:
            self.bad_count += bad
            self.bad_servers.add(server)

    def is_above(self, limit, needed_servers):
        """Return whether the evidence is above a limit, and of so many servers."""
        return self.value >= limit and len(self.bad_servers) >= needed_servers

    def is_bad(self, needed_servers):
        """Return whether the version is bad."""
        is_enough = self.bad_count >= MIN_BAD_ANSWERS
        return is_enough and self.is_above(BAD_SUM, needed_servers)


class Tally:
    """Combine the reports on one rollout.

    Reports hold totals since the gateway follows the rollout, so that one that is
    lost or repeated changes nothing.
    """

    def __init__(self, target_version):
        self._target = target_version
        # Last VersionCounts by gateway, run, route and server.
        self._totals = {}
        self._old = {}
        self._failed_sums = {}
        self._slow_sums = {}
        self._last_events = {}
        self._answered_servers = set()
        # Sends to all versions and to the new one, and the new version's answers.
        self.sent = 0
        self.sent_new = 0
        self.answered_new = 0
        self.failed_new = 0

    def add(self, report, now):
        """Add a ReportVersions."""
        changes = [
            change
            for counts in report.counts
            if (change := self._subtract_known(report, counts)) is not None
        ]
        changes.sort(key=lambda change: change[0].version == self._target)
        for counts, sent, failed, times in changes:
            self.sent += sent
            if counts.version == self._target:
                self.sent_new += sent
                self._add_new(counts, failed, times, now)
            else:
                self._add_old(counts.route, failed, times)

    def find_reason(self, is_final=False):
        """Return why the version is bad, or "".

        With ``is_final``, few answers suffice, because there will be no more.
        """
        for kind, sums in (("failed", self._failed_sums), ("slow", self._slow_sums)):
            # The sum over all routes has an empty key, which comes last.
            for route in sorted(sums, reverse=True):
                evidence = sums[route]
                if evidence.is_bad(self._needed_servers):
                    return f"{kind} on {route}" if route else kind
        is_few = 0 < self.answered_new < FEW_ANSWERS
        if is_final and is_few and self.failed_new >= max(2, self.answered_new / 3):
            return "failed in few answers"
        return ""

    @property
    def is_doubtful(self):
        """Return whether more answers are needed for a verdict."""
        sums = (*self._failed_sums.values(), *self._slow_sums.values())
        needed = self._needed_servers
        return any(evidence.is_above(DOUBTFUL_SUM, needed) for evidence in sums)

    @property
    def _needed_servers(self):
        """Return at how many servers a bad version shows.

        A single faulty server among several does not make its version bad.
        """
        return min(2, len(self._answered_servers))

    def _subtract_known(self, report, counts):
        """Return the counts, and what is new in them, or None if nothing is."""
        key = report.gateway, report.run, counts.route, counts.server
        known = self._totals.get(key)
        if known is None:
            self._totals[key] = counts
            return counts, counts.sent, counts.failed, counts.times
        if counts.sent <= known.sent:
            return None
        self._totals[key] = counts
        pairs = zip_longest(counts.times, known.times, fillvalue=0)
        times = tuple(max(0, new - old) for new, old in pairs)
        failed = max(0, counts.failed - known.failed)
        return counts, counts.sent - known.sent, failed, times

    def _add_old(self, route, failed, times):
        slow, timed = self._split_slow(route, times)
        for key in (route, ""):
            old = self._old.setdefault(key, _Old())
            old.add(failed, times)
            old.add_slow(slow, timed)

    def _split_slow(self, route, times):
        """Return how many answers were slow, and of how many this is known."""
        old = self._old.get(route)
        bucket = old.find_slow_bucket() if old else None
        return (0, 0) if bucket is None else (sum(times[bucket:]), sum(times))

    def _add_new(self, counts, failed, times, now):
        route, server = counts.route, counts.server
        answered = sum(times)
        if answered + failed:
            self._answered_servers.add(server)
        self.answered_new += answered + failed
        self.failed_new += failed
        slow, timed = self._split_slow(route, times)
        good, slow = timed - slow, self._limit_events(server, slow, now)
        for key in (route, ""):
            old = self._old.get(key) or _Old()
            failures = self._failed_sums.setdefault(key, _Sum())
            failures.add(server, failed, answered, old.get_failed_rates())
            slowness = self._slow_sums.setdefault(key, _Sum())
            slowness.add(server, slow, good, old.get_slow_rates())

    def _limit_events(self, server, slow, now):
        if not slow or now - self._last_events.get(server, -math.inf) < SERVER_EVENT_S:
            return 0
        self._last_events[server] = now
        return 1
