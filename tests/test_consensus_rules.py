"""Guard against violations of the consensus rules by a single member."""

import random

import pytest

from wisteriaworks.consensus import Consensus
from wisteriaworks.consensus_log import StoredState
from wisteriaworks.consensus_timing import Timing
from wisteriaworks.effects import ConfirmationDone, SendMessage
from wisteriaworks.errors import InvariantError, MembershipError
from wisteriaworks.generated.consensus import (
    AppendEntries,
    AppendReply,
    EntryKind,
    InstallSnapshot,
    LogEntry,
    Member,
    PreVote,
    PreVoteReply,
    RequestVote,
    VoteReply,
)
from wisteriaworks.generated.messages import MemberAction
from wisteriaworks.membership import encode_members

MEMBERS = tuple(Member(id=id, address=id, voter=True) for id in "abc")
FIRST = LogEntry(index=1, term=1, kind=EntryKind.MEMBERS, data=encode_members(MEMBERS))


class Driver:
    """Drive one member of three; disk writes complete only in ``sync``."""

    def __init__(self, entries=(FIRST,), term=1, voted_for=None, member_id="a"):
        stored = StoredState(term=term, voted_for=voted_for, entries=entries)
        self.now = 0.0
        self.consensus = Consensus(member_id, stored, Timing(), random.Random(0), 0.0)
        self.sent = []
        self.sequence = 0

    def collect(self):
        """Return the messages sent since the last call."""
        for effect in self.consensus.take_effects():
            self.sequence = getattr(effect, "sequence", self.sequence)
            if isinstance(effect, SendMessage):
                self.sent.append(effect.message)
        sent, self.sent = self.sent, []
        return sent

    def receive(self, message):
        self.consensus.receive(message, self.now)
        return self.collect()

    def sync(self):
        self.collect()
        self.consensus.handle_synced(self.sequence, self.now)
        return self.collect()

    def lead(self):
        """Become the leader of the next term."""
        self.now += 2.5
        self.consensus.tick(self.now)
        term = self.consensus.term + 1
        self.receive(PreVoteReply(term=term, sender="b", granted=True))
        self.receive(VoteReply(term=term, sender="b", granted=True))
        assert not self.consensus.is_leader, (
            "became leader before its own vote was synced"
        )
        sent = self.sync()
        assert self.consensus.is_leader
        return sent

    def acknowledge(self, sender, index, number=1):
        return self.receive(
            AppendReply(
                term=self.consensus.term,
                sender=sender,
                round=number,
                accepted=True,
                match_index=index,
                received_index=index,
            )
        )


def _make_append(entries, term=2, previous=1, commit=0):
    return AppendEntries(
        term=term,
        sender="b",
        round=1,
        previous_index=previous,
        previous_term=1,
        commit_index=commit,
        entries=entries,
    )


def _make_entry(index, term=2):
    return LogEntry(index=index, term=term, kind=EntryKind.COMMAND, data=b"x")


def test_follower_acknowledges_only_what_it_has_synced():
    driver = Driver(term=2)
    (reply,) = driver.receive(_make_append((_make_entry(2),)))
    assert (reply.match_index, reply.received_index) == (1, 2)
    (reply,) = driver.sync()
    assert reply.match_index == 2


def test_follower_does_not_acknowledge_a_write_that_was_truncated_meanwhile():
    driver = Driver(term=2)
    driver.receive(_make_append((_make_entry(2), _make_entry(3))))
    driver.collect()
    written = driver.sequence
    driver.receive(_make_append((_make_entry(2, term=3),), term=3))
    # The write and the new term are durable, the new entry is not.
    driver.consensus.handle_synced(written + 1, driver.now)
    assert [reply.match_index for reply in driver.collect()] == [1]


def test_follower_does_not_acknowledge_a_snapshot_before_its_sync():
    entries = tuple(_make_entry(index, term=1) for index in range(2, 6))
    driver = Driver((FIRST, *entries), term=2)
    (reply,) = driver.receive(
        InstallSnapshot(
            term=2,
            sender="b",
            round=1,
            last_index=4,
            last_term=2,
            members=MEMBERS,
            offset=0,
            total=1,
            data=b"x",
        )
    )
    assert (reply.match_index, reply.received_index) == (0, 4)
    (reply,) = driver.sync()
    assert reply.match_index == 4


