"""Guard against answers that are wrong, late, or silent about what is missing."""

import search_fakes as fakes

from wisteriaworks.search import OnceOutcome, SearchOutcome


async def test_all_shards_answer(autojump_clock):
    view = fakes.make_view(shards=5)
    peers = fakes.FakePeers(lambda item, batch, count: fakes.Act())
    answer = await fakes.make_runner(peers, view).run(view, fakes.make_request())
    assert answer.outcome is SearchOutcome.COMPLETE
    assert len(answer.hits) == 5
    assert len(peers.asked) == 5


async def test_once(autojump_clock):
    view = fakes.make_view(shards=5)
    peers = fakes.FakePeers(lambda item, batch, count: fakes.Act())
    request = fakes.make_request(search="keyed", key="a")
    result = await fakes.make_runner(peers, view).run_once(view, request)
    assert result.outcome is OnceOutcome.DONE
    assert [asked.idempotent for asked in peers.asked] == [False]
