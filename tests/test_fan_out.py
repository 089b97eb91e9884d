"""Guard against lost shards, and against extra load that grows with faults."""

import functools

import msgspec
import pytest
import search_fakes as fakes
import trio
from search_fakes import FakeReply

from wisteriaworks.attempts import AttemptKind, AttemptOutcome
from wisteriaworks.budget import START_TOKENS
from wisteriaworks.fan_out import HOP_ALLOWANCE_S
from wisteriaworks.generated.document import Limits
from wisteriaworks.generated.subqueries import SubqueryOutcome as Outcome
from wisteriaworks.hedging import MIN_RESENDS_PER_REQUEST, SAME_SERVER_DELAY_S
from wisteriaworks.latency import START_S
from wisteriaworks.search import ANSWER_ALLOWANCE_S, SearchOutcome

COMPLETE, PARTIAL = SearchOutcome.COMPLETE, SearchOutcome.PARTIAL
RETRY, RESEND = AttemptKind.RETRY, AttemptKind.RESEND
REFUSAL_NAMES = "NOT_HOLDER DRAINING SHED COLD QUEUE_FULL DOMAIN_OUT FENCED"
REFUSAL_REPLIES = tuple(
    FakeReply(Outcome[name], sent=False) for name in REFUSAL_NAMES.split()
)
_view = functools.partial(fakes.make_view, holders=8)


def _make_view_without(server, **sizes):
    return fakes.change_route(_view(**sizes), server, holder=0)


def _count(answer, kind):
    return sum(record.kind is kind for record in answer.records)


def _on_shard(*replies):
    """Return a script for the attempts at one shard; other shards answer."""
    remaining = iter(replies)
    return lambda item, batch: (
        next(remaining) if item.shard == "spaces-s01" else FakeReply()
    )


async def _run_many(script, view, count, pause_s=0.0):
    peers = fakes.FakePeers(script)
    runner = fakes.make_runner(peers, lambda: view)
    answers = []
    for _ in range(count):
        answers.append(await runner.run(view, fakes.make_request()))
        await trio.sleep(pause_s)
    return peers, answers


async def test_one_batch_per_holder_with_deadline(autojump_clock):
    """Each message costs processor time, and holders must stop before the deadline."""
    peers, _ = await fakes.run_search(view=fakes.make_view(shards=8, holders=3))
    batches = {
        (received.holder, received.batch.batch_id) for received in peers.received
    }
    assert len(batches) == len({holder for holder, _ in batches})
    expected = (0.2 - ANSWER_ALLOWANCE_S - HOP_ALLOWANCE_S) * 1000
    for received in peers.received:
        assert received.batch.timeout_ms == pytest.approx(expected)
        assert received.batch.idempotent


@pytest.mark.parametrize("replicas", [1, 2])
@pytest.mark.parametrize(
    ("reply", "kind"),
    [
        (FakeReply(Outcome.FAILED), RETRY),
        (FakeReply(results=b"[{"), RETRY),
        (FakeReply(snapshot=7), RETRY),
        (FakeReply(breaks=True), RETRY),
        (FakeReply(breaks=True, sent=False), RESEND),
        (FakeReply(Outcome.FAILED, sent=False), RESEND),
        *((reply, RESEND) for reply in REFUSAL_REPLIES),
    ],
)
async def test_failure_is_repeated(autojump_clock, reply, kind, replicas):
    """A fault must not lose a shard; refusals must not use the retry budget."""
    view = _view(replicas=replicas)
    peers, answer = await fakes.run_search(_on_shard(reply, FakeReply()), view)
    first, *others = (a for a in peers.received if a.item.shard == "spaces-s01")
    final = {Outcome.NOT_HOLDER, Outcome.DRAINING, Outcome.DOMAIN_OUT, Outcome.FENCED}
    if replicas == 1 and reply.outcome in final:
        assert answer.coverage.missing[0].reason == reply.outcome.value
        assert not others
        return
    assert answer.outcome is COMPLETE
    assert (_count(answer, kind), len(others)) == (1, 1)
    assert (others[0].item.server == first.item.server) == (replicas == 1)
    pause_s = SAME_SERVER_DELAY_S if replicas == 1 else 0.0
    assert others[0].at - first.at == pytest.approx(reply.delay_s + pause_s)


