"""Decide at the leader which requests of client accounts may run.

Load pattern: many gateways ask at the same time for many accounts of very uneven
size, and one account sends ten times its usual rate.
"""

import math

from wisteriaworks.generated.messages import QuotaReply
from wisteriaworks.quotas.allowance import MAX_DELAY_S, compute_allowance
from wisteriaworks.quotas.bucket import Bucket

# For this time, in which the buckets of accounts with usual load become positive, a
# denial is reported as due to the new leader and not to the account.
STARTING_S = 2.0
MAX_RETRY_S = 5.0
# Lifetime of the permissions of accounts without a limit, as a share of the window.
UNLIMITED_SHARE = 0.5


class LeaderQuotas:
    """Store the buckets of one term; the next term begins with empty ones.

    Times are boot times, because extensions depend on the age of a question, in
    which this VM may have been suspended.
    """

    def __init__(self, cfg, term, started_at):
        self._cfg = cfg
        self._term = term
        self._started_at = started_at
        self._accounts = {}
        self._buckets = {}

    def decide(self, message, accounts, boot_time):
        """Charge the buckets and return the reply to RequestQuota.

        ``accounts`` are those of the configuration in force.
        """
        now = boot_time - self._started_at
        self._adopt(accounts, now)
        renewed = self._extend_all(message, now)
        decisions = [
            self._decide(name, max(0, waiting), max(0, standing), now)
            for name, waiting, standing in zip(
                message.accounts, message.waiting, message.standing, strict=True
            )
        ]
        return QuotaReply(
            granted=tuple(granted for granted, _, _ in decisions),
            lifetime_ms=tuple(math.floor(s * 1000) for _, s, _ in decisions),
            retry_after_ms=tuple(math.ceil(s * 1000) for _, _, s in decisions),
            term=self._term,
            decided_at_ms=math.floor(now * 1000),
            renewed=renewed,
            is_starting=now < STARTING_S,
        )

    def _extend_all(self, message, now):
        """Extend the permissions that a question names, unless it is too old."""
        delay_s = now - message.clock_ms / 1000
        if message.term != self._term or delay_s > MAX_DELAY_S:
            return (0,) * len(message.renewals)
        return tuple(
            self._extend(message.accounts[position], charged_at_ms, count, now)
            for position, charged_at_ms, count in message.renewals
        )

    def _extend(self, name, charged_at_ms, count, now):
        bucket = self._buckets.get(name)
        if bucket is None or not self._has_limit(name):
            return 0
        return bucket.extend(charged_at_ms, max(0, count), now)

    def _decide(self, name, waiting, standing, now):
        """Return the permissions given, their lifetime, and when to ask again."""
        if name not in self._accounts:
            return 0, 0.0, MAX_RETRY_S if waiting else 0.0
        if not self._has_limit(name):
            return waiting, self._cfg.window_s * UNLIMITED_SHARE, 0.0
        bucket = self._buckets.get(name)
        if bucket is None:
            allowance = compute_allowance(self._accounts[name], self._cfg)
            bucket = self._buckets[name] = Bucket(allowance, 0.0)
        granted = bucket.take(waiting, standing, now)
        retry_s = 0.0
        if granted < waiting:
            retry_s = min(MAX_RETRY_S, max(0.001, bucket.compute_retry_s(now)))
        return granted, bucket.allowance.lifetime_s, retry_s

    def _has_limit(self, name):
        account = self._accounts.get(name)
        return account is not None and account.rate_per_s > 0

    def _adopt(self, accounts, now):
        """Change the buckets of the accounts whose limits have changed."""
        if accounts is self._accounts:
            return
        self._accounts = accounts
        for name, bucket in self._buckets.items():
            if not self._has_limit(name):
                continue
            allowance = compute_allowance(accounts[name], self._cfg)
            if allowance != bucket.allowance:
                bucket.change(allowance, now)
