"""Answer gateways' questions for permissions at the leader."""

import trio

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import NotLeaderError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.messages import NotLeader, RequestQuota
from wisteriaworks.quotas.leader import LeaderQuotas


class _Round:
    """Represent one confirmation that several calls wait for."""

    def __init__(self):
        self.done = trio.Event()
        self.error = None
        self.is_confirmed = False


class SharedConfirmation:
    """Confirm the leadership once for all calls that wait at the same time.

    Load pattern: thousands of gateways ask in each second, and each confirmation
    takes a message to all voters.
    """

    def __init__(self, confirm):
        self._confirm = confirm
        self._lock = trio.Lock()
        self._next = None

    async def confirm(self):
        """Confirm that this member led after this call. Raises NotLeaderError."""
        while True:
            number = self._next
            if number is None:
                return await self._run(_Round())
            await number.done.wait()
            if number.error is not None:
                raise number.error
            if number.is_confirmed:
                return None
            # The call that ran the confirmation was cancelled.

    async def _run(self, number):
        self._next = number
        try:
            async with self._lock:
                # Calls from now on are not covered by this confirmation.
                self._next = None
                await self._confirm()
            number.is_confirmed = True
        except NotLeaderError as exc:
            number.error = exc
            raise
        finally:
            if self._next is number:
                self._next = None
            number.done.set()


class QuotaService:
    """Handle RequestQuota at one control member."""

    def __init__(self, node, cfg):
        self._node = node
        self._cfg = cfg
        self._confirmation = SharedConfirmation(
            lambda: self._node.replica.confirm_leader()
        )
        self._term = None
        self._quotas = None
        self._granted = node.metrics.create_counter(
            "wisteria.control.quota.granted", "Requests of accounts that were granted"
        )

    def list_handlers(self):
        """Return the handler for ``RpcServer``; none if there are no quotas."""
        return {} if self._cfg is None else {RequestQuota: self._request_quota}

    def discard(self):
        """Forget all grants; called when this member stops leading."""
        self._term = self._quotas = None

    async def _request_quota(self, message, send):
        node = self._node
        if node.is_stopping or not node.replica.is_leader:
            return self._redirect()
        term = node.replica.term
        try:
            quotas = await self._get_quotas(term)
            # Grants are charged before the confirmation. The next leader is elected
            # after it, and so begins after all charges that gateways learn of.
            reply = quotas.decide(
                message, node.machine.document.accounts, read_boot_time()
            )
            await self._confirmation.confirm()
        except NotLeaderError:
            return self._redirect()
        if not self._leads_in(term):
            return self._redirect()
        self._granted.add(sum(reply.granted))
        return reply

    async def _get_quotas(self, term):
        """Return the buckets of a term. Raises NotLeaderError."""
        if self._term != term:
            # A leader that was just elected may not have applied all limits yet.
            await self._confirmation.confirm()
            if not self._leads_in(term):
                raise NotLeaderError(self._node.replica.leader_address)
        if self._term != term:
            # Time of a suspension since the election is left out, so that the buckets
            # are filled from a time that is not before the election.
            led_s = trio.current_time() - self._node.replica.became_leader_at
            self._quotas = LeaderQuotas(self._cfg, term, read_boot_time() - led_s)
            self._term = term
            log_event(Event.QUOTAS_STARTED, term=term)
        return self._quotas

    def _leads_in(self, term):
        replica = self._node.replica
        return replica.is_leader and replica.term == term

    def _redirect(self):
        address = self._node.replica.leader_address
        is_self = address == self._node.cfg.address
        return NotLeader(leader="" if is_self else address or "")
