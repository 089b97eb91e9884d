"""Keep connections to delegates and ask them for the parts of groups of shards."""

import functools
import itertools
import math
from dataclasses import dataclass

import trio

from wisteriaworks.balancing.traffic import TrafficKind, ignore_bytes
from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import RpcError
from wisteriaworks.gateway.delegation import ACCEPT_TIMEOUT_S
from wisteriaworks.gateway.fetch import FetchTrace
from wisteriaworks.gateway.gathering import GroupProgress, MergedPart
from wisteriaworks.gateway.query import UnservedReason
from wisteriaworks.generated.messages import GatherAccepted, GatheredParts, GatherParts
from wisteriaworks.rpc import Channel

# Much longer than a round trip.
CONNECT_TIMEOUT_S = 0.05
# Multiple of the objective after which a query to a stalled delegate is given up, so
# that the caller can retry; an answer that late is of little use.
MAX_WAIT_OBJECTIVES = 4
# Interval at which a connection to each delegate is checked, so that one without
# power is known before a query waits for it.
CHECK_INTERVAL_S = 0.5
# Longer than any query; a connection to a gateway that is no longer a delegate is
# closed after this time.
KEEP_UNLISTED_S = 30.0
_REASONS = {reason.value: reason for reason in UnservedReason}


@dataclass(frozen=True, slots=True)
class Gathered:
    """Report a delegate that has gathered a group and gathers ``running`` parts."""

    running: int


@dataclass(frozen=True, slots=True)
class Declined:
    """Report a delegate that has declined a group, so it sends nothing to servers."""

    running: int
    reason: str


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """Report a delegate that is not confirmed, so it sends nothing to servers."""

    has_failed: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """Report a delegate that may have run a group and did not answer.

    ``servers`` is the digest of the servers that it may have used.
    """

    reason: str
    servers: int


Outcome = Gathered | Declined | NotAccepted | Lost


class DelegateClient:
    """Ask the gateways that ``selector`` chooses."""

    def __init__(self, selector, return_time, nursery, traffic=None):
        self.selector = selector
        self._return_time = return_time
        self._nursery = nursery
        # Counts bytes between domains.
        self._traffic = traffic
        # Channel and cancel scope by address.
        self._channels = {}
        self._unlisted_since = {}
        # Addresses to which no connection can be opened.
        self._unreachable = set()
        selector.read_silence = self._read_silence
        self._query_ids = itertools.count()

    def set_delegates(self, delegates):
        """Replace the list of gateways that gather parts."""
        self.selector.set_delegates(delegates)

    async def check_delegates(self):
        """Keep a connection to each faster delegate, until cancelled."""
        while True:
            delegates = self.selector.list_faster()
            addresses = {delegate.address for delegate in delegates}
            self._unreachable &= addresses
            self._drop_unlisted(trio.current_time())
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    nursery.start_soon(self._check, address)
            await trio.sleep(CHECK_INTERVAL_S)

    def _drop_unlisted(self, now):
        """Close the connections to gateways that are no longer delegates."""
        listed = self.selector.list_addresses()
        for address in tuple(self._channels):
            if address in listed:
                self._unlisted_since.pop(address, None)
            elif now - self._unlisted_since.setdefault(address, now) > KEEP_UNLISTED_S:
                del self._unlisted_since[address]
                _, scope = self._channels.pop(address)
                scope.cancel()

    async def _check(self, address):
        channel = await self._open_channel(address)
        try:
            await channel.connect()
        except RpcError:
            self._unreachable.add(address)
        else:
            self._unreachable.discard(address)

    async def ask(
        self, delegate, query, positions, earlier, on_progress, may_decline=False
    ):
        """Ask a delegate for some parts; return the Outcome.

        ``on_progress`` is called with each GroupProgress, the last of which is final.
        ``earlier`` are the EarlierSends of another delegate. With ``may_decline``, the
        delegate may decline because its servers are loaded.
        """
        began_at = trio.current_time()
        message = self._make_message(query, positions, earlier, began_at, may_decline)
        query_id, outcome = next(self._query_ids), None
        self.selector.begin(delegate, query_id, len(positions), began_at)
        try:
            outcome = await self._send(
                delegate, message, _compute_wait_s(query, message), on_progress
            )
        finally:
            self._end(delegate, query_id, outcome)
        return outcome

    async def _send(self, delegate, message, wait_s, on_progress):
        began_at, size = trio.current_time(), len(message.positions)
        confirmed = None
        try:
            channel = await self._open_channel(delegate.address)
            async with channel.stream(message, wait_s) as replies:
                reply = await replies.receive_within(ACCEPT_TIMEOUT_S)
                if isinstance(reply, GatherAccepted):
                    self.selector.accept(delegate)
                    # From here on, the delegate may send requests to servers.
                    confirmed = reply
                    replies.confirm()
                    reply = await _read_parts(replies, size, began_at, on_progress)
        except RpcError as exc:
            if confirmed is None:
                return NotAccepted(has_failed=True)
            return Lost(f"{delegate.name}: {exc.message}", confirmed.servers)
        match reply:
            case GatheredParts(taken=False):
                self.selector.accept(delegate)
                return Declined(reply.running, reply.reason)
            case GatheredParts() if confirmed is not None:
                return Gathered(reply.running)
        return NotAccepted()

    def _end(self, delegate, query_id, outcome):
        """Record the end of a group; ``outcome`` is None if it was cancelled."""
        end = functools.partial(
            self.selector.end, delegate, query_id, trio.current_time()
        )
        match outcome:
            case Gathered(running):
                end(running=running)
            case Declined(running, reason):
                # A delegate that declines for another reason than its load states none.
                end(running=running or None, decline_reason=reason)
            case NotAccepted(has_failed=True) | Lost():
                end(has_failed=True)
            case _:
                end()

    def _read_silence(self, address):
        if address in self._unreachable:
            return math.inf
        if address not in self._channels:
            return 0.0
        return self._channels[address][0].silent_s

    async def _open_channel(self, address):
        if address not in self._channels:
            count_bytes = self._choose_meter(address)
            self._channels[address] = await self._nursery.start(
                _keep_open, address, count_bytes
            )
        return self._channels[address][0]

    def _choose_meter(self, address):
        if self._traffic is None or self.selector.is_near(address):
            return ignore_bytes
        return self._traffic.get_meter(TrafficKind.GROUPS)

    def _make_message(self, query, positions, earlier, now, may_decline):
        request, route, times = query.request, query.route, query.times
        objective_s = route.objective_ms / 1000
        hop_s = self._return_time.estimate_hop(objective_s)
        return GatherParts(
            method=request.method,
            target=request.target,
            host=request.host,
            headers=request.headers,
            body=request.body,
            id=request.id,
            version=query.version,
            positions=positions,
            left_ms=max(1, math.floor((times.deadline_at - now) * 1000)),
            due_ms=(times.partial_at - hop_s - now) * 1000,
            return_ms=(times.deadline_at - times.give_up_at + hop_s) * 1000,
            earlier=earlier.run,
            servers=earlier.servers,
            account=request.account,
            key_id=request.key_id,
            runs_within_ms=_compute_permission_ms(request),
            may_decline=may_decline,
            confirms=True,
        )


