"""Select the newest of the lists of servers that a gateway has received.

Load pattern: control is lost while the platform answers slowly. Gateways then read the
list themselves, and such a read may end after the next leader has sent a list that was
read later. No I/O.
"""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerList:
    """Represent a list by server id; ``read_at`` is the start of its reading."""

    servers: dict
    read_at: float


_NO_LIST = ServerList({}, -math.inf)


class ServerLists:
    """Store the leader's list and the newest other list.

    The leader sends only changes of its list, so its list is kept up to date while
    another one is in use. Times are in seconds on a clock that also counts the time of
    a suspended VM.
    """

    def __init__(self):
        self._leader_list = self._other_list = _NO_LIST

    @property
    def current(self):
        """Return the list whose reading began last, the leader's one if both did."""
        return max(
            self._leader_list, self._other_list, key=lambda listed: listed.read_at
        )

    @property
    def is_other_in_use(self):
        """Return whether the current list is not that of the followed leader."""
        return self.current is not self._leader_list

    def replace_leader_list(self, servers, read_at):
        """Store the complete list of a leader that is followed from now on."""
        self._other_list = self.current
        self._set_leader_list(servers, read_at)

    def change_leader_list(self, servers, removed, read_at):
        """Add or replace some servers of the leader's list, and remove others."""
        changed = self._leader_list.servers
        if servers or removed:
            changed = {
                server_id: server
                for server_id, server in (changed | servers).items()
                if server_id not in removed
            }
        self._set_leader_list(changed, max(read_at, self._leader_list.read_at))

    def add_direct_list(self, servers, read_at):
        """Store a list that this gateway has read itself, unless it is outdated.

        Returns whether the list is the current one now.
        """
        if read_at <= self.current.read_at:
            return False
        self._other_list = ServerList(servers, read_at)
        return True

    def _set_leader_list(self, servers, read_at):
        self._leader_list = ServerList(servers, read_at)
        if self._other_list.read_at <= read_at:
            self._other_list = _NO_LIST
