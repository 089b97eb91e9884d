"""What a gateway knows of the configuration and the servers, and how fresh it is."""

import math

import trio

from wisteriaworks.document_codec import unpack_document
from wisteriaworks.events import Event, log_event
from wisteriaworks.gateway.route_index import RouteIndex
from wisteriaworks.generated.document import Document


class FleetState:
    """Take updates over in order and never go back to an older version.

    ``on_change`` is called after the servers or the configuration changed.
    """

    def __init__(self, fleet, on_change):
        self._fleet = fleet
        self._on_change = on_change
        self._state_index = 0
        self.routes = RouteIndex(Document(), 0)
        self.updated_at = -math.inf
        self._is_alone = False
        # Called with the gateways that take queries of others.
        self.on_delegates = lambda delegates: None

    @property
    def is_known(self):
        """Say whether a configuration and a list of servers have arrived."""
        return self.routes.version > 0 and self._fleet.table.is_filled

    def take_update(self, update):
        """Take over what a leader sent."""
        now = self.updated_at = trio.current_time()
        self._is_alone = False
        is_changed = self._take_configuration(update)
        table = self._fleet.table
        if update.list_read and update.full:
            table.replace(update.servers, now)
            is_changed = True
        elif update.list_read and (update.servers or update.removed):
            table.change(update.servers, update.removed, now)
            is_changed = True
        self._fleet.set_gateways(update.gateways, update.position)
        if update.delegates is not None:
            self.on_delegates(update.delegates)
        if is_changed:
            self._on_change(self.routes.document)

    def take_list(self, servers):
        """Take over a list that the gateway read itself."""
        if not self._is_alone:
            log_event(Event.LIST_READ_DIRECTLY, servers=len(servers))
        self._is_alone = True
        self._fleet.table.replace(servers, trio.current_time())
        self._on_change(self.routes.document)

    def _take_configuration(self, update):
        # A leader that was deposed and does not know it yet has older state.
        if update.state_index < self._state_index:
            return False
        self._state_index = update.state_index
        self._fleet.table.set_domains_out(update.domains_out)
        if not update.document or update.config_version <= self.routes.version:
            return False
        document = unpack_document(update.document)
        self.routes = RouteIndex(document, update.config_version)
        log_event(Event.CONFIGURATION_ADOPTED, version=update.config_version)
        return True
