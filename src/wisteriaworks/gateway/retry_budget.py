"""Limit the repeated sends to each service over all gateways.

Load pattern: many queries hit a stalled or dead server at once and each would be
retried, while gateways are killed, restart or change their roles. The limit of the
entire system is ``retry_ratio`` x requests + ``slack`` in any window of ``window_s``
seconds. Each gateway uses the ratio of its own requests and its part of the slack, so
the sum over all gateways stays within the limit without communication between them.

A gateway that starts does not know what it sent before. So repeats are also paid from
a credit that begins with a debt, grows with requests and time, and is bounded. What a
gateway spends within a window, however often it starts in it, is at most a full credit
and what it earns, less the debts.
"""

import dataclasses
from collections import deque

from wisteriaworks.gateway.fleet_shares import FleetShares, Role

# Share of the allowance that is used. The rest covers gateways that joined since
# their number was last received, and sends that arrive in a later window.
USED_SHARE = 0.9
# Part of the slack that is not earned within a window, but held by a full credit.
BURST_PART = 0.5
# Repeats that a full credit holds at least, if that part of the allowance suffices. In
# a large system the slack of one gateway is a few repeats.
MIN_BURST = 2.0
# Part of the slack by which a credit begins below 0, and is larger when it is full.
DEBT_PART = 0.3
# Part of the ratio of its requests by which a full credit is larger. No debt makes up
# for it, so USED_SHARE covers it.
RATIO_PART = 0.1
# Share of a credit, and of an allowance, that hedges may use. The rest is reserved for
# requests that a server refused or dropped, which have no answer without a repeat.
HEDGE_SHARE = 0.9
# Number of slices of a window; the counts of a slice expire together.
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


class _ServiceBudget:
    """Store the counts of one service, and its credit in repeats."""

    def __init__(self, window_s, debt, now):
        self.requests = _Window(window_s)
        self.repeats = _Window(window_s)
        self.credit = -debt
        self.credited_at = now
        # Requests that the credit does not include yet.
        self.new_requests = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Terms:
    """Divide an allowance into a full credit and what is earned in a window."""

    # Repeats in a window.
    allowance: float
    full_credit: float
    # Repeats that are earned by the time of a window.
    earned_by_time: float
    # Share of the ratio that a request earns.
    request_share: float


def _divide(slack, for_requests):
    """Return the terms for the two parts of an allowance.

    If the slack of a gateway holds less than a burst, its requests earn less, so that
    burst and earnings do not exceed the allowance.
    """
    allowance = slack + for_requests
    burst = max(1.0, BURST_PART * slack, min(MIN_BURST, BURST_PART * allowance))
    earned = max(0.0, allowance - burst)
    by_time = min(earned, max(0.0, slack - burst))
    by_requests = earned - by_time
    return _Terms(
        allowance=allowance,
        full_credit=burst + DEBT_PART * slack + RATIO_PART * for_requests,
        earned_by_time=by_time,
        request_share=by_requests / for_requests if by_requests > 0.0 else 0.0,
    )


class RetryBudget:
    """Limit the repeated sends of this gateway by service."""

    def __init__(self, cfg, now):
        self._cfg = cfg
        self._services = {}
        self._shares = FleetShares()
        self._delegated = frozenset()
        # Services to which the routes of the configuration in force lead.
        self._routed = frozenset()
        # Time since which the credits of services without requests have grown, and
        # later times for some of them.
        self._grows_since = now
        self._grows_later = {}

    def set_shares(self, shares, now):
        """Replace the shares of this gateway in the limits."""
        if shares != self._shares:
            self._update_credits(now)
            self._grows_since = now
            self._shares = shares

    def set_delegated_services(self, services, now):
        """Replace the set of services to which the delegates send most requests."""
        if services != self._delegated:
            # Services on routes have earned by the former share so far. The others
            # have had no repeats, so the new share applies to them from the start.
            for name in (services ^ self._delegated) & self._routed:
                self._get_or_create(name)
            self._update_credits(now)
            self._delegated = services

    def count_request(self, service, now):
        """Count the first send of a request to a service."""
        budget = self._get_or_create(service)
        budget.requests.add(now)
        budget.new_requests += 1

    def may_repeat(self, service, now, is_hedge=False):
        """Return whether one more send of a request is within the budget."""
        budget = self._get_or_create(service)
        # Repeats expire one slice late, so that the limit holds in any window,
        # wherever it begins.
        budget.repeats.expire(now, SLICES + 1)
        terms = self._update_credit(service, budget, now)
        allowance, reserve = terms.allowance, 0
        if is_hedge:
            allowance *= HEDGE_SHARE
            reserve = int((1.0 - HEDGE_SHARE) * terms.full_credit)
        return budget.repeats.total + 1 <= allowance and budget.credit >= 1 + reserve

    def count_repeat(self, service, now):
        """Count one repeated send."""
        budget = self._get_or_create(service)
        budget.repeats.add(now)
        budget.credit -= 1.0

    def retain(self, services, routed, now):
        """Drop the counts of all other services; routes lead to the ``routed`` ones."""
        dropped = self._services.keys() - services
        for name in dropped:
            del self._services[name]
        # A service that returns must not begin with a full credit.
        recent_from = now - self._cfg.window_s
        self._grows_later = {
            name: at
            for name, at in (self._grows_later | dict.fromkeys(dropped, now)).items()
            if at > recent_from
        }
        self._routed = frozenset(routed)

    def _update_credits(self, now):
        for service, budget in self._services.items():
            self._update_credit(service, budget, now)

    def _update_credit(self, service, budget, now):
        """Add what was earned, up to a full credit, and return the terms.

        A gateway that is no delegate any more loses what exceeds its full credit as
        fast as its successor earns. If it soon becomes one again, it keeps the rest.
        """
        # Requests expire one slice early, as repeats do late.
        budget.requests.expire(now, SLICES - 1)
        for_requests = self._compute_ratio_part(budget.requests.total)
        terms = _divide(self._compute_slack(service), for_requests)
        windows = (now - budget.credited_at) / self._cfg.window_s
        new_part = self._compute_ratio_part(budget.new_requests)
        budget.credited_at, budget.new_requests = now, 0
        if budget.credit <= terms.full_credit:
            earned = windows * terms.earned_by_time + new_part * terms.request_share
            budget.credit = min(terms.full_credit, budget.credit + earned)
        else:
            lost = windows * self._compute_earned_by_delegate()
            budget.credit = max(terms.full_credit, budget.credit - lost)
        return terms

    def _compute_ratio_part(self, requests):
        return USED_SHARE * self._cfg.retry_ratio * requests

    def _compute_slack(self, service):
        share = self._shares.compute(service in self._delegated)
        return USED_SHARE * self._cfg.slack * share

    def _compute_earned_by_delegate(self):
        share = dataclasses.replace(self._shares, role=Role.DELEGATE).compute(True)
        return _divide(USED_SHARE * self._cfg.slack * share, 0.0).earned_by_time

    def _get_or_create(self, service):
        budget = self._services.get(service)
        if budget is None:
            grows_from = self._grows_later.get(service, self._grows_since)
            budget = self._services[service] = _ServiceBudget(
                self._cfg.window_s,
                DEBT_PART * self._compute_slack(service),
                max(grows_from, self._grows_since),
            )
        return budget
