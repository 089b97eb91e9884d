"""The commands ``wisteria domain ...``."""

from cleo.helpers import argument

from wisteriaworks.cli_common import (
    CONTROL_OPTION,
    ControlCommand,
    parse_number,
    parse_operation_id,
    send_change,
)
from wisteriaworks.cli_config import check_invalid, create_conflict, read_configuration
from wisteriaworks.cli_wait import WAIT_OPTION, wait_for_entries
from wisteriaworks.configuration import check_document, set_domain_state
from wisteriaworks.errors import RefusedError
from wisteriaworks.generated.document import DomainState
from wisteriaworks.generated.messages import ProposeConfiguration, ProposeResult

# Each conflict means that another change was accepted first, so repeated
# conflicts are rare.
PROPOSE_ATTEMPTS = 5


class _DomainCommand(ControlCommand):
    arguments = (argument("name", description="Name of the failure domain."),)
    options = (WAIT_OPTION, CONTROL_OPTION)
    state = None

    def handle(self):
        """Change the state of one domain; wait for the entries if requested."""
        wait_s = parse_number(self.option("wait"), "wait", float)

        async def change(client):
            version = await self._change(client)
            if wait_s is not None:
                await wait_for_entries(self, client, version, wait_s)

        self.run_with_control(change)

    async def _change(self, client):
        for _ in range(PROPOSE_ATTEMPTS):
            base = await read_configuration(client)
            reply = await self._propose(client, base)
            if reply.result is not ProposeResult.CONFLICT:
                return reply.version
            self.write_to_stderr(
                f"another change was accepted as version {reply.version}, trying again"
            )
        raise create_conflict(reply.version, base.version)

    async def _propose(self, client, base):
        name = self.argument("name")
        if base.document is None:
            raise RefusedError("control has no configuration yet")
        document = set_domain_state(base.document, name, self.state)
        if document == base.document:
            self.write_text(
                f"{name} is already {self.state.value} in version {base.version}"
            )
            return base
        self._write_new_warnings(base.document, document)
        message = ProposeConfiguration(parse_operation_id(None), base.version, document)
        reply = await send_change(client, message, "")
        check_invalid(reply)
        if reply.result is ProposeResult.ACCEPTED:
            self.write_text(
                f"{name} is {self.state.value} as of version {reply.version}"
            )
        return reply

    def _write_new_warnings(self, old, new):
        known = set(check_document(old))
        for problem in check_document(new):
            if problem not in known:
                self.write_to_stderr(f"{problem.severity.value}: {problem}")


class DomainDrainCommand(_DomainCommand):
    name = "domain drain"
    description = "Take a failure domain out of service."
    state = DomainState.OUT


class DomainReturnCommand(_DomainCommand):
    name = "domain return"
    description = "Return a failure domain to service."
    state = DomainState.IN_SERVICE


COMMANDS = (DomainDrainCommand, DomainReturnCommand)
