"""The commands ``wisteria member ...``."""

from cleo.helpers import argument

from wisteriaworks.cli_common import (
    CONTROL_OPTION,
    OPERATION_OPTION,
    ControlCommand,
    parse_operation_id,
    send_change,
)
from wisteriaworks.document_checks import is_valid_address
from wisteriaworks.errors import RefusedError, SettingsError
from wisteriaworks.generated.messages import ChangeMembers, MemberAction

_ID = argument("id", description="Id of the member, NAME/DISK_IDENTITY.")
_ADDRESS = argument("address", description="Address of the member, IP:PORT.")


class _MemberCommand(ControlCommand):
    arguments = (_ID,)
    options = (OPERATION_OPTION, CONTROL_OPTION)
    action = None
    done = ""

    def handle(self):
        """Change one member. Raises RefusedError with control's reason."""
        operation_id = parse_operation_id(self.option("operation-id"))
        member = self.argument("id")
        message = ChangeMembers(operation_id, self.action, member, self._find_address())

        async def change(client):
            resend = f" with --operation-id {operation_id}"
            return await send_change(client, message, resend)

        self.write_text(f"operation id {operation_id}")
        reply = self.run_with_control(change)
        if not reply.accepted:
            raise RefusedError(f"control refused the change: {reply.problem}")
        self.write_text(f"{member} {self.done}")

    def _find_address(self):
        return ""


class MemberAddCommand(_MemberCommand):
    name = "member add"
    description = "Add a control member that receives the log without a vote."
    arguments = (_ID, _ADDRESS)
    action = MemberAction.ADD_LEARNER
    done = "added, without a vote"

    def _find_address(self):
        address = self.argument("address")
        if not is_valid_address(address):
            raise SettingsError(f"address: expected IP:PORT, got {address!r}")
        return address


class MemberPromoteCommand(_MemberCommand):
    name = "member promote"
    description = "Give a vote to a control member that has caught up."
    action = MemberAction.PROMOTE
    done = "promoted, it votes now"


class MemberRemoveCommand(_MemberCommand):
    name = "member remove"
    description = "Remove a control member."
    action = MemberAction.REMOVE
    done = "removed"


COMMANDS = (MemberAddCommand, MemberPromoteCommand, MemberRemoveCommand)
