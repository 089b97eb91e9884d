"""Decide at a gateway whether a request of a client account may run now.

Load pattern: a client sends to few gateways, steadily or in bursts, while the leader
is away for some seconds, and while the process is paused.
"""

import itertools
import math
from collections import deque
from dataclasses import dataclass

from wisteriaworks.generated.messages import RequestQuota
from wisteriaworks.quotas.demand import MIN_RATE_PER_S, DemandEstimate

# A request needs this time to get a connection and be sent.
MIN_LEFT_S = 0.1
# Standing permissions with less than this share of their lifetime left are extended
# or replaced, so that a change of leader begins with permissions that outlive it.
FRESH_SHARE = 0.6
# Larger stocks are not extended: they are used before they end, and extending all of
# them at once would take the burst from requests that wait.
MAX_EXTENDED_STOCK = 4
# Lifetime that is assumed until the first reply.
FIRST_LIFETIME_S = 1.0
FORGET_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class Granted:
    """Allow a request to be sent until ``expires_at`` (boot time)."""

    expires_at: float


@dataclass(frozen=True, slots=True)
class OverLimit:
    """Refuse a request because its account is over its limit."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Refuse a request because control gave no permission in time."""

    retry_after_s: float


Decision = Granted | OverLimit | Unavailable
UNLIMITED = Granted(math.inf)
UNAVAILABLE_RETRY_S = 0.3


class Waiter:
    """Represent a request that waits for its decision."""

    def __init__(self, until, on_decided):
        self.until = until
        self.decision = None
        self._on_decided = on_decided

    def decide(self, decision):
        """Report the decision."""
        self.decision = decision
        self._on_decided()


@dataclass(slots=True)
class _Batch:
    """Represent the permissions of one reply for one account."""

    expires_at: float
    count: int
    term: int
    charged_at_ms: int
    # Whether a question to extend them has no reply. The leader may have moved their
    # charge, and a second question would move the charge of others.
    is_offered: bool = False


class _Account:
    """Store the permissions, the demand and the waiting requests of one account."""

    def __init__(self, now):
        self.demand = DemandEstimate(now)
        self.lifetime_s = FIRST_LIFETIME_S
        # In the order of their replies.
        self.batches = deque()
        self.waiters = deque()
        self.denied_until = -math.inf
        # Whether the last denial was due to a leader that has just started.
        self.is_leader_starting = False

    def take(self, now):
        """Return the expiry of the oldest usable permission, or None."""
        while self.batches:
            batch = self.batches[0]
            if batch.count and batch.expires_at - now >= MIN_LEFT_S:
                batch.count -= 1
                return batch.expires_at
            self.batches.popleft()
        return None

    def extend(self, term, charged_at_ms, count, batch):
        """Move up to ``count`` permissions of an earlier batch to a new one."""
        for former in self.batches:
            if (former.term, former.charged_at_ms) == (term, charged_at_ms):
                former.is_offered = False
                # Two batches of one reply have the same charge.
                moved = min(count - batch.count, former.count)
                batch.count += moved
                former.count -= moved
        self.add(batch)

    def add(self, batch):
        """Add permissions, which end last."""
        if batch.count:
            self.batches.append(batch)

    def deny(self, retry_s):
        """Return the decision for a request that is not granted."""
        if self.is_leader_starting:
            return Unavailable(retry_s)
        return OverLimit(retry_s)


