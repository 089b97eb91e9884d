"""The member lists of a log and the changes allowed on them."""

import msgspec

from wisteriaworks.errors import MembershipError
from wisteriaworks.generated.consensus import Member

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Member, ...])


def encode_members(members):
    """Encode a member list as the data of a log entry."""
    return _ENCODER.encode(members)


def decode_members(data):
    """Decode the member list from the data of a log entry."""
    return _DECODER.decode(data)


def add_learner(members, member_id, address, domain=""):
    """Return the list with a new non-voting member. Raises MembershipError."""
    if any(member.id == member_id for member in members):
        raise MembershipError(f"{member_id} is already a member")
    learner = Member(id=member_id, address=address, voter=False, domain=domain)
    return (*members, learner)


def promote(members, member_id):
    """Return the list with a learner promoted to voter. Raises MembershipError."""
    member = _find_member(members, member_id)
    if member.voter:
        raise MembershipError(f"{member_id} is already a voter")
    voter = msgspec.structs.replace(member, voter=True)
    return tuple(voter if m is member else m for m in members)


def remove(members, member_id):
    """Return the list without a member. Raises MembershipError."""
    member = _find_member(members, member_id)
    remaining = tuple(m for m in members if m is not member)
    if not any(m.voter for m in remaining):
        raise MembershipError(f"{member_id} is the last voter")
    return remaining


def _find_member(members, member_id):
    for member in members:
        if member.id == member_id:
            return member
    raise MembershipError(f"{member_id} is not a member")


class Membership:
    """Store the member lists of a log; the newest one is active.

    A list is active as soon as its entry is in the log, before it is committed.
    Truncating that entry makes the previous list active again.
    """

    def __init__(self, index, members):
        self._lists = [(index, members)]

    @property
    def members(self):
        """Return the active member list."""
        return self._lists[-1][1]

    @property
    def index(self):
        """Return the index of the entry that contains the active list."""
        return self._lists[-1][0]

    @property
    def voters(self):
        """Return the ids of the voters."""
        return [member.id for member in self.members if member.voter]

    @property
    def majority(self):
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def add(self, index, members):
        """Add a list and make it the active one."""
        self._lists.append((index, members))

    def truncate(self, first_index):
        """Remove the lists of entries from ``first_index`` on."""
        while self._lists[-1][0] >= first_index:
            self._lists.pop()

    def compact(self, last_index):
        """Remove the lists that were replaced at or before ``last_index``."""
        while len(self._lists) > 1 and self._lists[1][0] <= last_index:
            self._lists.pop(0)

    def members_at(self, index):
        """Return the list that was active at an entry."""
        return next(
            members for start, members in reversed(self._lists) if start <= index
        )
