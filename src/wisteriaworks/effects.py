"""The effects that the consensus state machine requests from its replica.

The replica executes effects in order. Disk effects have increasing sequence
numbers; once all effects up to a number are durable, the replica reports the
number to ``Consensus.handle_synced``.
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
    """Store the leader's snapshot and replace the state with it.

    The log is kept only if it contains the snapshot's last entry.
    """

    sequence: int
    snapshot: Snapshot
    keep_log: bool


@dataclass(frozen=True, slots=True)
class CompactLog:
    """Delete log files that contain no entry after ``last_index``."""

    sequence: int
    last_index: int


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Encode the state as of ``last_index``.

    The replica passes the result to ``Consensus.save_snapshot``.
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
    """Report a change of the term, the leader or this member's role."""

    term: int
    leader_id: str | None
    is_leader: bool


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Report the new active member list."""

    members: tuple[Member, ...]


DiskEffect = (
    AppendLog | TruncateLog | PersistVote | SaveSnapshot | RestoreSnapshot | CompactLog
)
