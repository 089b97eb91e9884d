"""Keep what a control process without a disk knows of the members. No I/O.

Load pattern: the platform starts the processes of a new system in any order, and
members fail, move or are replaced while operators call. After a loss of power all
processes without a disk start again and know nothing, until members announce
themselves.
"""

import itertools
from dataclasses import dataclass

# Interval of the questions to members and seeds; shorter while no member is known.
ASK_INTERVAL_S = 1.0
SEARCH_INTERVAL_S = 0.1
# A member that has not answered for this long is not named to callers.
RECENT_ANSWER_S = 2.5
# Processes that are asked in one interval.
ASKED_AT_ONCE = 6
# Addresses that were announced or named, but are not those of listed members.
MAX_CANDIDATES = 12
# Time for which a first seed that restarts looks for an existing group before it
# appoints the founder of a new one.
APPOINT_AFTER_S = 0.3


# Unanswered rounds of questions after which the members of a group are forgotten.
FORGET_GROUP_ROUNDS = 50


@dataclass(frozen=True, slots=True)
class MembersReply:
    """Represent the answer of a member, or of a process without a disk."""

    # Empty for a process without a disk.
    member_id: str
    # Address of the leader, or "". A process without a disk names any member.
    leader: str
    # Addresses of the members by their ids.
    listed: dict
    commit_index: int = 0


class MemberView:
    """Know the members that answer, and appoint the founder of a new group."""

    def __init__(self, listen, address, seeds, found, now):
        self._listen = listen
        self._own_address = address
        self._member_port = address.rpartition(":")[2]
        # Later settings don't change this: the members of a new system ask the first
        # seed that the settings named when they started.
        self._appoints = found and tuple(seeds[:1]) == (listen,)
        self._started_at = now
        self.seeds = tuple(seeds)
        # Addresses of the members by their ids, from the newest list.
        self._listed = {}
        self._commit_index = 0
        # Time of the last answer by id of a member.
        self._answered_at = {}
        self._leader = ""
        self._founder = ""
        # Addresses that may be those of members, the newest last.
        self._candidates = {}
        # Number of the next round of questions, which selects the processes to ask.
        self._rounds = itertools.count()
        self._unanswered_rounds = 0

    def list_addresses(self):
        """Return the addresses to ask next: the leader first, the others in turn."""
        self._unanswered_rounds += 1
        seeds = [f"{_split(seed)[0]}:{self._member_port}" for seed in self.seeds]
        known = [*self._listed.values(), *reversed(self._candidates), self._founder]
        others = dict.fromkeys(a for a in (*known, *seeds) if a and a != self._leader)
        others.pop(self._own_address, None)
        leader = [self._leader] if self._leader else []
        count = ASKED_AT_ONCE - len(leader)
        addresses = list(others)
        if len(addresses) > count:
            first = next(self._rounds) * count % len(addresses)
            addresses = addresses[first:] + addresses[:first]
        return leader + addresses[:count]

    def add_candidate(self, address):
        """Ask a process that was announced or named as a member."""
        if address and address != self._own_address:
            self._candidates.pop(address, None)
            self._candidates[address] = None
            while len(self._candidates) > MAX_CANDIDATES:
                del self._candidates[next(iter(self._candidates))]

    def handle_reply(self, reply, now):
        """Record the answer of a process."""
        if not reply.member_id:
            self.add_candidate(reply.leader)
            return
        # A member whose disk was lost belongs to no group until it joins one.
        if not reply.listed or self._is_of_other_group(reply):
            return
        if reply.commit_index >= self._commit_index:
            self._use_list(reply)
        if reply.member_id in self._listed:
            self._answered_at[reply.member_id] = now
            self._unanswered_rounds = 0
        if reply.leader:
            self._leader = reply.leader

    def _is_of_other_group(self, reply):
        """Return whether a list belongs to another group than the one in use.

        Lists of one group share members, unless this process was cut off while all
        were replaced. So a group whose members do not answer is forgotten.
        """
        if not self._listed or self._listed.keys() & reply.listed.keys():
            return False
        if self._unanswered_rounds < FORGET_GROUP_ROUNDS or not reply.leader:
            return True
        self._commit_index = 0
        return False

    def _use_list(self, reply):
        self._commit_index = reply.commit_index
        self._listed = dict(reply.listed)
        for address in reply.listed.values():
            self._candidates.pop(address, None)
        self._answered_at = {
            member_id: answered_at
            for member_id, answered_at in self._answered_at.items()
            if member_id in self._listed
        }

    def find_member(self, now):
        """Return the address of the leader or another running member, or ""."""
        running = [
            address
            for member_id, address in self._listed.items()
            if now - self._answered_at.get(member_id, -RECENT_ANSWER_S)
            < RECENT_ANSWER_S
        ]
        if self._leader in running:
            return self._leader
        return running[0] if running else ""

    def find_operator_address(self, now):
        """Return the address at which a running member serves operators, or ""."""
        host = _split(self.find_member(now))[0]
        by_host = {_split(seed)[0]: seed for seed in self.seeds}
        port = _split(self._listen)[1]
        return by_host.get(host, f"{host}:{port}") if host else ""

    def name_member(self, now):
        """Return a running member or the founder, for members and gateways."""
        return self.find_member(now) or self._founder

    def get_ask_interval(self, now):
        """Return the time until the next questions."""
        return ASK_INTERVAL_S if self.find_member(now) else SEARCH_INTERVAL_S

    def appoint(self, address, now):
        """Return the founder, which is the first member that asks the first seed.

        Returns "" if this process does not appoint, or not yet.
        """
        is_new = not self._listed and not self._candidates
        has_waited = now - self._started_at >= APPOINT_AFTER_S
        if self._appoints and is_new and has_waited and not self._founder:
            self._founder = address
        return self._founder


def _split(address):
    host, _, port = address.rpartition(":")
    return host, port
