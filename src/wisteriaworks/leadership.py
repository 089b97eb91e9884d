"""What a leader keeps for its term: replication, rounds and confirmations."""

import itertools
import math
from collections import deque
from dataclasses import dataclass

from wisteriaworks import membership
from wisteriaworks.consensus_log import check
from wisteriaworks.effects import ConfirmationDone
from wisteriaworks.errors import MembershipError
from wisteriaworks.generated.consensus import (
    AppendEntries,
    EntryKind,
    InstallSnapshot,
    Snapshot,
)
from wisteriaworks.generated.messages import MemberAction

CHUNK_BYTES = 1024 * 1024
# A batch without a reply for this long is taken as lost. Less than the
# election timeout, more than a round trip between regions plus a sync.
RESEND_S = 0.5


@dataclass(slots=True)
class _Peer:
    """Track what another member has. ``in_flight`` is the last index of the
    unanswered batch, 0 if there is none."""

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    contact: float = -math.inf
    in_flight: int = 0
    sent_at: float = -math.inf
    transfer: Snapshot | None = None
    offset: int = 0


@dataclass(frozen=True, slots=True)
class _Round:
    """Record when a round began and what was committed then."""

    number: int
    began_at: float
    commit_index: int


@dataclass(frozen=True, slots=True)
class _Confirmation:
    """Hold a request that needs a round that began after it."""

    token: int
    round: int


