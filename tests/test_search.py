"""Guard against answers that are wrong, late, or silent about what is missing."""

import itertools
import os

import hypothesis
import pytest
import search_fakes as fakes
import trio
from hypothesis import strategies as st
from search_fakes import Act

from wisteriaworks.budget import START_TOKENS
from wisteriaworks.errors import ErrorKind
from wisteriaworks.generated.subqueries import SubqueryOutcome as Outcome
from wisteriaworks.hedging import RESENDS_PER_REQUEST
from wisteriaworks.routing import pick_keyed_shard
from wisteriaworks.search import ANSWER_ALLOWANCE_S, SearchOutcome

SOAK = int(os.environ.get("WISTERIA_SOAK", "1"))


async def test_all_shards_answer(autojump_clock):
    peers, answer = await fakes.run_search(lambda item, batch, count: Act())
    assert answer.outcome is SearchOutcome.COMPLETE
    assert [hit.index for hit in answer.hits] == ["spaces"] * 4
    assert len(peers.asked) == 4


async def test_partial_answer_comes_before_the_deadline(autojump_clock):
    """A caller must get what is there, and be told what is not."""
    started = trio.current_time()
    _, answer = await fakes.run_search(
        lambda item, batch, count: None if item.shard == "spaces-s02" else Act()
    )
    assert answer.outcome is SearchOutcome.PARTIAL
    assert answer.coverage.answered == 3
    assert [entry.shard for entry in answer.coverage.missing] == ["spaces-s02"]
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
async def test_refused_without_asking(autojump_clock, request_fields, kind):
    peers, answer = await fakes.run_search(None, **request_fields)
    assert answer.outcome is kind
    assert not peers.asked


@pytest.mark.parametrize(
    ("coverage", "expected"),
    [(0.75, SearchOutcome.PARTIAL), (0.8, ErrorKind.INSUFFICIENT_COVERAGE)],
)
async def test_minimum_coverage(autojump_clock, coverage, expected):
    _, answer = await fakes.run_search(
        lambda item, batch, count: None if item.shard == "spaces-s02" else Act(),
        coverage=coverage,
    )
    assert answer.outcome is expected
    assert len(answer.hits) == 3


async def test_same_key_asks_the_same_single_shard(autojump_clock):
    shards = set()
    for _ in range(3):
        peers, answer = await fakes.run_search(
            lambda item, batch, count: Act(), search="keyed", key="CB1234AB"
        )
        assert answer.coverage.total == 1
        shards |= {asked.shard for asked in peers.asked}
    assert len(shards) == 1


async def test_keyed_search_uses_a_snapshot_that_has_its_shard(autojump_clock):
    """Other shards' coverage must not cost the one shard that is asked for."""
    key, names = "CB1234AB", [f"spaces-s{number:02}" for number in range(4)]
    asked = names.index(pick_keyed_shard(key, names))
    view = fakes.make_view(replicas=1)
    for number in range(4):
        server = f"spaces-{number}-0"
        reports = fakes.make_reports(server, 4, (1,) if number == asked else (2,))
        view = fakes.change_route(view, server, snapshots=reports)
    _, answer = await fakes.run_search(
        lambda item, batch, count: Act(), view, search="keyed", key=key
    )
    assert (answer.outcome, answer.snapshot) == (SearchOutcome.COMPLETE, 1)


def _gone_after_first(item, batch, count):
    """Lose snapshot 1 on one shard while the others have answered from it."""
    if batch.snapshot == 1 and item.shard == "spaces-s03":
        return Act(Outcome.SNAPSHOT_GONE, delay_s=0.02)
    return Act()


