"""The command line ``wisteria`` for operators."""

import itertools
import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from wisteriaworks import (
    cli_caller,
    cli_config,
    cli_domain,
    cli_member,
    cli_report,
    cli_status,
)
from wisteriaworks.errors import SettingsError, WisteriaError

_MODULES = (
    cli_config,
    cli_domain,
    cli_status,
    cli_member,
    cli_caller,
    cli_report,
)


def main(argv=None):
    """Run the command in ``argv`` and exit with its exit code."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv):
    """Run the command in ``argv`` and return its exit code."""
    app = create_application()
    try:
        return app.run(ArgvInput(["wisteria", *_expand_group(app, argv)]))
    except WisteriaError as exc:
        return _print_error(exc)
    except CleoError as exc:
        return _print_error(SettingsError(str(exc)))
    except BaseExceptionGroup as group:
        return _print_error(_find_known_error(group))


def create_application():
    """Return the cleo application with all commands."""
    app = Application("wisteria")
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in itertools.chain.from_iterable(m.COMMANDS for m in _MODULES):
        app.add(command())
    return app


def _expand_group(app, argv):
    """Add ``list`` to arguments that have only the name of a command group.

    For example, ``wisteria config`` lists the commands of ``config``.
    """
    words = [word for word in argv if not word.startswith("-")]
    if len(words) == 1 and words[0] in app.get_namespaces():
        return ["list", *words]
    return argv


def _find_known_error(group):
    """Return the error inside the exception group of a nursery.

    The control client runs in a trio nursery, which wraps its errors. Raises the
    group again if it contains any other exception.
    """
    known, other = group.split(WisteriaError)
    if known is None or other is not None:
        raise group
    while isinstance(known, BaseExceptionGroup):
        known = known.exceptions[0]
    return known


def _print_error(exc):
    """Write the error to standard error as one line and return its exit code."""
    line = " ".join(exc.message.split())
    print(f"wisteria: {line}", file=sys.stderr)
    return exc.exit_code


if __name__ == "__main__":
    main()
