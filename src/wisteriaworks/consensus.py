"""The replicated log of one member as a pure state machine.

Inputs are messages, clock ticks and disk completions; outputs are the effects
that ``take_effects`` returns. Times are in seconds on a monotonic clock.
"""

from wisteriaworks.consensus_log import check_invariant
from wisteriaworks.effects import LeadershipChanged
from wisteriaworks.following import Follower
from wisteriaworks.generated.consensus import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    PreVote,
    PreVoteReply,
    RequestVote,
    Snapshot,
    SnapshotReply,
    VoteReply,
)
from wisteriaworks.leadership import Leader, create_tokens
from wisteriaworks.member_state import MemberState


class Consensus:
    """Run the replicated log of one member."""

    def __init__(
        self,
        member_id,
        stored,
        timing,
        rng,
        now,
        snapshot_every=1000,
        tolerated_losses=1,
    ):
        self._state = MemberState(member_id, stored, snapshot_every)
        self._tolerated_losses = tolerated_losses
        # Members whose disks are known to be lost; their ids never return.
        self._lost_members = set()
        self._timing = timing
        self._rng = rng
        self._tokens = create_tokens()
        self._leader_role = self._leader_id = None
        self._reported_leadership = None
        # The last contact with a leader is not stored, so it is assumed to be now.
        self._last_contact_at = self._started_at = now
        # True until the first contact with a leader after the start.
        self._has_no_contact = True
        self._no_contact_voters = set()
        # Due time of a restart election (see _handle_no_contact_voter), or None.
        self._restart_election_at = None
        self._votes_granted = None
        self._is_prevote = False
        self._votes_requested_at = now
        self._term_leader = None
        self._follower_role = None
        low, high = self._timing.first_prevote_min_s, self._timing.first_prevote_max_s
        self._campaign_at = now + rng.uniform(low, high)
        if self._state.membership.voters == [member_id]:
            self._campaign_at = now

    @property
    def id(self):
        """Return the id of this member."""
        return self._state.id

    @property
    def term(self):
        """Return the current term."""
        return self._state.term

    @property
    def is_leader(self):
        """Return whether this member believes that it is the leader."""
        return self._leader_role is not None

    @property
    def leader_id(self):
        """Return the id of the leader of the term, or None."""
        return self._leader_id

    @property
    def has_no_leader_contact(self):
        """Return whether this member has had no contact with a leader since start."""
        return self._has_no_contact

    @property
    def members(self):
        """Return the active member list."""
        return self._state.membership.members

    @property
    def last_contacts(self):
        """Return the time of the last contact with each other member, if leader."""
        return self._leader_role.last_contacts if self._leader_role else {}

    @property
    def commit_index(self):
        """Return the index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def log(self):
        """Return the log. The caller must not change it."""
        return self._state.log

    def take_effects(self):
        """Return the effects since the last call."""
        effects, self._state.effects = self._state.effects, []
        return effects

    def tick(self, now):
        """Handle the timeouts that are due at ``now``."""
        self._check_quorum(now)
        if self._leader_role:
            self._leader_role.tick(now)
        elif self._restart_election_at is not None and now >= self._restart_election_at:
            self._start_election(now, all_idle=True)
        elif now >= self._campaign_at and self._state.may_campaign:
            self._start_prevote(now)
        self._finish_input()

    def propose(self, data, now):
        """Append a command and return its index, or None if not the leader."""
        if not self._check_leadership(now):
            return None
        index = self._leader_role.propose(data, now)
        self._finish_input()
        return index

    def confirm(self, now):
        """Start to confirm leadership and return a token, or None if not the leader.

        A ConfirmationDone effect with the token reports the result. It succeeds
        once a majority has answered messages that were sent after this call.
        """
        if not self._check_leadership(now):
            return None
        token = self._leader_role.confirm(now)
        self._finish_input()
        return token

    def change_members(self, action, member_id, address, now, domain=""):
        """Change the member list and return the entry's index, or None.

        None means that this member is not the leader. Raises MembershipError.
        """
        if not self._check_leadership(now):
            return None
        change = action, member_id, address, now, domain
        index = self._leader_role.change_members(*change)
        self._finish_input()
        return index

    def save_snapshot(self, data, request):
        """Store the encoded state that a TakeSnapshot effect requested."""
        snapshot = Snapshot(
            last_index=request.last_index,
            last_term=request.last_term,
            members=request.members,
            data=data,
        )
        self._state.save_snapshot(snapshot)

    def handle_synced(self, sequence, now):
        """Handle the notice that all disk effects up to ``sequence`` are durable."""
        previous_index = self._state.sync_tracker.index
        self._state.handle_synced(sequence)
        self._check_quorum(now)
        if self._leader_role:
            self._leader_role.advance_commit(now)
        elif self._votes_granted is not None and not self._is_prevote:
            self._count_own_vote(now)
        elif self._follower_role and self._state.sync_tracker.index > previous_index:
            self._follower_role.acknowledge()
        self._finish_input()

    def receive(self, message, now):
        """Handle a message from another member."""
        # The quorum is checked first: after a freeze, a leader may read replies from
        # before the freeze although another leader has been elected meanwhile.
        self._check_quorum(now)
        match message:
            case PreVote():
                self._handle_prevote(message, now)
            case PreVoteReply():
                self._handle_prevote_reply(message, now)
            case RequestVote():
                self._handle_request_vote(message, now)
            case _:
                self._handle_in_term(message, now)
        self._finish_input()

    def _handle_in_term(self, message, now):
        if message.term > self.term:
            self._enter_term(message.term)
        if message.term < self.term:
            if isinstance(message, AppendEntries | InstallSnapshot):
                self._refuse_leader(message)
            return
        match message:
            case VoteReply():
                self._handle_vote_reply(message, now)
            case AppendEntries():
                self._follow(message.sender, now)
                self._follower_role.handle_append(message)
            case InstallSnapshot():
                self._follow(message.sender, now)
                self._follower_role.handle_install(message)
            case AppendReply() if self._leader_role:
                self._leader_role.handle_append_reply(message, now)
            case SnapshotReply() if self._leader_role:
                self._leader_role.handle_snapshot_reply(message, now)

    def _refuse_leader(self, message):
        # The higher term in the reply makes a deposed leader step down.
        reply = AppendReply(
            term=self.term,
            sender=self.id,
            round=message.round,
            accepted=False,
            match_index=0,
            received_index=0,
        )
        self._state.send(message.sender, reply)

    def _follow(self, leader_id, now):
        check_invariant(self._term_leader in (None, leader_id), "a term has one leader")
        if self._follower_role is None:
            self._follower_role = Follower(self._state, leader_id)
        self._term_leader = self._leader_id = leader_id
        self._votes_granted = None
        self._has_no_contact = False
        self._restart_election_at = None
        self._last_contact_at = now
        self._reset_campaign_time(now)

    def _check_leadership(self, now):
        self._check_quorum(now)
        self._finish_input()
        return self.is_leader

    def _check_quorum(self, now):
        if self._leader_role and not self._leader_role.has_quorum(now):
            self._step_down()
            self._reset_campaign_time(now)

    def _finish_input(self):
        if self._leader_role and self._leader_role.is_removed:
            self._step_down()
        leadership = LeadershipChanged(self.term, self._leader_id, self.is_leader)
        if leadership != self._reported_leadership:
            self._reported_leadership = leadership
            self._state.effects.append(leadership)

    def _step_down(self):
        if self._leader_role:
            self._leader_role.fail_confirmations()
        self._leader_role = None
        self._leader_id = None
        self._votes_granted = None

    def _enter_term(self, term, voted_for=None):
        self._step_down()
        self._restart_election_at = None
        self._term_leader = self._follower_role = None
        self._state.set_vote(term, voted_for)

    def _reset_campaign_time(self, now):
        low, high = self._timing.election_min_s, self._timing.election_max_s
        self._campaign_at = now + self._rng.uniform(low, high)

    def _has_recent_leader(self, now):
        return (
            self.is_leader or now - self._last_contact_at < self._timing.election_min_s
        )

    def _is_up_to_date(self, message):
        log = self._state.log
        candidate_position = (message.last_term, message.last_index)
        return candidate_position >= (log.last_term, log.last_index)

    # Elections

    def _start_prevote(self, now):
        self._campaign_at = now + self._choose_prevote_interval(now)
        self._leader_id = None
        self._is_prevote = True
        self._votes_granted = {self.id}
        self._no_contact_voters = {self.id} if self._has_no_contact else set()
        self._request_votes(PreVote, self.term + 1)
        self._count_votes(now)

    def _choose_prevote_interval(self, now):
        timing = self._timing
        if self._has_no_contact and now - self._started_at < timing.startup_period_s:
            low, high = timing.first_prevote_min_s, timing.first_prevote_max_s
        else:
            low, high = timing.prevote_retry_min_s, timing.prevote_retry_max_s
        return self._rng.uniform(low, high)

    def _start_election(self, now, all_idle=False):
        self._reset_campaign_time(now)
        if all_idle:
            timing = self._timing
            low, high = timing.restart_retry_min_s, timing.restart_retry_max_s
            self._campaign_at = now + self._rng.uniform(low, high)
        self._enter_term(self.term + 1, voted_for=self.id)
        self._is_prevote = False
        self._votes_granted = set()
        self._votes_requested_at = now
        fields = {"all_idle": True} if all_idle else {}
        self._request_votes(RequestVote, self.term, **fields)

    def _request_votes(self, kind, term, **fields):
        log = self._state.log
        message = kind(
            term=term,
            sender=self.id,
            last_index=log.last_index,
            last_term=log.last_term,
            **fields,
        )
        # Votes of learners count too if voters have lost their disks.
        for member in self._state.membership.members:
            if member.id != self.id and (member.voter or self._lost_members):
                self._state.send(member.id, message)

    def _count_own_vote(self, now):
        if self._state.is_vote_synced:
            self._votes_granted.add(self.id)
            self._count_votes(now)

    def _count_votes(self, now):
        if not self._has_majority() and not self._has_all_survivors():
            return
        if self._is_prevote:
            self._start_election(now)
        elif self.id in self._votes_granted:
            self._become_leader(now)

    def _has_majority(self):
        membership = self._state.membership
        voters_granted = self._votes_granted.intersection(membership.voters)
        return len(voters_granted) >= membership.majority

    def _has_all_survivors(self):
        """Return whether all survivors of a tolerated loss of disks granted votes.

        If fewer voters than a majority lost their disks, at least one survivor has each
        committed entry, and the lost members cannot elect another leader. Learners
        count as survivors, since the lost members may have promoted one to voter.
        """
        membership = self._state.membership
        lost = self._lost_members.intersection(membership.voters)
        is_tolerated = 0 < len(lost) <= self._tolerated_losses
        survivors = {m.id for m in membership.members} - self._lost_members
        return (
            is_tolerated
            and len(lost) < membership.majority
            and survivors <= self._votes_granted
        )

    def _become_leader(self, now):
        lost = () if self._has_majority() else self._lost_members
        last_contacts = dict.fromkeys(self._votes_granted, self._votes_requested_at)
        self._votes_granted = None
        self._has_no_contact = False
        self._term_leader = self._leader_id = self.id
        self._leader_role = Leader(
            self._state, self._timing, last_contacts, self._tokens, now, lost
        )

    def _handle_prevote(self, message, now):
        granted = (
            message.term > self.term
            and not self._has_recent_leader(now)
            and self._is_up_to_date(message)
        )
        term = message.term if granted else self.term
        reply = PreVoteReply(
            term=term, sender=self.id, granted=granted, idle=self._has_no_contact
        )
        self._state.send(message.sender, reply)

    def _handle_prevote_reply(self, message, now):
        if not message.granted and message.term > self.term:
            self._enter_term(message.term)
        if message.lost:
            self._lost_members.add(message.sender)
        is_current = self._votes_granted is not None and self._is_prevote
        if message.granted and is_current and message.term == self.term + 1:
            self._votes_granted.add(message.sender)
            self._count_votes(now)
        elif message.idle and is_current:
            self._handle_no_contact_voter(message.sender, now)
        if message.lost and self._votes_granted is not None:
            self._count_votes(now)

    def _handle_no_contact_voter(self, sender, now):
        """Record a voter; if no voter had leader contact, schedule a restart election.

        If all voters have restarted, as after a power loss, so has the former
        leader, and no leader relies on the acknowledgements of these voters.
        """
        self._no_contact_voters.add(sender)
        voters = self._state.membership.voters
        if not self._has_no_contact or not self._no_contact_voters.issuperset(voters):
            return
        rank = sorted(voters).index(self.id) if self.id in voters else len(voters)
        if rank == 0:
            self._start_election(now, all_idle=True)
        elif self._restart_election_at is None:
            self._restart_election_at = now + rank * self._timing.restart_step_s
            self._campaign_at = max(self._campaign_at, self._restart_election_at)

    def _handle_request_vote(self, message, now):
        is_repeated = message.term == self.term and (
            self._state.voted_for == message.sender
        )
        is_restart_election = self._has_no_contact and message.all_idle
        # The leader, and members within election_min_s of contact with it, handle only
        # these two kinds: a partitioned member cannot depose a leader with a majority.
        if self._has_recent_leader(now) and not is_repeated and not is_restart_election:
            return
        if message.term > self.term:
            self._enter_term(message.term)
        can_vote = self._state.voted_for in (None, message.sender)
        granted = (
            message.term == self.term and can_vote and self._is_up_to_date(message)
        )
        if granted:
            self._grant_vote(message.sender, now)
        reply = VoteReply(term=self.term, sender=self.id, granted=granted)
        self._state.send(message.sender, reply)

    def _grant_vote(self, candidate, now):
        self._last_contact_at = now
        self._reset_campaign_time(now)
        if self._state.voted_for is None:
            self._state.set_vote(self.term, candidate)

    def _handle_vote_reply(self, message, now):
        is_current = self._votes_granted is not None and not self._is_prevote
        if message.granted and is_current:
            self._votes_granted.add(message.sender)
            self._count_votes(now)
