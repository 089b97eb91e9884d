"""Derive the leader's token bucket for an account from its limit.

A permission is charged when the leader gives it, and used at most MAX_DELAY_S before
(only when it was extended) and ``lifetime_s`` after that. Its request arrives within
TRANSIT_S. The requests of a window were therefore charged within a span of
``window_s + lifetime_s + MAX_DELAY_S + TRANSIT_S``, and a bucket with
``rate_per_s * span + burst <= bound`` keeps the bound.
"""

from dataclasses import dataclass

# A permission is valid for at most this share of a window, so that all permissions
# of an earlier limit have ended one window after a change.
MAX_LIFETIME_SHARE = 0.8
# With a shorter lifetime, each request would have to wait for its own permission.
MIN_LIFETIME_S = 0.4
# Time from the check of a permission until the request arrives at the server.
TRANSIT_S = 0.1
# Permissions are not extended by a question that is older than this.
MAX_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class Allowance:
    """Define the bucket of an account and the lifetime of its permissions."""

    rate_per_s: float
    burst: float
    lifetime_s: float


def compute_bound(account, cfg):
    """Return the requests of an account that may run in any window."""
    nominal = account.rate_per_s * cfg.window_s + account.burst
    return nominal * (1 + cfg.overage) + cfg.slack


def compute_allowance(account, cfg):
    """Return the Allowance of an account with a limit.

    The difference between bound and limit first pays for the lifetime. Half of the
    rest raises the burst and half the rate, so that an account of a few requests per
    minute gets its first permission from a new leader within a second.
    """
    bound = compute_bound(account, cfg)
    nominal = account.rate_per_s * cfg.window_s + account.burst
    margin_s = TRANSIT_S + MAX_DELAY_S
    longest_s = (bound - nominal) / account.rate_per_s - margin_s
    lifetime_s = min(max(longest_s, MIN_LIFETIME_S), MAX_LIFETIME_SHARE * cfg.window_s)
    span_s = cfg.window_s + lifetime_s + margin_s
    spare = max(0.0, bound - account.burst - account.rate_per_s * span_s)
    burst = min(bound, max(1.0, account.burst + spare / 2))
    return Allowance((bound - burst) / span_s, burst, lifetime_s)