@pytest.mark.parametrize(
    ("newer_view", "snapshot", "outcome"),
    [
        (fakes.make_view(snapshots=(1, 2)), 2, SearchOutcome.COMPLETE),
        # A repartition changes the number of shards.
        (fakes.make_view(shards=6, snapshots=(2,)), 2, SearchOutcome.COMPLETE),
        (fakes.make_view(snapshots=(1,)), 1, SearchOutcome.PARTIAL),
        (fakes.make_view(snapshots=(0,)), 1, SearchOutcome.PARTIAL),
    ],
)
async def test_repartition_half_way(autojump_clock, newer_view, snapshot, outcome):
    """Replies from before a restart must not be merged with those after it."""
    view = fakes.make_view()
    peers = fakes.FakePeers(_gone_after_first)
    runner = fakes.make_runner(peers, newer_view)
    answer = await runner.run(view, fakes.make_request())
    fakes.check_answer(peers, answer)
    assert (answer.snapshot, answer.outcome) == (snapshot, outcome)


async def test_restarts_only_once(autojump_clock):
    """Snapshots that vanish one after the other must not restart for ever."""
    views = [fakes.make_view(snapshots=(number,)) for number in range(2, 9)]
    peers = fakes.FakePeers(lambda item, batch, count: Act(Outcome.SNAPSHOT_GONE))
    runner = fakes.make_runner(peers, lambda: views.pop(0))
    answer = await runner.run(fakes.make_view(), fakes.make_request())
    assert {asked.snapshot for asked in peers.asked} == {1, 2}
    assert answer.coverage.answered == 0
    assert {entry.reason for entry in answer.coverage.missing} == {"snapshot_gone"}


async def test_restart_with_lower_coverage_loses_to_the_first_start(autojump_clock):
    def script(item, batch, count):
        return (
            Act(delay_s=9) if batch.snapshot == 2 else _gone_after_first(item, batch, 0)
        )

    peers = fakes.FakePeers(script)
    runner = fakes.make_runner(peers, fakes.make_view(snapshots=(1, 2)))
    answer = await runner.run(fakes.make_view(), fakes.make_request())
    fakes.check_answer(peers, answer)
    assert (answer.snapshot, answer.coverage.answered) == (1, 3)


async def test_overlapping_requests_get_their_own_answers(autojump_clock):
    """Replies of many requests arrive out of order and must not be mixed up."""
    view = fakes.make_view()

    def script(item, batch, count):
        number = int(batch.request_id.split("-")[1])
        text = b'[{"id": "%s", "score": %d}]' % (item.shard.encode(), number)
        return Act(delay_s=0.001 * ((number * 37) % 29 + 1), results=text)

    peers = fakes.FakePeers(script)
    runner = fakes.make_runner(peers, view)
    answers = {}

    async def run(number):
        answers[number] = await runner.run(view, fakes.make_request(number=number))

    async with trio.open_nursery() as nursery:
        for number in range(40):
            nursery.start_soon(run, number)
    for number, answer in answers.items():
        assert answer.outcome is SearchOutcome.COMPLETE
        assert {hit.score for hit in answer.hits} == {float(number)}
    assert len({asked.batch_id for asked in peers.asked}) >= 40 * 2


_ACTS = st.one_of(
    st.just(Act()),
    st.none(),
    st.builds(
        Act,
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
    acts=st.lists(_ACTS, min_size=1, max_size=25),
    sizes=st.tuples(*[st.integers(1, n) for n in (6, 3, 4)]),
    seed=st.integers(0, 9),
)
def test_random_faults_never_make_an_answer_untrue(acts, sizes, seed):
    """Coverage and snapshot must agree with what the holders really delivered."""
    shards, replicas, holders = sizes
    views = [
        fakes.make_view(shards, replicas, snapshots, holders)
        for snapshots in ((1,), (1, 2))
    ]

    async def search():
        script = itertools.cycle(acts)
        peers = fakes.FakePeers(lambda item, batch, count: next(script))
        runner = fakes.make_runner(peers, views[1], seed)
        asked = 0
        for number in range(3):
            peers.asked, peers.answers = [], []
            answer = await runner.run(views[0], fakes.make_request(number=number))
            fakes.check_answer(peers, answer)
            assert answer.coverage.total == shards
            asked += len(peers.asked)
        earned = 3 * shards * (0.05 + 0.1)
        starts = 3 * 2 * (shards + max(RESENDS_PER_REQUEST, shards // 2))
        assert asked <= starts + 2 * START_TOKENS + earned

    trio.run(search, clock=trio.testing.MockClock(autojump_threshold=0))
