"""The command ``wisteria caller hash``."""

import hashlib
import sys

from cleo.helpers import argument

from wisteriaworks.cli_common import ToolCommand
from wisteriaworks.errors import SettingsError

_STANDARD_INPUT = "-"


class CallerHashCommand(ToolCommand):
    name = "caller hash"
    description = "Print the sha256 of a credential for the configuration document."
    arguments = (
        argument(
            "credential",
            description="Bearer credential of the caller; - reads it from standard "
            "input, which keeps it out of the list of processes.",
        ),
    )

    def handle(self):
        """Print the hash in hexadecimal. Raises SettingsError."""
        credential = self.argument("credential")
        if credential == _STANDARD_INPUT:
            credential = sys.stdin.readline().rstrip("\r\n")
        # A bearer token in an HTTP header cannot contain spaces.
        if not credential or not credential.isprintable() or " " in credential:
            raise SettingsError("credential: expected printable text without spaces")
        self.write_text(hashlib.sha256(credential.encode()).hexdigest())


COMMANDS = (CallerHashCommand,)
