"""Gather groups of shards for queries of other gateways.

Load pattern: a group that reaches a slow or frozen gateway late has often gone to
another one. It must not be sent to servers by both, so a group begins only once the
gateway that asks has confirmed that it still waits for it.
"""

import math

import trio

from wisteriaworks.balancing.distance import LOADED
from wisteriaworks.clocks import read_boot_time
from wisteriaworks.gateway.model import (
    AnswerTimes,
    CallerRequest,
    EarlierSends,
    ShardQuery,
)
from wisteriaworks.generated.messages import (
    GatherAccepted,
    GatheredParts,
    HandedAnswer,
    PartTrace,
)

# Parts that are gathered for other gateways at once. A VM of 1.4 cores gathers 10,000
# parts/s, so more than this would wait for the processor until their objectives.
MAX_GATHERED_PARTS = 4200
# A gateway confirms an accepted group at once. One that is frozen or cut off must not
# keep the room of its groups.
CONFIRM_TIMEOUT_S = 0.5


class GroupServer:
    """Gather the parts of groups while this gateway has room for them.

    ``is_ready()`` returns whether new groups may begin.
    """

    def __init__(self, state, forwarder, accounts, log, is_ready):
        self._state = state
        self._forwarder = forwarder
        self._accounts = accounts
        self._log = log
        self._is_ready = is_ready
        self.running = 0
        self.gathering_parts = 0
        # Bytes of the bodies of the groups' requests, and their limit.
        self.gathering_bytes = 0
        self.max_gathering_bytes = math.inf

    async def decline_delegated_query(self, message, send):
        """Decline a query of a gateway of an older version; a handler of RpcServer."""
        return HandedAnswer(taken=False)

    async def gather_parts(self, message, call):
        """Gather parts for a query of another gateway; a handler of RpcServer."""
        now = trio.current_time()
        query = self._read_query(message, now)
        if query is None:
            return GatheredParts(taken=False)
        if not self._has_room_to_gather(len(message.body)):
            return GatheredParts(taken=False, running=self.gathering_parts)
        if message.may_decline and self._forwarder.is_near_loaded(
            query, message.positions
        ):
            return GatheredParts(
                taken=False, reason=LOADED, running=self.gathering_parts
            )
        size = len(message.positions)
        self.running += 1
        self.gathering_parts += size
        self.gathering_bytes += len(message.body)
        try:
            progress = await self._run_confirmed(message, query, call, now)
        finally:
            self.running -= 1
            self.gathering_parts -= size
            self.gathering_bytes -= len(message.body)
        if progress is None:
            return GatheredParts(taken=False)
        return _make_reply(progress, now, running=self.gathering_parts)

    def _read_query(self, message, now):
        """Return the query of which some parts are asked for, or None to decline it."""
        routes = self._state.routes
        path = message.target.split(b"?", 1)[0].decode("latin-1")
        route = routes.find(message.host, path)
        # The versions must match. Otherwise this gateway could query the shards of a
        # newer configuration, and later those of an older one.
        is_same_version = routes.version == message.version
        if not (self._is_ready() and is_same_version and route and route.shards):
            return None
        if not self._accounts.accepts(message, route):
            return None
        if not all(0 <= p < len(route.shards) for p in message.positions):
            return None
        return _make_query(message, route, routes, now)

    def _has_room_to_gather(self, size):
        """Return whether parts for a body of ``size`` bytes may be gathered now."""
        if self.gathering_parts >= MAX_GATHERED_PARTS:
            return False
        gathering_bytes = self.gathering_bytes
        return not gathering_bytes or gathering_bytes + size <= self.max_gathering_bytes

    async def _run_confirmed(self, message, query, call, began_at):
        """Return the final progress of a group, or None if nothing was sent."""
        shards = tuple(query.route.shards[position] for position in message.positions)
        table = self._forwarder.fleet.table
        revision, servers = table.revision, table.compute_digest(shards)
        if message.servers not in (0, servers):
            return None
        call(GatherAccepted(servers=servers))
        if message.confirms and not await _is_confirmed(call):
            return None
        if table.revision != revision and table.compute_digest(shards) != servers:
            return None
        return await self._forwarder.run_group(
            query,
            message.positions,
            EarlierSends(message.earlier, message.servers),
            lambda progress: call(_make_reply(progress, began_at)),
            lambda servers_used: self._log.record_group_cancelled(
                query, servers_used, began_at
            ),
        )


async def _is_confirmed(call):
    with trio.move_on_after(CONFIRM_TIMEOUT_S):
        await call.wait_until_confirmed()
        return True
    return False


def _make_query(message, route, routes, now):
    """Return the query of which another gateway asks for some parts."""
    deadline_at = now + message.left_ms / 1000
    request = CallerRequest(
        method=message.method,
        target=message.target,
        host=message.host,
        headers=message.headers,
        body=message.body,
        id=message.id,
        deadline_at=deadline_at,
        account=message.account,
        key_id=message.key_id,
        expires_at=(
            read_boot_time() + message.runs_within_ms / 1000
            if message.runs_within_ms
            else math.inf
        ),
    )
    times = AnswerTimes(
        partial_at=now + message.due_ms / 1000,
        give_up_at=deadline_at - message.return_ms / 1000,
        deadline_at=deadline_at,
    )
    return ShardQuery(request, route, routes.document, routes.version, times)


def _make_reply(progress, began_at, running=0):
    """Return the message that states the progress of a group."""
    return GatheredParts(
        taken=True,
        is_final=progress.is_final,
        signatures=progress.part.signatures,
        body=progress.part.body,
        lost=progress.lost,
        may_have_run=progress.may_have_run,
        reason=progress.reason.value,
        causes=tuple(
            PartTrace(c.service, c.servers, c.outcome, c.denial)
            for c in progress.causes
        ),
        ran_ms=(trio.current_time() - began_at) * 1000,
        running=running,
    )
