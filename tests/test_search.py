"""Guard against answers that are wrong, late, or hide missing shards."""

import itertools
import os

import hypothesis
import pytest
import search_fakes as fakes
import trio
from hypothesis import strategies as st
from search_fakes import FakeReply

from wisteriaworks.budget import START_TOKENS
from wisteriaworks.errors import ErrorKind
from wisteriaworks.generated.subqueries import SubqueryOutcome as Outcome
from wisteriaworks.hedging import MIN_RESENDS_PER_REQUEST
from wisteriaworks.routing import pick_keyed_shard
from wisteriaworks.search import ANSWER_ALLOWANCE_S, SearchOutcome

SOAK = int(os.environ.get("WISTERIA_SOAK", "1"))
COMPLETE, PARTIAL = SearchOutcome.COMPLETE, SearchOutcome.PARTIAL
KEY = "CB1234AB"


@pytest.mark.parametrize(
    ("coverage", "expected"),
    [(0.75, PARTIAL), (0.8, ErrorKind.INSUFFICIENT_COVERAGE)],
)
async def test_partial_answer_comes_in_time(autojump_clock, coverage, expected):
    """A partial answer must meet the deadline and name the missing shards."""
    started = trio.current_time()
    _, answer = await fakes.run_search(
        lambda item, batch: None if item.shard == "spaces-s02" else FakeReply(),
        coverage=coverage,
    )
    assert answer.outcome is expected
    assert [m.shard for m in answer.coverage.missing] == ["spaces-s02"]
    assert trio.current_time() - started <= 0.2 - ANSWER_ALLOWANCE_S + 1e-9


@pytest.mark.parametrize(
    ("request_fields", "kind"),
    [
        ({"search": "none"}, ErrorKind.UNKNOWN_SEARCH),
        ({"search": "keyed"}, ErrorKind.MALFORMED_REQUEST),
        ({"timeout_s": 0.004}, ErrorKind.DEADLINE_PASSED),
        ({"view": fakes.make_view(snapshots=())}, ErrorKind.NO_SNAPSHOT),
    ],
)
async def test_unusable_request_sends_no_subquery(autojump_clock, request_fields, kind):
    peers, answer = await fakes.run_search(**request_fields)
    assert answer.outcome is kind
    assert not peers.received


async def test_same_key_is_sent_to_the_same_single_shard(autojump_clock):
    searches = [await fakes.run_search(search="keyed", key=KEY) for _ in range(3)]
    shards = [a.item.shard for peers, _ in searches for a in peers.received]
    assert (len(shards), len(set(shards))) == (3, 1)
    assert searches[0][1].coverage.total == 1


async def test_keyed_search_uses_a_snapshot_that_has_its_shard(autojump_clock):
    """A snapshot with higher coverage must not be used if it lacks the key's shard."""
    names = [f"spaces-s{number:02}" for number in range(4)]
    keyed = names.index(pick_keyed_shard(KEY, names))
    view = fakes.make_view(replicas=1)
    for number in range(4):
        server = f"spaces-{number}-0"
        reports = fakes.make_reports(server, 4, (1,) if number == keyed else (2,))
        view = fakes.change_route(view, server, snapshots=reports)
    _, answer = await fakes.run_search(view=view, search="keyed", key=KEY)
    assert (answer.outcome, answer.snapshot) == (COMPLETE, 1)


def _lose_first_snapshot(item, batch):
    """Lose snapshot 1 on one shard after the others have answered from it."""
    if batch.snapshot == 1 and item.shard == "spaces-s03":
        return FakeReply(Outcome.SNAPSHOT_GONE, delay_s=0.02)
    return FakeReply()


def _lose_both_snapshots(item, batch):
    reply = _lose_first_snapshot(item, batch)
    return None if batch.snapshot == 2 else reply


