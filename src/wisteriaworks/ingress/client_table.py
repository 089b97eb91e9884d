"""Decide which clients are ended when memory or descriptors run short. No I/O.

Load pattern: hundreds of clients send large requests and stop short of their ends, or
open connections and send nothing. Each stays within the limits on one request, but
together they exceed the memory or the descriptors of the VM. Ordinary requests are
small and short, so a client that has stopped, or that holds most, is ended first.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from wisteriaworks.errors import ErrorKind

# A client without a byte for this long has stopped. A lost segment is sent again
# after 0.2 to 1 s.
STALL_S = 2.0
# Share of the memory that large requests leave while they run. Requests within an equal
# part of it for each connection are not large.
RESERVED_SHARE = 0.25


class Phase(Enum):
    """List the states of a connection."""

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"
    ANSWERING = "answering"
    CLOSING = "closing"


@dataclass(eq=False, slots=True)
class Client:
    """Represent one connection.

    ``end(kind)`` refuses the unfinished request, and closes the connection.
    """

    end: Any
    progressed_at: float
    is_public: bool = True
    phase: Phase = Phase.IDLE
    held: int = 0
    served: int = 0

    def has_stopped(self, now):
        """Return whether no byte has arrived or been taken for some time."""
        return now - self.progressed_at >= STALL_S


@dataclass(slots=True)
class ClientTable:
    """Track the connections of one process and the memory of their requests.

    ``private_connections`` bounds the connections to ports that are not for clients.
    ``on_refusal(reason)`` is called for each client that is refused or ended.
    """

    max_held: int
    max_connections: int
    private_connections: int
    on_refusal: Any
    held: int = 0
    clients: set[Client] = field(default_factory=set)
    counts: Counter = field(default_factory=Counter)

    def admit(self, client, now):
        """Return whether a new connection is kept.

        At the limit, another one that is idle or has stopped is ended instead: first
        one that was never served, then the one that has waited longest.
        """
        is_public = client.is_public
        limit = self.max_connections if is_public else self.private_connections
        if self.counts[is_public] >= limit:
            victim = min(
                (c for c in self.clients if _is_replaceable(c, is_public, now)),
                key=lambda c: (c.served > 0, c.progressed_at),
                default=None,
            )
            if victim is None:
                self.on_refusal("connections")
                return False
            self._end(victim, ErrorKind.BUFFERS_FULL, "connections")
            self.remove(victim)
        self.clients.add(client)
        self.counts[is_public] += 1
        return True

    def remove(self, client):
        """Remove a connection that has ended."""
        if client in self.clients:
            self.clients.remove(client)
            self.counts[client.is_public] -= 1
            self.held -= client.held
            client.held = 0

    def hold(self, client, size, now):
        """Record the memory of a request after a byte has arrived.

        Ends other clients, or this one, until the memory of all requests is within
        the limit, and returns whether there were any. A request that is alone is
        kept, since its size has limits of its own.
        """
        client.progressed_at = now
        if client not in self.clients or client.phase is Phase.CLOSING:
            return False
        self._set_held(client, size)
        return self.held > self.max_held and self._make_room(now)

    def run(self, client):
        """Record that a request is complete, and return whether it may run.

        It holds its memory until its answer. Large requests that run leave some of the
        memory, so that ordinary ones are not refused until their answers.
        """
        client.phase = Phase.RUNNING
        reserve = self.max_held * RESERVED_SHARE
        small = reserve / self.max_connections
        has_room = self.held <= self.max_held - reserve
        if has_room or not client.is_public or client.held <= small:
            return True
        running = [
            c.held for c in self.clients if c.phase is Phase.RUNNING and c.held > small
        ]
        if len(running) == 1 or sum(running) <= self.max_held - reserve:
            return True
        self.on_refusal("running")
        return False

    def answer(self, client, now):
        """Record that the client begins to take the answer to its request.

        The request is not held any more.
        """
        client.progressed_at = now
        if client in self.clients:
            self._set_held(client, 0)
        if client.phase is not Phase.CLOSING:
            client.phase = Phase.ANSWERING

    def release(self, client, phase, now):
        """Record that a request has ended."""
        client.phase = phase
        client.progressed_at = now
        if client in self.clients:
            self._set_held(client, 0)

    def _set_held(self, client, size):
        self.held += size - client.held
        client.held = size

    def _make_room(self, now):
        reading = [
            c
            for c in self.clients
            if c.is_public and c.phase is Phase.READING and c.held
        ]
        reading.sort(key=lambda c: (c.has_stopped(now), c.held))
        is_ended = False
        while self.held > self.max_held and reading:
            victim = reading.pop()
            if victim.held == self.held:
                break
            is_ended = True
            # The bytes are freed as soon as the task of the connection runs.
            self._set_held(victim, 0)
            self._end(victim, ErrorKind.BUFFERS_FULL, "memory")
        return is_ended

    def _end(self, client, kind, reason):
        self.on_refusal(reason)
        client.phase = Phase.CLOSING
        client.end(kind)


def _is_replaceable(client, is_public, now):
    if client.is_public is not is_public:
        return False
    match client.phase:
        case Phase.IDLE | Phase.CLOSING:
            return True
        case Phase.READING | Phase.ANSWERING:
            return client.has_stopped(now)
    return False
