"""Requests, answers and outcomes of a gateway."""

from dataclasses import dataclass
from enum import Enum

Header = tuple[bytes, bytes]
# HTTP's status of a server that is not the one which the request names.
MISDIRECTED_STATUS = 421


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one request as its caller sent it.

    ``headers`` are the end-to-end headers that are passed on. ``deadline_at``
    is on the monotonic clock, in seconds.
    """

    method: bytes
    target: bytes
    host: str
    headers: tuple[Header, ...]
    body: bytes
    id: bytes
    deadline_at: float


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Hold one whole answer of a server.

    ``signature`` is the server's own mark of the answer, ``request_id`` the
    id of the request that the server says it answers.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    signature: bytes | None
    request_id: bytes | None
    not_run: bool
    closes: bool
    idle_timeout_s: float | None

    @property
    def is_misdirected(self):
        """Say whether another server than the expected one answered."""
        return self.status == MISDIRECTED_STATUS

    @property
    def is_success(self):
        """Say whether this is a success that bears the server's signature."""
        return 200 <= self.status < 300 and self.signature is not None


class Failure(Enum):
    """Name the ways in which a send to a server ends without an answer."""

    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    MALFORMED = "malformed"
    FOREIGN = "foreign"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class Answered:
    """Report an answer of a server to this request."""

    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class Refused:
    """Report that the server stated that it did not run the request."""

    answer: ServerAnswer


@dataclass(frozen=True, slots=True)
class Failed:
    """Report a send that ended without a usable answer.

    ``may_have_run`` is false only if no byte of the request left.
    """

    failure: Failure
    may_have_run: bool


Outcome = Answered | Refused | Failed


def name_outcome(outcome):
    """Return the name of an outcome for logs and counts."""
    match outcome:
        case Answered(answer):
            return f"status_{answer.status}"
        case Refused():
            return "refused"
        case Failed(failure):
            return failure.value
