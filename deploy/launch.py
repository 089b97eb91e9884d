"""Start one program of the build with the settings file of the platform."""

import gc
import importlib
import os
import sys
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "target" / "app"
SETTINGS_VARIABLE = "WISTERIAWORKS_BOOT"
# Module, function and settings class of each program.
PROGRAMS = {
    "gateway": ("wisteriaworks.gateway.program", "run_gateway", "GatewaySettings"),
    "control": ("wisteriaworks.control", "run_member", "ControlSettings"),
}


def main():
    """Run the named program without its command line, which is slow to import."""
    sys.path.insert(0, str(PACKAGE))
    if sys.argv[1] == "control":
        run_without_disk()
    module_name, function, settings_class = PROGRAMS[sys.argv[1]]
    # Imports leave little garbage, and its collection takes a tenth of the start time.
    gc.disable()
    run = getattr(importlib.import_module(module_name), function)
    from wisteriaworks.errors import WisteriaError
    from wisteriaworks.generated import settings
    from wisteriaworks.settings import load_settings

    gc.freeze()
    gc.enable()
    path = os.environ[SETTINGS_VARIABLE]
    try:
        sys.exit(run(load_settings(path, getattr(settings, settings_class)), path))
    except WisteriaError as exc:
        print(exc.message, file=sys.stderr)
        sys.exit(exc.exit_code)


def run_without_disk():
    """Run control without the imports of a member, if this VM has no disk."""
    from wisteriaworks.redirect.process import read_settings, run_redirect

    path = os.environ[SETTINGS_VARIABLE]
    if (settings := read_settings(path)) is not None:
        sys.exit(run_redirect(settings, path))


if __name__ == "__main__":
    main()
