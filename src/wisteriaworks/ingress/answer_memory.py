"""Limit the memory of all answers of one process. No I/O.

Load patterns: servers in trouble send bytes without end, and clients ask for long
answers and take them slowly, or not at all. Each answer is bounded, but all of them
together would exceed the memory of the VM. Servers wait, since their bytes are not
read, and clients without progress are ended. The age of an answer does not matter, so a
slow link gets even the longest answer while nobody waits for its memory.
"""

import math
from dataclasses import dataclass
from typing import Any

# Share of the limit from which on only one unfinished answer is read at a time. It
# leaves room for this one.
READING_SHARE = 0.25
# Share of the limit from which on clients that take their answers slowly are ended.
DELIVERY_SHARE = 0.5
# An unfinished answer below this size never waits.
SMALL_ANSWER_BYTES = 16 * 1024
# While others wait, a client without a byte for this long has stopped. The last segment
# of a burst, if lost, is sent again after 0.2 s.
STALL_S = 0.5
# Average rate below which a client is slow.
SLOW_BYTES_PER_S = 64 * 1024


@dataclass(eq=False, slots=True)
class Delivery:
    """Represent an answer of ``size`` bytes that a client is taking.

    All of it is held until the client has taken the last byte. ``give_up()`` closes the
    client's connection.
    """

    give_up: Any
    size: int
    began_at: float
    progressed_at: float
    taken: int = 0

    def record_progress(self, taken, now):
        """Record that the client has taken some more bytes."""
        self.taken += taken
        self.progressed_at = now

    def has_stopped(self, now):
        """Return whether the client has taken nothing for some time."""
        return now - self.progressed_at >= STALL_S

    def is_slow(self, now):
        """Return whether the client takes too little to be kept while others wait."""
        is_new = now - self.began_at < STALL_S
        return not is_new and self.compute_rate(now) < SLOW_BYTES_PER_S

    def compute_rate(self, now):
        """Return the bytes taken per second; infinite for an answer that just began."""
        elapsed_s = now - self.began_at
        return self.taken / elapsed_s if elapsed_s > 0 else math.inf

    def rank(self, now):
        """Return a key that is greatest for the client with least progress."""
        return self.has_stopped(now), -self.compute_rate(now), self.size


class AnswerMemory:
    """Track the unfinished answers of servers, and the answers that clients take.

    ``limit`` is in bytes. ``on_refusal(reason)`` is called for each client that is
    ended. An answer is kept, whatever its size, while there is no other one.
    """

    def __init__(self, limit, on_refusal=lambda reason: None):
        self._limit = limit
        self._on_refusal = on_refusal
        # Sizes of the unfinished answers by their connection.
        self._unfinished = {}
        self._unfinished_bytes = 0
        self._deliveries = set()
        self._delivery_bytes = 0

    @property
    def total(self):
        """Return the bytes of all answers."""
        return self._unfinished_bytes + self._delivery_bytes

    def update(self, conn, size):
        """Record the size of an unfinished answer; 0 if it has ended.

        Returns the connection whose answer has to be given up, or None while the
        unfinished answers are within the limit.
        """
        self._unfinished_bytes += size - self._unfinished.pop(conn, 0)
        if size:
            self._unfinished[conn] = size
        if self._unfinished_bytes <= self._limit or len(self._unfinished) == 1:
            return None
        return max(self._unfinished, key=self._unfinished.__getitem__)

    def compute_room(self, conn, now):
        """Return how many bytes of an unfinished answer may be read; 0 if it waits.

        Long answers wait for the largest one, which is the first to be complete. Slow
        clients are ended to make room for it.
        """
        size = self._unfinished.get(conn, 0)
        # The beginnings of all answers together would be more than the limit.
        if size < SMALL_ANSWER_BYTES:
            return SMALL_ANSWER_BYTES - size
        is_reading_full = self._unfinished_bytes >= self._limit * READING_SHARE
        if not (is_reading_full or self._is_delivery_full()):
            return math.inf
        if size < max(self._unfinished.values()):
            return 0
        self._end_slow(now)
        return 0 if self._is_delivery_full() else math.inf

    def begin(self, delivery, now):
        """Record that a client begins to take an answer; others may be ended."""
        self._deliveries.add(delivery)
        self._delivery_bytes += delivery.size
        self._end_slow(now)
        self._end_until(self._limit, self._deliveries - {delivery}, now)

    def end(self, delivery):
        """Record that an answer is not held any more."""
        if delivery in self._deliveries:
            self._deliveries.remove(delivery)
            self._delivery_bytes -= delivery.size

    def _is_delivery_full(self):
        return self._delivery_bytes >= self._limit * DELIVERY_SHARE

    def _end_slow(self, now):
        """End clients without progress while too much is held for clients."""
        if self._is_delivery_full():
            slow = [d for d in self._deliveries if d.has_stopped(now) or d.is_slow(now)]
            self._end_until(self._limit * DELIVERY_SHARE, slow, now)

    def _end_until(self, limit, deliveries, now):
        """End some of the deliveries, least progress first, until all are within."""
        if self._delivery_bytes <= limit:
            return
        for victim in sorted(deliveries, key=lambda d: d.rank(now), reverse=True):
            if self._delivery_bytes <= limit:
                return
            self.end(victim)
            self._on_refusal("answers")
            victim.give_up()
