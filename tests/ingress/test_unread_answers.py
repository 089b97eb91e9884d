"""Guard against clients that take long answers slowly, or not at all.

The sizes of the crowds and the bounds were fixed on the code without limits.
"""

import crowd
import pytest
from programs import CLIENTS, check_memory, check_served

# Time for the answers to arrive; not a bound.
SETTLE_S = 3.0
# Requests that a client sends at once.
REQUESTS = 8


@pytest.mark.parametrize("target", ["gateway", "control", "entry"], indirect=True)
@pytest.mark.parametrize("take", [crowd.take_nothing, crowd.take_slowly])
@pytest.mark.parametrize("requests", [1, REQUESTS])
async def test_unread_answers_are_bounded(target, take, requests):
    await target.lengthen()
    await check_served(target)
    before = crowd.read_memory_mb(target.pid, "VmRSS")
    crowd.reset_peak(target.pid)
    clients = [[target.ask() for _ in range(requests)] for _ in range(CLIENTS)]
    async with crowd.open_clients(target.address, clients, take, SETTLE_S):
        check_memory(target, before)
        await check_served(target)
        check_memory(target, before)
    await check_served(target)
