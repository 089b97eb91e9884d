"""The program ``wisteria-entry``: serve callers and hold backend servers."""

import contextlib
import random
import sys
from typing import ClassVar

import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from wisteriaworks import __version__
from wisteriaworks.admin import AdminApp, serve_http
from wisteriaworks.admission import Admission
from wisteriaworks.allocator import return_large_blocks
from wisteriaworks.api import Api
from wisteriaworks.claims import ClaimRunner
from wisteriaworks.control_client import ControlClient
from wisteriaworks.errors import WisteriaError
from wisteriaworks.events import Event, log_event, log_failure
from wisteriaworks.generated.settings import EntrySettings
from wisteriaworks.generated.subqueries import (
    Acknowledged,
    CancelAttempts,
    SubqueryBatch,
)
from wisteriaworks.holder import Holder
from wisteriaworks.ingress.ingress import Ingress
from wisteriaworks.lease import Lease
from wisteriaworks.logs import configure_logs
from wisteriaworks.metrics import Metrics
from wisteriaworks.peers import Peers
from wisteriaworks.request_reports import RequestReports
from wisteriaworks.rpc import RpcServer
from wisteriaworks.search import SearchRunner
from wisteriaworks.session import Session
from wisteriaworks.settings import load_settings
from wisteriaworks.shutdown import EXIT_FORCED, wait_for_stop, wait_until
from wisteriaworks.view_store import ViewStore

PROGRAM = "wisteria-entry"
# The control leader requests the release of at most one server per replica set at
# a time. After this time a stopping entry releases the remaining servers without a
# request.
HANDOVER_TIMEOUT_S = 5.0


class Entry:
    """Create and run the components of one entry."""

    def __init__(self, cfg, stack):
        self._cfg = cfg
        self._stack = stack
        self._stop_api = trio.Event()
        self._api_stopped = trio.Event()

    async def open(self):
        """Create the components; the exit stack closes them."""
        cfg, enter = self._cfg, self._stack.enter_async_context
        rng = random.Random(cfg.seed or None)
        metrics = self._metrics = Metrics(PROGRAM, cfg.name)
        self._ingress = Ingress(cfg.ingress, metrics=metrics)
        self.nursery = await enter(trio.open_nursery())
        self._lease = Lease()
        control = await enter(ControlClient(cfg.control))
        self._holder = await enter(Holder(self._lease, rng))
        peers = await enter(Peers(cfg.peer, self._holder))
        store = ViewStore(cfg.data_folder)
        self.session = Session(cfg, control, self._holder, self._lease, store)
        searches = SearchRunner(
            peers, cfg.peer, metrics, rng, lambda: self.session.view
        )
        self._claims = ClaimRunner(
            control, searches, self.session, metrics, self.nursery
        )
        admission = Admission()
        self._reports = RequestReports(cfg.name)
        self.api = Api(
            self.session, admission, searches, self._claims, metrics, self._reports
        )
        self._rpc = RpcServer(
            {SubqueryBatch: self._holder.run_batch, CancelAttempts: self._cancel},
            on_error=log_failure,
        )

    async def run(self):
        """Serve until a signal asks for a stop; return the exit code."""
        cfg, start = self._cfg, self.nursery.start
        stop = await start(wait_for_stop)
        await start(self._rpc.serve, cfg.peer)
        self.nursery.start_soon(self.session.run)
        await start(
            serve_http,
            AdminApp(self.is_ready, self._metrics, self._reports.render),
            cfg.admin,
            None,
            self._ingress,
            True,
        )
        await start(self._serve_api)
        log_event(Event.PROCESS_STARTED, api=cfg.api)
        await stop.wait()
        log_event(Event.PROCESS_STOPPING)
        with trio.move_on_after(cfg.stop_timeout_s) as scope:
            await self._stop()
        if scope.cancelled_caught:
            log_event(Event.STOP_TIMED_OUT, running=self.api.running)
            return EXIT_FORCED
        log_event(Event.PROCESS_STOPPED)
        return 0

    def is_ready(self):
        """Return whether the balancer should send requests to this entry."""
        return (
            not self.session.is_retiring()
            and not self.session.is_fenced()
            and bool(self.session.view.routes)
        )

    async def _cancel(self, message, send):
        self._holder.cancel(message.batch_id, message.attempts)
        return Acknowledged()

    async def _serve_api(self, *, task_status):
        await serve_http(
            self.api,
            self._cfg.api,
            self._stop_api,
            self._ingress,
            task_status=task_status,
        )
        self._api_stopped.set()

    async def _stop(self):
        self.session.stopping = True
        await trio.sleep(self._cfg.balancer_lag_s)
        self.api.refusing = True
        await wait_until(lambda: self.api.running == 0 and self._claims.running == 0)
        with trio.move_on_after(HANDOVER_TIMEOUT_S):
            await wait_until(lambda: not self.session.is_holding())
        # Other entries may be unable to take the servers, for example when all
        # entries stop.
        self.session.release_all()
        await wait_until(lambda: not self.session.is_holding())
        self._stop_api.set()
        await self._api_stopped.wait()
        self._rpc.announce_stop()


async def run_entry(cfg):
    """Run one entry and return its exit code."""
    async with contextlib.AsyncExitStack() as stack:
        entry = Entry(cfg, stack)
        await entry.open()
        code = await entry.run()
        entry.nursery.cancel_scope.cancel()
    return code


class RunCommand(Command):
    """Run an entry until SIGTERM asks for a graceful stop."""

    name = "run"
    description = "Run an entry until SIGTERM asks for a graceful stop."
    arguments: ClassVar[list[Argument]] = [
        argument("settings", "YAML file with the settings of the entry.")
    ]

    def handle(self):
        """Run the entry."""
        try:
            cfg = load_settings(self.argument("settings"), EntrySettings)
        except WisteriaError as exc:
            self.line_error(f"{PROGRAM}: {exc.message}")
            return exc.exit_code
        configure_logs(cfg.log, PROGRAM, cfg.name)
        return_large_blocks()
        try:
            return trio.run(run_entry, cfg)
        except Exception as exc:
            log_failure(exc)
            raise


def main():
    """Run the command line."""
    application = Application(PROGRAM, __version__)
    application.add(RunCommand())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
