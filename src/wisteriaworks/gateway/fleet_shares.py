"""Divide the limits of servers between the gateways that send to them.

Load pattern: 200 gateways share the repeats, the connections and the cold starts of
a server, but six delegates send nearly all queries to shards. An equal part of 440
repeats in 10 s is two for each gateway, so a slow server in each shard exhausts the
parts of the delegates while 97 of 100 repeats stay unused. No I/O.
"""

import itertools
import math
from dataclasses import dataclass
from enum import Enum

# Routes with fewer shards are served by each gateway itself.
MIN_DELEGATED_SHARDS = 16
# Parts of a limit on a service that is a shard of such routes. The delegates divide
# the first one, the reserve the second one, and all gateways the third one. The sum
# is 1, so that no limit is exceeded while every gateway sends.
DELEGATE_PART = 0.6
RESERVE_PART = 0.25
COMMON_PART = 0.15
# Gateways of the reserve in one domain, and in total. More would leave each of them
# less than one connection to a server.
RESERVE_PER_DOMAIN = 4
MAX_RESERVE = 24


def list_delegated_services(document):
    """Return the services that are shards of routes which are delegated."""
    return frozenset(
        service
        for route in document.routes
        if len(route.shards) >= MIN_DELEGATED_SHARDS
        for service in route.shards
    )


def list_routed_services(document):
    """Return the services to which routes lead."""
    shares = (share.service for route in document.routes for share in route.services)
    shards = (service for route in document.routes for service in route.shards)
    return frozenset(itertools.chain(shares, shards))


class Role(Enum):
    """Name the roles of gateways in queries to many shards."""

    COMMON = "common"
    DELEGATE = "delegate"
    RESERVE = "reserve"


@dataclass(frozen=True, slots=True)
class FleetShares:
    """Compute the share of one gateway in the limits of all gateways.

    ``delegate_count`` is 0 if no gateway has a faster link; then all shares are equal.
    """

    gateway_count: int = 1
    delegate_count: int = 0
    role: Role = Role.COMMON

    def compute(self, is_delegated):
        """Return the share in a limit; ``is_delegated`` if delegates send most of it.

        The share is at most 1.
        """
        equal = 1 / max(1, self.gateway_count)
        if not (is_delegated and self.delegate_count):
            return equal
        share = COMMON_PART * equal
        match self.role:
            case Role.DELEGATE:
                share += DELEGATE_PART / self.delegate_count
            case Role.RESERVE:
                share += RESERVE_PART / MAX_RESERVE
        return share

    def compute_connections(self, limit, is_delegated):
        """Return how many connections to a server this gateway may open, at least 1."""
        return max(1, math.floor(limit * self.compute(is_delegated) + 1e-9))
