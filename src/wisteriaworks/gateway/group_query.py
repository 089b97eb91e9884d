"""Track the requests for one group of the shards of a query. No I/O.

Load pattern: some shards of a group are late. When the query is due, its gateway gets
the parts that have arrived, and decides with those of the other groups whether they
are enough. The group goes on only if it lacks more than its share of the parts that
an answer may lack.
"""

import math

from wisteriaworks.gateway.gathering import (
    GroupProgress,
    MergedPart,
    count_allowed_losses,
)
from wisteriaworks.gateway.query import Query, UnservedReason
from wisteriaworks.gateway.records import merge_greatest


class GroupQuery(Query):
    """Combine the fetches of a group; its results are of type GroupProgress."""

    def __init__(self, route, fetches, times):
        super().__init__(route, fetches, times)
        max_missing = count_allowed_losses(len(route.shards), route.minimum_coverage)
        self._min_parts = max(0, len(fetches) - max_missing)
        self._allowance = max_missing * len(fetches) // len(route.shards)
        # When the query is due, or infinite once that has been handled.
        self._due_wake_at = times.partial_at

    def fail_to_begin(self):
        """Return the result of a group of which too few shards have a server."""
        size = len(self.fetches)
        return GroupProgress(size, lost=size, is_final=True)

    def get_result(self, now):
        """Return the final progress if there is one now, or None."""
        fetches = self.fetches.values()
        parts = sum(fetch.has_part for fetch in fetches)
        open_count = sum(not fetch.is_over for fetch in fetches)
        is_enough = len(fetches) - parts <= self._allowance
        if self.is_due(now):
            self._due_wake_at = math.inf
        is_due = self.is_due(now) and is_enough
        is_hopeless = parts + open_count < self._min_parts
        if open_count and not (is_due or is_hopeless or now >= self._give_up_at):
            return None
        return self.read_progress(now, is_final=True)

    def read_progress(self, now, is_final=False):
        """Return what has arrived so far."""
        fetches = self.fetches.values()
        answers = [fetch.answer for fetch in fetches if fetch.has_part]
        lost = sum(fetch.is_over and not fetch.has_part for fetch in fetches)
        reason = UnservedReason.DEADLINE
        if now < self._give_up_at:
            reason = self._find_reason()
        return GroupProgress(
            size=len(fetches),
            part=MergedPart(
                tuple(answer.signature for answer in answers),
                merge_greatest([a.body for a in answers], self._route.top_records),
            ),
            lost=lost,
            is_final=is_final,
            may_have_run=any(f.may_have_run or f.is_running for f in fetches),
            reason=reason,
            causes=self._explain() if len(answers) < len(fetches) else (),
        )

    def compute_wake_at(self):
        """Return when ``get_result`` or ``Fetch.handle_timer`` is due next."""
        fetches = (f.wake_at for f in self.fetches.values() if not f.is_over)
        return min(self._give_up_at, self._due_wake_at, *fetches)
