"""The commands ``wisteria member ...``."""

from cleo.helpers import argument

from wisteriaworks.cli_common import (
    CALL_TIMEOUT_S,
    CONTROL_OPTION,
    OPERATION_OPTION,
    ControlCommand,
    parse_operation_id,
    send_change,
)
from wisteriaworks.document_checks import is_valid_address
from wisteriaworks.errors import RefusedError, SettingsError
from wisteriaworks.generated.messages import ChangeMembers, MemberAction, ReadStatus

_ID = argument("id", description="Id of the member, NAME/DISK_IDENTITY.")
_ADDRESS = argument("address", description="Address of the member, IP:PORT.")


class _MemberCommand(ControlCommand):
    arguments = (_ID,)
    options = (OPERATION_OPTION, CONTROL_OPTION)
    action = None
    success_text = ""

    def handle(self):
        """Change one member. Raises RefusedError with the reason from control."""
        operation_id = parse_operation_id(self.option("operation-id"))
        member = self.argument("id")
        message = ChangeMembers(operation_id, self.action, member, self._get_address())

        async def change(client):
            resend_hint = f" with --operation-id {operation_id}"
            reply = await send_change(client, message, resend_hint)
            if not reply.accepted:
                await self._check_refusal(client, message, reply.problem)

        self.write_text(f"operation id {operation_id}")
        self.run_with_control(change)
        self.write_text(f"{member} {self.success_text}")

    async def _check_refusal(self, client, message, problem):
        """Raise RefusedError unless the members are already as requested.

        A change that is sent again after a lost reply is refused if the first
        attempt took effect.
        """
        status = await client.call(ReadStatus(), CALL_TIMEOUT_S)
        member = next((m for m in status.members if m.id == message.id), None)
        if not self._is_applied(member, message):
            raise RefusedError(f"control refused the change: {problem}")

    def _get_address(self):
        return ""

    def _is_applied(self, member, message):
        """Return whether ``member``, None if not listed, is as requested."""
        raise NotImplementedError


class MemberAddCommand(_MemberCommand):
    name = "member add"
    description = "Add a control member that receives the log without a vote."
    arguments = (_ID, _ADDRESS)
    action = MemberAction.ADD_LEARNER
    success_text = "is a member"

    def _get_address(self):
        address = self.argument("address")
        if not is_valid_address(address):
            raise SettingsError(f"address: expected IP:PORT, got {address!r}")
        return address

    def _is_applied(self, member, message):
        return member is not None and member.address == message.address


class MemberPromoteCommand(_MemberCommand):
    name = "member promote"
    description = "Give a vote to a control member that has caught up."
    action = MemberAction.PROMOTE
    success_text = "has a vote"

    def _is_applied(self, member, message):
        return member is not None and member.voter


class MemberRemoveCommand(_MemberCommand):
    name = "member remove"
    description = "Remove a control member."
    action = MemberAction.REMOVE
    success_text = "is not a member"

    def _is_applied(self, member, message):
        return member is None


COMMANDS = (MemberAddCommand, MemberPromoteCommand, MemberRemoveCommand)
