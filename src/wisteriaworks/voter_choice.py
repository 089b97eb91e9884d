"""Choose the voters of a control group that survives the loss of two members.

Load pattern: two members lose their disks or are replaced at the same time, a failure
domain fails and a disk outside it is lost later, or leaders are replaced one after the
other. Members beyond the voters stand by as learners. No I/O.

The group never grows beyond its target. Promoting a running learner therefore never
brings the running voters closer to the loss of their majority, so learners fill the
group before lost voters are removed. If too few members run to fill the group, a voter
that is known to be lost is removed first: the survivors of a later loss elect a leader
only if all of them answer.
"""

import math
from collections import Counter
from dataclasses import dataclass

from wisteriaworks.generated.messages import MemberAction

# A frozen or restarting member is back within 6 s; a voter that is silent for longer
# is replaced if a learner stands by.
SILENT_VOTER_S = 10.0
# A newer member at the same address, or a learner that joined from the same domain
# while the voter was silent, shows that the voter is lost. This silence of a few
# heartbeats is required in addition.
RECENT_CONTACT_S = 1.0
# With members in fewer domains, one domain has a majority whatever is chosen.
MINIMUM_DOMAINS = 3


@dataclass(frozen=True, slots=True)
class GroupView:
    """Describe the group as its leader sees it.

    ``silence`` maps the ids of the other members to the seconds since the last
    contact with them, and ``joined`` those of the learners that were added under this
    leader at an address where no member was before, to the seconds since then.
    """

    members: tuple
    own_id: str
    target: int
    silence: dict
    joined: dict

    @property
    def voters(self):
        """Return the members that vote."""
        return [member for member in self.members if member.voter]

    def get_silence(self, member):
        """Return for how long a member has been silent; 0 for the leader."""
        return self.silence.get(member.id, 0.0) if member.id != self.own_id else 0.0

    def is_outdated(self, member):
        """Return whether a newer member has the address of a member."""
        newest = [m for m in self.members if m.address == member.address][-1]
        return newest.id != member.id


def choose_voter_change(view):
    """Return the next change as (action, member), or None."""
    voters = view.voters
    by_silence = sorted(voters, key=view.get_silence, reverse=True)
    known_lost = [voter for voter in by_silence if _is_known_to_be_lost(view, voter)]
    learners = _list_learners(view, voters)
    if len(voters) < view.target:
        running = len(voters) - len(known_lost) + len(learners)
        if known_lost and running < view.target:
            return MemberAction.REMOVE, known_lost[0]
        return (MemberAction.PROMOTE, learners[0]) if learners else None
    silent = [v for v in by_silence if view.get_silence(v) > SILENT_VOTER_S]
    for member in known_lost + silent:
        remaining = [voter for voter in voters if voter is not member]
        can_replace = _list_learners(view, remaining) or view.is_outdated(member)
        if can_replace or len(remaining) >= view.target:
            return MemberAction.REMOVE, member
    if len(voters) > view.target:
        return MemberAction.REMOVE, _choose_surplus(view, voters)
    return None


def _list_learners(view, voters):
    """Return the running learners that may vote; the first spreads the voters best."""
    count = Counter(voter.domain for voter in voters)
    learners = [
        member
        for member in view.members
        if not member.voter
        and not view.is_outdated(member)
        and view.get_silence(member) < RECENT_CONTACT_S
    ]
    if len({member.domain for member in view.members}) >= MINIMUM_DOMAINS:
        # One less than a majority of the complete group.
        limit = view.target // 2
        learners = [learner for learner in learners if count[learner.domain] < limit]
    return sorted(learners, key=lambda learner: count[learner.domain])


def _is_known_to_be_lost(view, voter):
    if view.get_silence(voter) <= RECENT_CONTACT_S:
        return False
    return view.is_outdated(voter) or _has_successor(view, voter)


def _has_successor(view, voter):
    """Return whether a learner joined from the voter's domain during its silence.

    A VM that is replaced ends before its successor starts. Learners that stood by
    before this leader was elected, or before the voter fell silent, show nothing, and
    neither does a member that came back without its disk or after its removal.
    """
    domain = [m for m in view.members if m.domain == voter.domain]
    silent = sum(view.get_silence(m) > RECENT_CONTACT_S for m in domain)
    joined = sum(
        view.joined.get(m.id, math.inf) <= view.get_silence(voter)
        for m in domain
        if not m.voter
    )
    # One successor does not show which of two silent members is lost.
    return joined >= max(1, silent)


def _choose_surplus(view, voters):
    """Return the voter to remove from a group that is larger than its target."""
    count = Counter(voter.domain for voter in voters)
    others = [voter for voter in voters if voter.id != view.own_id]
    return max(others, key=lambda voter: (view.get_silence(voter), count[voter.domain]))
