"""The permissions that the leader may still give for one account.

Load pattern: several gateways hold permissions for an account that sends rarely, and
extend them before they end.
"""

import itertools
import math
from dataclasses import dataclass

# Charges within this time are recorded together, which bounds the record of an
# account that is used by thousands of gateways.
SLOT_MS = 50
# Share of the burst that is reserved for requests that wait. With a fifth, permissions
# in stock at other gateways made the leader deny requests below the limit.
RESERVED_SHARE = 0.5
# Rounding errors of the level must not deny a request that is exactly due.
_EPSILON = 1e-9


@dataclass(slots=True)
class _Charge:
    """Represent the permissions charged in one slot, at the time of the last one."""

    at: float
    count: int


class Bucket:
    """Count permissions against an allowance. Times are seconds of one clock.

    A bucket starts empty: the level of the previous leader's bucket was at least 0,
    so the charges of both together conform to the allowance.
    """

    def __init__(self, allowance, started_at):
        self.allowance = allowance
        # The level before the recorded charges, and the time for which it is known.
        self._base = 0.0, started_at
        self._charges = {}
        self._level, self._filled_at = self._base

    def take(self, waiting, standing, now):
        """Charge and return the number of permissions that are given."""
        level = self._fill(now)
        granted = min(waiting, _floor(level))
        left = level - granted - self.allowance.burst * RESERVED_SHARE
        granted += min(standing, _floor(left))
        self._charge(granted, now)
        return granted

    def extend(self, charged_at_ms, count, now):
        """Charge permissions anew instead of at an earlier time.

        Returns the number of those that are valid for a whole lifetime again. The
        others remain charged at the earlier time.
        """
        charge = self._charges.get(charged_at_ms // SLOT_MS)
        if charge is None or self._fill(now) < 0:
            return 0
        count = min(count, charge.count)
        charge.count -= count
        self._replay(now)
        extended = min(count, _floor(self._level))
        if extended < count:
            charge.count += count - extended
            self._replay(now)
        self._charge(extended, now)
        return extended

    def compute_retry_s(self, now):
        """Return the time until the next permission can be given."""
        missing = 1.0 - self._fill(now)
        rate = self.allowance.rate_per_s
        return max(0.0, missing / rate) if rate > 0 else math.inf

    def change(self, allowance, now):
        """Continue with another allowance.

        Permissions of the former one may be valid for longer than the new lifetime,
        and its burst may be larger. Both are charged to the new bucket, which is
        filled again when the former permissions are within the new lifetime.
        """
        former, level = self.allowance, self._fill(now)
        longer_s = max(0.0, former.lifetime_s - allowance.lifetime_s)
        debt = max(0.0, former.burst - allowance.burst) + former.rate_per_s * longer_s
        self.allowance = allowance
        self._charges.clear()
        self._base = level - debt, max(self._filled_at, now) + longer_s
        self._level, self._filled_at = self._base

    def _charge(self, count, now):
        if not count:
            return
        self._level -= count
        slot = math.floor(now * 1000) // SLOT_MS
        charge = self._charges.setdefault(slot, _Charge(now, 0))
        # The later time is the safe one: the level that is computed again after an
        # extension is at most the true one.
        charge.at = now
        charge.count += count
        self._forget(now)

    def _forget(self, now):
        """Drop the record of charges whose permissions have ended."""
        ended_at = now - self.allowance.lifetime_s
        ended = itertools.takewhile(
            lambda item: item[1].at < ended_at, self._charges.items()
        )
        for slot, charge in tuple(ended):
            self._base = self._advance(self._base, charge.at, charge.count)
            del self._charges[slot]

    def _replay(self, now):
        """Compute the level from the recorded charges."""
        state = self._base
        for charge in self._charges.values():
            state = self._advance(state, charge.at, charge.count)
        self._level, self._filled_at = self._advance(state, now, 0)

    def _fill(self, now):
        state = self._level, self._filled_at
        self._level, self._filled_at = self._advance(state, now, 0)
        return self._level

    def _advance(self, state, to, count):
        """Return the level and its time after ``count`` charges at a time."""
        level, filled_at = state
        gained = max(0.0, to - filled_at) * self.allowance.rate_per_s
        return min(self.allowance.burst, level + gained) - count, max(filled_at, to)


def _floor(level):
    return math.floor(max(0.0, level + _EPSILON))
