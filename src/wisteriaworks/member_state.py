"""The durable state of one member, its commit index and its outgoing effects."""

from wisteriaworks.consensus_log import Log, SyncTracker, check_invariant
from wisteriaworks.effects import (
    AppendLog,
    ApplyEntries,
    CompactLog,
    MembersChanged,
    PersistVote,
    RestoreSnapshot,
    SaveSnapshot,
    SendMessage,
    TakeSnapshot,
    TruncateLog,
)
from wisteriaworks.generated.consensus import EntryKind, LogEntry
from wisteriaworks.membership import Membership, decode_members


class MemberState:
    """Keep the log, term, vote and commit index of a member consistent.

    Every change is recorded as an effect in ``effects``.
    """

    def __init__(self, member_id, stored, snapshot_every):
        self.id = member_id
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.snapshot = stored.snapshot
        self.effects = []
        self._snapshot_every = snapshot_every
        # Number of entries before the snapshot that stay in the log, so that a
        # member that lags slightly can catch up without a snapshot transfer.
        self._retained_entries = snapshot_every // 2
        self._unsynced_snapshot = None
        self._snapshot_requested = False
        self._sequence = self._synced_sequence = self._vote_sequence = 0
        self._deferred_messages = []
        index = stored.snapshot.last_index if stored.snapshot else 0
        term = stored.snapshot.last_term if stored.snapshot else 0
        members = stored.snapshot.members if stored.snapshot else ()
        self.commit_index = self.applied_index = index
        self.log = Log(index, term, stored.entries)
        self.membership = Membership(index, members)
        self._add_member_lists(stored.entries)
        self.sync_tracker = SyncTracker(self.log.last_index)

    @property
    def is_vote_synced(self):
        """Return whether the current term and vote are durable."""
        return self._vote_sequence <= self._synced_sequence

    @property
    def is_voter(self):
        """Return whether this member is a voter in the active member list."""
        return self.id in self.membership.voters

    @property
    def may_campaign(self):
        """Return whether this member may become the leader.

        A voter whose removal is not known to be committed may still campaign,
        since it may be the only member with the newest committed entries.
        """
        membership = self.membership
        is_committed = membership.index <= self.commit_index
        previous = () if is_committed else membership.members_at(membership.index - 1)
        return self.is_voter or any(m.voter and m.id == self.id for m in previous)

    def send(self, recipient, message):
        """Send a message once the current term and vote are durable."""
        if self.is_vote_synced:
            self.effects.append(SendMessage(recipient, message))
        else:
            self._deferred_messages.append((self._vote_sequence, recipient, message))

    def set_vote(self, term, voted_for):
        """Change the term and the vote."""
        check_invariant(term >= self.term, "the term never decreases")
        check_invariant(
            term > self.term or self.voted_for in (None, voted_for),
            "a member votes once in a term",
        )
        self.term, self.voted_for = term, voted_for
        self._vote_sequence = self._next_sequence()
        self.effects.append(PersistVote(self._vote_sequence, term, voted_for))

    def append_new(self, kind, data):
        """Append an entry of the current term and return its index."""
        entry = LogEntry(
            index=self.log.last_index + 1, term=self.term, kind=kind, data=data
        )
        self.append((entry,))
        return entry.index

    def append(self, entries):
        """Append entries that follow the last one."""
        self.log.append(entries)
        sequence = self._next_sequence()
        self.sync_tracker.add(sequence, self.log.last_index)
        self.effects.append(AppendLog(sequence, entries))
        self._add_member_lists(entries)

    def truncate(self, first_index):
        """Remove the entries from ``first_index`` on."""
        check_invariant(
            first_index > self.commit_index, "a committed entry is never truncated"
        )
        self.log.truncate(first_index)
        self.sync_tracker.truncate(first_index)
        self.effects.append(TruncateLog(self._next_sequence(), first_index))
        if self.membership.index >= first_index:
            self.membership.truncate(first_index)
            self.effects.append(MembersChanged(self.membership.members))

    def advance_commit(self, index):
        """Commit the entries up to ``index`` and apply them."""
        check_invariant(index >= self.commit_index, "the commit index never decreases")
        check_invariant(index <= self.log.last_index, "a committed entry is in the log")
        if index == self.commit_index:
            return
        self.commit_index = index
        entries = self.log.get(self.applied_index + 1, index)
        self.effects.append(ApplyEntries(entries))
        self.applied_index = entries[-1].index
        check_invariant(
            self.applied_index <= self.commit_index,
            "only committed entries are applied",
        )
        self._request_snapshot()

    def save_snapshot(self, snapshot):
        """Store a snapshot that was taken for a TakeSnapshot effect."""
        self._snapshot_requested = False
        sequence = self._next_sequence()
        self._unsynced_snapshot = (sequence, snapshot)
        self.effects.append(SaveSnapshot(sequence, snapshot))

    def restore_snapshot(self, snapshot):
        """Replace the state with the leader's snapshot."""
        index, term = snapshot.last_index, snapshot.last_term
        check_invariant(
            index > self.commit_index, "a snapshot never moves the state backwards"
        )
        keep_log = self.log.term_at(index) == term
        if not keep_log:
            self.sync_tracker.truncate(self.commit_index + 1)
            self.log.reset(index, term)
            self.membership = Membership(index, snapshot.members)
            self.effects.append(MembersChanged(snapshot.members))
        self.commit_index = self.applied_index = index
        sequence = self._next_sequence()
        self.sync_tracker.add(sequence, index)
        self._unsynced_snapshot = (sequence, snapshot)
        self.effects.append(RestoreSnapshot(sequence, snapshot, keep_log))

    def handle_synced(self, sequence):
        """Handle the notice that all disk effects up to ``sequence`` are durable."""
        self._synced_sequence = max(self._synced_sequence, sequence)
        self.sync_tracker.confirm(sequence)
        self._send_deferred_messages()
        if self._unsynced_snapshot and self._unsynced_snapshot[0] <= sequence:
            self.snapshot, self._unsynced_snapshot = self._unsynced_snapshot[1], None
            self._compact()

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence

    def _send_deferred_messages(self):
        ready = [
            item for item in self._deferred_messages if item[0] <= self._synced_sequence
        ]
        self._deferred_messages = [
            item for item in self._deferred_messages if item[0] > self._synced_sequence
        ]
        self.effects += [
            SendMessage(recipient, message) for _, recipient, message in ready
        ]

    def _add_member_lists(self, entries):
        changes = [entry for entry in entries if entry.kind is EntryKind.MEMBERS]
        for entry in changes:
            self.membership.add(entry.index, decode_members(entry.data))
        # One effect covers all changes, since a starting member loads its
        # entire log in one call.
        if changes:
            self.effects.append(MembersChanged(self.membership.members))

    def _request_snapshot(self):
        snapshot_index = self.snapshot.last_index if self.snapshot else 0
        index = self.applied_index
        if self._unsynced_snapshot or self._snapshot_requested:
            return
        if index - snapshot_index < self._snapshot_every:
            return
        self._snapshot_requested = True
        members = self.membership.members_at(index)
        self.effects.append(TakeSnapshot(index, self.log.term_at(index), members))

    def _compact(self):
        last_index = self.snapshot.last_index - self._retained_entries
        if last_index > self.log.base_index:
            self.log.compact(last_index)
            self.membership.compact(last_index)
            self.effects.append(CompactLog(self._next_sequence(), last_index))
