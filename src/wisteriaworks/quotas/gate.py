"""Get the permissions of a gateway from the leader, and let requests wait for them."""

import math

import trio

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import RpcError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.messages import QuotaReply
from wisteriaworks.log_limit import LogLimiter
from wisteriaworks.quotas.tokens import (
    UNLIMITED,
    GatewayTokens,
    Granted,
    OverLimit,
    Unavailable,
    Waiter,
)

# Interval at which standing permissions are replaced, all accounts in one message.
TOP_UP_INTERVAL_S = 0.5
# Requests that begin to wait within this time share one message.
BATCH_S = 0.005
# Interval at which a question that was denied or not answered is repeated.
REPEAT_S = 0.02
# A reply takes one round trip and one confirmation of the leadership.
CALL_TIMEOUT_S = 0.3
# A request waits for its permission for at most this share of its objective. Without
# an objective it waits for MAX_PATIENCE_S.
PATIENCE_SHARE = 0.25
MAX_PATIENCE_S = 0.4


def compute_patience(objective_s):
    """Return the time for which a request may wait for its permission."""
    patience_s = objective_s * PATIENCE_SHARE if objective_s else math.inf
    return min(patience_s, MAX_PATIENCE_S)


class GatewayQuotas:
    """Check the limits of accounts at one gateway.

    ``read_accounts()`` returns the accounts of the configuration in force;
    ``get_channel()`` returns the channel to the current leader, or None.
    """

    def __init__(self, gateway, read_accounts, get_channel, metrics):
        self._tokens = GatewayTokens(gateway, read_boot_time())
        self._read_accounts = read_accounts
        self._get_channel = get_channel
        self._wake = trio.Event()
        self._limiter = LogLimiter()
        self._is_answered = True
        self._decisions = metrics.create_counter(
            "wisteria.gateway.quota.decisions", "Requests of accounts by decision"
        )
        self._messages = metrics.create_counter(
            "wisteria.gateway.quota.messages", "Questions to the leader by outcome"
        )
        metrics.create_gauge(
            "wisteria.gateway.quota.permissions",
            "Permissions that are held for requests",
            lambda: self._tokens.count_permissions(read_boot_time()),
        )

    async def take(self, account, now, patience_s):
        """Return Granted, OverLimit or Unavailable for one request.

        ``now`` is the boot time. The request must be sent before the permission ends.
        """
        limit = self._read_accounts().get(account)
        if limit is None or limit.rate_per_s <= 0:
            return UNLIMITED
        decision = self._tokens.take(account, now)
        has_waited = decision is None
        if has_waited:
            decision = await self._wait(account, now, patience_s)
        self._record(account, decision, has_waited)
        return decision

    async def _wait(self, account, now, patience_s):
        decided = trio.Event()
        waiter = self._tokens.wait(account, now, patience_s, decided.set)
        if not isinstance(waiter, Waiter):
            return waiter
        self._wake.set()
        try:
            with trio.move_on_after(patience_s):
                await decided.wait()
        finally:
            decision = self._tokens.give_up(account, waiter, read_boot_time())
        return decision

    async def run(self):
        """Ask the leader until cancelled."""
        while True:
            with trio.move_on_after(TOP_UP_INTERVAL_S):
                await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(BATCH_S)
            await self._ask()
            if self._tokens.has_waiters:
                # A request that arrives meanwhile may have less time than that.
                with trio.move_on_after(REPEAT_S):
                    await self._wake.wait()
                self._wake.set()

    async def _ask(self):
        channel, asked_at = self._get_channel(), read_boot_time()
        request = None if channel is None else self._tokens.make_request(asked_at)
        if request is None:
            return
        reply, reason = None, "the member does not lead"
        try:
            reply = await channel.call(request, CALL_TIMEOUT_S)
        except RpcError as exc:
            reason = exc.message
        is_answered = isinstance(reply, QuotaReply)
        self._messages.add(1, {"outcome": "answered" if is_answered else "failed"})
        if is_answered:
            self._tokens.apply_reply(request, reply, asked_at, read_boot_time())
        if is_answered != self._is_answered:
            self._is_answered = is_answered
            event = Event.QUOTA_ANSWERED if is_answered else Event.QUOTA_UNANSWERED
            log_event(event, **({} if is_answered else {"reason": reason}))

    def _record(self, account, decision, has_waited):
        match decision:
            case Granted():
                outcome = "granted_after_wait" if has_waited else "granted"
            case OverLimit():
                outcome = "over_limit"
                self._log(Event.QUOTA_EXCEEDED, account)
            case Unavailable():
                outcome = "unavailable"
                self._log(Event.QUOTA_UNAVAILABLE, account)
        self._decisions.add(1, {"decision": outcome})

    def _log(self, event, account):
        if self._limiter.admit(event.value.number, trio.current_time()):
            log_event(event, account=account)
