"""Factories of servers, routes and fleets for the tests of the gateway."""

import hashlib
import random

from wisteriaworks.gateway.forwarder import ServerFleet
from wisteriaworks.gateway.model import ServerAnswer
from wisteriaworks.gateway.server_table import make_known_servers
from wisteriaworks.generated.document import (
    Account,
    Document,
    Route,
    Service,
    ServiceShare,
)
from wisteriaworks.generated.messages import ListedServer
from wisteriaworks.generated.settings import BudgetSettings, GatewaySettings

AMPLE_BUDGET = BudgetSettings(retry_ratio=10.0, slack=1000.0)


def make_entry(server_id, service="s", domain="a", **fields):
    """Return a server as the platform lists it."""
    defaults = {"address": "127.0.0.1:1", "slots": 2, "draining": False, "cold_s": 0.0}
    return ListedServer(
        id=server_id, service=service, domain=domain, **(defaults | fields)
    )


def make_settings(budget=AMPLE_BUDGET, **fields):
    """Return the settings of one gateway."""
    address = "127.0.0.1:0"
    defaults = {
        "name": "g1",
        "domain": "a",
        "listen": address,
        "readiness": address,
        "seeds": ("127.0.0.1:1",),
        "member_port": 1,
        "server_list": "127.0.0.1:1",
        "seed": 1,
    }
    return GatewaySettings(budget=budget, **(defaults | fields))


def make_fleet(entries, budget=AMPLE_BUDGET, seed=1, domain="a"):
    """Return a fleet whose servers have been listed since time 0."""
    cfg = make_settings(budget, domain=domain)
    fleet = ServerFleet.create(cfg, random.Random(seed), -60.0)
    fleet.table.assign(make_known_servers(entries, 0.0))
    return fleet


def make_route(**fields):
    """Return a route, which leads to service ``s`` if it has no shards."""
    defaults = {
        "name": "r",
        "host": "h.example",
        "path_prefix": "/p/",
        "timeout_ms": 1000,
        "attempts": 2,
    }
    if "shards" in fields:
        defaults["idempotent"] = True
    else:
        defaults["services"] = (ServiceShare(service="s", weight=1.0),)
    return Route(**(defaults | fields))


def make_document(*routes, services=("s",)):
    """Return a document with routes and services."""
    known = {name: Service(connections=20) for name in services}
    return Document(routes=routes, services=known)


def make_accounts(**keys):
    """Return accounts by name with their keys."""
    return {
        name: Account(
            key_sha256=tuple(hashlib.sha256(k.encode()).hexdigest() for k in listed)
        )
        for name, listed in keys.items()
    }


def make_answer(status=200, body=b"", signature=b"sig", **fields):
    """Return an answer of a server."""
    defaults = {
        "headers": (),
        "request_id": b"id1",
        "not_run": False,
        "closes_connection": False,
        "idle_timeout_s": None,
    }
    return ServerAnswer(
        status=status, body=body, signature=signature, **(defaults | fields)
    )
