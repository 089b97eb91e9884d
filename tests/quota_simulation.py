"""Run the decisions of quotas without a network, under faults, on a simulated clock.

A request is recorded when it arrives at a server, between the check of its permission
and TRANSIT_S later. The leader changes, messages are lost or late, gateways are cut
off, frozen and restarted, and limits are changed.
"""

import bisect
import heapq
import itertools
import random
from dataclasses import dataclass, field

from wisteriaworks.generated.document import Account
from wisteriaworks.generated.settings import QuotaSettings
from wisteriaworks.quotas.allowance import TRANSIT_S, compute_bound
from wisteriaworks.quotas.gate import (
    BATCH_S,
    CALL_TIMEOUT_S,
    REPEAT_S,
    TOP_UP_INTERVAL_S,
)
from wisteriaworks.quotas.leader import LeaderQuotas
from wisteriaworks.quotas.tokens import GatewayTokens, Granted, Waiter


class _Gateway:
    def __init__(self, name, boot_offset, now):
        self.name, self.boot_offset = name, boot_offset
        self.frozen_until = self.cut_until = 0.0
        self.restart(now)

    def restart(self, now):
        self.tokens = GatewayTokens(self.name, self.read_clock(now))
        self.is_asking = self.is_scheduled = False
        self.life = object()

    def read_clock(self, now):
        return now + self.boot_offset


@dataclass
class Counts:
    """Count the requests of one account."""

    offered: int = 0
    # Refused although a bucket of the limit over all requests has room.
    refused_below_limit: int = 0
    refused: int = 0
    arrivals: list = field(default_factory=list)


