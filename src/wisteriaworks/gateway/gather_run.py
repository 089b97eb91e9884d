"""Run a query to many shards at several gateways and combine what they gather."""

import functools
from enum import Enum

import trio

from wisteriaworks.gateway.delegate_client import (
    Declined,
    Gathered,
    Lost,
    NotAccepted,
)
from wisteriaworks.gateway.fetch import FetchTrace
from wisteriaworks.gateway.gathering import Gathering, GroupPlanner, GroupProgress
from wisteriaworks.gateway.model import EarlierSends
from wisteriaworks.gateway.query import UnservedReason
from wisteriaworks.generated.messages import EarlierRun

# Delegates that are asked for a group one after the other until one accepts it.
MAX_DELEGATES_TRIED = 3


class HandOnCause(Enum):
    """Name the reasons why a group goes from one delegate to the next."""

    DECLINED = "declined"
    NOT_ACCEPTED = "not_accepted"
    LOST = "lost"


class Gatherer:
    """Run queries to many shards at the delegates near the servers."""

    def __init__(self, delegates, forwarder, log):
        self.delegates = delegates
        self.forwarder = forwarder
        self.log = log
        self._planner = GroupPlanner(forwarder.fleet.table)

    async def run(self, query):
        """Return the result of a ShardQuery, or None if it has to run locally."""
        selector, now = self.delegates.selector, trio.current_time()
        placements = selector.place(query.route, self._planner, now)
        if not placements:
            return None
        return await _GatherRun(self, query, placements).run()

    def can_run_again(self, route, shards, servers):
        """Return whether no shard has more servers than the route allows to use.

        ``servers`` is the digest of the servers that another gateway may have used.
        """
        table = self.forwarder.fleet.table
        is_within = all(table.count(shard) <= route.attempts for shard in shards)
        return is_within and table.compute_digest(shards) == servers


class _GatherRun:
    """Run the groups of one query until it has a result."""

    def __init__(self, gatherer, query, placements):
        self._gatherer = gatherer
        self._query = query
        self._placements = placements
        sizes = [len(placement.group.positions) for placement in placements]
        self._gathering = Gathering(sizes, query.route.minimum_coverage, query.times)
        self._changed = trio.Event()

    async def run(self):
        result = None
        async with trio.open_nursery() as nursery:
            for number, placement in enumerate(self._placements):
                nursery.start_soon(self._gather, number, placement)
            result = await self._wait()
            nursery.cancel_scope.cancel()
        if hop_s := self._gathering.slowest_hop_s:
            self._gatherer.forwarder.return_time.hop.observe(hop_s)
        return result

    async def _wait(self):
        gathering = self._gathering
        while (result := gathering.get_result(trio.current_time())) is None:
            self._changed = trio.Event()
            with trio.move_on_at(gathering.compute_wake_at()):
                await self._changed.wait()
        return result

    def _record(self, number, earlier, progress):
        if earlier.run is not EarlierRun.NONE:
            progress = progress.mark_as_run()
        self._gathering.record(number, progress)
        self._changed.set()

    async def _gather(self, number, placement):
        """Gather the parts of one group, at another gateway or here."""
        gatherer, query, group = self._gatherer, self._query, placement.group
        delegate, excluded, earlier = placement.delegate, [], EarlierSends()
        while delegate is not None and len(excluded) < MAX_DELEGATES_TRIED:
            asked_at = trio.current_time()
            outcome = await gatherer.delegates.ask(
                delegate,
                query,
                group.positions,
                earlier,
                functools.partial(self._record, number, earlier),
                self._may_decline(placement, excluded),
            )
            match outcome:
                case Gathered():
                    return
                case Declined():
                    cause = HandOnCause.DECLINED
                case NotAccepted():
                    cause = HandOnCause.NOT_ACCEPTED
                case Lost(reason, servers):
                    cause = HandOnCause.LOST
                    earlier = EarlierSends(EarlierRun.ACCEPTED, servers)
                    is_late = trio.current_time() >= query.times.partial_at
                    if is_late or not self._may_run(group, earlier):
                        self._fail(number, reason)
                        return
            excluded.append(delegate.name)
            gatherer.log.record_handed_on(
                query, delegate, cause.value, len(excluded), asked_at
            )
            delegate = gatherer.delegates.selector.choose(
                query.route, group.domain, trio.current_time(), excluded
            )
        await self._run_here(number, group, earlier)

    async def _run_here(self, number, group, earlier):
        if not self._may_run(group, earlier):
            self._fail(number, "the servers have changed")
            return
        on_progress = functools.partial(self._record, number, earlier)
        on_progress(
            await self._gatherer.forwarder.run_group(
                self._query, group.positions, earlier, on_progress
            )
        )

    def _may_run(self, group, earlier):
        """Return whether another run of a group stays within the route's attempts."""
        if earlier.run is EarlierRun.NONE:
            return True
        route = self._query.route
        shards = [route.shards[position] for position in group.positions]
        return self._gatherer.can_run_again(route, shards, earlier.servers)

    def _may_decline(self, placement, excluded):
        """Return whether the first delegate of a group may decline it."""
        if excluded or not placement.is_near:
            return False
        return self._gatherer.delegates.selector.may_decline(
            placement.delegate, self._query.route, trio.current_time()
        )

    def _fail(self, number, text):
        """Record that a delegate may have run a group and does not answer."""
        size = len(self._placements[number].group.positions)
        progress = GroupProgress(
            size=size,
            lost=size,
            is_final=True,
            may_have_run=True,
            reason=UnservedReason.DELEGATE,
            causes=(FetchTrace("", (), text, ""),),
        )
        self._record(number, EarlierSends(EarlierRun.ACCEPTED), progress)
