"""Guard against buckets, lifetimes and extensions that allow more than a limit."""

import random

import pytest

from wisteriaworks.generated.document import Account
from wisteriaworks.generated.messages import QuotaReply, RequestQuota
from wisteriaworks.generated.settings import QuotaSettings
from wisteriaworks.quotas.allowance import (
    MAX_DELAY_S,
    TRANSIT_S,
    Allowance,
    compute_allowance,
    compute_bound,
)
from wisteriaworks.quotas.bucket import Bucket
from wisteriaworks.quotas.leader import LeaderQuotas
from wisteriaworks.quotas.tokens import GatewayTokens, Granted, OverLimit, Waiter

ACCOUNTS = {"a": Account(rate_per_s=8.0, burst=8.0), "free": Account()}


@pytest.mark.parametrize("slack", [0.0, 20.0])
@pytest.mark.parametrize("overage", [0.0, 0.1])
@pytest.mark.parametrize("rate", [0.01, 0.08, 1.0, 8.0, 100.0, 1e5])
@pytest.mark.parametrize("burst", [0.0, 1.0, 50.0])
def test_allowance_keeps_the_bound(rate, burst, overage, slack):
    cfg = QuotaSettings(overage=overage, slack=slack)
    account = Account(rate_per_s=rate, burst=burst)
    allowance = compute_allowance(account, cfg)
    span_s = cfg.window_s + allowance.lifetime_s + MAX_DELAY_S + TRANSIT_S
    used = allowance.rate_per_s * span_s + allowance.burst
    assert used <= compute_bound(account, cfg) * (1 + 1e-9)
    # Permissions of a former limit end within one window after a change.
    assert allowance.lifetime_s + MAX_DELAY_S + TRANSIT_S <= cfg.window_s


@pytest.mark.parametrize("seed", range(20))
def test_charges_conform_after_extensions(seed):
    """A refund that is counted twice would allow more than the burst."""
    rng = random.Random(seed)
    rate, burst = 3.0, 6.0
    bucket, now, charges = Bucket(Allowance(rate, burst, 4.0), 0.0), 0.0, []
    for _ in range(400):
        now += rng.expovariate(4.0)
        old = [at for at in charges if now - at < 4.0]
        if old and rng.random() < 0.5:
            at = rng.choice(old)
            count = bucket.extend(int(at * 1000), old.count(at), now)
            for _ in range(count):
                charges.remove(at)
            charges += [now] * count
        else:
            charges += [now] * bucket.take(rng.randrange(3), rng.randrange(4), now)
    # A slot's charges are interchangeable, so their times are known to 50 ms.
    for first, begin in enumerate(charges := sorted(charges)):
        for last, end in enumerate(charges[first:], 1):
            assert last <= burst + rate * (end - begin + 0.1) + 1e-6


def make_request(waiting, **fields):
    return RequestQuota("g", ("a",), (waiting,), (0,), **fields)


def test_leader_denies_beyond_the_bucket_and_says_when():
    leader = LeaderQuotas(QuotaSettings(), 1, 100.0)
    reply = leader.decide(make_request(99), ACCOUNTS, 200.0)
    assert reply.granted == (8,)
    assert 0 < reply.retry_after_ms[0] <= 125
    assert leader.decide(make_request(1), ACCOUNTS, 200.0).granted == (0,)


@pytest.mark.parametrize("name, granted", [("free", 3), ("gone", 0)])
def test_accounts_without_a_limit_or_not_in_the_configuration(name, granted):
    leader = LeaderQuotas(QuotaSettings(), 1, 0.0)
    request = RequestQuota("g", (name,), (3,), (2,))
    assert leader.decide(request, ACCOUNTS, 9.0).granted == (granted,)


@pytest.mark.parametrize(
    "term, delay_ms, extended", [(1, 0, 2), (2, 0, 0), (1, 101, 0)]
)
def test_late_question_and_former_term_extend_nothing(term, delay_ms, extended):
    """Permissions may have been used since, so their charge must stay where it is."""
    leader = LeaderQuotas(QuotaSettings(), 1, 0.0)
    first = leader.decide(make_request(2), ACCOUNTS, 5.0)
    request = make_request(
        0,
        term=term,
        clock_ms=7000 - delay_ms,
        renewals=((0, first.decided_at_ms, 2),),
    )
    assert leader.decide(request, ACCOUNTS, 7.0).renewed == (extended,)


