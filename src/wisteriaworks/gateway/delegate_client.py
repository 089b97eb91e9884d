"""Ask other gateways to run queries, over one connection to each."""

import itertools
import math

import trio

from wisteriaworks.errors import RpcError
from wisteriaworks.gateway.delegation import OVERDUE_S
from wisteriaworks.generated.messages import HandedQuery
from wisteriaworks.rpc import Channel

CONNECT_TIMEOUT_S = 0.2
# An answer that takes this many objectives is worth little; a delegate that
# stands still is given up then, so that the caller can ask again.
WAIT_OBJECTIVES = 4


class DelegateLostError(Exception):
    """Report a delegate that took a query and did not answer it."""


class DelegateClient:
    """Hand queries over as ``delegation`` chooses."""

    def __init__(self, delegation, nursery):
        self._delegation = delegation
        self._nursery = nursery
        self._channels = {}
        self._numbers = itertools.count()

    async def ask(self, request, route, version, arrived_at):
        """Return the answer of a delegate, or None to run the query here.

        ``version`` is that of the configuration which the route is from.

        Raises DelegateLostError if a delegate may have run it in part.
        """
        now = trio.current_time()
        delegate = self._delegation.choose(route, now)
        if delegate is None:
            return None
        number = next(self._numbers)
        objective_at = arrived_at + route.objective_ms / 1000
        self._delegation.begin(delegate, number, objective_at + OVERDUE_S)
        is_lost = False
        try:
            channel = await self._open_channel(delegate.address)
            timeout_at = arrived_at + route.timeout_ms / 1000
            left_s = min(request.deadline_at, timeout_at) - now
            wait_s = min(left_s, WAIT_OBJECTIVES * route.objective_ms / 1000)
            message = _make_message(request, version, left_s)
            answer = await channel.call(message, wait_s)
        except RpcError as exc:
            is_lost = True
            if exc.sent:
                raise DelegateLostError(f"{delegate.name}: {exc.message}") from exc
            return None
        finally:
            self._delegation.end(delegate, number, trio.current_time(), is_lost)
        return answer if answer.taken else None

    async def _open_channel(self, address):
        if address not in self._channels:
            self._channels[address] = await self._nursery.start(_hold, address)
        return self._channels[address]


async def _hold(address, *, task_status):
    async with Channel(address, CONNECT_TIMEOUT_S) as channel:
        task_status.started(channel)
        await trio.sleep_forever()


def _make_message(request, version, left_s):
    return HandedQuery(
        method=request.method,
        target=request.target,
        host=request.host,
        headers=request.headers,
        body=request.body,
        id=request.id,
        left_ms=max(1, math.floor(left_s * 1000)),
        version=version,
    )
