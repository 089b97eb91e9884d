"""Guard against releases that drop accepted work or are not reported.

Also guards against wrong outcomes of refused work.
"""

import contextlib

import msgspec
import pytest
import trio
from emulation import SESSION, WARM, list_outcomes, start_harness, wait_until

from wisteriaworks.generated.emulator import FaultCommand
from wisteriaworks.generated.subqueries import SubqueryOutcome


async def test_release_finishes_accepted_work_and_lists_the_epoch(nursery):
    async with start_harness(nursery, **WARM) as harness:
        replies = []
        batch = harness.make_batch(count=10)
        async with trio.open_nursery() as calls:
            calls.start_soon(harness.holder.run_batch, batch, replies.append)
            await wait_until(lambda: harness.counters().received > 0)
            harness.holder.start_release(["s0"])
            refused = await harness.run()
        assert list_outcomes(replies) == {SubqueryOutcome.ANSWERED}
        assert list_outcomes(refused) == {SubqueryOutcome.NOT_HOLDER}
        await wait_until(harness.holder.list_released)
        (release,) = harness.holder.list_released()
        assert (release.server, release.epoch) == ("s0", 1)
        harness.apply()
        assert harness.holder.list_released() == (release,)
        assert harness.holder.collect_reports(full=True) == ()


async def test_server_held_again_restarts_its_ramp_and_is_not_listed_as_released(
    nursery,
):
    async with start_harness(nursery, **WARM) as harness:
        while not harness.holder._held["s0"].ramp.is_warm:
            await harness.run(count=20)
        harness.holder.start_release(["s0"])
        harness.apply(holder=SESSION + 1)
        harness.epoch += 1
        harness.apply()
        assert harness.holder._held["s0"].ramp.limit == 1
        assert list_outcomes(await harness.run()) == {SubqueryOutcome.ANSWERED}
        assert harness.holder.list_released() == ()


@pytest.mark.parametrize(("server", "epoch"), [("s0", 2), ("s9", 1)])
async def test_unknown_server_or_epoch_is_not_held(nursery, server, epoch):
    async with start_harness(nursery, **WARM) as harness:
        batch = harness.make_batch(server=server)
        items = [msgspec.structs.replace(item, epoch=epoch) for item in batch.items]
        batch = msgspec.structs.replace(batch, items=tuple(items))
        replies = []
        await harness.holder.run_batch(batch, replies.append)
        assert list_outcomes(replies) == {SubqueryOutcome.NOT_HOLDER}
        assert not replies[0].sent


async def test_work_that_cannot_finish_in_time_is_refused_unsent(nursery):
    async with start_harness(nursery, **WARM) as harness:
        await harness.run(count=20)
        before = harness.counters().received
        (late,) = await harness.run(timeout_ms=0.5)
        assert (late.outcome, late.sent) == (SubqueryOutcome.TIMED_OUT, False)
        soon = await harness.run(count=25, timeout_ms=20.0)
        assert SubqueryOutcome.QUEUE_FULL in list_outcomes(soon)
        before = harness.counters().received
        replies = await harness.run(count=200)
        full = [r for r in replies if r.outcome is SubqueryOutcome.QUEUE_FULL]
        assert full
        assert not any(reply.sent for reply in full)
        assert harness.counters().received == before + 200 - len(full)


async def test_missing_snapshot_is_reported(nursery):
    async with start_harness(nursery, **WARM) as harness:
        harness.fault(FaultCommand.FORGET_SNAPSHOT, snapshot=1)
        (reply,) = await harness.run()
        assert reply.outcome is SubqueryOutcome.SNAPSHOT_GONE


async def test_reports_are_sent_only_when_they_change(nursery):
    async with start_harness(nursery, **WARM) as harness:
        await wait_until(lambda: harness.holder._held["s0"].status.snapshots)
        (report,) = harness.holder.collect_reports(full=False)
        assert report.incarnation == "s0#1"
        assert [snapshot.snapshot for snapshot in report.snapshots] == [1]
        assert harness.holder.collect_reports(full=False) == ()
        assert harness.holder.collect_reports(full=True) == (report,)


async def test_holder_closes_its_connections(nursery):
    async with contextlib.AsyncExitStack() as stack:
        harness = await stack.enter_async_context(start_harness(nursery, **WARM))
        await harness.run()
        await stack.aclose()
        listener = harness.emulator.servers["s0"]
        await wait_until(lambda: not listener._connections)
