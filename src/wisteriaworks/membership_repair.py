"""Repair the membership of the control group without an operator.

Load pattern: the VMs of members are replaced one after the other, faster than a lost
voter would be removed by its silence alone, and the leader may be among them.
"""

import contextlib
import math

import trio

from wisteriaworks.errors import (
    ControlError,
    MembershipError,
    NotLeaderError,
    ProposalOutcomeUnknownError,
)
from wisteriaworks.generated.messages import (
    ChangeMembers,
    ChangeMembersReply,
    MemberAction,
)
from wisteriaworks.voter_choice import GroupView, choose_voter_change

INTERVAL_S = 0.25
# Interval while a change is due in a group with learners on standby. Five voters are
# formed by four changes, each of which waits until the learner has caught up.
STANDBY_INTERVAL_S = 0.05
# From this number of tolerated losses on, the group has 2 * losses + 1 voters and its
# other members stand by as learners.
STANDBY_LOSSES = 2
# A silent voter is removed only if at least max(MINIMUM_VOTERS, 2 * tolerated
# losses + 1) voters remain, so that the group stays fault-tolerant until a
# replacement is a voter.
MINIMUM_VOTERS = 3
# This timeout exceeds the duration of a freeze or a restart. A member that returns
# later joins the group again.
SILENT_VOTER_S = 10.0
SILENT_LEARNER_S = 30.0
# A newer member at the same address shows that the older one lost its disk. The
# older one is removed after a silence of a few heartbeats, and so is a voter that a
# learner replaces. A learner is promoted only if the last contact with it is more
# recent than this.
RECENT_CONTACT_S = 1.0
JOIN_INTERVAL_S = 0.5
JOIN_TIMEOUT_S = 1.0
# The leader refuses a member while another change is in progress. With eight members
# that join at once, a longer pause delayed the last one by 3 s.
JOIN_RETRY_S = 0.1


def choose_change(
    members, silence, own_id, tolerated_losses=1, waiting=None, joined=None
):
    """Return the next change as (action, member), or None.

    ``silence`` maps the ids of the other members to the seconds since the last
    contact with them, and ``waiting`` those of the learners to the seconds since they
    were added. ``joined`` is ``waiting`` without the learners that succeed no other
    member (see RepairPolicy).
    """
    if tolerated_losses >= STANDBY_LOSSES:
        target = 2 * tolerated_losses + 1
        view = GroupView(members, own_id, target, silence, joined or {})
        return choose_voter_change(view) or _choose_lost_learner(view, waiting or {})
    minimum_voters = max(MINIMUM_VOTERS, 2 * tolerated_losses + 1)
    others = [member for member in members if member.id != own_id]
    voters = sum(member.voter for member in members)
    newest_ids = {member.address: member.id for member in members}
    for member in others:
        silent_s = silence.get(member.id, 0.0)
        if newest_ids[member.address] != member.id and silent_s > RECENT_CONTACT_S:
            return MemberAction.REMOVE, member
    learners = [
        member
        for member in others
        if not member.voter and silence.get(member.id, 0.0) < RECENT_CONTACT_S
    ]
    if learners:
        return _choose_admission(others, learners, silence, minimum_voters, waiting)
    for member in others:
        silent_s = silence.get(member.id, 0.0)
        if member.voter and voters > minimum_voters and silent_s > SILENT_VOTER_S:
            return MemberAction.REMOVE, member
        # A learner that was just added has not answered this leader yet.
        silent_s = min(silent_s, (waiting or {}).get(member.id, math.inf))
        if not member.voter and silent_s > SILENT_LEARNER_S:
            return MemberAction.REMOVE, member
    return None


def _choose_admission(others, learners, silence, minimum_voters, waiting):
    """Return the change that brings the first learner closer to a vote, or None.

    A learner may be the successor of a voter that is lost. If it became a voter beside
    the lost one, each replacement would add a voter that never answers, until the
    members that run are no majority. So a learner is promoted only when all voters
    have answered since it was added; one that stays silent is removed first.
    """
    learner = learners[0]
    waiting_s = (waiting or {}).get(learner.id, math.inf)
    voters = [member for member in others if member.voter]
    silent_s, longest_silent = max(
        ((silence.get(member.id, 0.0), member) for member in voters),
        key=lambda pair: pair[0],
        default=(0.0, None),
    )
    # This member, which leads, is a voter too, so the removal leaves len(voters).
    is_group_large_enough = len(voters) + len(learners) >= minimum_voters
    if not voters or silent_s < waiting_s or not is_group_large_enough:
        return MemberAction.PROMOTE, learner
    if silent_s > RECENT_CONTACT_S:
        return MemberAction.REMOVE, longest_silent
    return None


