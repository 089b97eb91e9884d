"""Maintain the session of the entry with control.

Each heartbeat renews the lease for all servers that the entry holds and reports
their state. Its reply carries the configuration and the routes.
"""

import trio

from wisteriaworks.errors import ControlError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.messages import EntryState, Heartbeat
from wisteriaworks.generated.settings import OnControlLoss
from wisteriaworks.partition_maps import PartitionMaps
from wisteriaworks.view import EMPTY_VIEW

INITIAL_HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.5


class Session:
    """Renew the entry's lease and replace its view of the system."""

    def __init__(self, cfg, control, holder, lease, store):
        self._cfg = cfg
        self._control = control
        self._holder = holder
        self._lease = lease
        self._store = store
        self._route_version = 0
        self._maps = PartitionMaps()
        # None if the next heartbeat must carry all reports.
        self._leader_epoch = None
        self._heartbeat_interval_s = INITIAL_HEARTBEAT_INTERVAL_S
        self._lease_s = 0.0
        self._confirmed_at = -float("inf")
        self._fenced = True
        self._domain_out_since = None
        self.number = 0
        self.stopping = False
        self.view = store.load() or EMPTY_VIEW

    async def run(self):
        """Send heartbeats until cancelled."""
        while True:
            started = trio.current_time()
            await self.renew()
            await trio.sleep_until(started + self._heartbeat_interval_s)

    async def renew(self):
        """Send one heartbeat and apply its reply."""
        sent_at = trio.current_time()
        message = self._create_heartbeat()
        try:
            reply = await self._control.call(message, HEARTBEAT_TIMEOUT_S)
        except ControlError as exc:
            self._handle_control_error(exc)
        else:
            self._handle_reply(reply, sent_at)
        self._update_fencing()

    def is_fenced(self):
        """Return whether the configuration was confirmed too long ago to be used."""
        age = trio.current_time() - self._confirmed_at
        stale = age > self._cfg.fence_after_s
        return stale and not self._may_serve_stale()

    def may_claim(self):
        """Return whether a non-idempotent request may be sent now."""
        return self.number != 0 and self._lease.is_valid(trio.current_time())

    def is_retiring(self):
        """Return whether the entry is stopping or its failure domain is out."""
        return self.stopping or self.view.is_domain_out(self._cfg.domain)

    def seconds_since_domain_out(self):
        """Return how long the entry's failure domain has been out, in seconds."""
        if self._domain_out_since is None:
            return 0.0
        return trio.current_time() - self._domain_out_since

    def is_holding(self):
        """Return whether control still lists this entry as a holder."""
        holders = {route.holder for route in self.view.routes.values()}
        return self.number != 0 and self.number in holders

    def release_all(self):
        """Start to release every server that control lists for this entry."""
        routes = self.view.routes.values()
        self._holder.start_release(r.server for r in routes if r.holder == self.number)

    def _may_serve_stale(self):
        return (
            self._cfg.on_control_loss is OnControlLoss.SERVE_STALE
            and self.view.config_version > 0
        )

    def _create_heartbeat(self):
        full = self._leader_epoch is None
        return Heartbeat(
            session=self.number,
            name=self._cfg.name,
            domain=self._cfg.domain,
            address=self._cfg.peer,
            state=EntryState.RETIRING if self.is_retiring() else EntryState.ACTIVE,
            config_version=self.view.config_version,
            route_version=self._route_version,
            full=full,
            reports=self._holder.collect_reports(full),
            released=self._holder.list_released(),
        )

    def _handle_control_error(self, exc):
        log_event(Event.CONTROL_UNREACHABLE, error=exc.message)
        # The reports in the lost heartbeat may not have arrived; send all again.
        self._leader_epoch = None
        if self.number and self._may_serve_stale():
            self._lease.renew(trio.current_time(), self._lease_s)

    def _handle_reply(self, reply, sent_at):
        if reply.session != self.number:
            self._change_session(reply.session)
        if reply.session:
            self._lease_s = reply.lease_s
            self._lease.renew(sent_at, reply.lease_s)
        self._confirmed_at = sent_at
        self._heartbeat_interval_s = reply.heartbeat_s
        self._leader_epoch = self._choose_leader_epoch(reply.leader_epoch)
        self._adopt(reply)
        self._holder.apply_view(self.view, self.number)
        self._holder.start_release(reply.release)

    def _choose_leader_epoch(self, epoch):
        # A new leader has no reports yet; None makes the next heartbeat carry all of
        # them.
        return epoch if self._leader_epoch in (epoch, None) else None

    def _change_session(self, number):
        if self.number:
            self._lease.expire()
            log_event(Event.SESSION_LOST, session=self.number)
        if number:
            log_event(Event.SESSION_OPENED, session=number)
        self.number = number
        self._leader_epoch = None

    def _adopt(self, reply):
        version, document = self.view.config_version, self.view.document
        if reply.document is not None and reply.config_version > version:
            version, document = reply.config_version, reply.document
            self._store.save(version, document)
            log_event(Event.CONFIGURATION_ADOPTED, version=version)
        assert version >= self.view.config_version, "configuration must not revert"
        self._route_version = reply.route_version
        self.view = self.view.replace(version, document, self._merge_routes(reply))
        self._update_domain_out()

    def _merge_routes(self, reply):
        """Return the routes after a reply; the same object if none changed."""
        if not (reply.full or reply.routes or reply.removed):
            return self.view.routes
        routes = {} if reply.full else dict(self.view.routes)
        routes.update((r.server, self._maps.share(r)) for r in reply.routes)
        for server in reply.removed:
            routes.pop(server, None)
        return routes

    def _update_domain_out(self):
        if not self.view.is_domain_out(self._cfg.domain):
            self._domain_out_since = None
        elif self._domain_out_since is None:
            self._domain_out_since = trio.current_time()

    def _update_fencing(self):
        fenced = self.is_fenced()
        if fenced != self._fenced:
            self._fenced = fenced
            event = Event.ENTRY_FENCED if fenced else Event.ENTRY_UNFENCED
            log_event(event, version=self.view.config_version)
