"""What the replicated log asks its shell to do.

The shell carries effects out in order. Disk effects carry a rising sequence
number; once every effect up to a number is durable, the shell reports it to
``Consensus.handle_synced``.
"""

from dataclasses import dataclass

from wisteriaworks.generated.consensus import (
    ConsensusMessage,
    LogEntry,
    Member,
    Snapshot,
)


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member."""

    recipient: str
    message: ConsensusMessage


@dataclass(frozen=True, slots=True)
class AppendLog:
    """Append entries to the log on disk."""

    sequence: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Remove the entries from ``first_index`` on from the log on disk."""

    sequence: int
    first_index: int


@dataclass(frozen=True, slots=True)
class PersistVote:
    """Store the term and the vote."""

    sequence: int
    term: int
    voted_for: str | None


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Store a snapshot of this member's own state."""

    sequence: int
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Store the leader's snapshot and replace the state by it.

    The log is kept only if it holds the snapshot's last entry.
    """

    sequence: int
    snapshot: Snapshot
    keep_log: bool


@dataclass(frozen=True, slots=True)
class CompactLog:
    """Delete log files that hold no entry after ``last_index``."""

    sequence: int
    last_index: int


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Encode the state, which is that after ``last_index``.

    The shell passes the result to ``Consensus.save_snapshot``.
    """

    last_index: int
    last_term: int
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply committed entries to the state machine."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class ConfirmationDone:
    """Report whether a requested confirmation of leadership succeeded."""

    token: int
    confirmed: bool


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Report another term, leader or role of this member."""

    term: int
    leader_id: str | None
    is_leader: bool


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Report the members that are in force from now on."""

    members: tuple[Member, ...]


DiskEffect = (
    AppendLog | TruncateLog | PersistVote | SaveSnapshot | RestoreSnapshot | CompactLog
)
