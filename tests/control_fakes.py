"""Documents and entries for the tests of the control group."""

import os

import msgspec
import trio
import uuid_utils
from hypothesis import settings

from wisteriaworks.generated import document as doc, messages
from wisteriaworks.generated.settings import ControlSettings

HEARTBEAT_S = 0.5
SOAK = int(os.environ.get("WISTERIA_SOAK", "1"))


def soak_settings(examples):
    """Return deterministic settings with WISTERIA_SOAK times as many examples."""
    return settings(max_examples=examples * SOAK, deadline=None, derandomize=True)


def make_settings(data_folder=""):
    """Return the settings of one control member."""
    address = "127.0.0.1:0"
    return ControlSettings(
        name="c1",
        domain="a",
        address=address,
        admin=address,
        data_folder=str(data_folder),
    )


def make_document(sets, **fields):
    """Return a document with a replica set for each string.

    Each letter is the domain of one replica.
    """
    fixed = {"slots": 2, "connections": 2}
    servers = tuple(
        doc.Server(
            name=f"s{number}{domain}{replica}",
            address=f"127.0.0.{number + 1}:9{replica}",
            domain=domain,
            replica_set=f"r{number}",
            **fixed,
        )
        for number, domains in enumerate(sets)
        for replica, domain in enumerate(domains)
    )
    indexes = {"i": doc.Index(servers=servers)} if servers else {}
    domains = {server.domain: doc.Domain() for server in servers}
    domains |= fields.pop("domains", {})
    return doc.Document(indexes=indexes, domains=domains, **fields)


def make_proposal(version, document, operation_id=None):
    """Return a proposal to replace a version of the configuration."""
    operation_id = operation_id or str(uuid_utils.uuid7())
    return messages.ProposeConfiguration(operation_id, version, document)


class Entry:
    """Send heartbeats as an entry does, and release servers on request."""

    def __init__(self, call, name, domain):
        self._call = call
        active = messages.EntryState.ACTIVE
        self.message = messages.Heartbeat(
            0, name, domain, f"{name}:1", active, 0, 0, True
        )
        self.reply = self.document = self.last_heartbeat_at = None
        self.routes = {}
        self.is_releasing = True
        self.scope = trio.CancelScope()

    def change(self, **fields):
        """Change fields of the following heartbeats."""
        self.message = msgspec.structs.replace(self.message, **fields)

    async def run(self):
        """Send heartbeats until the scope is cancelled."""
        with self.scope:
            while True:
                await self.send_heartbeat()
                await trio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self):
        """Send one heartbeat and apply the reply."""
        self.last_heartbeat_at = trio.current_time()
        released = self._list_released() if self.is_releasing else ()
        heartbeat = msgspec.structs.replace(self.message, released=released)
        reply = self.reply = await self._call(heartbeat)
        self.routes = {} if reply.full else self.routes
        self.routes |= {route.server: route for route in reply.routes}
        for server in reply.removed:
            self.routes.pop(server, None)
        self.document = reply.document or self.document
        self.change(
            session=reply.session,
            config_version=reply.config_version,
            route_version=reply.route_version,
        )
        return reply

    def list_held_servers(self):
        """Return the servers that the entry holds."""
        session = self.message.session
        return {n for n, route in self.routes.items() if route.holder == session}

    def _list_released(self):
        requested = self.reply.release if self.reply else ()
        return tuple(messages.Release(n, self.routes[n].epoch) for n in requested)
