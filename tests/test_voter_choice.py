"""Guard against a group that two losses, or losses one after the other, leave stuck.

A model without I/O enumerates members, losses, replacements and leaders on the
decision code of the repair, the member lists and the election.
"""

import itertools
import math
import random

import msgspec
import pytest

from wisteriaworks import membership
from wisteriaworks.consensus import Consensus
from wisteriaworks.consensus_log import StoredState
from wisteriaworks.consensus_timing import Timing
from wisteriaworks.generated.consensus import (
    EntryKind,
    LogEntry,
    Member,
    PreVoteReply,
)
from wisteriaworks.generated.messages import MemberAction
from wisteriaworks.membership_repair import RepairPolicy
from wisteriaworks.voter_choice import GroupView, choose_voter_change

STEP_S = 0.25
ELECTION_S = 1.0
LOSSES = 2
LAYOUTS = ("aabbcc", "aabbccdd")
# Time after which a silent voter is replaced by a learner on standby, with a margin.
REPLACED_S = 13.0


class Group:
    """Model the disks, the leader and its member list; one change a step."""

    def __init__(self, layout, founder=0):
        self.now = 0.0
        self.domains = {f"{d}{n}": d for n, d in enumerate(layout)}
        self.disks = dict.fromkeys(self.domains, 0)
        self.down = set()
        first = sorted(self.domains)[founder]
        self.members = (Member(f"{first}/0", first, True, self.domains[first]),)
        self.id = f"{first}/0"
        self.became_leader_at = 0.0
        self.last_contacts = {}
        self.removed = []
        self._policy = RepairPolicy()
        self.run(5.0)

    @property
    def voters(self):
        return [member for member in self.members if member.voter]

    def is_running(self, member):
        is_current = member.id == f"{member.address}/{self.disks.get(member.address)}"
        return is_current and member.address not in self.down

    def has_majority(self, members=None):
        """Return whether the running voters are a majority; learners do not count."""
        lists = membership.Membership(1, members or self.members)
        running = [m for m in lists.members if m.voter and self.is_running(m)]
        return len(running) >= lists.majority

    def lose_disk(self, address):
        self.disks[address] += 1

    def replace(self, address):
        """Remove a VM for good; its successor has another address."""
        self.domains[f"{address}x"] = self.domains.pop(address)
        del self.disks[address]
        self.disks[f"{address}x"] = 0
        return f"{address}x"

    def lead(self, member):
        if self.id != member.id:
            self._policy.reset()
            self.id, self.became_leader_at = member.id, self.now
            self.last_contacts = dict.fromkeys(self.last_contacts, -math.inf)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._step()

    def _step(self):
        leader = next((m for m in self.voters if m.id == self.id), None)
        if not self.has_majority():
            self.became_leader_at = self.now + ELECTION_S
            return
        if leader is None or not self.is_running(leader):
            self._elect()
        if self.now < self.became_leader_at:
            return
        for member in self.members:
            is_running = self.is_running(member)
            earlier = self.last_contacts.get(member.id, -math.inf)
            self.last_contacts[member.id] = self.now if is_running else earlier
        change = self._policy.choose(self, LOSSES, self.now) or self._choose_joiner()
        if change is not None:
            self._apply(*change)
        self._check()

    def _elect(self):
        self.lead(next(m for m in self.voters if self.is_running(m)))
        self.became_leader_at = self.now + ELECTION_S

    def _choose_joiner(self):
        known = {member.id for member in self.members}
        for address, disk in self.disks.items():
            member_id = f"{address}/{disk}"
            if address not in self.down and member_id not in known:
                domain = self.domains[address]
                return MemberAction.ADD_LEARNER, Member(
                    member_id, address, False, domain
                )
        return None

    def _apply(self, action, member):
        match action:
            case MemberAction.ADD_LEARNER:
                members = membership.add_learner(
                    self.members, member.id, member.address, member.domain
                )
            case MemberAction.PROMOTE:
                assert self.is_running(member)
                members = membership.promote(self.members, member.id)
            case MemberAction.REMOVE:
                members = membership.remove(self.members, member.id)
                self.removed.append(member.id)
        # The leader refuses a list of which no majority answers.
        if self.has_majority(members):
            self.members = members
            known = {m.id for m in members}
            self.last_contacts = {
                id: at for id, at in self.last_contacts.items() if id in known
            }
        if action is not MemberAction.ADD_LEARNER:
            self._policy.forget(member.id)

    def _check(self):
        voters = self.voters
        assert len(voters) <= 2 * LOSSES + 1
        if len(voters) == 2 * LOSSES + 1:
            domains = [voter.domain for voter in voters]
            assert max(map(domains.count, domains)) <= LOSSES

    def can_elect(self, lost=()):
        """Return whether the election code elects one of the running members."""
        running = [m.id for m in self.members if self.is_running(m)]
        return any(_is_elected(id, self.members, running, lost) for id in running)

    def check_repaired(self):
        running = [voter for voter in self.voters if self.is_running(voter)]
        expected = min(2 * LOSSES + 1, len(self.disks) - len(self.down))
        assert len(running) == expected
        assert len(self.voters) - len(running) <= 2 * LOSSES + 1 - expected


