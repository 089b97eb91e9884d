"""Keep the group of control members whole without an operator."""

import contextlib

import trio

from wisteriaworks.errors import (
    ControlError,
    MembershipError,
    NotLeaderError,
    ProposalUnknownError,
)
from wisteriaworks.generated.messages import ChangeMembers, MemberAction

INTERVAL_S = 0.25
# A silent voter is dropped only above this number, and above twice the tolerated
# losses and one, so that the group keeps its tolerance until a replacement votes.
LEAST_VOTERS = 3
# Longer than a freeze or a restart; a member that returns later joins again.
SILENT_VOTER_S = 10.0
SILENT_LEARNER_S = 30.0
# A member at the address of a newer one has lost its disk; it is dropped when
# it has not been heard for a few heartbeats.
REPLACED_S = 1.0
JOIN_INTERVAL_S = 0.5
JOIN_TIMEOUT_S = 1.0


def choose_change(members, silence, own_id, tolerated_losses=1):
    """Return the next change as (action, member), or None.

    ``silence`` maps the other members to the seconds since they were heard.
    """
    least_voters = max(LEAST_VOTERS, 2 * tolerated_losses + 1)
    others = [member for member in members if member.id != own_id]
    voters = sum(member.voter for member in members)
    latest = {member.address: member.id for member in members}
    for member in others:
        silent_s = silence.get(member.id, 0.0)
        if latest[member.address] != member.id and silent_s > REPLACED_S:
            return MemberAction.REMOVE, member
    for member in others:
        if not member.voter and silence.get(member.id, 0.0) < REPLACED_S:
            return MemberAction.PROMOTE, member
    for member in others:
        silent_s = silence.get(member.id, 0.0)
        if member.voter and voters > least_voters and silent_s > SILENT_VOTER_S:
            return MemberAction.REMOVE, member
        if not member.voter and silent_s > SILENT_LEARNER_S:
            return MemberAction.REMOVE, member
    return None


class MemberKeeper:
    """Change the members while this one leads."""

    def __init__(self, node):
        self._node = node

    async def run(self):
        """Run until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            failures = (MembershipError, NotLeaderError, ProposalUnknownError)
            with contextlib.suppress(*failures):
                await self._step()

    async def _step(self):
        replica = self._node.replica
        if not replica.is_leader or self._node.is_stopping:
            return
        now, since = trio.current_time(), replica.became_leader_at
        silence = {
            member_id: now - max(heard_at, since)
            for member_id, heard_at in replica.contacts.items()
        }
        losses = self._node.cfg.operators.tolerated_losses
        change = choose_change(replica.members, silence, replica.id, losses)
        if change is not None:
            action, member = change
            await replica.change_members(action, member.id, member.address)


async def join_group(node, client):
    """Ask the leader to take this member in whenever it follows none."""
    replica = node.replica
    message = ChangeMembers(
        operation_id="",
        action=MemberAction.ADD_LEARNER,
        id=replica.id,
        address=node.cfg.address,
    )
    while True:
        await trio.sleep(JOIN_INTERVAL_S)
        if replica.leader_address is None and not node.is_stopping:
            with contextlib.suppress(ControlError):
                await client.call(message, JOIN_TIMEOUT_S)
