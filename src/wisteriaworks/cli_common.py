"""Options, base classes and helpers shared by the ``wisteria`` commands."""

import os
from pathlib import Path

import trio
import uuid_utils
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from wisteriaworks.configuration import parse_document
from wisteriaworks.document_checks import is_valid_address
from wisteriaworks.errors import ControlError, DocumentError, SettingsError

CONTROL_VARIABLE = "WISTERIA_CONTROL"
# Covers an election of about 3 s and one attempt at each member after it.
CALL_TIMEOUT_S = 5.0
SEND_ATTEMPTS = 3
RESEND_DELAY_S = 0.5

CONTROL_OPTION = option(
    "control",
    description="Control members as HOST:PORT[,HOST:PORT...], HOST an IPv4 address; "
    f"the default is the environment variable {CONTROL_VARIABLE}.",
    flag=False,
)
OPERATION_OPTION = option(
    "operation-id",
    description="UUIDv7 of an earlier try, to send the same change again.",
    flag=False,
)


class ToolCommand(Command):
    """Base class of commands that print text for people."""

    def write_text(self, text):
        """Write lines without markup; cleo would parse ``<...>`` as a style."""
        self.io.output.write(text, new_line=True, type=Type.RAW)

    def write_to_stderr(self, text):
        """Write a line to standard error."""
        self.io.error_output.write(text, new_line=True, type=Type.RAW)

    def write_rows(self, header, rows):
        """Write a table with aligned columns."""
        self.write_text(render_rows(header, rows))


class ControlCommand(ToolCommand):
    """Base class of commands that call the control leader."""

    def run_with_control(self, action):
        """Run ``await action(client)`` on trio and return its result."""
        return trio.run(self._call_action, action)

    async def _call_action(self, action):
        addresses = find_control_addresses(self.option("control"))
        async with open_client(addresses) as client:
            return await action(client)


def open_client(addresses):
    """Return a client of the control leader."""
    # Imported on use, so that commands that only read files load no network code.
    from wisteriaworks.control_client import ControlClient

    return ControlClient(addresses)


def find_control_addresses(value):
    """Return the addresses in the option or the environment. Raises SettingsError."""
    text = value or os.environ.get(CONTROL_VARIABLE, "")
    if not text:
        raise SettingsError(f"give --control or set {CONTROL_VARIABLE}")
    return parse_addresses(text, "--control")


def parse_addresses(text, name):
    """Return the addresses in a comma-separated list. Raises SettingsError."""
    addresses = tuple(part.strip() for part in text.split(","))
    for address in addresses:
        if not is_valid_address(address):
            raise SettingsError(f"{name}: expected IP:PORT[,...], got {address!r}")
    return addresses


def parse_number(text, name, number_type):
    """Return a non-negative number, or None if ``text`` is None.

    Raises SettingsError.
    """
    if text is None:
        return None
    try:
        value = number_type(text)
    except ValueError:
        value = -1
    # The comparison is also false for NaN.
    if not 0 <= value < float("inf"):
        raise SettingsError(
            f"--{name}: expected a finite non-negative number "
            f"(an integer for a version), got {text!r}"
        )
    return value


def parse_operation_id(text):
    """Return the given operation id or a new one. Raises SettingsError."""
    if text is None:
        return str(uuid_utils.uuid7())
    try:
        value = uuid_utils.UUID(text)
    except ValueError:
        value = None
    if value is None or value.version != 7:
        raise SettingsError(f"--operation-id: expected a UUIDv7, got {text!r}")
    return str(value)


def load_document(path):
    """Return the document in a file. Raises DocumentError or SettingsError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "not UTF-8 text"
        raise SettingsError(f"cannot read {path}: {reason}") from exc
    try:
        return parse_document(text)
    except DocumentError as exc:
        raise DocumentError(f"{path}: {exc.message}", exc.problems) from exc


async def send_change(client, message, resend_hint):
    """Send a change up to ``SEND_ATTEMPTS`` times and return the reply.

    A lost reply leaves open whether the change was accepted. Sending it again is
    safe: control stores the result of a proposal under its operation id, and refuses
    a member change that already took effect. Raises ControlError; its message ends
    with ``resend_hint``, the options with which to run the command again.
    """
    may_be_accepted = False
    for attempt in range(1, SEND_ATTEMPTS + 1):
        try:
            return await client.call(message, CALL_TIMEOUT_S)
        except ControlError as exc:
            may_be_accepted |= getattr(exc, "sent", True)
            if attempt == SEND_ATTEMPTS:
                raise _create_no_reply_error(exc, may_be_accepted, resend_hint) from exc
        await trio.sleep(RESEND_DELAY_S)


def _create_no_reply_error(exc, may_be_accepted, resend_hint):
    state = "may have been accepted" if may_be_accepted else "was not sent"
    return ControlError(
        f"{exc.message}; the change {state}, run the command again{resend_hint}"
    )


def render_rows(header, rows):
    """Return a table as text with aligned columns."""
    table = [tuple(header), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in table
    ]
    return "\n".join(line.rstrip() for line in lines)