def _is_elected(candidate, members, running, lost):
    data = membership.encode_members(members)
    entry = LogEntry(index=1, term=1, kind=EntryKind.MEMBERS, data=data)
    stored = StoredState(term=1, voted_for=None, entries=(entry,))
    consensus = Consensus(
        candidate, stored, Timing(), random.Random(1), 0.0, 1000, LOSSES
    )
    consensus.tick(9.0)
    for sender in (*lost, *running):
        reply = PreVoteReply(
            term=0 if sender in lost else 2,
            sender=sender,
            granted=sender not in lost,
            lost=sender in lost,
        )
        if sender != candidate:
            consensus.receive(reply, 9.0)
    # The candidate enters the next term once enough members have granted a pre-vote.
    return consensus.term == 2


def each_leader(layout):
    """Return a formed group under each of its voters as the leader."""
    for position in range(5):
        group = Group(layout)
        group.lead(group.voters[position])
        group.run(1.0)
        yield group


def each_pair(layout):
    """Return a formed group for each leader and each pair of its addresses."""
    for pair in itertools.permutations(Group(layout).disks, 2):
        for group in each_leader(layout):
            yield group, *pair


@pytest.mark.parametrize("layout", LAYOUTS)
def test_five_voters_form_within_two_seconds_whichever_disk_founds(layout):
    for founder in range(len(layout)):
        group = Group(layout, founder)
        group.check_repaired()
        assert len(group.voters) == 5
        assert len(group.members) == len(layout)


@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("apart_s", [0.0, 0.5, 3.0])
def test_two_lost_disks_leave_a_majority(layout, apart_s):
    for group, one, two in each_pair(layout):
        group.lose_disk(one)
        group.run(apart_s)
        group.lose_disk(two)
        lost = [m.id for m in group.members if not group.is_running(m)]
        assert group.has_majority()
        assert group.can_elect(lost)
        group.run(8.0)
        group.check_repaired()


@pytest.mark.parametrize("layout", LAYOUTS)
def test_two_vms_lost_for_good_leave_a_majority(layout):
    for group, one, two in each_pair(layout):
        group.down |= {one, two}
        assert group.has_majority()
        assert group.can_elect()
        group.run(2 * REPLACED_S)
        group.check_repaired()


@pytest.mark.parametrize("layout", LAYOUTS)
def test_domain_and_later_a_disk_outside_it_leave_a_majority(layout):
    for group, one, outside in each_pair(layout):
        domain = group.domains[one]
        if domain == group.domains[outside]:
            continue
        group.down |= {a for a, d in group.domains.items() if d == domain}
        assert group.has_majority()
        group.run(REPLACED_S)
        group.lose_disk(outside)
        assert group.has_majority()
        group.run(REPLACED_S)
        group.down.clear()
        group.run(5.0)
        group.check_repaired()


@pytest.mark.parametrize("layout", LAYOUTS)
def test_domain_and_a_disk_soon_after_leave_a_majority_of_at_most_two_lost(layout):
    for group, one, outside in each_pair(layout):
        domain = group.domains[one]
        if domain == group.domains[outside]:
            continue
        group.down |= {a for a, d in group.domains.items() if d == domain}
        group.run(3.0)
        group.lose_disk(outside)
        lost = sum(not group.is_running(voter) for voter in group.voters)
        assert group.has_majority() == (lost <= LOSSES)
        group.down.discard(one)
        assert group.has_majority()


