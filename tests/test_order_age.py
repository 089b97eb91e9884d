"""Guard against an operator's order that waited and is carried out after newer ones."""

import pytest
import trio
import trio.testing

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import ControlError
from wisteriaworks.generated.messages import (
    OrderDomain,
    OrderDomainReply,
    ReadTicket,
    TicketReply,
)
from wisteriaworks.operator_commands import OperatorCommandClient
from wisteriaworks.order_age import (
    BEAT_INTERVAL_S,
    MAX_ORDER_AGE_S,
    STALL_GRACE_S,
    STALL_S,
    DomainOrders,
    OrderAge,
    StallWatch,
    Ticket,
)
from wisteriaworks.platform.operator_api import OperatorApi


def test_order_read_after_a_stall_may_have_waited():
    watch = StallWatch(0.0)
    watch.beat(BEAT_INTERVAL_S)
    assert not watch.may_have_waited(BEAT_INTERVAL_S + STALL_S)
    woken_at = 2 * STALL_S + 3.0
    # The first order after the stall may be read before or after the next beat.
    assert watch.may_have_waited(woken_at)
    watch.beat(woken_at + 0.01)
    assert watch.may_have_waited(woken_at + STALL_GRACE_S / 2)
    for tick in range(10):
        watch.beat(woken_at + tick * BEAT_INTERVAL_S)
    assert not watch.may_have_waited(woken_at + STALL_GRACE_S + 1.0)


@pytest.mark.parametrize(
    ("age", "is_current"),
    [
        (OrderAge(10.0), True),
        (OrderAge(10.0, may_have_waited=True), False),
        (OrderAge(10.0, has_left=True), False),
        (OrderAge(9.9 - MAX_ORDER_AGE_S), False),
    ],
)
def test_order_is_current_only_while_its_sender_waits(age, is_current):
    assert age.is_current(10.0) == is_current


def test_delayed_order_is_rejected_after_a_newer_one():
    orders = DomainOrders()
    delayed = orders.issue(1, "a")
    assert orders.accept(1, "a", True, orders.issue(1, "a"))
    assert not orders.accept(1, "a", False, delayed)
    # Orders for other domains have their own numbers.
    assert orders.accept(1, "b", False, orders.issue(1, "b"))


def test_repetition_of_the_latest_order_is_accepted():
    """A reply that is lost or late must not turn the same order into a failure."""
    orders = DomainOrders()
    ticket = orders.issue(1, "a")
    assert orders.accept(1, "a", True, ticket)
    assert orders.accept(1, "a", True, ticket)


def test_ticket_of_an_earlier_term_is_rejected():
    orders = DomainOrders()
    ticket = orders.issue(1, "a")
    assert not orders.accept(2, "a", True, ticket)
    assert orders.issue(2, "a") == Ticket(2, 0)


class FakeControl:
    """Answer as the leader; ``before_ticket`` runs before a ticket is issued."""

    def __init__(self, before_ticket):
        self.orders = []
        self._before_ticket = before_ticket

    async def call(self, message, timeout_s):
        match message:
            case ReadTicket():
                await self._before_ticket()
                return TicketReply(term=1, number=0)
            case OrderDomain():
                self.orders.append(message)
                return OrderDomainReply()
        raise ControlError("unexpected message", sent=False)


async def order(before_ticket, stall_watch=None):
    """Send one order; return the status, what was ordered, and how to disconnect."""
    to_app, receive = trio.open_memory_channel(2)
    await to_app.send({"type": "http.request", "body": b"", "more_body": False})

    async def prepare():
        await before_ticket(to_app)

    control = FakeControl(prepare)
    watch = stall_watch or StallWatch(read_boot_time())
    app = OperatorApi(OperatorCommandClient(control), watch)
    messages = []

    async def send(message):
        messages.append(message)

    scope = {"type": "http", "method": "DELETE", "path": "/api/evacuate/a"}
    await app(scope, receive.receive, send)
    return messages[0]["status"], control.orders


async def do_nothing(to_app):
    await trio.lowlevel.checkpoint()


async def disconnect(to_app):
    await to_app.send({"type": "http.disconnect"})
    await trio.testing.wait_all_tasks_blocked()


async def test_order_is_passed_on_with_its_ticket():
    status, orders = await order(do_nothing)
    assert (status, orders) == (200, [OrderDomain("a", False, 1, 0)])


async def test_order_whose_sender_has_left_is_not_passed_on():
    assert await order(disconnect) == (503, [])


async def test_order_read_after_a_stall_is_not_passed_on():
    watch = StallWatch(read_boot_time() - 2 * STALL_S)
    assert await order(do_nothing, watch) == (503, [])
