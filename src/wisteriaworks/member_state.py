"""The durable state of one member, its commit index and its outgoing effects."""

from wisteriaworks.consensus_log import Log, SyncTracker, check
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
        # Kept behind a snapshot, so that a member that is a little behind
        # catches up from the log.
        self._kept_entries = snapshot_every // 2
        self._unsaved = None
        self._snapshot_requested = False
        self._sequence = self._synced_sequence = self._vote_sequence = 0
        self._held = []
        index = stored.snapshot.last_index if stored.snapshot else 0
        term = stored.snapshot.last_term if stored.snapshot else 0
        members = stored.snapshot.members if stored.snapshot else ()
        self.commit_index = self.applied_index = index
        self.log = Log(index, term, stored.entries)
        self.membership = Membership(index, members)
        self._learn_members(stored.entries)
        self.sync = SyncTracker(self.log.last_index)

    @property
    def is_vote_synced(self):
        """Say whether the current term and vote are durable."""
        return self._vote_sequence <= self._synced_sequence

    @property
    def is_voter(self):
        """Say whether this member votes by the list in force."""
        return self.id in self.membership.voters

    @property
    def may_campaign(self):
        """Say whether this member may become the leader.

        A member whose removal may not be committed takes part, since it may be
        the only one with the newest committed entries.
        """
        membership = self.membership
        is_decided = membership.index <= self.commit_index
        former = () if is_decided else membership.at(membership.index - 1)
        return self.is_voter or any(m.voter and m.id == self.id for m in former)

    def send(self, recipient, message):
        """Send a message as soon as the term and vote it implies are durable."""
        if self.is_vote_synced:
            self.effects.append(SendMessage(recipient, message))
        else:
            self._held.append((self._vote_sequence, recipient, message))

    def set_vote(self, term, voted_for):
        """Change the term and the vote."""
        check(term >= self.term, "terms never go back")
        check(
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
        self.sync.add(sequence, self.log.last_index)
        self.effects.append(AppendLog(sequence, entries))
        self._learn_members(entries)

    def truncate(self, first_index):
        """Remove the entries from ``first_index`` on."""
        check(first_index > self.commit_index, "a committed entry is never truncated")
        self.log.truncate(first_index)
        self.sync.truncate(first_index)
        self.effects.append(TruncateLog(self._next_sequence(), first_index))
        if self.membership.index >= first_index:
            self.membership.truncate(first_index)
            self.effects.append(MembersChanged(self.membership.members))

    def advance_commit(self, index):
        """Commit the entries up to ``index`` and apply them."""
        check(index >= self.commit_index, "the commit index never goes back")
        check(index <= self.log.last_index, "a committed entry is in the log")
        if index == self.commit_index:
            return
        self.commit_index = index
        entries = self.log.get(self.applied_index + 1, index)
        self.effects.append(ApplyEntries(entries))
        self.applied_index = entries[-1].index
        check(self.applied_index <= self.commit_index, "only committed entries apply")
        self._request_snapshot()

    def save_snapshot(self, snapshot):
        """Store a snapshot that the shell took on request."""
        self._snapshot_requested = False
        sequence = self._next_sequence()
        self._unsaved = (sequence, snapshot)
        self.effects.append(SaveSnapshot(sequence, snapshot))

    def restore_snapshot(self, snapshot):
        """Replace the state by the leader's snapshot."""
        index, term = snapshot.last_index, snapshot.last_term
        check(index > self.commit_index, "a snapshot never goes back")
        keep_log = self.log.term_at(index) == term
        if not keep_log:
            self.sync.truncate(self.commit_index + 1)
            self.log.reset(index, term)
            self.membership = Membership(index, snapshot.members)
            self.effects.append(MembersChanged(snapshot.members))
        self.commit_index = self.applied_index = index
        sequence = self._next_sequence()
        self.sync.add(sequence, index)
        self._unsaved = (sequence, snapshot)
        self.effects.append(RestoreSnapshot(sequence, snapshot, keep_log))

    def handle_synced(self, sequence):
        """Take note that all disk effects up to ``sequence`` are durable."""
        self._synced_sequence = max(self._synced_sequence, sequence)
        self.sync.confirm(sequence)
        self._release_held()
        if self._unsaved and self._unsaved[0] <= sequence:
            self.snapshot, self._unsaved = self._unsaved[1], None
            self._compact()

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence

    def _release_held(self):
        ready = [item for item in self._held if item[0] <= self._synced_sequence]
        self._held = [item for item in self._held if item[0] > self._synced_sequence]
        self.effects += [SendMessage(to, message) for _, to, message in ready]

    def _learn_members(self, entries):
        changes = [entry for entry in entries if entry.kind is EntryKind.MEMBERS]
        for entry in changes:
            self.membership.add(entry.index, decode_members(entry.data))
        # One effect for all, since a member that starts reads its whole log.
        if changes:
            self.effects.append(MembersChanged(self.membership.members))

    def _request_snapshot(self):
        taken = self.snapshot.last_index if self.snapshot else 0
        index = self.applied_index
        if self._unsaved or self._snapshot_requested:
            return
        if index - taken < self._snapshot_every:
            return
        self._snapshot_requested = True
        members = self.membership.at(index)
        self.effects.append(TakeSnapshot(index, self.log.term_at(index), members))

    def _compact(self):
        last_index = self.snapshot.last_index - self._kept_entries
        if last_index > self.log.base_index:
            self.log.compact(last_index)
            self.membership.compact(last_index)
            self.effects.append(CompactLog(self._next_sequence(), last_index))
