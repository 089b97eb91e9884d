"""What a member keeps while it follows the leader of a term."""

from wisteriaworks.generated.consensus import AppendReply, Snapshot, SnapshotReply


class Following:
    """Follow the leader of one term.

    ``verified`` is the last index known to equal the leader's log. Only what
    is both verified and synced is acknowledged.
    """

    def __init__(self, state, leader_id):
        self._state = state
        self._leader_id = leader_id
        self._verified = 0
        self._round = 0
        self._incoming = _Incoming()

    def acknowledge(self):
        """Tell the leader what is synced by now."""
        if self._verified:
            self._reply(accepted=True, received=self._verified)

    def handle_append(self, message):
        """Append what is missing and follow the leader's commit index."""
        self._round = max(self._round, message.round)
        state = self._state
        previous, entries = message.previous_index, message.entries
        if previous < state.log.base_index:
            # The compacted prefix is committed, so it equals the leader's.
            entries = tuple(e for e in entries if e.index > state.log.base_index)
            previous = state.log.base_index
        elif state.log.term_at(previous) != message.previous_term:
            self._reply(accepted=False, received=self._find_hint(previous))
            return
        self._append_missing(entries)
        last_index = entries[-1].index if entries else previous
        self._verified = max(self._verified, last_index)
        commit = min(message.commit_index, self._verified)
        state.advance_commit(max(commit, state.commit_index))
        self._reply(accepted=True, received=self._verified)

    def handle_install(self, message):
        """Collect a chunk of the leader's snapshot; restore it when complete."""
        self._round = max(self._round, message.round)
        if message.last_index > self._state.commit_index:
            data = self._incoming.add(message)
            if data is None:
                self._reply_snapshot(message)
                return
            self._restore(message, data)
        self._verified = max(self._verified, message.last_index)
        self._reply(accepted=True, received=self._verified)

    def _append_missing(self, entries):
        log = self._state.log
        for at, entry in enumerate(entries):
            if log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= log.last_index:
                self._state.truncate(entry.index)
            self._state.append(entries[at:])
            return

    def _find_hint(self, previous):
        """Return the last index that may equal the leader's, before ``previous``.

        The whole term of the entry that differs is skipped at once.
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
        self._incoming = _Incoming()
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
            match_index=min(self._state.sync.index, self._verified),
            received_index=received,
        )
        self._state.send(self._leader_id, reply)

    def _reply_snapshot(self, message):
        reply = SnapshotReply(
            term=self._state.term,
            sender=self._state.id,
            round=self._round,
            last_index=message.last_index,
            offset=self._incoming.size,
        )
        self._state.send(self._leader_id, reply)


class _Incoming:
    """Collect the chunks of a snapshot."""

    def __init__(self):
        self._index = None
        self._data = bytearray()

    @property
    def size(self):
        """Return the number of bytes collected."""
        return len(self._data)

    def add(self, message):
        """Add a chunk; return the whole state once it is complete."""
        if message.last_index != self._index:
            self._index = message.last_index
            self._data.clear()
        if message.offset == len(self._data):
            self._data += message.data
        if len(self._data) < message.total:
            return None
        return bytes(self._data)
