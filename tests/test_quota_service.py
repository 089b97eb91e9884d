"""Guard against permissions of a deposed leader, and gateways that wait too long."""

from types import SimpleNamespace

import pytest
import trio

from wisteriaworks import codec
from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import NotLeaderError, RpcError
from wisteriaworks.generated.document import Account
from wisteriaworks.generated.messages import NotLeader, QuotaReply, RequestQuota
from wisteriaworks.generated.settings import QuotaSettings
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.quotas.gate import GatewayQuotas, compute_patience
from wisteriaworks.quotas.service import QuotaService, SharedConfirmation
from wisteriaworks.quotas.tokens import Granted, OverLimit, Unavailable

WAIT_S = 30.0
ACCOUNTS = {"a": Account(rate_per_s=10.0, burst=5.0), "free": Account()}


class StandInReplica:
    """Lead until ``deposed`` is set, and count confirmations."""

    def __init__(self):
        self.is_leader, self.term, self.leader_address = True, 4, "b:1"
        self.became_leader_at = trio.current_time() - 60.0
        self.confirmations = 0

    async def confirm_leader(self):
        self.confirmations += 1
        await trio.sleep(0.001)
        if not self.is_leader:
            raise NotLeaderError("b:1")


def make_service(replica, cfg=QuotaSettings()):  # noqa: B008
    node = SimpleNamespace(
        replica=replica,
        is_stopping=False,
        cfg=SimpleNamespace(address="a:1"),
        machine=SimpleNamespace(document=SimpleNamespace(accounts=ACCOUNTS)),
        metrics=create_unexported_metrics(),
    )
    return QuotaService(node, cfg)


def make_request(waiting=1):
    return RequestQuota("g", ("a",), (waiting,), (0,))


async def test_service_answers_after_a_confirmation():
    replica = StandInReplica()
    handler = make_service(replica).list_handlers()[RequestQuota]
    reply = await handler(make_request(), None)
    assert (reply.granted, reply.term) == ((1,), 4)
    assert replica.confirmations == 2
    assert codec.decode(codec.encode(reply)) == reply


async def test_deposed_leader_gives_nothing():
    """The next leader does not know of permissions given after its election."""
    replica = StandInReplica()
    handler = make_service(replica).list_handlers()[RequestQuota]
    await handler(make_request(), None)

    async def lose():
        replica.is_leader = False

    async with trio.open_nursery() as nursery:
        nursery.start_soon(lose)
        reply = await handler(make_request(), None)
    assert reply == NotLeader(leader="b:1")


async def test_next_term_begins_with_empty_buckets():
    replica = StandInReplica()
    service = make_service(replica)
    handler = service.list_handlers()[RequestQuota]
    assert (await handler(make_request(2), None)).granted == (2,)
    service.discard()
    replica.term, replica.became_leader_at = 6, trio.current_time() + 1.0
    reply = await handler(make_request(2), None)
    assert (reply.granted, reply.is_starting) == ((0,), True)


async def test_service_without_settings_has_no_handler():
    assert make_service(StandInReplica(), None).list_handlers() == {}


async def test_confirmation_is_shared_but_not_with_later_calls(autojump_clock):
    """A confirmation that began before a call says nothing about its charge."""
    replica = StandInReplica()
    shared = SharedConfirmation(replica.confirm_leader)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(shared.confirm)
        await trio.sleep(0.0005)
        for _ in range(5):
            nursery.start_soon(shared.confirm)
    assert replica.confirmations == 2


async def test_cancelled_confirmation_is_not_taken_for_a_success(autojump_clock):
    replica = StandInReplica()
    shared = SharedConfirmation(replica.confirm_leader)
    scope = trio.CancelScope()

    async def confirm_and_cancel():
        with scope:
            await shared.confirm()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(shared.confirm)
        await trio.sleep(0.0002)
        nursery.start_soon(confirm_and_cancel)
        await trio.sleep(0.0002)
        nursery.start_soon(shared.confirm)
        await trio.sleep(0.0002)
        scope.cancel()
    assert replica.confirmations == 2


class StandInChannel:
    """Answer each question with one function."""

    def __init__(self, answer):
        self._answer = answer

    async def call(self, message, timeout_s):
        await trio.lowlevel.checkpoint()
        return self._answer(message)


def fail(message):
    raise RpcError("no connection", sent=False)


def answer_with(granted, retry_ms=0, **fields):
    def answer(message):
        size = len(message.accounts)
        return QuotaReply(
            (granted,) * size, (2000,) * size, (retry_ms,) * size, 1, 0, **fields
        )

    return answer


@pytest.mark.parametrize(
    "answer, account, expected",
    [
        (answer_with(1), "a", Granted),
        (answer_with(0, 900), "a", OverLimit),
        (answer_with(0, 900, is_starting=True), "a", Unavailable),
        (fail, "a", Unavailable),
        (lambda message: NotLeader(""), "a", Unavailable),
        (None, "a", Unavailable),
        (None, "free", Granted),
        (None, "unknown", Granted),
    ],
)
async def test_gateway_decides_by_the_reply(answer, account, expected):
    channel = answer and StandInChannel(answer)
    quotas = GatewayQuotas(
        "g", lambda: ACCOUNTS, lambda: channel, create_unexported_metrics()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(quotas.run)
        with trio.fail_after(WAIT_S):
            decision = await quotas.take(account, read_boot_time(), 0.2)
        nursery.cancel_scope.cancel()
    assert isinstance(decision, expected)


async def test_account_over_its_limit_does_not_delay_others(autojump_clock):
    """Others waited for the next question for longer than their patience."""

    def answer(message):
        granted = tuple(int(account == "free-rate") for account in message.accounts)
        retry_ms = tuple(10 * (1 - count) for count in granted)
        return QuotaReply(granted, (2000,) * len(granted), retry_ms, 1, 0)

    accounts = ACCOUNTS | {"free-rate": Account(rate_per_s=1.0)}
    channel = StandInChannel(answer)
    quotas = GatewayQuotas(
        "g", lambda: accounts, lambda: channel, create_unexported_metrics()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(quotas.run)
        nursery.start_soon(quotas.take, "a", read_boot_time(), 0.4)
        await trio.sleep(0.006)
        decision = await quotas.take("free-rate", read_boot_time(), 0.024)
        nursery.cancel_scope.cancel()
    assert isinstance(decision, Granted)


@pytest.mark.parametrize(
    "objective_s, patience_s", [(0.096, 0.024), (8.0, 0.4), (0.0, 0.4)]
)
def test_request_waits_for_a_fraction_of_its_objective(objective_s, patience_s):
    assert compute_patience(objective_s) == pytest.approx(patience_s)
