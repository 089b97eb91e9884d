"""Guard against servers that are released wrongly and replies that mislead."""

import contextlib

import msgspec
import pytest
import trio
from emulation import SESSION, WARM, list_outcomes, start_bench, wait_until

from wisteriaworks.generated.emulator import FaultCommand
from wisteriaworks.generated.subqueries import SubqueryOutcome


async def test_release_finishes_accepted_work_and_lists_the_epoch(nursery):
    async with start_bench(nursery, **WARM) as bench:
        replies = []
        batch = bench.make_batch(count=10)
        async with trio.open_nursery() as calls:
            calls.start_soon(bench.holder.run_batch, batch, replies.append)
            await wait_until(lambda: bench.counters().received > 0)
            bench.holder.start_release(["s0"])
            refused = await bench.run()
        assert list_outcomes(replies) == {SubqueryOutcome.ANSWERED}
        assert list_outcomes(refused) == {SubqueryOutcome.NOT_HOLDER}
        await wait_until(bench.holder.take_released)
        (release,) = bench.holder.take_released()
        assert (release.server, release.epoch) == ("s0", 1)
        bench.apply()
        assert bench.holder.take_released() == (release,)
        assert bench.holder.collect_reports(full=True) == ()


async def test_server_held_again_is_cold_and_forgets_the_release(nursery):
    async with start_bench(nursery, **WARM) as bench:
        while not bench.holder._held["s0"].ramp.is_warm:
            await bench.run(count=20)
        bench.holder.start_release(["s0"])
        bench.apply(holder=SESSION + 1)
        bench.epoch += 1
        bench.apply()
        assert bench.holder._held["s0"].ramp.limit == 1
        assert list_outcomes(await bench.run()) == {SubqueryOutcome.ANSWERED}
        assert bench.holder.take_released() == ()


@pytest.mark.parametrize(("server", "epoch"), [("s0", 2), ("s9", 1)])
async def test_unknown_server_or_epoch_is_not_held(nursery, server, epoch):
    async with start_bench(nursery, **WARM) as bench:
        batch = bench.make_batch(server=server)
        items = [msgspec.structs.replace(item, epoch=epoch) for item in batch.items]
        batch = msgspec.structs.replace(batch, items=tuple(items))
        replies = []
        await bench.holder.run_batch(batch, replies.append)
        assert list_outcomes(replies) == {SubqueryOutcome.NOT_HOLDER}
        assert not replies[0].sent


async def test_hopeless_work_is_refused_before_it_is_sent(nursery):
    async with start_bench(nursery, **WARM) as bench:
        await bench.run(count=20)
        before = bench.counters().received
        (late,) = await bench.run(timeout_ms=0.5)
        assert (late.outcome, late.sent) == (SubqueryOutcome.TIMED_OUT, False)
        soon = await bench.run(count=25, timeout_ms=20.0)
        assert SubqueryOutcome.QUEUE_FULL in list_outcomes(soon)
        before = bench.counters().received
        replies = await bench.run(count=200)
        full = [r for r in replies if r.outcome is SubqueryOutcome.QUEUE_FULL]
        assert full
        assert not any(reply.sent for reply in full)
        assert bench.counters().received == before + 200 - len(full)


async def test_gone_snapshot_is_reported(nursery):
    async with start_bench(nursery, **WARM) as bench:
        bench.fault(FaultCommand.FORGET_SNAPSHOT, snapshot=1)
        (reply,) = await bench.run()
        assert reply.outcome is SubqueryOutcome.SNAPSHOT_GONE


async def test_reports_are_sent_only_when_they_change(nursery):
    async with start_bench(nursery, **WARM) as bench:
        await wait_until(lambda: bench.holder._held["s0"].status.snapshots)
        (report,) = bench.holder.collect_reports(full=False)
        assert report.incarnation == "s0#1"
        assert [held.snapshot for held in report.snapshots] == [1]
        assert bench.holder.collect_reports(full=False) == ()
        assert bench.holder.collect_reports(full=True) == (report,)


async def test_holder_closes_its_connections(nursery):
    async with contextlib.AsyncExitStack() as stack:
        bench = await stack.enter_async_context(start_bench(nursery, **WARM))
        await bench.run()
        await stack.aclose()
        served = bench.emulator.servers["s0"]
        await wait_until(lambda: not served._connections)