def _choose_lost_learner(view, waiting):
    for member in view.members:
        silent_s = view.get_silence(member)
        is_outdated = view.is_outdated(member) and silent_s > RECENT_CONTACT_S
        # A learner that was just added has not answered this leader yet.
        silent_s = min(silent_s, waiting.get(member.id, math.inf))
        if not member.voter and (is_outdated or silent_s > SILENT_LEARNER_S):
            return MemberAction.REMOVE, member
    return None


class RepairPolicy:
    """Decide on the changes of one leader by what it has observed. No I/O."""

    def __init__(self):
        # Time at which this leader first saw each learner.
        self._learners = {}
        # Ids of learners that succeed no other member: they were members when this
        # leader was first seen to lead, or have come back.
        self._standby_ids = None
        # First member seen at each address.
        self._first_ids = {}

    def reset(self):
        """Discard the observations of an earlier leadership."""
        self._learners.clear()
        self._first_ids.clear()
        self._standby_ids = None

    def forget(self, member_id):
        """Discard what is known of a changed member: if it joins, it begins anew."""
        self._learners.pop(member_id, None)
        self._standby_ids.add(member_id)

    def _note_members(self, members):
        if self._standby_ids is None:
            self._standby_ids = set(self._learners)
        for member in members:
            if self._first_ids.setdefault(member.address, member.id) != member.id:
                self._standby_ids.add(member.id)

    def choose(self, replica, tolerated_losses, now):
        """Return the next change as (action, member), or None."""
        became_leader_at = replica.became_leader_at
        silence = {
            member_id: now - max(last_contact_at, became_leader_at)
            for member_id, last_contact_at in replica.last_contacts.items()
        }
        self._learners = {
            member.id: max(self._learners.get(member.id, now), became_leader_at)
            for member in replica.members
            if not member.voter
        }
        self._note_members(replica.members)
        waiting = {id: now - added_at for id, added_at in self._learners.items()}
        joined = {id: s for id, s in waiting.items() if id not in self._standby_ids}
        return choose_change(
            replica.members, silence, replica.id, tolerated_losses, waiting, joined
        )


class MembershipRepairer:
    """Remove lost members and promote learners while this member is the leader."""

    def __init__(self, node):
        self._node = node
        self._policy = RepairPolicy()
        self._interval_s = INTERVAL_S

    async def run(self):
        """Run until cancelled."""
        while True:
            await trio.sleep(self._interval_s)
            failures = (MembershipError, NotLeaderError, ProposalOutcomeUnknownError)
            with contextlib.suppress(*failures):
                await self._repair_once()

    async def _repair_once(self):
        replica = self._node.replica
        self._interval_s = INTERVAL_S
        if not replica.is_leader or self._node.is_stopping:
            self._policy.reset()
            return
        losses = self._node.cfg.operators.tolerated_losses
        change = self._policy.choose(replica, losses, trio.current_time())
        if change is not None:
            if losses >= STANDBY_LOSSES:
                self._interval_s = STANDBY_INTERVAL_S
            action, member = change
            await replica.change_members(action, member.id, member.address)
            self._policy.forget(member.id)


async def join_group(node, client):
    """Request admission to the group whenever this member knows no leader.

    ``client`` finds the leader and sends it the request.
    """
    replica = node.replica
    message = ChangeMembers(
        operation_id="",
        action=MemberAction.ADD_LEARNER,
        id=replica.id,
        address=node.cfg.address,
        domain=node.cfg.domain,
    )
    pause_s = JOIN_INTERVAL_S
    while True:
        await trio.sleep(pause_s)
        pause_s = JOIN_INTERVAL_S
        if replica.leader_address is None and not node.is_stopping:
            with contextlib.suppress(ControlError):
                reply = await client.call(message, JOIN_TIMEOUT_S)
                is_refused = isinstance(reply, ChangeMembersReply) and (
                    not reply.accepted
                )
                if is_refused and _has_standby(node):
                    pause_s = JOIN_RETRY_S


def _has_standby(node):
    operators = node.cfg.operators
    return operators is not None and operators.tolerated_losses >= STANDBY_LOSSES
