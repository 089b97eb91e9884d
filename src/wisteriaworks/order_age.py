"""Decide which orders of operators are too old to be carried out.

Load pattern: a process is stopped for seconds while orders arrive in its sockets. The
operators give up on these orders, send them to another member, and later order the
opposite. An order that waited must not be carried out after a newer one.
"""

from dataclasses import dataclass

import trio

from wisteriaworks.clocks import read_boot_time

BEAT_INTERVAL_S = 0.2
# A process that did not run for this long may have orders that waited in its sockets.
STALL_S = 0.5
# Operators give up on an order after a second. Orders that are read this soon after a
# stall may have been sent before it.
STALL_GRACE_S = 1.0
# Maximum time from the reading of an order until the leader is asked for a ticket.
MAX_ORDER_AGE_S = 0.9


class StallWatch:
    """Notice that the process did not run for a while."""

    def __init__(self, now):
        self._beat_at = now
        self._stall_ended_at = None

    def beat(self, now):
        """Record that the process runs."""
        if now - self._beat_at > STALL_S:
            self._stall_ended_at = now
        self._beat_at = now

    def may_have_waited(self, now):
        """Return whether an order that is read now may have waited during a stall."""
        self.beat(now)
        ended_at = self._stall_ended_at
        return ended_at is not None and now - ended_at < STALL_GRACE_S

    async def run(self):
        """Record beats until cancelled."""
        while True:
            self.beat(read_boot_time())
            await trio.sleep(BEAT_INTERVAL_S)


@dataclass(slots=True)
class OrderAge:
    """Describe since when an order has been in this process.

    ``may_have_waited`` tells that it may have arrived long before it was read, and
    ``has_left`` that its sender has closed the connection.
    """

    read_at: float
    may_have_waited: bool = False
    has_left: bool = False

    def is_current(self, now):
        """Return whether the sender still waits for this order."""
        is_recent = now - self.read_at <= MAX_ORDER_AGE_S
        return is_recent and not self.may_have_waited and not self.has_left


@dataclass(frozen=True, slots=True)
class Ticket:
    """Represent the orders for one domain that a leader knew at some moment."""

    term: int
    number: int


class DomainOrders:
    """Reject orders that are older than another order for the same domain.

    A member asks the leader for a ticket after it has read an order, and sends the
    order with the ticket. If the order is delayed on the way, and another one for the
    domain was accepted meanwhile, the ticket shows it. Tickets end with the term.
    """

    def __init__(self):
        self._term = 0
        # Number and state of the latest order by domain.
        self._latest = {}

    def issue(self, term, domain):
        """Return a ticket for the next order."""
        self._enter(term)
        number, _ = self._latest.get(domain, (0, None))
        return Ticket(term, number)

    def accept(self, term, domain, out, ticket):
        """Record an order; return whether it is newer than all others.

        A repetition of the latest order is accepted too.
        """
        self._enter(term)
        number, latest_out = self._latest.get(domain, (0, None))
        if ticket != Ticket(term, number) and (
            ticket.term != term or latest_out != out
        ):
            return False
        self._latest[domain] = (number + 1, out)
        return True

    def _enter(self, term):
        if term != self._term:
            self._term, self._latest = term, {}