_TOO_LATE_DELAY_S = 0.2 - ANSWER_ALLOWANCE_S - HOP_ALLOWANCE_S / 2
_LATE_FAILURE = FakeReply(Outcome.FAILED, delay_s=0.06)
_TOO_LATE_FAILURE = FakeReply(breaks=True, sent=False, delay_s=_TOO_LATE_DELAY_S)
# Script, view, expected attempts, and the reason why a shard is missing.
FAULTS = {
    "all lost": (lambda item, batch: FakeReply(breaks=True), _view(), 12, "broken"),
    "no replica": (None, _make_view_without("spaces-2-0", replicas=1), 3, "no_replica"),
    # REFUSAL_REPLIES[2] is SHED.
    "busy for long": (
        _on_shard(*[REFUSAL_REPLIES[2]] * 9),
        _view(replicas=1),
        6,
        "shed",
    ),
    # The hedge already is a second attempt; a third one would only add load.
    "hedge": (
        _on_shard(_LATE_FAILURE, FakeReply(delay_s=0.03)),
        _view(replicas=3),
        5,
        None,
    ),
    "no time": (
        _on_shard(_TOO_LATE_FAILURE, FakeReply()),
        _make_view_without("spaces-1-1"),
        4,
        "not_sent",
    ),
}


@pytest.mark.parametrize("name", FAULTS)
async def test_faults_cost_few_attempts(autojump_clock, name):
    """Faults must cost few attempts, and answers must name the missing shards."""
    script, view, received, reason = FAULTS[name]
    peers, answer = await fakes.run_search(script, view)
    assert answer.outcome is (PARTIAL if reason else COMPLETE)
    assert {e.reason for e in answer.coverage.missing} == {reason} - {None}
    assert len(peers.received) == received


async def test_duplicate_in_an_open_batch_counts_once(autojump_clock):
    """A duplicate reply in an unfinished batch must not be merged again."""
    _, answer = await fakes.run_search(
        lambda item, batch: FakeReply(copies=3, delay_s=0.01 * item.attempt),
        fakes.make_view(holders=1),
    )
    assert (answer.outcome, len(answer.hits)) == (COMPLETE, 4)


async def test_lost_holder_is_replaced_in_one_batch_per_holder(autojump_clock):
    peers, answer = await fakes.run_search(
        lambda item, batch: FakeReply(breaks=item.server.endswith("-0")),
        fakes.make_view(12, holders=2),
    )
    assert answer.outcome is COMPLETE
    assert len({received.batch.batch_id for received in peers.received}) == 3


async def test_straggler_is_hedged_and_the_loser_cancelled(autojump_clock):
    """One slow server must not delay the entire answer."""
    started = trio.current_time()
    script = _on_shard(FakeReply(delay_s=0.19), FakeReply())
    _, answer = await fakes.run_search(script, fakes.make_view(holders=1))
    assert (answer.outcome, _count(answer, AttemptKind.HEDGE)) == (COMPLETE, 1)
    assert trio.current_time() - started == pytest.approx(START_S + 0.01)
    assert AttemptOutcome.LOST_RACE in {r.outcome for r in answer.records}


async def test_late_reply_of_a_loser_is_dropped(autojump_clock):
    """A late reply in a batch with pending attempts must not be merged."""
    # Attempts 1 and 2 are primaries, 3 and 4 their hedges from 0.05 s on.
    delays = {1: 0.07, 2: 0.1, 3: 0.01, 4: 0.9}
    peers, answer = await fakes.run_search(
        lambda item, batch: FakeReply(delay_s=delays[item.attempt]),
        fakes.make_view(shards=2, holders=1),
    )
    assert (answer.outcome, len(peers.answers)) == (COMPLETE, 3)
    assert [len(attempts) for attempts in peers.cancelled] == [1]


async def test_late_reply_after_the_deadline_is_dropped(autojump_clock):
    """A cancelled stream may still deliver a reply, which must not be merged."""

    class Late(fakes.FakePeers):
        async def _replay(self, batch, events, deadline):
            with trio.CancelScope(shield=True):
                await trio.sleep_until(deadline + 0.01)
            for _, reply in events:
                yield reply

    _, answer = await fakes.run_search(peers=Late())
    assert (answer.outcome, answer.hits) == (PARTIAL, ())


