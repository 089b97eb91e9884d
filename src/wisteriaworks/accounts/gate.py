"""Decide at a gateway whether a request may run, by its key and the lease.

Load patterns: a key is removed while a request waits for a connection, is hedged or
waits at a delegate; a gateway resumes after a pause with requests in its queues.
"""

import dataclasses

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import ErrorKind
from wisteriaworks.gateway.model import Failure

_ERROR_KINDS = {
    Failure.KEY_REMOVED: ErrorKind.UNAUTHENTICATED,
    Failure.NOT_CONFIRMED: ErrorKind.ENTRY_FENCED,
}


class AccountGate:
    """Check the keys of requests at their arrival and at each send.

    ``state`` is the GatewayState, and ``read_key(headers)`` returns the key in the
    headers of a caller's request, or None.
    """

    def __init__(self, cfg, state, lease, read_key, metrics, clock=read_boot_time):
        self._cfg = cfg
        self._state = state
        self._lease = lease
        self._read_key = read_key
        self._clock = clock
        self._checks = metrics.create_counter(
            "wisteria.gateway.keys", "Requests with accounts by account and result"
        )
        metrics.create_gauge(
            "wisteria.gateway.lease.left",
            "Seconds for which requests with keys may still be sent",
            lambda: lease.read_left(clock(), state.routes.version),
        )

    @property
    def needs_lease(self):
        """Return whether requests need a lease under the configuration in use."""
        return self._cfg.fail_closed and self._state.routes.keys.requires_keys

    @property
    def has_lease(self):
        """Return whether the lease is valid now."""
        return self._lease.is_valid(self._clock(), self._state.routes.version)

    def identify(self, request, route, headers):
        """Return the request with its account, or the ErrorKind of its refusal.

        ``headers`` are all headers of the caller's request.
        """
        keys = self._state.routes.keys
        if route.public or not keys.requires_keys:
            return request
        key = self._read_key(headers)
        owner = keys.find(key) if key else None
        if owner is None:
            return self._refuse("", ErrorKind.UNAUTHENTICATED)
        identified = dataclasses.replace(
            request, account=owner.account, key_id=owner.key_id
        )
        obstacle = self.find_obstacle(identified)
        if obstacle is not None:
            return self._refuse(owner.account, _ERROR_KINDS[obstacle])
        self._checks.add(1, {"account": owner.account, "result": "accepted"})
        return identified

    def accepts(self, message, route):
        """Return whether a query of another gateway may run here.

        ``message`` has the fields ``account`` and ``key_id``.
        """
        if message.key_id:
            return self.find_obstacle(message) is None
        return route.public or not self._state.routes.keys.requires_keys

    def find_obstacle(self, request):
        """Return the Failure because of which a request can't be sent now, or None."""
        if not request.key_id:
            return None
        if not self._state.routes.keys.is_valid(request.account, request.key_id):
            return Failure.KEY_REMOVED
        if self.needs_lease and not self.has_lease:
            return Failure.NOT_CONFIRMED
        return None

    def _refuse(self, account, kind):
        self._checks.add(1, {"account": account, "result": kind.value})
        return kind