@pytest.mark.parametrize(
    ("script", "newer", "snapshot", "answered"),
    [
        (_lose_first_snapshot, fakes.make_view(snapshots=(1, 2)), 2, 4),
        # A repartition changes the number of shards.
        (_lose_first_snapshot, fakes.make_view(shards=6, snapshots=(2,)), 2, 6),
        (_lose_first_snapshot, fakes.make_view(snapshots=(1,)), 1, 3),
        (_lose_first_snapshot, fakes.make_view(snapshots=(0,)), 1, 3),
        # A restart with a lower coverage does not replace the first answer.
        (_lose_both_snapshots, fakes.make_view(snapshots=(1, 2)), 1, 3),
    ],
)
async def test_repartition_during_a_search(
    autojump_clock, script, newer, snapshot, answered
):
    """Replies from before and after a restart must not be merged."""
    _, answer = await fakes.run_search(script, newer=newer)
    assert (answer.snapshot, answer.coverage.answered) == (snapshot, answered)


async def test_restarts_only_once(autojump_clock):
    """Snapshots that disappear one after another must not cause endless restarts."""
    views = (fakes.make_view(snapshots=(number,)) for number in range(2, 9))
    peers = fakes.FakePeers(lambda item, batch: FakeReply(Outcome.SNAPSHOT_GONE))
    runner = fakes.make_runner(peers, views.__next__)
    answer = await runner.run(fakes.make_view(), fakes.make_request())
    assert {received.batch.snapshot for received in peers.received} == {1, 2}
    assert {m.reason for m in answer.coverage.missing} == {"snapshot_gone"}
    # Only the first run adds tokens for hedges.
    deposited = runner._shared.hedge_budget._tokens - START_TOKENS
    # At the default hedge ratio of 0.05.
    assert deposited == pytest.approx(4 * 0.05)


async def test_overlapping_requests_get_their_own_answers(autojump_clock):
    """Replies of many requests arrive out of order and must not be mixed up."""

    def script(item, batch):
        number = int(batch.request_id.split("-")[1])
        text = b'[{"id": "%s", "score": %d}]' % (item.shard.encode(), number)
        return FakeReply(delay_s=0.001 * ((number * 37) % 29 + 1), results=text)

    view = fakes.make_view()
    runner = fakes.make_runner(fakes.FakePeers(script), lambda: view)
    answers = {}

    async def run(number):
        answers[number] = await runner.run(view, fakes.make_request(number=number))

    async with trio.open_nursery() as nursery:
        for number in range(40):
            nursery.start_soon(run, number)
    for number, answer in answers.items():
        assert [hit.score for hit in answer.hits] == [float(number)] * 4


_REPLIES = st.one_of(
    st.just(FakeReply()),
    st.none(),
    st.builds(
        FakeReply,
        outcome=st.sampled_from(Outcome),
        delay_s=st.integers(1, 190).map(lambda n: n * 0.001003),
        copies=st.integers(1, 3),
        snapshot=st.sampled_from([None, None, None, 1, 2, 7]),
        breaks=st.booleans(),
        sent=st.booleans(),
    ),
)


@hypothesis.settings(derandomize=True, max_examples=150 * SOAK, deadline=None)
@hypothesis.given(
    replies=st.lists(_REPLIES, min_size=1, max_size=25),
    sizes=st.tuples(*[st.integers(1, n) for n in (6, 3, 4)]),
    seed=st.integers(0, 9),
)
def test_random_faults_never_make_an_answer_wrong(replies, sizes, seed):
    """Coverage and snapshot must match the replies that the holders delivered."""
    shards, replicas, holders = sizes
    view = fakes.make_view(shards, replicas, (1,), holders)
    newer = fakes.make_view(shards, replicas, (1, 2), holders)

    async def search():
        script = itertools.cycle(replies)
        peers = fakes.FakePeers(lambda item, batch: next(script))
        runner = fakes.make_runner(peers, lambda: newer, seed)
        received = 0
        for number in range(3):
            peers.received, peers.answers = [], []
            answer = await runner.run(view, fakes.make_request(number=number))
            fakes.check_answer(peers, answer)
            assert answer.coverage.total == shards
            received += len(peers.received)
        # Tokens of both budgets at the default hedge and retry ratios.
        deposited = 3 * shards * (0.05 + 0.1)
        # Primaries and resends of the first runs and the restarts.
        max_without_tokens = (
            3 * 2 * (shards + max(MIN_RESENDS_PER_REQUEST, shards // 2))
        )
        assert received <= max_without_tokens + 2 * START_TOKENS + deposited

    trio.run(search, clock=trio.testing.MockClock(autojump_threshold=0))
