"""Servers of each service, by the platform's list and operator commands."""

import zlib
from dataclasses import dataclass

from wisteriaworks.generated.messages import ListedServer


@dataclass(frozen=True, slots=True)
class KnownServer:
    """Represent one listed server; ``cold_until`` is on the monotonic clock."""

    entry: ListedServer
    cold_until: float

    @property
    def id(self):
        """Return the id of this run of the server's process."""
        return self.entry.id

    def is_cold(self, now):
        """Return whether the server is in its cold start."""
        return now < self.cold_until


def make_known_servers(entries, now):
    """Return listed servers by id; ``now`` is the time of their receipt."""
    return {entry.id: KnownServer(entry, now + entry.cold_s) for entry in entries}


class ServerTable:
    """Store the servers of the list in use, by service and by id."""

    def __init__(self):
        self._servers = {}
        self._by_service = {}
        self._domains_out = frozenset()
        self.is_filled = False
        # Changes whenever the usable servers of a service may have changed.
        self.revision = 0

    def __contains__(self, server_id):
        return server_id in self._servers

    def get(self, server_id):
        """Return a server by id, or None."""
        return self._servers.get(server_id)

    def count(self, service):
        """Return the number of listed servers of a service."""
        return len(self._by_service.get(service, ()))

    def list_service(self, service):
        """Return all listed servers of a service, usable or not."""
        return self._by_service.get(service, [])

    def list_ids(self):
        """Return the ids of all listed servers."""
        return list(self._servers)

    def compute_digest(self, services):
        """Return a number that two tables share if they list the same servers."""
        ids = sorted(s.id for name in services for s in self.list_service(name))
        return zlib.crc32("\n".join(ids).encode())

    def list_usable(self, service):
        """Return the servers of a service that may receive new work."""
        return [
            server
            for server in self._by_service.get(service, ())
            if not server.entry.draining
            and server.entry.domain not in self._domains_out
        ]

    def set_domains_out(self, domains):
        """Replace the set of failure domains that are out of service."""
        domains_out = frozenset(domains)
        if domains_out != self._domains_out:
            self._domains_out = domains_out
            self.revision += 1

    def assign(self, servers):
        """Replace all servers by a map of them by id, which must not change later."""
        self._servers = servers
        self.is_filled = True
        self.revision += 1
        by_service = {}
        for server in servers.values():
            by_service.setdefault(server.entry.service, []).append(server)
        self._by_service = by_service
