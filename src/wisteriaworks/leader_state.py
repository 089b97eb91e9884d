"""The volatile state of a leader, for one term."""

from wisteriaworks.generated.commands import Holding
from wisteriaworks.generated.document import DomainState
from wisteriaworks.route_table import RouteChanges, RouteTable
from wisteriaworks.rpc import split_address
from wisteriaworks.sessions import SessionTable

# Entries find a new leader with one heartbeat and send a full report with the
# next one. A third allows for a lost heartbeat, and a fourth for a slow search for
# the leader.
ROUTE_GRACE_HEARTBEATS = 4


class LeaderState:
    """Store the sessions, reports and routes of one term.

    A new leader does not know the servers' states. It sends no routes until the
    entries have reported, so that they keep the routes of the previous leader.
    """

    def __init__(self, term, cfg, machine, now):
        self.term = term
        self.elected_at = now
        self.sessions = SessionTable(cfg.lease_s)
        self.routes = RouteTable(term)
        self.releases = {}
        self._routes_deadline = now + ROUTE_GRACE_HEARTBEATS * cfg.heartbeat_s
        self._are_routes_enabled = False
        self._machine = machine
        self._leaving = frozenset()
        self._revision = None
        self.sync(now)
        self._refresh(set(machine.servers))

    def sync(self, now):
        """Update the tables for the commands applied since the last call."""
        if self._revision == self._machine.revision:
            return
        self._revision = self._machine.revision
        self.sessions.sync(self._machine.sessions, now)
        self._refresh(self._machine.pop_changed_servers())

    def accept_reports(self, session, reports):
        """Store the reports about servers that the session holds."""
        holdings = self._machine.holdings
        accepted = {
            report.server
            for report in reports
            if self.routes.accept_report(report, session, holdings.get(report.server))
        }
        self._refresh(accepted)

    def set_leaving(self, addresses):
        """Replace the set of addresses that the platform lists as leaving."""
        if addresses is self._leaving:
            return
        is_changed = addresses != self._leaving
        self._leaving = addresses
        if is_changed:
            self._refresh(set(self._machine.servers))

    def list_changes(self, version, now):
        """Return the route changes for an entry since its table version."""
        if not self.may_send_routes(now):
            return RouteChanges(version, False, (), ())
        return self.routes.list_changes(version)

    def may_send_routes(self, now):
        """Return whether all entries have reported or the grace period has ended."""
        if not self._are_routes_enabled:
            are_reports_complete = bool(self._machine.sessions) and (
                self.sessions.have_all_reported()
            )
            self._are_routes_enabled = (
                are_reports_complete or now >= self._routes_deadline
            )
        return self._are_routes_enabled

    def _refresh(self, servers):
        for name in sorted(servers):
            server = self._machine.servers.get(name)
            if server is None:
                self.routes.remove(name)
            else:
                self._refresh_one(server)

    def _refresh_one(self, server):
        holding = self._machine.holdings.get(server.name)
        holding = holding or Holding(server=server.name, session=0, epoch=0)
        session = self._machine.sessions.get(holding.session)
        address = session.address if session else ""
        self.routes.refresh(holding, address, self._is_leaving(server))

    def _is_leaving(self, server):
        host, _ = split_address(server.address)
        return server.address in self._leaving or host in self._leaving


def list_domains_out(document):
    """Return the failure domains that operators have taken out of service."""
    return frozenset(
        name
        for name, domain in document.domains.items()
        if domain.state is DomainState.OUT
    )