class Leadership:
    """Lead one term.

    ``contacts`` maps the voters that granted the vote to the time at which
    they were asked. Contact with a member is counted from the moment the
    answered message was sent, since its own election clock starts later.
    ``lost`` has the members whose disks are lost, if the others elected this
    leader without a majority; they are dropped with its first entry.
    """

    def __init__(self, state, timing, contacts, tokens, now, lost=()):
        self._state = state
        self._timing = timing
        self._tokens = tokens
        self._peers = {}
        self._round = 0
        self._rounds = deque()
        self._heartbeat_at = now
        self._confirmations = []
        if lost:
            self._drop(lost)
        self._refresh_peers()
        for member_id, contact in contacts.items():
            if member_id in self._peers:
                self._peers[member_id].contact = contact
        self._noop_index = state.append_new(EntryKind.NOOP, b"")
        self._begin_round(now)

    def _drop(self, lost):
        rest = tuple(m for m in self._state.membership.members if m.id not in lost)
        data = membership.encode_members(rest)
        self._state.append_new(EntryKind.MEMBERS, data)

    @property
    def is_over(self):
        """Say whether the committed member list no longer has this leader."""
        state = self._state
        is_committed = state.membership.index <= state.commit_index
        return is_committed and not state.is_voter

    @property
    def contacts(self):
        """Return when each other member was last heard, in monotonic seconds."""
        return {member_id: peer.contact for member_id, peer in self._peers.items()}

    def tick(self, now):
        """Send heartbeats when they are due."""
        if now >= self._heartbeat_at:
            self._begin_round(now)

    def has_quorum(self, now):
        """Say whether a majority answered within an election timeout."""
        contact = self._majority_value(now, lambda peer: peer.contact)
        return now - contact < self._timing.election_min_s

    def propose(self, data, now):
        """Append a command and return its index."""
        index = self._state.append_new(EntryKind.COMMAND, data)
        self._replicate_all(now)
        return index

    def confirm(self, now):
        """Start a confirmation of leadership and return its token."""
        token = next(self._tokens)
        self._confirmations.append(_Confirmation(token, self._round + 1))
        self._begin_wanted_round(now)
        return token

    def fail_confirmations(self):
        """Report that no open confirmation succeeded."""
        failed = [ConfirmationDone(item.token, False) for item in self._confirmations]
        self._state.effects += failed
        self._confirmations = []

    def change_members(self, action, member_id, address, now):
        """Append a changed member list and return its index.

        Raises MembershipError.
        """
        state = self._state
        if state.commit_index < self._noop_index:
            raise MembershipError("the leader has not committed in its term yet")
        if state.commit_index < state.membership.index:
            raise MembershipError("another change of members is under way")
        members = self._change_list(action, member_id, address)
        self._check_majority(members, now)
        data = membership.encode_members(members)
        index = state.append_new(EntryKind.MEMBERS, data)
        self._refresh_peers()
        self._replicate_all(now)
        return index

    def handle_append_reply(self, message, now):
        """Take note of what a member has."""
        peer = self._peers.get(message.sender)
        if peer is None:
            return
        if message.accepted:
            self._accept(peer, message)
        elif peer.transfer is None:
            peer.in_flight = 0
            guess = min(peer.next_index - 1, message.received_index + 1)
            peer.next_index = max(peer.match_index + 1, guess)
        self._note_round(peer, message.round, now)
        self.advance_commit(now)
        self._replicate(message.sender, peer, now)

    def handle_snapshot_reply(self, message, now):
        """Send the next chunk of a snapshot."""
        peer = self._peers.get(message.sender)
        if peer is None:
            return
        self._note_round(peer, message.round, now)
        if peer.transfer and peer.transfer.last_index == message.last_index:
            peer.offset = message.offset
            peer.in_flight = 0
            self._replicate(message.sender, peer, now)

    def advance_commit(self, now):
        """Commit what a majority has synced, if it is of this term.

        An entry of an earlier term on a majority may still be replaced, so it
        is committed only by an entry of this term after it.
        """
        state = self._state
        index = self._majority_value(state.sync.index, lambda peer: peer.match_index)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.advance_commit(index)
            self._resolve_confirmations(now)

    def _majority_value(self, own, of_peer):
        state = self._state
        values = [
            own if voter == state.id else of_peer(self._peers[voter])
            for voter in state.membership.voters
        ]
        return sorted(values, reverse=True)[state.membership.majority - 1]

    def _refresh_peers(self):
        ids = [m.id for m in self._state.membership.members if m.id != self._state.id]
        next_index = self._state.log.last_index + 1
        self._peers = {id: self._peers.get(id) or _Peer(next_index) for id in ids}

    def _change_list(self, action, member_id, address):
        members = self._state.membership.members
        match action:
            case MemberAction.ADD_LEARNER:
                return membership.add_learner(members, member_id, address)
            case MemberAction.PROMOTE:
                promoted = membership.promote(members, member_id)
                self._check_caught_up(member_id)
                return promoted
            case MemberAction.REMOVE:
                return membership.remove(members, member_id)

    def _check_caught_up(self, member_id):
        peer = self._peers[member_id]
        acked = self._find_round(peer.acked_round)
        if acked is None or peer.match_index < acked.commit_index:
            raise MembershipError(f"{member_id} has not caught up")

    def _check_majority(self, members, now):
        """Refuse a list whose majority is not there to commit it.

        Such a list could not be replaced any more, since that takes a majority
        of it.
        """
        recent = now - self._timing.election_min_s
        voters = [m.id for m in members if m.voter]
        present = [v for v in voters if self._find_contact(v, now) > recent]
        if len(present) <= len(voters) // 2:
            raise MembershipError("too few voters of the new list answer")

    def _find_contact(self, member_id, now):
        if member_id == self._state.id:
            return now
        return self._peers[member_id].contact

    def _accept(self, peer, message):
        last_index = self._state.log.last_index
        check(message.match_index <= last_index, "no member has more than its leader")
        peer.match_index = max(peer.match_index, message.match_index)
        peer.next_index = max(peer.next_index, message.received_index + 1)
        if peer.transfer and peer.next_index > peer.transfer.last_index:
            peer.transfer, peer.in_flight = None, 0
        if message.received_index >= peer.in_flight:
            peer.in_flight = 0

    def _note_round(self, peer, number, now):
        peer.acked_round = max(peer.acked_round, number)
        acked = self._find_round(number)
        if acked is not None:
            peer.contact = max(peer.contact, acked.began_at)
        self._resolve_confirmations(now)
        self._begin_wanted_round(now)

    def _find_round(self, number):
        return next((r for r in self._rounds if r.number == number), None)

    def _begin_round(self, now):
        self._round += 1
        self._rounds.append(_Round(self._round, now, self._state.commit_index))
        while self._rounds[0].began_at < now - self._timing.election_min_s:
            self._rounds.popleft()
        self._heartbeat_at = now + self._timing.heartbeat_s
        for member_id, peer in self._peers.items():
            if not self._replicate(member_id, peer, now):
                self._send_append(member_id, peer, ())
        self._resolve_confirmations(now)

    def _begin_wanted_round(self, now):
        # One round at a time serves all confirmations requested before it.
        is_wanted = any(item.round > self._round for item in self._confirmations)
        if is_wanted and self._acked_round() == self._round:
            self._begin_round(now)

    def _acked_round(self):
        return self._majority_value(self._round, lambda peer: peer.acked_round)

    def _resolve_confirmations(self, now):
        if not self._confirmations or self._state.commit_index < self._noop_index:
            return
        acked = self._acked_round()
        done = [item for item in self._confirmations if item.round <= acked]
        self._confirmations = [i for i in self._confirmations if i.round > acked]
        self._state.effects += [ConfirmationDone(item.token, True) for item in done]

    def _replicate_all(self, now):
        for member_id, peer in self._peers.items():
            self._replicate(member_id, peer, now)
        self.advance_commit(now)

    def _replicate(self, member_id, peer, now):
        """Send what a member misses; return whether a message was sent."""
        if peer.in_flight and now - peer.sent_at < RESEND_S:
            return False
        if peer.transfer or peer.next_index <= self._state.log.base_index:
            return self._send_chunk(member_id, peer, now)
        entries = self._state.log.get_batch(peer.next_index)
        if not entries:
            return False
        peer.in_flight, peer.sent_at = entries[-1].index, now
        self._send_append(member_id, peer, entries)
        return True

    def _send_append(self, member_id, peer, entries):
        state = self._state
        previous = max(peer.next_index - 1, state.log.base_index)
        message = AppendEntries(
            term=state.term,
            sender=state.id,
            round=self._round,
            previous_index=previous,
            previous_term=state.log.term_at(previous),
            commit_index=state.commit_index,
            entries=entries,
        )
        state.send(member_id, message)

    def _send_chunk(self, member_id, peer, now):
        if peer.transfer is None:
            peer.transfer, peer.offset = self._state.snapshot, 0
        snapshot = peer.transfer
        peer.in_flight, peer.sent_at = snapshot.last_index, now
        message = InstallSnapshot(
            term=self._state.term,
            sender=self._state.id,
            round=self._round,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            members=snapshot.members,
            offset=peer.offset,
            total=len(snapshot.data),
            data=snapshot.data[peer.offset : peer.offset + CHUNK_BYTES],
        )
        self._state.send(member_id, message)
        return True


def create_tokens():
    """Return an iterator over the numbers of confirmations."""
    return itertools.count(1)
