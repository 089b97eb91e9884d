"""Forward queries to other gateways, over one connection to each."""

import itertools
import math

import trio

from wisteriaworks.errors import RpcError
from wisteriaworks.gateway.delegation import OVERDUE_MARGIN_S
from wisteriaworks.generated.messages import HandedQuery
from wisteriaworks.rpc import Channel

CONNECT_TIMEOUT_S = 0.2
# Multiple of the objective after which a query to a stalled delegate is given up, so
# that the caller can retry; an answer that late is of little use.
MAX_WAIT_OBJECTIVES = 4


class DelegateLostError(Exception):
    """Report a delegate that received a query and did not answer it."""


class DelegateClient:
    """Forward queries to the gateways that ``selector`` chooses."""

    def __init__(self, selector, nursery):
        self._selector = selector
        self._nursery = nursery
        self._channels = {}
        self._query_ids = itertools.count()

    async def forward(self, request, route, version, arrived_at):
        """Return the answer of a delegate, or None to run the query locally.

        ``version`` is the configuration version that the route belongs to.

        Raises DelegateLostError if a delegate may have run part of the query.
        """
        now = trio.current_time()
        delegate = self._selector.choose(route, now)
        if delegate is None:
            return None
        query_id = next(self._query_ids)
        objective_at = arrived_at + route.objective_ms / 1000
        self._selector.begin(delegate, query_id, objective_at + OVERDUE_MARGIN_S)
        has_failed = False
        try:
            channel = await self._open_channel(delegate.address)
            timeout_at = arrived_at + route.timeout_ms / 1000
            left_s = min(request.deadline_at, timeout_at) - now
            wait_s = min(left_s, MAX_WAIT_OBJECTIVES * route.objective_ms / 1000)
            message = _make_message(request, version, left_s)
            answer = await channel.call(message, wait_s)
        except RpcError as exc:
            has_failed = True
            if exc.sent:
                raise DelegateLostError(f"{delegate.name}: {exc.message}") from exc
            return None
        finally:
            self._selector.end(delegate, query_id, trio.current_time(), has_failed)
        return answer if answer.taken else None

    async def _open_channel(self, address):
        if address not in self._channels:
            self._channels[address] = await self._nursery.start(_keep_open, address)
        return self._channels[address]


async def _keep_open(address, *, task_status):
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
