"""Guard against sub-queries that queue at a server without a free slot."""

import msgspec
import pytest
from emulation import start_bench

from wisteriaworks.generated.emulator import ServiceTime
from wisteriaworks.generated.subqueries import SubqueryOutcome

SLOTS = 2
BUSY = {"start_cold": False, "service": ServiceTime(median_ms=50.0)}


@pytest.mark.parametrize("may_queue", [True, False])
async def test_work_that_may_not_queue_is_refused_unsent(nursery, may_queue):
    async with start_bench(nursery, slots=SLOTS, **BUSY) as bench:
        held = bench.holder._held["s0"]
        held.ramp.limit = SLOTS
        batch = bench.make_batch(count=5)
        items = (msgspec.structs.replace(i, may_queue=may_queue) for i in batch.items)
        replies = []
        batch = msgspec.structs.replace(batch, items=tuple(items))
        await bench.holder.run_batch(batch, replies.append)
        busy = [r for r in replies if r.outcome is SubqueryOutcome.BUSY]
        assert len(busy) == (0 if may_queue else 5 - SLOTS)
        assert not any(reply.sent for reply in busy)
        assert all(reply.load >= SLOTS for reply in busy)
