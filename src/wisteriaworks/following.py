"""The follower role: append the leader's entries and install its snapshots."""

from wisteriaworks.generated.consensus import AppendReply, Snapshot, SnapshotReply


class Follower:
    """Run the follower role for one term.

    ``_verified_index`` is the last index up to which the log is known to match
    the leader's. Only entries that are both verified and synced are
    acknowledged.
    """

    def __init__(self, state, leader_id):
        self._state = state
        self._leader_id = leader_id
        self._verified_index = 0
        self._round = 0
        self._incoming_snapshot = _IncomingSnapshot()

    def acknowledge(self):
        """Report the last synced index to the leader."""
        if self._verified_index:
            self._reply(accepted=True, received=self._verified_index)

    def handle_append(self, message):
        """Append the missing entries and adopt the leader's commit index."""
        self._round = max(self._round, message.round)
        state = self._state
        previous, entries = message.previous_index, message.entries
        if previous < state.log.base_index:
            # The compacted prefix is committed, so it matches the leader's log.
            entries = tuple(e for e in entries if e.index > state.log.base_index)
            previous = state.log.base_index
        elif state.log.term_at(previous) != message.previous_term:
            self._reply(accepted=False, received=self._find_conflict_hint(previous))
            return
        self._append_missing(entries)
        last_index = entries[-1].index if entries else previous
        self._verified_index = max(self._verified_index, last_index)
        commit = min(message.commit_index, self._verified_index)
        state.advance_commit(max(commit, state.commit_index))
        self._reply(accepted=True, received=self._verified_index)

    def handle_install(self, message):
        """Collect a chunk of the leader's snapshot; restore it when complete."""
        self._round = max(self._round, message.round)
        if message.last_index > self._state.commit_index:
            data = self._incoming_snapshot.add(message)
            if data is None:
                self._reply_snapshot(message)
                return
            self._restore(message, data)
        self._verified_index = max(self._verified_index, message.last_index)
        self._reply(accepted=True, received=self._verified_index)

    def _append_missing(self, entries):
        log = self._state.log
        for position, entry in enumerate(entries):
            if log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= log.last_index:
                self._state.truncate(entry.index)
            self._state.append(entries[position:])
            return

    def _find_conflict_hint(self, previous):
        """Return the last index before ``previous`` that may match the leader's log.

        All entries of the conflicting term are skipped at once, so that the
        leader needs one message for each term and not for each entry.
        """
        log = self._state.log
        index = min(previous - 1, log.last_index)
        refused_term = log.term_at(previous)
        while index > self._state.commit_index:
            if log.term_at(index) != refused_term:
                break
            index -= 1
        return index

    def _restore(self, message, data):
        self._incoming_snapshot = _IncomingSnapshot()
        snapshot = Snapshot(
            last_index=message.last_index,
            last_term=message.last_term,
            members=message.members,
            data=data,
        )
        self._state.restore_snapshot(snapshot)

    def _reply(self, accepted, received):
        reply = AppendReply(
            term=self._state.term,
            sender=self._state.id,
            round=self._round,
            accepted=accepted,
            match_index=min(self._state.sync_tracker.index, self._verified_index),
            received_index=received,
        )
        self._state.send(self._leader_id, reply)

    def _reply_snapshot(self, message):
        reply = SnapshotReply(
            term=self._state.term,
            sender=self._state.id,
            round=self._round,
            last_index=message.last_index,
            offset=self._incoming_snapshot.size,
        )
        self._state.send(self._leader_id, reply)


class _IncomingSnapshot:
    """Collect the chunks of a snapshot."""

    def __init__(self):
        self._index = None
        self._data = bytearray()

    @property
    def size(self):
        """Return the number of bytes collected."""
        return len(self._data)

    def add(self, message):
        """Add a chunk; return the complete state, or None while chunks are missing."""
        if message.last_index != self._index:
            self._index = message.last_index
            self._data.clear()
        if message.offset == len(self._data):
            self._data += message.data
        if len(self._data) < message.total:
            return None
        return bytes(self._data)
