"""Requests, answers and outcomes of a gateway."""

import math
from dataclasses import dataclass
from enum import Enum

from wisteriaworks.generated.document import Document, Route
from wisteriaworks.generated.messages import EarlierRun

Header = tuple[bytes, bytes]
# HTTP status "Misdirected Request": the server is not the one that the request names.
MISDIRECTED_STATUS = 421


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Represent one request as its caller sent it.

    ``headers`` are the end-to-end headers that are passed on. ``deadline_at``
    is on the monotonic clock, in seconds. ``account`` is the client account, and
    ``key_id`` identifies its key; both are empty if the request needs no key.
    """

    method: bytes
    target: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes
    id: bytes
    deadline_at: float
    account: str = ""
    key_id: bytes = b""
    # Boot time until which the account's permission allows the first send.
    expires_at: float = math.inf


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """Say until when a gateway waits for servers, on the monotonic clock, in seconds.

    From ``partial_at`` on, an answer with the minimum coverage is given.
    ``give_up_at`` leaves the time to tell the caller before ``deadline_at``, which
    is the deadline that servers get.
    """

    partial_at: float
    give_up_at: float
    deadline_at: float

    @classmethod
    def create(cls, objective_at, deadline_at, return_s):
        """Return the times for an answer that takes ``return_s`` to its caller."""
        return cls(objective_at - return_s, deadline_at - return_s, deadline_at)


@dataclass(frozen=True, slots=True)
class ShardQuery:
    """Represent a request on a route to shards, under one configuration version."""

    request: CallerRequest
    route: Route
    document: Document
    version: int
    times: AnswerTimes


@dataclass(frozen=True, slots=True)
class EarlierSends:
    """Describe what another gateway may have sent of a group of shards.

    ``servers`` is the digest of the servers that it knew for them.
    """

    run: EarlierRun = EarlierRun.NONE
    servers: int = 0


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Represent one complete answer of a server.

    ``signature`` is the server's signature of the answer, ``request_id`` the id
    that the server states for the request it answers. ``not_run`` is whether the
    server stated that it did not run the request, ``closes_connection`` whether the
    connection can't be used again.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes | bytearray
    signature: bytes | None
    request_id: bytes | None
    not_run: bool
    closes_connection: bool
    idle_timeout_s: float | None

    @property
    def signatures(self):
        """Return the signatures of the parts that this answer consists of."""
        return (self.signature,)

    @property
    def is_misdirected(self):
        """Return whether a server other than the expected one answered."""
        return self.status == MISDIRECTED_STATUS

    @property
    def is_success(self):
        """Return whether this is a success with the server's signature."""
        return 200 <= self.status < 300 and self.signature is not None


class Failure(Enum):
    """Name the ways in which a send to a server ends without an answer."""

    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    MALFORMED = "malformed"
    # The answer names another request, or none.
    FOREIGN = "foreign"
    TIMED_OUT = "timed_out"
    # The gateway stopped waiting before the request was sent.
    ABANDONED = "abandoned"
    # The configuration in use has the key no longer.
    KEY_REMOVED = "key_removed"
    # The configuration was confirmed too long ago for a request with a key.
    NOT_CONFIRMED = "not_confirmed"


# Failures that apply to the request at any server, and by which it was not sent.
KEY_FAILURES = frozenset((Failure.KEY_REMOVED, Failure.NOT_CONFIRMED))


@dataclass(frozen=True, slots=True)
class Answered:
    """Represent a send that the server answered."""

    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class Refused:
    """Represent a send that the server refused, so the request did not run."""

    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class Failed:
    """Represent a send that ended without a usable answer.

    ``may_have_run`` is false only if no byte of the request was sent.
    """

    failure: Failure
    may_have_run: bool


Outcome = Answered | Refused | Failed


def name_outcome(outcome):
    """Return the name of an outcome for logs and metrics."""
    match outcome:
        case Answered(answer):
            return f"status_{answer.status}"
        case Refused():
            return "refused"
        case Failed(failure):
            return failure.value