def make_reply(granted=0, retry_ms=0, lifetime_ms=2000, **fields):
    return QuotaReply((granted,), (lifetime_ms,), (retry_ms,), 1, 0, **fields)


def ask(tokens, now=0.0, **fields):
    """Let a request wait, and apply a reply to the question of the gateway."""
    assert tokens.take("a", now) is None
    waiter = tokens.wait("a", now, 0.1, lambda: None)
    request = tokens.make_request(now)
    tokens.apply_reply(request, make_reply(**fields), now, now + 0.05)
    return waiter


def test_permission_ends_after_its_question_not_its_reply():
    """A reply that arrives late would otherwise extend the lifetime."""
    tokens = GatewayTokens("g", 0.0)
    assert ask(tokens, granted=3).decision == Granted(2.0)
    assert tokens.take("a", 1.8) == Granted(2.0)
    # After a pause of the process, the last permission has ended.
    assert tokens.take("a", 2.0) is None


@pytest.mark.parametrize("retry_ms, expected", [(20, None), (500, OverLimit(0.5))])
def test_denied_request_waits_only_if_it_has_the_time(retry_ms, expected):
    assert ask(GatewayTokens("g", 0.0), retry_ms=retry_ms).decision == expected


def test_known_denial_is_answered_without_a_question():
    """An account over its limit must not cost a message for each request."""
    tokens = GatewayTokens("g", 0.0)
    ask(tokens, retry_ms=500)
    assert tokens.take("a", 0.1) is None
    assert isinstance(tokens.wait("a", 0.1, 0.1, lambda: None), OverLimit)
    assert tokens.make_request(0.1) is None


def test_permissions_are_kept_when_an_extension_is_not_answered():
    """A change of leader must not cost the permissions that it interrupts."""
    tokens = GatewayTokens("g", 0.0)
    ask(tokens, granted=3)
    assert tokens.make_request(1.0).renewals == ((0, 0, 2),)
    assert tokens.count_permissions(1.0) == 2
    # The leader may have moved their charge, and would now move that of others.
    assert tokens.make_request(1.1).renewals == ()


def test_used_permissions_are_not_extended():
    tokens = GatewayTokens("g", 0.0)
    ask(tokens, granted=3)
    request = tokens.make_request(1.0)
    assert tokens.take("a", 1.0) == Granted(2.0)
    tokens.apply_reply(request, make_reply(renewed=(2,)), 1.0, 1.1)
    assert tokens.take("a", 2.5) == Granted(3.0)
    assert tokens.take("a", 2.5) is None


def test_extension_of_two_batches_with_one_charge_loses_none():
    """The second batch was charged for nothing."""
    tokens = GatewayTokens("g", 0.0)
    ask(tokens, granted=3)
    request = tokens.make_request(1.0)
    # One reply extends two permissions and grants one, all charged at the same time.
    tokens.apply_reply(request, make_reply(granted=1, renewed=(2,)), 1.0, 1.1)
    held = tokens.count_permissions(1.1)
    request = tokens.make_request(2.0)
    renewed = tuple(count for *_, count in request.renewals)
    tokens.apply_reply(request, make_reply(renewed=renewed), 2.0, 2.1)
    assert tokens.count_permissions(2.1) == held


def test_waiter_that_gives_up_takes_no_permission():
    tokens = GatewayTokens("g", 0.0)
    tokens.take("a", 0.0)
    waiter = tokens.wait("a", 0.0, 0.1, lambda: None)
    assert isinstance(waiter, Waiter)
    request = tokens.make_request(0.0)
    tokens.give_up("a", waiter, 0.1)
    tokens.apply_reply(request, make_reply(granted=1), 0.0, 0.2)
    assert tokens.count_permissions(0.2) == 1
