"""Count the bytes that cross failure domains, at the process that connects.

Each connection between two domains is metered at one end only, by the process that
opened it, so that no byte is counted twice over all processes.
"""

from enum import Enum


class TrafficKind(Enum):
    """Name what crosses domains.

    Parts are requests to servers and their answers, groups are parts of queries that
    other gateways gather.
    """

    PARTS = "parts"
    GROUPS = "groups"


class TrafficMeter:
    """Count bytes by kind and direction in a metric."""

    def __init__(self, metrics):
        self._bytes = metrics.create_counter(
            "wisteria.gateway.bytes.between.domains",
            "Bytes on connections to other failure domains by kind and direction",
        )

    def get_meter(self, kind):
        """Return a function of the numbers of bytes sent and received."""
        sent = {"kind": kind.value, "direction": "sent"}
        received = {"kind": kind.value, "direction": "received"}

        def count(sent_bytes, received_bytes):
            if sent_bytes:
                self._bytes.add(sent_bytes, sent)
            if received_bytes:
                self._bytes.add(received_bytes, received)

        return count


def ignore_bytes(sent_bytes, received_bytes):
    """Count nothing; the meter of a connection within a domain."""