@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("apart_s", [0.0, 1.0, 3.0, 6.0])
def test_replaced_vm_and_a_lost_disk_leave_a_majority(layout, apart_s):
    for group, one, two in each_pair(layout):
        successor = group.replace(one)
        group.down.add(successor)
        group.run(2.5)
        group.down.clear()
        group.run(apart_s)
        group.lose_disk(two)
        assert group.has_majority()
        group.run(8.0)
        group.check_repaired()
        assert one not in {voter.address for voter in group.voters}


@pytest.mark.parametrize("layout", LAYOUTS)
def test_disk_lost_during_a_restart_of_another_member(layout):
    for group, one, two in each_pair(layout):
        group.down.add(one)
        group.run(1.0)
        group.lose_disk(two)
        assert group.has_majority()
        group.run(2.0)
        group.down.clear()
        group.run(3.0)
        group.check_repaired()


def test_member_without_its_disk_is_replaced_before_a_slow_neighbour():
    """A neighbour in its domain that still restarts would lose its vote instead."""
    for group in each_leader("aabbcc"):
        others = [m.address for m in group.voters if m.id != group.id]
        pairs = [p for p in itertools.permutations(others, 2) if p[0][0] == p[1][0]]
        for slow, lost in pairs[:2]:
            group.down.add(slow)
            group.run(0.5)
            group.lose_disk(lost)
            group.run(1.75)
            assert all(id.startswith(lost) for id in group.removed)
            group.down.clear()
            group.run(9.0)
            group.removed.clear()


def test_frozen_voter_is_not_removed_for_the_successor_of_its_neighbour():
    """Another VM of its domain is replaced while it stands still."""
    voters = [Member(n, n, True, n[0]) for n in ("a1", "a2", "b1", "b2", "c1")]
    standby = [Member(n, n, False, "c") for n in ("c2", "c3")]
    silence = dict.fromkeys(("a2", "b1", "b2", "c3"), 0.0) | {"c1": 1.6, "c2": 9.0}
    view = GroupView((*voters, *standby), "a1", 5, silence, {"c3": 0.8})
    assert choose_voter_change(view) is None


@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("frozen_s", [2.0, 6.0])
def test_frozen_voter_is_not_removed_because_learners_stand_by(layout, frozen_s):
    for group, one, _ in each_pair(layout):
        group.down.add(one)
        group.run(frozen_s)
        group.down.clear()
        group.run(2.0)
        assert group.removed == []


@pytest.mark.parametrize("layout", LAYOUTS)
def test_leaders_replaced_in_turn_leave_a_majority(layout):
    """Three replacements 8 s apart ended a group that grew with each of them."""
    group = Group(layout)
    for _ in range(6):
        leader = next(m for m in group.members if m.id == group.id)
        successor = group.replace(leader.address)
        group.down.add(successor)
        group.run(2.5)
        group.down.clear()
        group.run(5.5)
        assert group.has_majority()
    group.check_repaired()


def test_group_with_too_few_disks_replaces_a_lost_voter_instead_of_growing():
    """With four disks, two more losses at once leave survivors that can elect."""
    for pair in itertools.permutations("abcd", 2):
        group = Group("abcd")
        successor = group.replace(next(a for a in group.disks if a[0] == pair[0]))
        group.down.add(successor)
        group.run(2.5)
        group.down.clear()
        group.run(6.0)
        assert len(group.voters) == 4
        lost = [m for m in group.voters if m.domain in pair]
        for member in lost:
            group.lose_disk(member.address)
        assert group.can_elect([member.id for member in lost])


def test_learner_of_the_domain_with_the_fewest_voters_is_promoted():
    """The loss of the domain with two voters would cost more than needed."""
    names = ("a0", "b0", "c0", "a1", "d0")
    members = tuple(Member(f"{n}/0", n, n[1] == "0" and n != "d0", n[0]) for n in names)
    view = GroupView(members, "a0/0", 5, {}, {})
    assert choose_voter_change(view) == (MemberAction.PROMOTE, members[-1])


def test_surplus_voters_of_an_older_group_become_learners():
    group = Group("aabbcc")
    group.members = tuple(
        msgspec.structs.replace(member, voter=True) for member in group.members
    )
    group.run(2.0)
    group.check_repaired()
    assert len(group.voters) == 5
