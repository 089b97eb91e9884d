"""Guard against unwanted queueing and work on a removed snapshot."""

import msgspec
import pytest
import trio
from emulation import start_harness

from wisteriaworks.generated.emulator import FaultCommand, ServiceTime
from wisteriaworks.generated.subqueries import SubqueryOutcome

SLOTS = 2
BUSY = {"start_cold": False, "service": ServiceTime(median_ms=50.0)}


@pytest.mark.parametrize("may_queue", [True, False])
async def test_work_that_may_not_queue_is_refused_unsent(nursery, may_queue):
    async with start_harness(nursery, slots=SLOTS, **BUSY) as harness:
        held = harness.holder._held["s0"]
        held.ramp.limit = SLOTS
        batch = harness.make_batch(count=5)
        items = (msgspec.structs.replace(i, may_queue=may_queue) for i in batch.items)
        replies = []
        batch = msgspec.structs.replace(batch, items=tuple(items))
        await harness.holder.run_batch(batch, replies.append)
        busy = [r for r in replies if r.outcome is SubqueryOutcome.BUSY]
        assert len(busy) == (0 if may_queue else 5 - SLOTS)
        assert not any(reply.sent for reply in busy)
        assert all(reply.load >= SLOTS for reply in busy)


async def test_snapshot_removed_during_a_subquery_is_reported(nursery):
    """The emulator once exited when the snapshot of a running sub-query was removed."""
    async with start_harness(nursery, **BUSY) as harness:
        replies = []
        nursery.start_soon(
            harness.holder.run_batch, harness.make_batch(), replies.append
        )
        while not harness.counters().received:
            await trio.sleep(0.001)
        harness.fault(FaultCommand.FORGET_SNAPSHOT, snapshot=1)
        while not replies:
            await trio.sleep(0.001)
        assert replies[0].outcome is SubqueryOutcome.SNAPSHOT_GONE
