"""Start one program of the build with the platform's settings file."""

import importlib
import os
import sys
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "target" / "app"
SETTINGS_VARIABLE = "WISTERIAWORKS_BOOT"
PROGRAMS = {
    "gateway": "wisteriaworks.gateway.program",
    "control": "wisteriaworks.control",
}


def main():
    """Run the named program."""
    sys.path.insert(0, str(PACKAGE))
    module = importlib.import_module(PROGRAMS[sys.argv[1]])
    sys.argv[1:] = ["run", os.environ[SETTINGS_VARIABLE]]
    module.main()


if __name__ == "__main__":
    main()
