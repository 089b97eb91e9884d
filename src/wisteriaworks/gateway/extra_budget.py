"""Bound the repeated sends to each service over all gateways.

Load pattern: many queries meet a pause or a dead server at once and each
would be sent again. The bound of the whole system is ``ratio`` x requests +
``slack`` in any window. Each gateway takes the ratio of its own requests and
an equal part of the slack, so the sum over all gateways keeps the bound
without an exchange between them. A gateway that has just started does not
know what it sent before, so its part of the slack grows over the first window.
"""

from collections import deque

# Part of the allowance that is used. The rest covers gateways that joined
# since the count was last read, and sends that arrive in a later window.
USED_SHARE = 0.8
# Part of the allowance that hedges may use. The rest is kept for requests that
# a server refused or broke off, which have no answer without a repeat. With 84
# gateways a part is 2.4 repeats in 10 s, of which a smaller share would leave one.
HEDGE_SHARE = 0.9
# The window is kept in slices of this share; counts of a slice end together.
SLICES = 20


class _Window:
    """Count events over a sliding window of equal slices."""

    def __init__(self, window_s):
        self._slice_s = window_s / SLICES
        self._slices = deque()
        self.total = 0

    def add(self, now):
        number = int(now / self._slice_s)
        if self._slices and self._slices[-1][0] == number:
            self._slices[-1][1] += 1
        else:
            self._slices.append([number, 1])
        self.total += 1

    def expire(self, now, slices):
        oldest = int(now / self._slice_s) - slices
        while self._slices and self._slices[0][0] < oldest:
            self.total -= self._slices.popleft()[1]


class ExtraBudget:
    """Count requests and repeated sends by service."""

    def __init__(self, cfg, now):
        self._cfg = cfg
        self._started_at = now
        self._requests = {}
        self._extras = {}
        self.gateways = 1

    def count_request(self, service, now):
        """Count the first send of a request to a service."""
        self._find(self._requests, service).add(now)

    def may_repeat(self, service, now, is_hedge=False):
        """Say whether one more send of a request is within the budget."""
        requests = self._find(self._requests, service)
        extras = self._find(self._extras, service)
        # Requests leave the count one slice early and repeats one slice late,
        # so that any window keeps the bound, wherever it begins.
        requests.expire(now, SLICES - 1)
        extras.expire(now, SLICES + 1)
        allowance = self._compute_allowance(requests.total, now)
        return extras.total + 1 <= (HEDGE_SHARE if is_hedge else 1.0) * allowance

    def count_repeat(self, service, now):
        """Count one repeated send."""
        self._find(self._extras, service).add(now)

    def keep(self, services):
        """Forget the services that are in no configuration any more."""
        for table in (self._requests, self._extras):
            for service in [name for name in table if name not in services]:
                del table[service]

    def _compute_allowance(self, requests, now):
        cfg = self._cfg
        slack = cfg.slack / max(1, self.gateways)
        slack *= min(1.0, (now - self._started_at) / cfg.window_s)
        return USED_SHARE * (cfg.retry_ratio * requests + slack)

    def _find(self, table, service):
        window = table.get(service)
        if window is None:
            window = table[service] = _Window(self._cfg.window_s)
        return window
