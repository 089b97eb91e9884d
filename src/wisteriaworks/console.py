"""The program ``wisteria-console``: a web console for operators."""

import contextlib
import sys

import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument

from wisteriaworks import __version__
from wisteriaworks.admin import AdminApp, serve_http
from wisteriaworks.allocator import return_large_blocks
from wisteriaworks.console_app import ConsoleApp
from wisteriaworks.console_sessions import check_operators
from wisteriaworks.control_client import ControlClient
from wisteriaworks.errors import WisteriaError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.settings import ConsoleSettings
from wisteriaworks.ingress.ingress import Ingress
from wisteriaworks.logs import configure_logs
from wisteriaworks.metrics import Metrics
from wisteriaworks.settings import load_settings
from wisteriaworks.shutdown import EXIT_FORCED, wait_for_stop, wait_until

PROGRAM = "wisteria-console"
# The slowest page reads the configuration and makes three attempts at a change,
# up to 5 s each; the delays between the attempts are not included.
STOP_TIMEOUT_S = 20.0


async def run_console(cfg):
    """Serve until SIGTERM, drain running requests and return the exit code."""
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(ControlClient(cfg.control))
        nursery = await stack.enter_async_context(trio.open_nursery())
        stop = await nursery.start(wait_for_stop)
        app = ConsoleApp(cfg, client, trio.current_time)
        metrics = Metrics(PROGRAM, cfg.name)
        ingress = Ingress(cfg.ingress, metrics=metrics)
        await nursery.start(serve_http, app, cfg.listen, None, ingress)
        admin = AdminApp(lambda: not stop.is_set(), metrics)
        await nursery.start(serve_http, admin, cfg.admin, None, ingress, True)
        log_event(Event.PROCESS_STARTED, listen=cfg.listen)
        await stop.wait()
        code = await _finish(app)
        nursery.cancel_scope.cancel()
    return code


async def _finish(app):
    log_event(Event.PROCESS_STOPPING)
    with trio.move_on_after(STOP_TIMEOUT_S) as scope:
        await wait_until(lambda: app.running == 0)
    if scope.cancelled_caught:
        log_event(Event.STOP_TIMED_OUT, running=app.running)
        return EXIT_FORCED
    log_event(Event.PROCESS_STOPPED)
    return 0


class RunCommand(Command):
    """Run the console until SIGTERM asks for a graceful stop."""

    name = "run"
    description = "Run the console until SIGTERM asks for a graceful stop."
    arguments = (argument("settings", "YAML file with the settings of the console."),)

    def handle(self):
        """Run the console."""
        try:
            cfg = load_settings(self.argument("settings"), ConsoleSettings)
            check_operators(cfg.operators)
        except WisteriaError as exc:
            self.line_error(f"{PROGRAM}: {exc.message}")
            return exc.exit_code
        configure_logs(cfg.log, PROGRAM, cfg.name)
        return_large_blocks()
        return trio.run(run_console, cfg)


def main():
    """Run the command line."""
    application = Application(PROGRAM, __version__)
    application.add(RunCommand())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
