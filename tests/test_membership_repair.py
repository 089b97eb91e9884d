"""Guard against a group that does not replace a member or shrinks too far."""

import math
from types import SimpleNamespace

import pytest
import trio

from wisteriaworks.generated.consensus import Member
from wisteriaworks.generated.messages import MemberAction
from wisteriaworks.membership_repair import (
    SILENT_LEARNER_S,
    SILENT_VOTER_S,
    MembershipRepairer,
    choose_change,
)


def make_members(*names, learners=()):
    """Return members named ADDRESS/DISK; the learners do not vote."""
    return tuple(
        Member(id=name, address=name.split("/")[0], voter=name not in learners)
        for name in names
    )


def choose(members, waiting=None, **silence):
    silent = {name.replace("_", "/"): value for name, value in silence.items()}
    change = choose_change(members, silent, "a/1", waiting=waiting)
    return change and (change[0], change[1].id)


def test_complete_group_is_not_changed():
    assert choose(make_members("a/1", "b/1", "c/1")) is None


def test_learner_with_recent_contact_is_promoted():
    members = make_members("a/1", "b/1", learners=("b/1",))
    assert choose(members, b_1=0.1) == (MemberAction.PROMOTE, "b/1")


def test_silent_learner_is_removed_after_its_timeout():
    members = make_members("a/1", "b/1", learners=("b/1",))
    assert choose(members, b_1=5.0) is None
    late = choose(members, b_1=SILENT_LEARNER_S + 1)
    assert late == (MemberAction.REMOVE, "b/1")


class StandInReplica:
    """Lead a group for a minute; its learner has not answered yet."""

    def __init__(self):
        self.is_leader, self.id = True, "a/1"
        self.became_leader_at = trio.current_time() - 60.0
        self.members = make_members("a/1", "b/1", "c/1", "d/1", learners=("d/1",))
        self.last_contacts = {"d/1": -math.inf}
        self.changes = []

    async def change_members(self, action, member_id, address):
        self.changes.append((action, member_id))


async def test_learner_is_not_removed_before_its_first_answer(autojump_clock):
    """Under an older leader members that joined were removed again within 0.25 s."""
    replica = StandInReplica()
    operators = SimpleNamespace(tolerated_losses=1)
    node = SimpleNamespace(
        replica=replica, is_stopping=False, cfg=SimpleNamespace(operators=operators)
    )
    answered = dict.fromkeys(("b/1", "c/1"), math.inf)
    replica.last_contacts |= answered
    with trio.move_on_after(SILENT_LEARNER_S):
        await MembershipRepairer(node).run()
    assert replica.changes == []
    with trio.move_on_after(2 * SILENT_LEARNER_S):
        await MembershipRepairer(node).run()
    assert replica.changes[0] == (MemberAction.REMOVE, "d/1")


def test_member_that_lost_its_disk_is_replaced_by_the_new_one():
    members = make_members("a/1", "b/1", "c/1", "b/2", learners=("b/2",))
    assert choose(members, b_1=2.0, b_2=0.1) == (MemberAction.REMOVE, "b/1")


def test_member_at_a_shared_address_is_kept_while_it_has_contact():
    members = make_members("a/1", "b/1", "c/1", "b/2")
    assert choose(members, b_1=0.2, b_2=0.2) is None


@pytest.mark.parametrize(("others", "is_removed"), [(3, True), (2, False)])
def test_silent_voter_is_removed_only_above_the_minimum_number(others, is_removed):
    names = ["a/1", *(f"{name}/1" for name in "bcd"[:others])]
    change = choose(make_members(*names), b_1=SILENT_VOTER_S + 1)
    assert change == ((MemberAction.REMOVE, "b/1") if is_removed else None)


def test_leader_never_removes_itself():
    members = make_members("a/1", "b/1", "c/1", "d/1", "a/2")
    assert choose(members, a_2=0.1) is None


@pytest.mark.parametrize(
    ("silent_s", "change"),
    [
        # Heard after the learner was added: not the voter that it replaces.
        (0.1, (MemberAction.PROMOTE, "e/1")),
        # Not heard since then, but not long enough to be lost.
        (0.7, None),
        (1.1, (MemberAction.REMOVE, "b/1")),
    ],
)
def test_learner_does_not_vote_beside_the_voter_that_it_replaces(silent_s, change):
    members = make_members(*(f"{n}/1" for n in "abcde"), learners=("e/1",))
    waiting = {"e/1": 0.5}
    silence = {"c_1": 0.1, "d_1": 0.1, "e_1": 0.1, "b_1": silent_s}
    assert choose(members, waiting, **silence) == change


def test_group_does_not_shrink_below_its_minimum_for_a_learner():
    members = make_members(*(f"{n}/1" for n in "abcd"), learners=("d/1",))
    change = choose(members, {"d/1": 5.0}, b_1=6.0, c_1=9.0, d_1=0.1)
    assert change == (MemberAction.REMOVE, "c/1")
    members = make_members("a/1", "b/1", "d/1", learners=("d/1",))
    change = choose(members, {"d/1": 5.0}, b_1=6.0, d_1=0.1)
    assert change == (MemberAction.PROMOTE, "d/1")