class GatewayTokens:
    """Store the permissions of one gateway. All times are boot times in seconds."""

    def __init__(self, gateway, now):
        self._gateway = gateway
        self._accounts = {}
        self._forget_at = now + FORGET_INTERVAL_S
        # Term and time of the last reply's charges at the leader, and the boot time at
        # which that reply arrived.
        self._term, self._charged_at_ms, self._replied_at = 0, 0, now

    @property
    def account_count(self):
        """Return the number of accounts with recent requests."""
        return len(self._accounts)

    @property
    def has_waiters(self):
        """Return whether requests wait for a decision."""
        return any(account.waiters for account in self._accounts.values())

    def take(self, name, now):
        """Count a request; return Granted if a permission is at hand, or None."""
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(now)
        account.demand.add(now)
        # Requests that wait are served first.
        expires_at = None if account.waiters else account.take(now)
        return None if expires_at is None else Granted(expires_at)

    def wait(self, name, now, patience_s, on_decided):
        """Let a counted request wait for a permission.

        Returns the decision if it is known already, or a Waiter.
        """
        account = self._accounts[name]
        until = now + patience_s
        if account.denied_until > until:
            return account.deny(account.denied_until - now)
        waiter = Waiter(until, on_decided)
        account.waiters.append(waiter)
        return waiter

    def give_up(self, name, waiter, now):
        """Return the decision for a request that has waited long enough."""
        account = self._accounts[name]
        if waiter in account.waiters:
            account.waiters.remove(waiter)
        if waiter.decision is None and now < account.denied_until:
            return account.deny(account.denied_until - now)
        return waiter.decision or Unavailable(UNAVAILABLE_RETRY_S)

    def make_request(self, now):
        """Return the question, which must be sent now, or None if nothing is needed."""
        self._forget(now)
        demands = [
            (name, *needed)
            for name, account in self._accounts.items()
            if any(needed := _count_needed(account, self._term, now))
        ]
        if not demands:
            return None
        names, waiting, standing, batches = zip(*demands, strict=True)
        for batch in itertools.chain.from_iterable(batches):
            batch.is_offered = True
        since_reply_ms = math.floor((now - self._replied_at) * 1000)
        return RequestQuota(
            gateway=self._gateway,
            accounts=names,
            waiting=waiting,
            standing=standing,
            term=self._term,
            clock_ms=self._charged_at_ms + since_reply_ms,
            renewals=tuple(
                (position, batch.charged_at_ms, batch.count)
                for position, old in enumerate(batches)
                for batch in old
            ),
        )

    def apply_reply(self, request, reply, asked_at, now):
        """Store the permissions of a reply and decide the requests that wait.

        The permissions end ``lifetime_ms`` after the question was sent.
        """
        self._term, self._charged_at_ms = reply.term, reply.decided_at_ms
        self._replied_at = now

        def make_batch(position, count):
            expires_at = asked_at + reply.lifetime_ms[position] / 1000
            return _Batch(expires_at, count, reply.term, reply.decided_at_ms)

        pairs = zip(request.renewals, reply.renewed, strict=True)
        for (position, charged_at_ms, _), count in pairs:
            account = self._accounts.get(request.accounts[position])
            if account is not None:
                batch = make_batch(position, 0)
                account.extend(request.term, charged_at_ms, count, batch)
        rows = zip(request.accounts, reply.granted, reply.retry_after_ms, strict=True)
        for position, (name, granted, retry_ms) in enumerate(rows):
            account = self._accounts.get(name)
            if account is None:
                continue
            account.lifetime_s = reply.lifetime_ms[position] / 1000
            account.add(make_batch(position, granted))
            account.is_leader_starting = reply.is_starting
            account.denied_until = now + retry_ms / 1000 if retry_ms else -math.inf
            _serve_waiters(account, now)

    def count_permissions(self, now):
        """Return the number of permissions that can still be used."""
        batches = itertools.chain.from_iterable(
            account.batches for account in self._accounts.values()
        )
        return sum(b.count for b in batches if b.expires_at - now >= MIN_LEFT_S)

    def _forget(self, now):
        """Drop accounts without recent requests."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_S
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.waiters or account.demand.read(now) >= MIN_RATE_PER_S
        }


def _count_needed(account, term, now):
    """Return what to ask for: waiting and standing permissions, batches to extend."""
    if now < account.denied_until:
        return 0, 0, ()
    stock = account.demand.compute_stock(account.lifetime_s, now)
    usable = [b for b in account.batches if b.count and b.expires_at > now + MIN_LEFT_S]
    fresh_until = now
    if stock <= MAX_EXTENDED_STOCK:
        fresh_until += FRESH_SHARE * account.lifetime_s
    fresh = sum(b.count for b in usable if b.expires_at > fresh_until)
    old = [
        b
        for b in usable
        if b.expires_at <= fresh_until and b.term == term and not b.is_offered
    ]
    # Of those that end soon, only as many as are needed are extended.
    kept = itertools.accumulate((b.count for b in old), initial=fresh)
    extended = tuple(b for b, held in zip(old, kept, strict=False) if held < stock)
    held = fresh + sum(b.count for b in extended)
    return len(account.waiters), max(0, stock - held), extended


def _serve_waiters(account, now):
    """Decide waiting requests, the oldest first."""
    while account.waiters:
        expires_at = account.take(now)
        if expires_at is None:
            break
        account.waiters.popleft().decide(Granted(expires_at))
    # Those that cannot wait until the next permission are refused at once.
    impatient = [w for w in account.waiters if w.until < account.denied_until]
    for waiter in impatient:
        account.waiters.remove(waiter)
        waiter.decide(account.deny(account.denied_until - now))
