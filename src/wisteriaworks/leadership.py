"""The leader role: replication, heartbeat rounds and leadership confirmations."""

import itertools
import math
from collections import deque
from dataclasses import dataclass

from wisteriaworks import membership
from wisteriaworks.consensus_log import check_invariant
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
# A batch without a reply for this long counts as lost. The value is below the
# default election timeout and above an inter-region round trip plus a disk sync.
RESEND_S = 0.5


@dataclass(slots=True)
class _Peer:
    """Track the replication progress of another member.

    ``in_flight_index`` is the last index of the unanswered batch, or 0 if there is
    none. ``offset`` is the position of the next chunk in ``pending_snapshot``, in
    bytes.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    last_contact_at: float = -math.inf
    in_flight_index: int = 0
    sent_at: float = -math.inf
    pending_snapshot: Snapshot | None = None
    offset: int = 0


@dataclass(frozen=True, slots=True)
class _Round:
    """Describe one numbered round of messages that are sent to all other members.

    ``commit_index`` is the commit index at the start of the round.
    """

    number: int
    began_at: float
    commit_index: int


@dataclass(frozen=True, slots=True)
class _Confirmation:
    """Represent a confirmation request and the first round that can confirm it."""

    token: int
    round: int


class Leader:
    """Run the leader role for one term.

    ``last_contacts`` maps the voters that granted their vote to the time at which
    the vote was requested. The last contact with a member is the start time of the
    last round that the member acknowledged, since the member's election timeout
    cannot have started before that time. ``lost`` contains the members whose disks
    are lost, if the survivors elected this leader without a majority; its first
    entry removes them from the member list.
    """

    def __init__(self, state, timing, last_contacts, tokens, now, lost=()):
        self._state = state
        self._timing = timing
        self._tokens = tokens
        self._peers = {}
        self._round = 0
        self._rounds = deque()
        self._next_heartbeat_at = now
        self._confirmations = []
        if lost:
            self._remove_lost_members(lost)
        self._refresh_peers()
        for member_id, last_contact_at in last_contacts.items():
            if member_id in self._peers:
                self._peers[member_id].last_contact_at = last_contact_at
        self._noop_index = state.append_new(EntryKind.NOOP, b"")
        self._begin_round(now)

    def _remove_lost_members(self, lost):
        remaining = tuple(m for m in self._state.membership.members if m.id not in lost)
        data = membership.encode_members(remaining)
        self._state.append_new(EntryKind.MEMBERS, data)

    @property
    def is_removed(self):
        """Return whether the committed member list no longer includes this leader."""
        state = self._state
        is_committed = state.membership.index <= state.commit_index
        return is_committed and not state.is_voter

    @property
    def last_contacts(self):
        """Return the monotonic time of the last contact with each other member."""
        return {
            member_id: peer.last_contact_at for member_id, peer in self._peers.items()
        }

    def tick(self, now):
        """Send heartbeats when they are due."""
        if now >= self._next_heartbeat_at:
            self._begin_round(now)

    def has_quorum(self, now):
        """Return whether a majority answered within the minimum election timeout."""
        last_contact_at = self._find_majority_value(
            now, lambda peer: peer.last_contact_at
        )
        return now - last_contact_at < self._timing.election_min_s

    def propose(self, data, now):
        """Append a command and return its index."""
        index = self._state.append_new(EntryKind.COMMAND, data)
        self._replicate_all(now)
        return index

    def confirm(self, now):
        """Start a confirmation of leadership and return its token."""
        token = next(self._tokens)
        self._confirmations.append(_Confirmation(token, self._round + 1))
        self._begin_required_round(now)
        return token

    def fail_confirmations(self):
        """Report all pending confirmations as failed."""
        failed = [ConfirmationDone(item.token, False) for item in self._confirmations]
        self._state.effects += failed
        self._confirmations = []

    def change_members(self, action, member_id, address, now, domain=""):
        """Append a changed member list and return its index.

        Raises MembershipError.
        """
        state = self._state
        if state.commit_index < self._noop_index:
            raise MembershipError(
                "the leader has not committed an entry in its term yet"
            )
        if state.commit_index < state.membership.index:
            raise MembershipError("another membership change is in progress")
        members = self._build_member_list(action, member_id, address, domain)
        self._check_reachable_majority(members, now)
        data = membership.encode_members(members)
        index = state.append_new(EntryKind.MEMBERS, data)
        self._refresh_peers()
        self._replicate_all(now)
        return index

    def handle_append_reply(self, message, now):
        """Update the replication progress of a member and replicate further."""
        peer = self._peers.get(message.sender)
        if peer is None:
            return
        if message.accepted:
            self._update_progress(peer, message)
        elif peer.pending_snapshot is None:
            peer.in_flight_index = 0
            hinted_index = min(peer.next_index - 1, message.received_index + 1)
            peer.next_index = max(peer.match_index + 1, hinted_index)
        self._handle_acked_round(peer, message.round, now)
        self.advance_commit(now)
        self._replicate(message.sender, peer, now)

    def handle_snapshot_reply(self, message, now):
        """Send the next chunk of a snapshot."""
        peer = self._peers.get(message.sender)
        if peer is None:
            return
        self._handle_acked_round(peer, message.round, now)
        if (
            peer.pending_snapshot
            and peer.pending_snapshot.last_index == message.last_index
        ):
            peer.offset = message.offset
            peer.in_flight_index = 0
            self._replicate(message.sender, peer, now)

    def advance_commit(self, now):
        """Commit up to the last entry that a majority has synced.

        That entry must be of the current term: an entry of an earlier term may still
        be replaced although a majority has it, so it is committed only together with
        a later entry of the current term.
        """
        state = self._state
        index = self._find_majority_value(
            state.sync_tracker.index, lambda peer: peer.match_index
        )
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.advance_commit(index)
            self._resolve_confirmations(now)

    def _find_majority_value(self, own_value, get_peer_value):
        state = self._state
        values = [
            own_value if voter == state.id else get_peer_value(self._peers[voter])
            for voter in state.membership.voters
        ]
        return sorted(values, reverse=True)[state.membership.majority - 1]

    def _refresh_peers(self):
        ids = [m.id for m in self._state.membership.members if m.id != self._state.id]
        next_index = self._state.log.last_index + 1
        self._peers = {id: self._peers.get(id) or _Peer(next_index) for id in ids}

    def _build_member_list(self, action, member_id, address, domain):
        members = self._state.membership.members
        match action:
            case MemberAction.ADD_LEARNER:
                return membership.add_learner(members, member_id, address, domain)
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

    def _check_reachable_majority(self, members, now):
        """Raise MembershipError unless a majority of the new list is reachable.

        Otherwise the new list could neither be committed nor replaced, since
        both need a majority of it.
        """
        contact_cutoff = now - self._timing.election_min_s
        voters = [m.id for m in members if m.voter]
        reachable = [
            v for v in voters if self._get_last_contact(v, now) > contact_cutoff
        ]
        if len(reachable) <= len(voters) // 2:
            raise MembershipError("too few voters of the new list are reachable")

    def _get_last_contact(self, member_id, now):
        if member_id == self._state.id:
            return now
        return self._peers[member_id].last_contact_at

    def _update_progress(self, peer, message):
        last_index = self._state.log.last_index
        check_invariant(
            message.match_index <= last_index,
            "no member acknowledges entries that its leader lacks",
        )
        peer.match_index = max(peer.match_index, message.match_index)
        peer.next_index = max(peer.next_index, message.received_index + 1)
        if peer.pending_snapshot and peer.next_index > peer.pending_snapshot.last_index:
            peer.pending_snapshot, peer.in_flight_index = None, 0
        if message.received_index >= peer.in_flight_index:
            peer.in_flight_index = 0

    def _handle_acked_round(self, peer, number, now):
        peer.acked_round = max(peer.acked_round, number)
        acked = self._find_round(number)
        if acked is not None:
            peer.last_contact_at = max(peer.last_contact_at, acked.began_at)
        self._resolve_confirmations(now)
        self._begin_required_round(now)

    def _find_round(self, number):
        return next((r for r in self._rounds if r.number == number), None)

    def _begin_round(self, now):
        self._round += 1
        self._rounds.append(_Round(self._round, now, self._state.commit_index))
        while self._rounds[0].began_at < now - self._timing.election_min_s:
            self._rounds.popleft()
        self._next_heartbeat_at = now + self._timing.heartbeat_s
        for member_id, peer in self._peers.items():
            if not self._replicate(member_id, peer, now):
                self._send_append(member_id, peer, ())
        self._resolve_confirmations(now)

    def _begin_required_round(self, now):
        # Only one confirmation round is pending at a time. It serves all
        # confirmations that were requested before it began.
        is_required = any(item.round > self._round for item in self._confirmations)
        if is_required and self._find_majority_round() == self._round:
            self._begin_round(now)

    def _find_majority_round(self):
        return self._find_majority_value(self._round, lambda peer: peer.acked_round)

    def _resolve_confirmations(self, now):
        if not self._confirmations or self._state.commit_index < self._noop_index:
            return
        acked = self._find_majority_round()
        done = [item for item in self._confirmations if item.round <= acked]
        self._confirmations = [i for i in self._confirmations if i.round > acked]
        self._state.effects += [ConfirmationDone(item.token, True) for item in done]

    def _replicate_all(self, now):
        for member_id, peer in self._peers.items():
            self._replicate(member_id, peer, now)
        self.advance_commit(now)

    def _replicate(self, member_id, peer, now):
        """Send the next missing entries; return whether a message was sent."""
        if peer.in_flight_index and now - peer.sent_at < RESEND_S:
            return False
        if peer.pending_snapshot or peer.next_index <= self._state.log.base_index:
            return self._send_chunk(member_id, peer, now)
        entries = self._state.log.get_batch(peer.next_index)
        if not entries:
            return False
        peer.in_flight_index, peer.sent_at = entries[-1].index, now
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
        if peer.pending_snapshot is None:
            peer.pending_snapshot, peer.offset = self._state.snapshot, 0
        snapshot = peer.pending_snapshot
        peer.in_flight_index, peer.sent_at = snapshot.last_index, now
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
    """Return an iterator over the tokens that identify confirmations."""
    return itertools.count(1)
