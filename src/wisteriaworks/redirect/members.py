"""Keep what a control process without a disk knows of the members. No I/O.

Load pattern: the platform starts the processes of a new system in any order, and
members fail, move or are replaced while operators call.
"""

# Interval of the questions to members and seeds; shorter while no member is known.
ASK_INTERVAL_S = 1.0
SEARCH_INTERVAL_S = 0.1
# A member that has not answered for this long is not named to callers.
RECENT_ANSWER_S = 2.5
# Members that are asked in one interval.
ASKED_AT_ONCE = 6
# Time for which a first seed that restarts looks for an existing group before it
# appoints the founder of a new one.
APPOINT_AFTER_S = 0.3


class MemberView:
    """Know the members that answer, and appoint the founder of a new group."""

    def __init__(self, listen, address, seeds, found, now):
        self._listen = listen
        self._own_address = address
        self._member_port = address.rpartition(":")[2]
        self._found = found
        self._started_at = now
        self.seeds = tuple(seeds)
        # Time of the last answer by address of a member.
        self._answered_at = {}
        # Addresses of the members in the list of the last answer.
        self._listed = ()
        self._leader = ""
        self._founder = ""

    def list_addresses(self):
        """Return the addresses to ask: known members first, then hosts of the seeds."""
        seeds = [f"{_split(seed)[0]}:{self._member_port}" for seed in self.seeds]
        known = [self._leader, *self._listed, self._founder, *seeds]
        unique = dict.fromkeys(a for a in known if a and a != self._own_address)
        return list(unique)[:ASKED_AT_ONCE]

    def handle_reply(self, address, member_id, leader, listed, now):
        """Record the answer of a process. One without a disk has no member id."""
        if not member_id:
            self._founder = self._founder or leader
            return
        self._answered_at[address] = now
        if listed:
            self._listed = tuple(listed)
        if leader:
            self._leader = leader

    def find_member(self, now):
        """Return the address of the leader or another running member, or ""."""
        running = [
            address
            for address, answered_at in self._answered_at.items()
            if now - answered_at < RECENT_ANSWER_S
            and (address in self._listed or not self._listed)
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
        is_first_seed = self._found and self.seeds[:1] == (self._listen,)
        is_new = not self._listed and now - self._started_at >= APPOINT_AFTER_S
        if is_first_seed and is_new and not self._founder:
            self._founder = address
        return self._founder if is_first_seed else ""


def _split(address):
    host, _, port = address.rpartition(":")
    return host, port