async def test_hedge_waits_for_a_token_and_the_loser_is_cancelled(autojump_clock):
    """A hedge that was refused for lack of tokens must be tried again."""
    view = _view(shards=2)
    delays = iter((0.19, 0.1, 0.01))
    peers = fakes.FakePeers(lambda item, batch: FakeReply(delay_s=next(delays)))
    runner = fakes.make_runner(peers, lambda: view)
    runner._shared.hedge_budget._tokens = 0.0
    answers = []

    async def run():
        answers.append(await runner.run(view, fakes.make_request()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        await trio.sleep(START_S + 0.001)
        assert len(peers.received) == 2
        runner._shared.hedge_budget.deposit(1, 1.0)
        await trio.sleep(START_S / 2 + 0.012)
        # Only the other shard's stream is still open.
        assert (len(peers.received), peers.open) == (3, 1)
    assert answers[0].outcome is COMPLETE


@pytest.mark.parametrize(
    ("ratio", "hedges"), [(0.0, START_TOKENS), (0.01, START_TOKENS + 1), (0.05, 12)]
)
async def test_hedges_stay_in_their_budget(autojump_clock, ratio, hedges):
    """Late replies must not cause more hedges than the token budget allows."""
    late = {f"spaces-s{number:02}" for number in range(12)}
    limits = Limits(hedge_ratio=ratio)
    view = fakes.change_document(_view(shards=120), limits=limits)
    peers, answer = await fakes.run_search(
        lambda item, batch: FakeReply(delay_s=0.08 if item.shard in late else 0.01),
        view,
    )
    assert answer.outcome is COMPLETE
    assert len(peers.received) == 120 + hedges


async def test_sudden_slowdown_of_all_shards_is_not_hedged(autojump_clock):
    """Hedges would wait in the same queues and only add load."""
    peers, answer = await fakes.run_search(
        lambda item, batch: FakeReply(delay_s=0.08), _view(shards=40)
    )
    assert answer.outcome is COMPLETE
    assert len(peers.received) == 40


async def test_busy_server_passes_a_sub_query_on_before_it_queues(autojump_clock):
    """Queueing at one replica while another is free raises the tail latency."""
    busy = FakeReply(Outcome.BUSY, delay_s=0.001, sent=False)
    peers, answer = await fakes.run_search(
        _on_shard(busy, FakeReply()), _view(shards=3)
    )
    received = [a.item for a in peers.received if a.item.shard == "spaces-s01"]
    assert answer.outcome is COMPLETE
    assert [item.may_queue for item in received] == [False, True]
    assert len({item.server for item in received}) == 2


async def test_busy_server_may_still_be_hedged_to(autojump_clock):
    """A busy server ran nothing, so a later hedge may be sent to it."""
    busy = FakeReply(Outcome.BUSY, delay_s=0.001, sent=False)
    script = _on_shard(busy, FakeReply(delay_s=0.15), FakeReply())
    peers, answer = await fakes.run_search(script, _view(shards=3))
    received = [a.item.server for a in peers.received if a.item.shard == "spaces-s01"]
    assert answer.outcome is COMPLETE
    assert received[0] == received[2] != received[1]


@pytest.mark.parametrize(
    "reply",
    [FakeReply(breaks=True), FakeReply(Outcome.FAILED), FakeReply(snapshot=7), None],
)
async def test_retries_stay_in_their_budget_in_an_outage(autojump_clock, reply):
    """Retries that grow with the failures would prolong an outage."""
    peers, _ = await _run_many(lambda item, batch: reply, _view(shards=10), 30)
    # Tokens of both budgets at the default retry and hedge ratios.
    assert len(peers.received) <= 300 + 2 * START_TOKENS + (0.1 + 0.05) * 300


@pytest.mark.parametrize("reply", REFUSAL_REPLIES)
async def test_resends_are_bounded_in_an_outage(autojump_clock, reply):
    peers, answer = await fakes.run_search(lambda item, batch: reply, _view(shards=10))
    assert answer.coverage.answered == 0
    # Half of the ten shards may be resent.
    assert len(peers.received) <= 10 + max(MIN_RESENDS_PER_REQUEST, 5)


async def test_domain_out_at_the_holders_keeps_coverage(autojump_clock):
    """Holders may know earlier than this entry that a domain was taken out."""

    def script(item, batch):
        # REFUSAL_REPLIES[5] is DOMAIN_OUT.
        return REFUSAL_REPLIES[5] if item.server.endswith("-0") else FakeReply()

    _, answers = await _run_many(script, _view(shards=8), 4)
    assert {answer.outcome for answer in answers} == {COMPLETE}
    # Ejection keeps later requests away from the domain.
    assert len(answers[-1].records) == 8


async def test_slow_server_is_ejected(autojump_clock):
    """A server that always loses to its hedge must not stay the first choice."""
    slow = "spaces-1-0"

    def script(item, batch):
        return FakeReply(delay_s=0.19 if item.server == slow else 0.01)

    peers, _ = await _run_many(script, _view(shards=2), 40, pause_s=0.3)
    # Three bad replies, then probes at growing intervals.
    assert 4 <= peers.count(slow) <= 7


async def test_answer_over_the_size_limit_is_cut(autojump_clock):
    view = fakes.change_document(_view(), limits=Limits(max_answer_bytes=1024))
    big = msgspec.json.encode([{"id": "a", "score": 1, "fields": "x" * 600}])
    peers = fakes.FakePeers(_on_shard(FakeReply(results=big)))
    runner = fakes.make_runner(peers, lambda: view)
    answer = await runner.run(view, fakes.make_request())
    assert [m.reason for m in answer.coverage.missing] == ["answer_too_large"]
    assert answer.outcome is PARTIAL
