"""The commands ``wisteria config ...``."""

from cleo.helpers import argument, option

from wisteriaworks.cli_common import (
    CALL_TIMEOUT_S,
    CONTROL_OPTION,
    OPERATION_OPTION,
    ControlCommand,
    ToolCommand,
    load_document,
    parse_number,
    parse_operation_id,
    send_change,
)
from wisteriaworks.cli_wait import WAIT_OPTION, wait_for_entries
from wisteriaworks.configuration import (
    check_document,
    diff_documents,
    list_errors,
    raise_problems,
    render_document,
)
from wisteriaworks.errors import ConflictError, DocumentError
from wisteriaworks.generated.messages import (
    ProposeConfiguration,
    ProposeResult,
    ReadConfiguration,
)

_FILE = argument("file", description="Configuration document in YAML.")


class ConfigCheckCommand(ToolCommand):
    name = "config check"
    description = "Check a configuration document without calling control."
    arguments = (_FILE,)

    def handle(self):
        """List the problems. Raises DocumentError if one is an error."""
        path = self.argument("file")
        document = load_document(path)
        problems = check_document(document)
        for problem in problems:
            self.write_text(f"{problem.severity.value}: {problem}")
        errors = list_errors(problems)
        if errors:
            raise DocumentError(f"{path}: {_count(len(errors), 'error')}")
        warnings = _count(len(problems), "warning")
        self.write_text(f"{path}: valid, {warnings}")


class ConfigShowCommand(ControlCommand):
    name = "config show"
    description = "Print the configuration in force as YAML."
    options = (CONTROL_OPTION,)

    def handle(self):
        """Print the version as a comment, then the document."""
        reply = self.run_with_control(read_configuration)
        self.write_text(f"# version {reply.version}")
        if reply.document is not None:
            self.write_text(render_document(reply.document).rstrip("\n"))


class ConfigDiffCommand(ControlCommand):
    name = "config diff"
    description = "Show what applying a document would change."
    arguments = (_FILE,)
    options = (CONTROL_OPTION,)

    def handle(self):
        """Print the changes from the configuration in force to the file."""
        document = load_document(self.argument("file"))
        reply = self.run_with_control(read_configuration)
        write_changes(
            self,
            f"Changes compared with version {reply.version}, which is in force:",
            diff_documents(reply.document, document),
        )


class ConfigApplyCommand(ControlCommand):
    name = "config apply"
    description = "Put a document in force, by compare-and-set on the version."
    arguments = (_FILE,)
    options = (
        option(
            "expected-version",
            description="Version that the change builds on; the default is the "
            "version in force.",
            flag=False,
        ),
        OPERATION_OPTION,
        WAIT_OPTION,
        CONTROL_OPTION,
    )

    def handle(self):
        """Check, diff and propose a document; wait for the entries if requested."""
        document = load_checked_document(self, self.argument("file"))
        expected = parse_number(
            self.option("expected-version"), "expected-version", int
        )
        wait_s = parse_number(self.option("wait"), "wait", float)
        operation_id = parse_operation_id(self.option("operation-id"))

        async def apply(client):
            version = await self._propose(client, document, expected, operation_id)
            if wait_s is not None:
                await wait_for_entries(self, client, version, wait_s)

        self.run_with_control(apply)

    async def _propose(self, client, document, expected, operation_id):
        base = await read_configuration(client)
        changes = diff_documents(base.document, document)
        write_changes(
            self,
            f"Changes compared with version {base.version}, which is in force:",
            changes,
        )
        expected = base.version if expected is None else expected
        if not changes and not self.option("operation-id"):
            return self._report_unchanged(base, expected)
        self.write_text(f"operation id {operation_id}")
        message = ProposeConfiguration(operation_id, expected, document)
        resend_hint = (
            f" with --operation-id {operation_id} --expected-version {expected}"
        )
        reply = await send_change(client, message, resend_hint)
        self._check_reply(reply, base, message)
        self.write_text(f"accepted as version {reply.version}")
        return reply.version

    def _report_unchanged(self, base, expected):
        if expected != base.version:
            raise create_conflict(base.version, expected)
        self.write_text(f"nothing to change in version {base.version}")
        return base.version

    def _check_reply(self, reply, base, message):
        check_invalid(reply)
        if reply.result is ProposeResult.CONFLICT:
            _write_conflict(self, reply, base, message)
            raise create_conflict(reply.version, message.expected_version)


async def read_configuration(client):
    """Return the reply with the configuration in force. Raises ControlError."""
    return await client.call(ReadConfiguration(), CALL_TIMEOUT_S)


def load_checked_document(command, path):
    """Return a valid document after printing warnings. Raises DocumentError."""
    document = load_document(path)
    problems = check_document(document)
    errors = list_errors(problems)
    if errors:
        raise_problems(errors, f"{path}: ")
    for problem in problems:
        command.write_to_stderr(f"warning: {problem}")
    return document


def write_changes(command, title, changes):
    """Write a list of changes under a title."""
    command.write_text(title)
    for change in changes:
        command.write_text(f"  {change}")
    if not changes:
        command.write_text("  none")


def _write_conflict(command, reply, base, message):
    """Write both operators' changes.

    If the document of the expected version is not known, write the differences
    between the document in force and the operator's document instead.
    """
    if base.version != message.expected_version:
        title = (
            f"Your document compared with version {reply.version}, which is in force:"
        )
        changes = diff_documents(reply.document, message.document)
        write_changes(command, title, changes)
        return
    theirs = diff_documents(base.document, reply.document)
    yours = diff_documents(base.document, message.document)
    title = (
        f"Changes from version {base.version} to {reply.version}, which is in force:"
    )
    write_changes(command, title, theirs)
    write_changes(command, f"Your changes to version {base.version}:", yours)


def check_invalid(reply):
    """Raise DocumentError if control rejected the document as invalid."""
    if reply.result is ProposeResult.INVALID:
        problems = "; ".join(reply.problems)
        raise DocumentError(f"control refused the document: {problems}")


def create_conflict(version, expected):
    """Return the error for a change that is not based on the current version."""
    return ConflictError(
        f"the configuration is at version {version}, expected {expected}; "
        "this change was not accepted"
    )


def _count(number, noun):
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"


COMMANDS = (
    ConfigCheckCommand,
    ConfigShowCommand,
    ConfigDiffCommand,
    ConfigApplyCommand,
)
