"""Configuration and servers known to a gateway, with the time of the last update."""

import math

import trio

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.document_codec import unpack_document
from wisteriaworks.events import Event, log_event
from wisteriaworks.gateway.fleet_shares import FleetShares, Role
from wisteriaworks.gateway.route_index import RouteIndex
from wisteriaworks.gateway.server_lists import ServerLists
from wisteriaworks.gateway.server_table import make_known_servers
from wisteriaworks.generated.document import Document
from wisteriaworks.server_entries import select_entries


class GatewayState:
    """Store the configuration and the servers that a gateway knows.

    A configuration older than the stored one is ignored. ``on_change`` is called after
    the servers or the configuration have changed.
    """

    def __init__(self, name, fleet, on_change):
        self._name = name
        self._role = Role.COMMON
        # Number of known delegates, without the reserve.
        self.delegate_count = 0
        self._fleet = fleet
        self._on_change = on_change
        self._state_index = 0
        self.routes = RouteIndex(Document(), 0)
        self.updated_at = -math.inf
        self._lists = ServerLists()
        self._servers_in_use = None
        self._is_list_read_directly = False
        # Called with the gateways that accept delegated queries.
        self.on_delegates = lambda delegates: None

    @property
    def is_initialized(self):
        """Return whether a configuration and a list of servers have arrived."""
        return self.routes.version > 0 and self._fleet.table.is_filled

    @property
    def list_age_s(self):
        """Return the seconds since the reading of the list in use began."""
        return read_boot_time() - self._lists.current.read_at

    def apply_update(self, update):
        """Apply an update from a leader and return whether it is not outdated."""
        # A deposed leader that does not know it yet may send older state.
        if update.state_index < self._state_index:
            return False
        now = self.updated_at = trio.current_time()
        self._is_list_read_directly = False
        is_changed = self._apply_configuration(update)
        self._apply_rollouts(update, now)
        if update.list_read:
            is_changed |= self._apply_leader_list(update, now)
        if update.delegates is not None:
            self._role = _find_role(self._name, update.delegates)
            self.delegate_count = sum(not d.is_reserve for d in update.delegates)
            self.on_delegates(update.delegates)
        shares = FleetShares(update.gateways, update.delegate_count, self._role)
        self._fleet.set_shares(shares, update.position, now)
        if is_changed:
            self._on_change(self.routes.document)
        return True

    def _apply_rollouts(self, update, now):
        versions = self._fleet.versions
        if versions is None:
            return
        versions.note_update(now)
        for state in versions.apply_states(update.rollouts or ()):
            log_event(
                Event.ROLLOUT_FOLLOWED,
                service=state.service,
                version=state.target_version,
                phase=state.phase.value,
            )

    def apply_direct_list(self, entries, read_at):
        """Apply a list that this gateway has read itself, unless it is outdated.

        ``read_at`` is the boot time at which its reading began.
        """
        known = {id: s.entry for id, s in self._lists.current.servers.items()}
        selected = select_entries(entries, self.routes.document.services, known)
        servers = make_known_servers(selected.values(), trio.current_time())
        if not self._lists.add_direct_list(servers, read_at):
            self._log_outdated_list("platform", read_at)
            return
        if not self._is_list_read_directly:
            log_event(Event.LIST_READ_DIRECTLY, servers=len(servers))
        self._is_list_read_directly = True
        self._use_current_list()
        self._on_change(self.routes.document)

    def _apply_leader_list(self, update, now):
        """Apply the list of an update; return whether the servers in use change."""
        read_at = read_boot_time() - update.list_age_s
        if self._fleet.versions is not None:
            self._fleet.versions.note_listed(update.servers)
        servers = make_known_servers(update.servers, now)
        if not update.full:
            self._lists.change_leader_list(servers, update.removed, read_at)
            return self._use_current_list()
        self._lists.replace_leader_list(servers, read_at)
        if self._lists.current.servers is not servers:
            self._log_outdated_list("control", read_at)
        return self._use_current_list()

    def _use_current_list(self):
        """Use the newest list; return whether it is another one than before."""
        servers = self._lists.current.servers
        if self._fleet.versions is not None:
            self._fleet.versions.is_list_direct = self._lists.is_other_in_use
        if servers is self._servers_in_use:
            return False
        self._servers_in_use = servers
        self._fleet.table.assign(servers)
        return True

    def _log_outdated_list(self, source, read_at):
        age_s = read_boot_time() - read_at
        log_event(
            Event.LIST_OUTDATED,
            source=source,
            age_ms=math.floor(age_s * 1000),
            used_age_ms=math.floor(self.list_age_s * 1000),
        )

    def _apply_configuration(self, update):
        self._state_index = update.state_index
        self._fleet.table.set_domains_out(update.domains_out)
        if not update.document or update.config_version <= self.routes.version:
            return False
        document = unpack_document(update.document)
        self.routes = RouteIndex(document, update.config_version)
        log_event(Event.CONFIGURATION_ADOPTED, version=update.config_version)
        return True


def _find_role(name, delegates):
    for delegate in delegates:
        if delegate.name == name:
            return Role.RESERVE if delegate.is_reserve else Role.DELEGATE
    return Role.COMMON
