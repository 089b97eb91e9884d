"""The member lists of a log and the changes allowed on them."""

import msgspec

from wisteriaworks.errors import MembershipError
from wisteriaworks.generated.consensus import Member

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Member, ...])


def encode_members(members):
    """Return a member list as the data of a log entry."""
    return _ENCODER.encode(members)


def decode_members(data):
    """Return the member list in the data of a log entry."""
    return _DECODER.decode(data)


def add_learner(members, member_id, address):
    """Return the list with a member that does not vote. Raises MembershipError."""
    if any(member.id == member_id for member in members):
        raise MembershipError(f"{member_id} is a member already")
    return (*members, Member(id=member_id, address=address, voter=False))


def promote(members, member_id):
    """Return the list with a learner turned into a voter. Raises MembershipError."""
    member = _find(members, member_id)
    if member.voter:
        raise MembershipError(f"{member_id} votes already")
    voter = Member(id=member.id, address=member.address, voter=True)
    return tuple(voter if m is member else m for m in members)


def remove(members, member_id):
    """Return the list without a member. Raises MembershipError."""
    member = _find(members, member_id)
    rest = tuple(m for m in members if m is not member)
    if not any(m.voter for m in rest):
        raise MembershipError(f"{member_id} is the last voter")
    return rest


def _find(members, member_id):
    for member in members:
        if member.id == member_id:
            return member
    raise MembershipError(f"{member_id} is not a member")


class Membership:
    """Keep the member lists of a log; the newest one is in force.

    A list is in force from the moment its entry is in the log, so truncation
    of that entry brings the former list back.
    """

    def __init__(self, index, members):
        self._lists = [(index, members)]

    @property
    def members(self):
        """Return the list in force."""
        return self._lists[-1][1]

    @property
    def index(self):
        """Return the index of the entry that brought the list in force."""
        return self._lists[-1][0]

    @property
    def voters(self):
        """Return the ids of the members that vote."""
        return [member.id for member in self.members if member.voter]

    @property
    def majority(self):
        """Return the number of voters that decides."""
        return len(self.voters) // 2 + 1

    def add(self, index, members):
        """Put another list in force."""
        self._lists.append((index, members))

    def truncate(self, first_index):
        """Forget the lists of entries from ``first_index`` on."""
        while self._lists[-1][0] >= first_index:
            self._lists.pop()

    def compact(self, last_index):
        """Forget the lists that were out of force at ``last_index``."""
        while len(self._lists) > 1 and self._lists[1][0] <= last_index:
            self._lists.pop(0)

    def at(self, index):
        """Return the list that was in force at an entry."""
        return next(
            members for start, members in reversed(self._lists) if start <= index
        )