def test_vote_is_sent_only_after_it_is_persisted():
    driver = Driver()
    driver.now = 1.5
    vote = RequestVote(term=2, sender="b", last_index=1, last_term=1)
    assert driver.receive(vote) == []
    (reply,) = driver.sync()
    assert reply.granted


def test_member_votes_once_in_a_term():
    driver = Driver()
    for now, sender, granted in ((1.5, "b", True), (3.0, "c", False), (3.1, "b", True)):
        driver.now = now
        vote = RequestVote(term=2, sender=sender, last_index=1, last_term=1)
        (reply,) = driver.receive(vote) or driver.sync()
        assert reply.granted == granted


def test_vote_is_remembered_over_a_restart():
    driver = Driver(term=2, voted_for="b")
    driver.now = 1.5
    for sender in "cb":
        vote = RequestVote(term=2, sender=sender, last_index=1, last_term=1)
        (reply,) = driver.receive(vote)
        assert reply.granted == (sender == "b")


def test_sole_voter_becomes_leader_only_after_its_vote_is_persisted():
    data = encode_members(MEMBERS[:1])
    alone = LogEntry(index=1, term=1, kind=EntryKind.MEMBERS, data=data)
    driver = Driver((alone,))
    driver.consensus.tick(0.0)
    driver.consensus.handle_synced(0, 0.0)
    assert not driver.consensus.is_leader
    driver.sync()
    assert driver.consensus.is_leader


@pytest.mark.parametrize("commit", [1, 2])
def test_member_campaigns_until_its_removal_is_committed(commit):
    """Until its removal is committed, a member must be able to lead.

    It may be the only member with the newest committed entries.
    """
    data = encode_members(MEMBERS[1:])
    removal = LogEntry(index=2, term=2, kind=EntryKind.MEMBERS, data=data)
    driver = Driver(term=2)
    driver.receive(_make_append((removal,), commit=commit))
    driver.now = 2.5
    driver.consensus.tick(driver.now)
    prevotes = [m for m in driver.collect() if isinstance(m, PreVote)]
    assert len(prevotes) == (2 if commit == 1 else 0)


def test_voter_that_just_restarted_refuses_votes():
    """A leader may still count the restarted voter in its quorum.

    The voter may have answered that leader before the restart.
    """
    driver = Driver()
    driver.now = 0.9
    vote = RequestVote(term=2, sender="b", last_index=1, last_term=1)
    assert driver.receive(vote) + driver.sync() == []
    assert driver.consensus.term == 1


@pytest.mark.parametrize("idle", [("b",), ("b", "c")])
def test_restart_election_starts_only_if_all_voters_have_just_started(idle):
    """A voter that does not answer may lead, or have had contact with a leader."""
    driver = Driver()
    driver.now = 0.2
    driver.consensus.tick(driver.now)
    driver.collect()
    sent = []
    for sender in idle:
        reply = PreVoteReply(term=1, sender=sender, granted=False, idle=True)
        sent += driver.receive(reply)
    vote_requests = [m for m in sent + driver.sync() if isinstance(m, RequestVote)]
    assert [m.all_idle for m in vote_requests] == (
        [True, True] if len(idle) == 2 else []
    )


@pytest.mark.parametrize("has_vote_request", [False, True])
def test_voters_that_have_just_started_do_not_split_their_votes(has_vote_request):
    """Without an order each voter would vote for itself and delay the election."""
    driver = Driver(member_id="b")
    driver.now = 0.2
    driver.consensus.tick(driver.now)
    for sender in "ac":
        reply = PreVoteReply(term=1, sender=sender, granted=False, idle=True)
        assert not any(isinstance(m, RequestVote) for m in driver.receive(reply))
    if has_vote_request:
        vote = RequestVote(term=2, sender="a", last_index=1, last_term=1, all_idle=True)
        driver.receive(vote)
    driver.now += Timing().restart_step_s
    driver.consensus.tick(driver.now)
    vote_requests = [m for m in driver.sync() if isinstance(m, RequestVote)]
    assert [m.all_idle for m in vote_requests] == (
        [] if has_vote_request else [True, True]
    )


@pytest.mark.parametrize("has_leader_contact", [False, True])
def test_voter_with_leader_contact_refuses_a_restart_election(has_leader_contact):
    driver = Driver()
    if has_leader_contact:
        driver.receive(_make_append((), commit=1))
    driver.now = 0.3
    vote = RequestVote(term=9, sender="b", last_index=1, last_term=1, all_idle=True)
    replies = driver.receive(vote) + driver.sync()
    assert (
        any(isinstance(m, VoteReply) and m.granted for m in replies)
        != has_leader_contact
    )