def _compute_wait_s(query, message):
    """Return the time after which a delegate that has accepted a query is given up."""
    wait_s = message.left_ms / 1000
    if query.route.objective_ms:
        wait_s = min(wait_s, MAX_WAIT_OBJECTIVES * query.route.objective_ms / 1000)
    return wait_s


async def _read_parts(replies, size, began_at, on_progress):
    """Report the progress of a confirmed group and return the last reply.

    Raises RpcError.
    """
    reply = await anext(replies, None)
    while isinstance(reply, GatheredParts) and reply.taken:
        hop_s = trio.current_time() - began_at - reply.ran_ms / 1000
        on_progress(_read_progress(reply, size, hop_s))
        if reply.is_final:
            return reply
        reply = await anext(replies, None)
    if not isinstance(reply, GatheredParts):
        raise RpcError("no usable reply", sent=True)
    return reply


def _compute_permission_ms(request):
    """Return the time left of the account's permission; 0 if it needs none."""
    if math.isinf(request.expires_at):
        return 0.0
    return max(0.001, (request.expires_at - read_boot_time()) * 1000)


def _read_progress(reply, size, hop_s):
    """Return the progress that a reply states.

    Raises RpcError if it has more parts than the group.
    """
    part = MergedPart(reply.signatures, reply.body)
    if len(part.signatures) + reply.lost > size:
        raise RpcError("more parts than shards", sent=True)
    return GroupProgress(
        size=size,
        part=part,
        lost=reply.lost,
        is_final=reply.is_final,
        may_have_run=reply.may_have_run,
        reason=_REASONS.get(reply.reason, UnservedReason.NO_SERVER),
        causes=tuple(
            FetchTrace(c.service, c.servers, c.outcome, c.denial) for c in reply.causes
        ),
        hop_s=max(0.0, hop_s),
    )


async def _keep_open(address, count_bytes, *, task_status):
    with trio.CancelScope() as scope:
        async with Channel(address, CONNECT_TIMEOUT_S, count_bytes) as channel:
            task_status.started((channel, scope))
            await trio.sleep_forever()
