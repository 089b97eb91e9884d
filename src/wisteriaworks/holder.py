"""Run batches of sub-queries on the backend servers that this entry holds.

When the session changes, ``apply_view`` must be called together with the renewal
of the lease, without a checkpoint between them. Otherwise the lease of the new
session would cover servers that were held under the old one.
"""

import functools
import random

import trio

from wisteriaworks.background import BackgroundTasks
from wisteriaworks.generated.messages import Release
from wisteriaworks.generated.subqueries import SubqueryOutcome
from wisteriaworks.held_server import HeldServer
from wisteriaworks.view import EMPTY_VIEW
from wisteriaworks.work import Work

RELEASE_TIMEOUT_S = 2.0
LEASE_CHECK_INTERVAL_S = 0.05
_CANCELLED = "cancelled"


class _Batch:
    """Track the attempts of one batch until all are answered."""

    def __init__(self):
        self.work_items = {}
        self.unanswered = set()
        self.all_answered = trio.Event()

    def handle_answered(self, work):
        self.unanswered.discard(work)
        if not self.unanswered:
            self.all_answered.set()


class Holder(BackgroundTasks):
    """Run sub-queries on the servers that the routes assign to this entry."""

    def __init__(self, lease, rng=None):
        super().__init__()
        self._lease = lease
        self._rng = rng or random.Random()
        self._view = EMPTY_VIEW
        self._session = 0
        self._assigned_routes = {}
        self._held = {}
        self._closing = {}
        self._released = {}
        self._batches = {}
        self._was_lease_valid = False

    async def __aenter__(self):
        await super().__aenter__()
        self._nursery.start_soon(self._watch_lease)
        return self

    def apply_view(self, view, session):
        """Start to hold and to release servers, so that those held match the routes."""
        if view is not self._view or session != self._session:
            self._view, self._session = view, session
            self._assigned_routes = self._find_assigned_routes()
        assigned = self._assigned_routes
        for name, held in tuple(self._held.items()):
            route = assigned.get(name)
            if route is None or not self._matches_route(held, route):
                self._start_closing(name, None)
        for name, route in assigned.items():
            if name not in self._held and self._released.get(name) != route.epoch:
                self._start_holding(name, route.epoch)
        self._prune_released(assigned)
        for name, held in self._held.items():
            held.status.listed_leaving = assigned[name].leaving
        self._refuse_queued_if_forbidden()

    async def run_batch(self, batch, send):
        """Call ``send(reply)`` once for each attempt of a batch.

        Cancelling answers the remaining attempts as failed. It also aborts them,
        except non-idempotent ones that may have been sent.
        """
        deadline = trio.current_time() + batch.timeout_ms / 1000.0
        running_batch = _Batch()
        for item in batch.items:
            work = Work(batch, item, deadline, send, running_batch.handle_answered)
            running_batch.work_items[item.attempt] = work
            running_batch.unanswered.add(work)
        self._batches.setdefault(batch.batch_id, []).append(running_batch)
        try:
            for work in running_batch.work_items.values():
                self._submit(work)
            with trio.move_on_at(deadline):
                await running_batch.all_answered.wait()
            self._cancel_attempts(
                running_batch, running_batch.work_items, SubqueryOutcome.TIMED_OUT, ""
            )
        finally:
            self._cancel_attempts(
                running_batch,
                running_batch.work_items,
                SubqueryOutcome.FAILED,
                "requester disconnected",
            )
            self._remove_batch(batch.batch_id, running_batch)

    def cancel(self, batch_id, attempts):
        """Cancel attempts that are no longer needed, and answer them as failed."""
        for running_batch in self._batches.get(batch_id, ()):
            self._cancel_attempts(
                running_batch, attempts, SubqueryOutcome.FAILED, _CANCELLED
            )

    def collect_reports(self, full):
        """Return the ServerReports changed since the last call, or all if ``full``."""
        reports = [held.collect_report(full) for held in self._held.values()]
        return tuple(report for report in reports if report is not None)

    def start_release(self, servers):
        """Start to release servers; accepted work is finished first."""
        for name in servers:
            if name in self._held:
                epoch = self._held[name].epoch
                self._start_closing(name, epoch)

    def list_released(self):
        """Return the released servers that the routes still assign to this entry.

        A server is listed in every heartbeat until the view shows that control has
        processed its release, because a heartbeat may be lost.
        """
        closed = {
            name: epoch
            for name, epoch in self._released.items()
            if (name, epoch) not in self._closing
        }
        return tuple(Release(name, epoch) for name, epoch in closed.items())

    def _find_assigned_routes(self):
        if not self._session:
            return {}
        return {
            name: route
            for name, route in self._view.routes.items()
            if route.holder == self._session and name in self._view.servers
        }

    def _matches_route(self, held, route):
        server = self._view.servers[held.server.name]
        return held.epoch == route.epoch and held.server == server

    def _start_holding(self, name, epoch):
        server = self._view.servers[name]
        find_refusal = functools.partial(self._find_holder_refusal, server.domain)
        rng = random.Random(self._rng.random())
        held = self._held[name] = HeldServer(server, epoch, find_refusal, rng)
        predecessors = [old for (key, _), old in self._closing.items() if key == name]
        self._nursery.start_soon(held.run, predecessors)

    def _start_closing(self, name, released_epoch):
        """Stop holding a server; accepted work gets RELEASE_TIMEOUT_S to finish.

        ``released_epoch`` is None if the routes no longer match the held server; its
        queued work is then refused. Otherwise the release is listed with this epoch.
        """
        held = self._held.pop(name)
        if released_epoch is None:
            held.refuse_queued(SubqueryOutcome.NOT_HOLDER)
        else:
            self._released[name] = released_epoch
        self._closing[name, held.epoch] = held
        self._nursery.start_soon(self._close, name, held)

    async def _close(self, name, held):
        await held.close(RELEASE_TIMEOUT_S)
        del self._closing[name, held.epoch]

    def _prune_released(self, assigned):
        for name, epoch in tuple(self._released.items()):
            if name not in assigned or assigned[name].epoch != epoch:
                del self._released[name]

    def _find_holder_refusal(self, domain):
        if not self._lease.is_valid(trio.current_time()):
            return SubqueryOutcome.FENCED
        if self._view.is_domain_out(domain):
            return SubqueryOutcome.DOMAIN_OUT
        return None

    def _submit(self, work):
        held = self._held.get(work.item.server)
        if held is None or held.epoch != work.item.epoch:
            work.reply(SubqueryOutcome.NOT_HOLDER, sent=False)
        else:
            held.submit(work)

    def _cancel_attempts(self, running_batch, attempts, outcome, detail):
        work_items = [
            running_batch.work_items[n]
            for n in attempts
            if n in running_batch.work_items
        ]
        unanswered = [work for work in work_items if work in running_batch.unanswered]
        for work in unanswered:
            work.answer_and_cancel(outcome, detail)
        for name in {work.item.server for work in unanswered} & self._held.keys():
            self._held[name].drop_answered()

    def _remove_batch(self, batch_id, running_batch):
        others = [b for b in self._batches[batch_id] if b is not running_batch]
        if others:
            self._batches[batch_id] = others
        else:
            del self._batches[batch_id]

    def _refuse_queued_if_forbidden(self):
        for held in (*self._held.values(), *self._closing.values()):
            held.refuse_queued_if_forbidden()

    async def _watch_lease(self):
        """Refuse the queued work soon after the lease expires."""
        while True:
            is_valid = self._lease.is_valid(trio.current_time())
            if self._was_lease_valid and not is_valid:
                self._refuse_queued_if_forbidden()
            self._was_lease_valid = is_valid
            await trio.sleep(LEASE_CHECK_INTERVAL_S)
