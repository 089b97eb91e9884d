"""An in-memory control leader for tests of the operators' commands."""

import msgspec

from wisteriaworks import cli_common, cli_wait
from wisteriaworks.errors import ControlError
from wisteriaworks.generated.messages import (
    ChangeMembers,
    ChangeMembersReply,
    ConfigurationReply,
    EntryState,
    EntryStatus,
    MemberStatus,
    ProposeConfiguration,
    ProposeResult,
    ReadConfiguration,
    ReadStatus,
    Route,
    ServerState,
    StatusReply,
)


def install(monkeypatch, document, version=1):
    """Make the operators' commands call a fake control leader; return it."""
    fake = FakeControl(document, version)
    monkeypatch.setattr(cli_common, "open_client", lambda addresses: fake)
    monkeypatch.setattr(cli_common, "RESEND_DELAY_S", 0)
    monkeypatch.setattr(cli_wait, "POLL_INTERVAL_S", 0)
    monkeypatch.setenv(cli_common.CONTROL_VARIABLE, "127.0.0.1:1")
    return fake


class FakeControl:
    """Store one configuration with compare-and-set and operation IDs.

    ``lose_replies`` is the number of replies to lose after the change is applied.
    ``competing`` documents are applied just before the next proposals.
    ``adopted`` has the version that each entry reports, "latest" for the current.
    """

    def __init__(self, document, version=1):
        self.document = document
        self.version = version
        self.results = {}
        self.proposed = {}
        self.lose_replies = 0
        self.lost_error = ControlError("no control member answered in time")
        self.competing = []
        self.adopted = {"e1": "latest", "e2": "latest"}
        self.member_problem = ""
        self.member_changes = {}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        pass

    async def call(self, message, timeout_s):
        match message:
            case ReadConfiguration():
                return self._answer(ProposeResult.ACCEPTED)
            case ProposeConfiguration():
                return self._propose(message)
            case ChangeMembers():
                return self._change_members(message)
            case ReadStatus():
                return self._status()

    def _answer(self, result):
        return ConfigurationReply(result, self.version, self.document)

    def _propose(self, message):
        if self.competing:
            self.document = self.competing.pop(0)
            self.version += 1
        first = self.proposed.setdefault(message.operation_id, message)
        if first != message:
            problem = (
                "operation_id: expected a new ID; another change has used this one"
            )
            return ConfigurationReply(
                ProposeResult.INVALID, self.version, None, (problem,)
            )
        if message.operation_id not in self.results:
            self.results[message.operation_id] = self._decide(message)
        self._lose_reply()
        return self.results[message.operation_id]

    def _decide(self, message):
        if message.expected_version != self.version:
            return self._answer(ProposeResult.CONFLICT)
        self.document = message.document
        self.version += 1
        return msgspec.structs.replace(
            self._answer(ProposeResult.ACCEPTED), document=None
        )

    def _change_members(self, message):
        self.member_changes.setdefault(message.operation_id, []).append(message)
        self._lose_reply()
        problem = self.member_problem
        return ChangeMembersReply(accepted=not problem, problem=problem)

    def _lose_reply(self):
        if self.lose_replies:
            self.lose_replies -= 1
            raise self.lost_error

    def _status(self):
        entries = tuple(
            self._entry(number, name, version)
            for number, (name, version) in enumerate(self.adopted.items(), 1)
        )
        members = (MemberStatus("c1/aa", "127.0.0.1:1", True, 9),)
        members += (MemberStatus("c2/bb", "127.0.0.1:2", False, 4),)
        held = Route("s1", 1, "127.0.0.1:3", 4, ServerState.READY, True, ())
        free = Route("s2", 0, "", 5, ServerState.UNKNOWN, False, ())
        servers = (free, held)
        return StatusReply("c1/aa", 3, 9, self.version, members, entries, servers)

    def _entry(self, session, name, version):
        version = self.version if version == "latest" else version
        return EntryStatus(
            name, "d1", "127.0.0.1:3", session, EntryState.ACTIVE, version, 20, 7
        )
