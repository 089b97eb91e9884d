"""Renew the lease on keys by questions to the leader of control.

Load pattern: thousands of gateways ask the leader, each at most once a second and
only while the configuration has accounts.
"""

import trio

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import RpcError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.messages import (
    ConfigurationConfirmed,
    ConfirmConfiguration,
)

INTERVAL_S = 1.0
# Below the interval, so that a question without an answer delays no other.
CALL_TIMEOUT_S = 0.9
# Pause before the next look for a leader while there is none.
SEARCH_S = 0.05


class LeaseRenewal:
    """Keep the lease of one gateway.

    ``find_leader()`` returns the Channel to the leader that the gateway follows, or
    None.
    """

    def __init__(self, name, gate, lease, state, find_leader, clock=read_boot_time):
        self._name = name
        self._gate = gate
        self._lease = lease
        self._state = state
        self._find_leader = find_leader
        self._clock = clock
        self._changed = trio.Event()
        self._had_lease = False

    def wake(self):
        """Look at the configuration after a change."""
        self._changed.set()

    async def run(self):
        """Ask until cancelled, while requests need a lease."""
        while True:
            self._changed = trio.Event()
            if not self._gate.needs_lease:
                await self._changed.wait()
                continue
            began_at = trio.current_time()
            channel = self._find_leader()
            if channel is not None:
                await self._ask(channel)
            self._log_change()
            pause_s = SEARCH_S if channel is None else INTERVAL_S
            await trio.sleep_until(began_at + pause_s)

    async def _ask(self, channel):
        asked_at = self._clock()
        try:
            reply = await channel.call(ConfirmConfiguration(self._name), CALL_TIMEOUT_S)
        except RpcError:
            return
        if isinstance(reply, ConfigurationConfirmed):
            version = self._state.routes.version
            self._lease.confirm(reply.version, asked_at, version)

    def _log_change(self):
        has_lease = self._gate.has_lease
        if has_lease != self._had_lease:
            self._had_lease = has_lease
            event = Event.KEYS_CONFIRMED if has_lease else Event.KEYS_NOT_CONFIRMED
            log_event(event, version=self._state.routes.version)
