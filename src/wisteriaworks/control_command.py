"""The command line of wisteria-control."""

from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from wisteriaworks import __version__
from wisteriaworks.control import PROGRAM, run_member
from wisteriaworks.errors import SettingsError, WisteriaError
from wisteriaworks.generated.settings import ControlSettings
from wisteriaworks.log_store import initialise
from wisteriaworks.settings import load_settings


class _SettingsCommand(Command):
    arguments: ClassVar[list[Argument]] = [
        argument("settings", "Settings file of this member (YAML).")
    ]

    def handle(self):
        try:
            path = self.argument("settings")
            return self._run(load_settings(path, ControlSettings))
        except WisteriaError as exc:
            self.line_error(exc.message, style="error")
            return exc.exit_code


class InitCommand(_SettingsCommand):
    """Create the first member."""

    name = "init"
    description = "Create the first control member in an empty data folder, once."

    def _run(self, cfg):
        if cfg.data_folder is None:
            raise SettingsError("data_folder is required to create a member")
        self.line(initialise(cfg.data_folder, cfg.name, cfg.address, cfg.domain))
        return 0


class RunCommand(_SettingsCommand):
    """Run a member."""

    name = "run"
    description = "Run a control member until SIGTERM."

    def _run(self, cfg):
        return run_member(cfg, self.argument("settings"))


def make_application():
    """Return the command line of wisteria-control."""
    app = Application(PROGRAM, __version__)
    app.add(InitCommand())
    app.add(RunCommand())
    return app
