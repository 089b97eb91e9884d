"""The command line of wisteria-gateway."""

from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from wisteriaworks import __version__
from wisteriaworks.errors import WisteriaError
from wisteriaworks.gateway.program import PROGRAM, run_gateway
from wisteriaworks.generated.settings import GatewaySettings
from wisteriaworks.settings import load_settings


class RunCommand(Command):
    """Run a gateway."""

    name = "run"
    description = "Run a gateway until SIGTERM."
    arguments: ClassVar[list[Argument]] = [
        argument("settings", "Settings file of this gateway (YAML).")
    ]

    def handle(self):
        """Run the command and return the exit code."""
        path = self.argument("settings")
        try:
            return run_gateway(load_settings(path, GatewaySettings), path)
        except WisteriaError as exc:
            self.line_error(exc.message, style="error")
            return exc.exit_code


def make_application():
    """Return the command line of wisteria-gateway."""
    app = Application(PROGRAM, __version__)
    app.add(RunCommand())
    return app
