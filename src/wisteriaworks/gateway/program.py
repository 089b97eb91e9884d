"""The program wisteria-gateway."""

import functools
import signal

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from wisteriaworks.events import Event, log_event, log_failure
from wisteriaworks.gateway.app import GatewayApp
from wisteriaworks.gateway.control_watch import ControlWatch
from wisteriaworks.gateway.fleet_state import FleetState
from wisteriaworks.gateway.forwarder import Forwarder
from wisteriaworks.list_reader import ListFollower, ListReader
from wisteriaworks.logs import configure_logs
from wisteriaworks.platform import wire
from wisteriaworks.rpc import split_address
from wisteriaworks.settings_watch import SettingsWatch

PROGRAM = "wisteria-gateway"
# Without an update for this long the gateway reads the list itself.
LIST_FALLBACK_S = 2.0
LIST_INTERVAL_S = 1.5
DRAIN_INTERVAL_S = 0.05
BACKLOG = 1024
KEPT_REQUESTS = 1_000_000


class GatewayProgram:
    """Run one gateway until it is told to stop."""

    def __init__(self, cfg, path=None):
        self._cfg = cfg
        self._path = path
        self._http = _make_http_config(cfg)
        self._stop = trio.Event()
        self.app = None
        self._watch = None
        self._settings = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until ``drain`` has ended or the task is cancelled."""
        cfg = self._cfg
        async with trio.open_nursery() as nursery:
            forwarder = Forwarder(cfg, wire, nursery)
            state = FleetState(
                forwarder.fleet, functools.partial(self._note, forwarder)
            )
            readiness_port = split_address(cfg.readiness)[1]
            self.app = GatewayApp(state, forwarder, wire, readiness_port)
            self._watch = ControlWatch(cfg, state)
            self._settings = SettingsWatch(self._path, cfg, self._watch.use_seeds)
            nursery.start_soon(self._watch.run)
            nursery.start_soon(forwarder.sweep)
            nursery.start_soon(self._read_list_alone, state)
            nursery.start_soon(self._settings.run)
            serving = functools.partial(serve, shutdown_trigger=self._stop.wait)
            await nursery.start(self._serve, serving)
            task_status.started()
            await trio.sleep_forever()

    async def _serve(self, serving, *, task_status):
        await serving(self.app, self._http, task_status=task_status)

    async def drain(self):
        """Leave the balancer, finish what runs, and close idle connections."""
        self.app.is_stopping = True
        await trio.sleep(self._cfg.balancer_lag_s)
        self._stop.set()
        while self.app.running:
            await trio.sleep(DRAIN_INTERVAL_S)
        await trio.sleep(DRAIN_INTERVAL_S)

    def reload(self):
        """Look for changed settings now; addresses and budgets stay as they are."""
        self._settings.check()

    def _note(self, forwarder, document):
        forwarder.note_servers(document)
        self._http.keep_alive_timeout = document.limits.idle_timeout_ms / 1000
        self._http.h11_max_incomplete_size = document.limits.max_header_bytes

    async def _read_list_alone(self, state):
        """Read the list while no control member can be heard."""

        def is_wanted():
            return trio.current_time() - state.updated_at > LIST_FALLBACK_S

        await trio.sleep(LIST_FALLBACK_S)
        reader = ListReader(self._cfg.server_list, wire)
        await ListFollower(reader, LIST_INTERVAL_S, is_wanted).run(state.take_list)


def _make_http_config(cfg):
    http = Config()
    http.bind = [cfg.listen, cfg.readiness]
    http.accesslog = http.errorlog = None
    http.backlog = BACKLOG
    http.keep_alive_max_requests = KEPT_REQUESTS
    http.include_date_header = http.include_server_header = False
    http.graceful_timeout = cfg.stop_timeout_s
    return http


async def run_until_signal(program, timeout_s):
    """Run a program until SIGTERM; return the exit code.

    SIGHUP reads the settings again.
    """
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    is_drained = False
    with trio.open_signal_receiver(*signals) as received:
        async with trio.open_nursery() as nursery:
            await nursery.start(program.run)
            log_event(Event.PROCESS_STARTED)
            async for number in received:
                if number != signal.SIGHUP:
                    break
                program.reload()
            log_event(Event.PROCESS_STOPPING)
            with trio.move_on_after(timeout_s):
                await program.drain()
                is_drained = True
            nursery.cancel_scope.cancel()
    log_event(Event.PROCESS_STOPPED if is_drained else Event.STOP_TIMED_OUT)
    return 0 if is_drained else 1


def run_gateway(cfg, path):
    """Run a gateway until SIGTERM and return the exit code."""
    configure_logs(cfg.log, PROGRAM, cfg.name)
    program = GatewayProgram(cfg, path)
    try:
        return trio.run(run_until_signal, program, cfg.stop_timeout_s)
    except BaseExceptionGroup as group:
        log_failure(group)
        return 1


def main():
    """Run the command line of wisteria-gateway."""
    # Imported late: a start by a platform needs no command line.
    from wisteriaworks.gateway.command import make_application

    make_application().run()


if __name__ == "__main__":
    main()
