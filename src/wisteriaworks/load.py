"""The program ``wisteria-load``: run experiments and print their results."""

import sys
from pathlib import Path
from typing import ClassVar

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from wisteriaworks import __version__
from wisteriaworks.errors import WisteriaError
from wisteriaworks.experiment import run_experiment
from wisteriaworks.generated.experiment import Experiment
from wisteriaworks.settings import load_settings

PROGRAM = "wisteria-load"
_HEADINGS = (
    "experiment",
    "variant",
    "window",
    "sent",
    "complete",
    "partial",
    "refused",
    "failed",
    "lost",
    "useful/s",
    "coverage",
    "p50 ms",
    "p99 ms",
    "extra load",
    "cold violations",
    "ran twice",
    "after drain",
)


def list_rows(result):
    """Yield the table rows of one run, one per window."""
    for window in result.windows:
        yield [
            result.experiment,
            result.variant,
            window.window,
            str(window.sent),
            str(window.complete),
            str(window.partial),
            str(window.refused),
            str(window.failed),
            str(window.lost),
            f"{window.useful_per_s:.1f}",
            f"{100 * window.coverage:.2f}%",
            f"{window.p50_ms:.1f}",
            f"{window.p99_ms:.1f}",
            f"{100 * result.extra_load:.1f}%",
            str(result.violations),
            str(result.ran_twice),
            str(result.after_domain_out),
        ]


class RunCommand(Command):
    """Run experiments."""

    name = "run"
    description = "Run experiments on loopback and print their results."
    arguments: ClassVar[list[Argument]] = [
        argument("experiments", "YAML files of experiments.", multiple=True)
    ]
    options: ClassVar[list[Option]] = [
        option("out", None, "Folder for the results as JSON files.", flag=False)
    ]

    def handle(self):
        """Run the experiments one after another and return the exit code."""
        try:
            paths = self.argument("experiments")
            experiments = [load_settings(path, Experiment) for path in paths]
            results = [
                result
                for experiment in experiments
                for result in run_experiment(experiment, self._report)
            ]
        except WisteriaError as exc:
            self.line_error(f"{PROGRAM}: {exc.message}")
            return exc.exit_code
        rows = [row for result in results for row in list_rows(result)]
        self.render_table(list(_HEADINGS), rows, style="compact")
        self._save(results)
        return 0

    def _report(self, result):
        p99_ms = max(window.p99_ms for window in result.windows)
        self.line(f"{result.experiment} {result.variant}: p99 {p99_ms:.1f} ms")

    def _save(self, results):
        folder = self.option("out")
        if folder is None:
            return
        Path(folder).mkdir(parents=True, exist_ok=True)
        for result in results:
            name = f"{result.experiment}-{result.variant}-{result.round}.json"
            (Path(folder) / name).write_bytes(msgspec.json.encode(result))


def main():
    """Run the command line."""
    application = Application(PROGRAM, __version__)
    application.add(RunCommand())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