def test_leader_counts_its_own_entry_only_after_its_sync():
    driver = Driver()
    driver.lead()
    driver.acknowledge("b", 2)
    assert driver.consensus.commit_index == 0
    driver.sync()
    assert driver.consensus.commit_index == 2


def test_entries_of_earlier_terms_are_not_committed_by_counting_replicas():
    driver = Driver((FIRST, _make_entry(2)), term=2)
    driver.lead()
    driver.sync()
    driver.acknowledge("b", 2)
    assert driver.consensus.commit_index == 0
    driver.acknowledge("b", 3)
    assert driver.consensus.commit_index == 3


@pytest.mark.parametrize(
    ("size", "count", "expected"), [(10, 600, 256), (300_000, 9, 3), (2_000_000, 3, 1)]
)
def test_append_message_is_limited_in_entries_and_bytes(size, count, expected):
    driver = Driver()
    driver.lead()
    for _ in range(count):
        driver.consensus.propose(b"x" * size, driver.now)
    driver.sync()
    sent = driver.acknowledge("b", 2)
    assert max(len(m.entries) for m in sent) == expected


def test_one_batch_at_a_time_is_sent_to_a_member():
    driver = Driver()
    driver.lead()
    for _ in range(3):
        driver.consensus.propose(b"x", driver.now)
    assert driver.collect() == []
    (sent,) = driver.acknowledge("b", 2)
    assert len(sent.entries) == 3


def test_contact_time_is_the_send_time_of_the_answered_message():
    """The election timeout of the member may have started at that time."""
    driver = Driver()
    driver.lead()
    driver.sync()
    sent_at = driver.now
    driver.now = sent_at + 0.9
    driver.acknowledge("b", 2, number=1)
    assert driver.consensus.is_leader
    driver.now = sent_at + 1.05
    driver.consensus.tick(driver.now)
    assert not driver.consensus.is_leader


def test_confirmation_needs_a_round_that_began_after_it():
    driver = Driver()
    driver.lead()
    driver.sync()
    driver.acknowledge("b", 2, number=1)
    token = driver.consensus.confirm(driver.now)
    later = driver.consensus.confirm(driver.now)
    driver.collect()
    for number, done in ((1, None), (2, token), (3, later)):
        reply = AppendReply(
            term=2,
            sender="c",
            round=number,
            accepted=True,
            match_index=1,
            received_index=1,
        )
        driver.consensus.receive(reply, driver.now)
        effects = driver.consensus.take_effects()
        tokens = [e.token for e in effects if isinstance(e, ConfirmationDone)]
        assert tokens == [done] * (done is not None)


def test_members_change_one_at_a_time_after_the_leader_committed():
    driver = Driver()
    driver.lead()
    change = driver.consensus.change_members
    with pytest.raises(MembershipError, match="has not committed"):
        change(MemberAction.ADD_LEARNER, "d", "d", driver.now)
    driver.sync()
    driver.acknowledge("b", 2)
    change(MemberAction.ADD_LEARNER, "d", "d", driver.now)
    with pytest.raises(MembershipError, match="in progress"):
        change(MemberAction.REMOVE, "c", "", driver.now)
    driver.sync()
    driver.acknowledge("b", 3)
    with pytest.raises(MembershipError, match="caught up"):
        change(MemberAction.PROMOTE, "d", "", driver.now)
    driver.now += 0.2
    driver.consensus.tick(driver.now)
    driver.acknowledge("d", 2, number=2)
    with pytest.raises(MembershipError, match="caught up"):
        change(MemberAction.PROMOTE, "d", "", driver.now)
    driver.acknowledge("d", 3, number=2)
    change(MemberAction.PROMOTE, "d", "", driver.now)


def test_list_without_a_reachable_majority_is_refused():
    driver = Driver()
    driver.lead()
    driver.sync()
    driver.acknowledge("b", 2)
    with pytest.raises(MembershipError, match="too few"):
        driver.consensus.change_members(MemberAction.REMOVE, "b", "", driver.now)


def test_two_leaders_in_a_term_stop_the_member():
    driver = Driver()
    driver.lead()
    with pytest.raises(InvariantError):
        driver.receive(_make_append((), term=2))