class Simulation:
    """Run gateways and leaders until all requests are decided."""

    def __init__(self, seed, accounts, gateways, cfg=None):
        self.rng = random.Random(seed)
        self.cfg = cfg or QuotaSettings()
        self.now = 0.0
        self.accounts = accounts
        # Times and accounts of the configurations in force.
        self.history = [(0.0, accounts)]
        self.counts = {name: Counts() for name in accounts}
        self._nominal = {name: (a.burst, 0.0) for name, a in accounts.items()}
        self.gateways = [
            _Gateway(f"g{n}", self.rng.uniform(0, 1e6), 0.0) for n in range(gateways)
        ]
        self.leader, self.term = LeaderQuotas(self.cfg, 1, 0.0), 1
        self.latency_s, self.loss = (0.002, 0.01), 0.0
        # Share of requests that take a random time until their send.
        self.late_sends = 0.0
        self.messages = 0
        self._events, self._numbers = [], itertools.count()
        for gateway in self.gateways:
            self.at(self.rng.uniform(0, TOP_UP_INTERVAL_S), self._top_up, gateway)

    def at(self, time, call, *args):
        """Call a function at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), call, args))

    def run(self, until):
        """Run all events until a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until

    def offer(self, name, rate, homes, begin, end):
        """Offer requests of an account at random times, at some of the gateways."""
        time = begin
        while (time := time + self.rng.expovariate(rate)) < end:
            self.at(time, self._arrive, name, self.rng.choice(homes), 0.09)

    # Faults

    def change_leader(self, away_s):
        """Stop the leader; another one starts after ``away_s``."""
        self.leader, self.term = None, self.term + 1
        self.at(self.now + away_s, self._start_leader, self.term)

    def _start_leader(self, term):
        if term == self.term:
            self.leader = LeaderQuotas(self.cfg, term, self.now)

    def change_limits(self, accounts):
        """Put another configuration in force."""
        self.accounts = accounts
        self.history.append((self.now, accounts))

    def freeze(self, gateway, seconds):
        """Stop a gateway for a time; it sends nothing and reads nothing."""
        gateway.frozen_until = max(gateway.frozen_until, self.now + seconds)

    def cut(self, gateway, seconds):
        """Lose all messages between a gateway and control."""
        gateway.cut_until = max(gateway.cut_until, self.now + seconds)

    def restart(self, gateway):
        """Restart a gateway with nothing in memory."""
        gateway.restart(self.now)
        self._schedule(gateway, 0.0)

    # Gateways

    def _arrive(self, name, gateway, patience_s):
        if self._postpone(gateway, self._arrive, name, gateway, patience_s):
            return
        counts, clock = self.counts[name], gateway.read_clock(self.now)
        counts.offered += 1
        is_below = self._count_nominal(name)
        decision = gateway.tokens.take(name, clock)
        if decision is not None:
            self._decide(name, gateway, decision, is_below)
            return
        waiter = gateway.tokens.wait(name, clock, patience_s, lambda: None)
        if not isinstance(waiter, Waiter):
            self._decide(name, gateway, waiter, is_below)
            return
        life = gateway.life
        self._schedule(gateway, BATCH_S)
        self._poll(name, gateway, waiter, is_below, life)

    def _poll(self, name, gateway, waiter, is_below, life):
        if gateway.life is not life:
            return
        clock = gateway.read_clock(self.now)
        if waiter.decision is None and clock < waiter.until:
            self.at(self.now + 0.002, self._poll, name, gateway, waiter, is_below, life)
            return
        decision = gateway.tokens.give_up(name, waiter, clock)
        self._decide(name, gateway, decision, is_below)

    def _count_nominal(self, name):
        """Return whether the limit itself has room for one more request."""
        level, filled_at = self._nominal[name]
        account = self.accounts[name]
        gained = (self.now - filled_at) * account.rate_per_s
        level = min(account.burst, level + gained)
        is_below = level >= 1.0
        self._nominal[name] = (level - is_below, self.now)
        return is_below

    def _decide(self, name, gateway, decision, is_below):
        counts = self.counts[name]
        if not isinstance(decision, Granted):
            counts.refused += 1
            counts.refused_below_limit += is_below
            return
        delay_s = 0.001
        if self.rng.random() < self.late_sends:
            delay_s = self.rng.uniform(0, 6.0)
        self.at(self.now + delay_s, self._send, name, gateway, decision, gateway.life)

    def _send(self, name, gateway, decision, life):
        if gateway.life is not life:
            return
        if self._postpone(gateway, self._send, name, gateway, decision, life):
            return
        if self.has_permission(gateway, decision):
            arrives_at = self.now + self.rng.uniform(0, TRANSIT_S)
            bisect.insort(self.counts[name].arrivals, arrives_at)

    def has_permission(self, gateway, decision):
        """Return whether a request may still be sent."""
        return gateway.read_clock(self.now) < decision.expires_at

    def _postpone(self, gateway, call, *args):
        """Return whether a gateway is frozen; the call then runs after that."""
        if gateway.frozen_until > self.now:
            self.at(gateway.frozen_until, call, *args)
            return True
        return False

    # Messages

    def _top_up(self, gateway):
        self._ask(gateway)
        self.at(self.now + TOP_UP_INTERVAL_S, self._top_up, gateway)

    def _schedule(self, gateway, after_s):
        if not gateway.is_scheduled:
            gateway.is_scheduled = True
            self.at(self.now + after_s, self._ask_scheduled, gateway, gateway.life)

    def _ask_scheduled(self, gateway, life):
        if gateway.life is life:
            gateway.is_scheduled = False
            self._ask(gateway)

    def _ask(self, gateway):
        if gateway.is_asking or gateway.frozen_until > self.now:
            return
        asked_at = gateway.read_clock(self.now)
        request = gateway.tokens.make_request(asked_at)
        if request is None:
            return
        self.messages += 1
        gateway.is_asking = question = object()
        self.at(
            self.now + self._draw_latency(),
            self._charge,
            gateway,
            request,
            asked_at,
            question,
        )
        self.at(self.now + CALL_TIMEOUT_S, self._end_question, gateway, question)

    def _draw_latency(self):
        if self.rng.random() < self.loss:
            return self.rng.uniform(0, 8.0)
        return self.rng.uniform(*self.latency_s)

    def _charge(self, gateway, request, asked_at, question):
        if self.leader is None or gateway.cut_until > self.now:
            return
        reply = self.leader.decide(request, self.accounts, self.now)
        args = gateway, request, reply, asked_at, question, self.term
        self.at(self.now + self._draw_latency(), self._confirm, *args)

    def _confirm(self, gateway, request, reply, asked_at, question, term):
        # A leader that is replaced or cut off can't confirm its leadership.
        if term == self.term:
            args = gateway, request, reply, asked_at, question
            self.at(self.now + self._draw_latency(), self._apply, *args)

    def _apply(self, gateway, request, reply, asked_at, question):
        if gateway.cut_until > self.now or gateway.is_asking is not question:
            return
        if self._postpone(
            gateway, self._apply, gateway, request, reply, asked_at, question
        ):
            return
        clock = gateway.read_clock(self.now)
        gateway.tokens.apply_reply(request, reply, asked_at, clock)
        self._end_question(gateway, question)

    def _end_question(self, gateway, question):
        if gateway.is_asking is question:
            gateway.is_asking = False
            if gateway.tokens.has_waiters:
                self._schedule(gateway, REPEAT_S)

    # Checks

    def find_excess(self):
        """Return the largest number of requests beyond the bound of any window.

        The result is negative if each window has room. A lowered limit applies one
        window after its change, so the bound of a window is the greatest of those in
        force from one window before it until its end.
        """
        return max(
            self._find_excess(name, counts.arrivals)
            for name, counts in self.counts.items()
        )

    def _find_excess(self, name, arrivals):
        worst = float("-inf")
        for first, begin in enumerate(arrivals):
            end = begin + self.cfg.window_s
            count = bisect.bisect_right(arrivals, end) - first
            worst = max(
                worst, count - self._get_bound(name, begin - self.cfg.window_s, end)
            )
        return worst

    def _get_bound(self, name, begin, end):
        times = [time for time, _ in self.history]
        first = max(0, bisect.bisect_right(times, begin) - 1)
        last = bisect.bisect_right(times, end)
        return max(
            compute_bound(accounts[name], self.cfg)
            for _, accounts in self.history[first:last]
        )


def make_accounts(rng, count):
    """Return accounts of very uneven size with their usual rates.

    Limits are 1.6 times the usual rate; a burst is one second of it, but at least 2.
    """
    usual = {f"a{n}": rng.choice((0.05, 0.1, 0.3, 0.6, 1.0, 5.0)) for n in range(count)}
    accounts = {
        name: Account(rate_per_s=1.6 * rate, burst=max(2.0, 1.6 * rate))
        for name, rate in usual.items()
    }
    return accounts, usual
