"""The command ``wisteria status``."""

from wisteriaworks.cli_common import CALL_TIMEOUT_S, CONTROL_OPTION, ControlCommand
from wisteriaworks.generated.messages import ReadStatus

_MEMBER_HEADER = ("MEMBER", "ADDRESS", "ROLE", "LOG INDEX")
_ENTRY_HEADER = (
    "ENTRY",
    "DOMAIN",
    "STATE",
    "VERSION",
    "LAST CONTACT MS",
    "SERVERS",
    "ADDRESS",
)
_SERVER_HEADER = ("SERVER", "HOLDER", "EPOCH", "STATE")


class StatusCommand(ControlCommand):
    name = "status"
    description = "Show the leader, the control members, the entries and the servers."
    options = (CONTROL_OPTION,)

    def handle(self):
        """Print the status that the control leader reports."""
        status = self.run_with_control(_read_status)
        self.write_text(
            f"leader {status.leader or 'unknown'}, term {status.term}, "
            f"log committed up to {status.commit_index}, "
            f"configuration version {status.config_version}"
        )
        self._write_section(_MEMBER_HEADER, _list_members(status))
        self._write_section(_ENTRY_HEADER, _list_entries(status))
        self._write_section(_SERVER_HEADER, _list_servers(status))

    def _write_section(self, header, rows):
        self.write_text("")
        self.write_rows(header, rows)


async def _read_status(client):
    return await client.call(ReadStatus(), CALL_TIMEOUT_S)


def _list_members(status):
    return [
        (m.id, m.address, _get_role(m, status), m.match_index) for m in status.members
    ]


def _get_role(member, status):
    if status.leader in (member.id, member.address):
        return "leader"
    return "voter" if member.voter else "learner"


def _list_entries(status):
    return [
        (
            entry.name,
            entry.domain,
            entry.state.value,
            entry.config_version,
            entry.age_ms,
            entry.held,
            entry.address,
        )
        for entry in sorted(status.entries, key=lambda entry: entry.name)
    ]


def _list_servers(status):
    names = {entry.session: entry.name for entry in status.entries}
    return [
        (
            route.server,
            names.get(route.holder, "none" if not route.holder else route.address),
            route.epoch,
            f"{route.state.value}, leaving" if route.leaving else route.state.value,
        )
        for route in sorted(status.servers, key=lambda route: route.server)
    ]


COMMANDS = (StatusCommand,)
