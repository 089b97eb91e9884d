"""The closed list of error kinds, the response to each, and the exceptions.

The errors that a caller receives carry one of these kinds; operators' commands
report an error by the exit code of its exception.
"""

from dataclasses import dataclass
from enum import Enum


class RunState(Enum):
    """Indicate whether a failed request ran on a backend server."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """List the ways in which a request or an operator's change can fail."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    BUFFERS_FULL = "buffers_full"
    UNAUTHENTICATED = "unauthenticated"
    CALLER_FORBIDDEN = "caller_forbidden"
    UNKNOWN_SEARCH = "unknown_search"
    REQUEST_ID_REUSED = "request_id_reused"
    REQUEST_ID_EXPIRED = "request_id_expired"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OVERLOADED = "overloaded"
    ENTRY_FENCED = "entry_fenced"
    ENTRY_STOPPING = "entry_stopping"
    NO_SNAPSHOT = "no_snapshot"
    INSUFFICIENT_COVERAGE = "insufficient_coverage"
    BACKEND_REFUSED = "backend_refused"
    ANSWER_NOT_RECORDED = "answer_not_recorded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CONTROL_UNAVAILABLE = "control_unavailable"
    CONFIGURATION_INVALID = "configuration_invalid"
    CONFIGURATION_CONFLICT = "configuration_conflict"
    UNKNOWN_ROUTE = "unknown_route"
    NO_CONFIGURATION = "no_configuration"
    NO_LIVE_SERVER = "no_live_server"
    TOO_FEW_PARTS = "too_few_parts"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNAVAILABLE = "quota_unavailable"
    INTERNAL_ERROR = "internal_error"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Describe the response to an error kind.

    ``retry_safe`` is true if the request cannot run twice when it is sent again
    under a new request id.
    """

    http_status: int
    run_state: RunState
    retry_safe: bool


_NOT_RUN, _RAN, _UNKNOWN = RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN

# An idempotent search whose deadline passes during the fan-out may have run on only
# some servers, so the run state of DEADLINE_EXCEEDED is "unknown".
ERROR_RESPONSES = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(400, _NOT_RUN, True),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _NOT_RUN, True),
    ErrorKind.HEADER_TOO_LARGE: ErrorResponse(431, _NOT_RUN, True),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, _NOT_RUN, True),
    ErrorKind.BUFFERS_FULL: ErrorResponse(503, _NOT_RUN, True),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, _NOT_RUN, True),
    ErrorKind.CALLER_FORBIDDEN: ErrorResponse(403, _NOT_RUN, True),
    ErrorKind.UNKNOWN_SEARCH: ErrorResponse(404, _NOT_RUN, True),
    ErrorKind.REQUEST_ID_REUSED: ErrorResponse(409, _NOT_RUN, True),
    ErrorKind.REQUEST_ID_EXPIRED: ErrorResponse(410, _UNKNOWN, False),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(504, _NOT_RUN, True),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, _UNKNOWN, False),
    ErrorKind.OVERLOADED: ErrorResponse(429, _NOT_RUN, True),
    ErrorKind.ENTRY_FENCED: ErrorResponse(503, _NOT_RUN, True),
    ErrorKind.ENTRY_STOPPING: ErrorResponse(503, _NOT_RUN, True),
    ErrorKind.NO_SNAPSHOT: ErrorResponse(503, _NOT_RUN, True),
    ErrorKind.INSUFFICIENT_COVERAGE: ErrorResponse(503, _RAN, False),
    ErrorKind.BACKEND_REFUSED: ErrorResponse(503, _NOT_RUN, True),
    ErrorKind.ANSWER_NOT_RECORDED: ErrorResponse(502, _RAN, False),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, _UNKNOWN, False),
    ErrorKind.CONTROL_UNAVAILABLE: ErrorResponse(503, _UNKNOWN, False),
    ErrorKind.CONFIGURATION_INVALID: ErrorResponse(422, _NOT_RUN, True),
    ErrorKind.CONFIGURATION_CONFLICT: ErrorResponse(409, _NOT_RUN, True),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404, _NOT_RUN, True),
    ErrorKind.NO_CONFIGURATION: ErrorResponse(503, _NOT_RUN, True),
    ErrorKind.NO_LIVE_SERVER: ErrorResponse(503, _NOT_RUN, True),
    # Some shards may have run the request, so its run state cannot be NOT_RUN.
    ErrorKind.TOO_FEW_PARTS: ErrorResponse(502, _UNKNOWN, False),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(429, _NOT_RUN, True),
    ErrorKind.QUOTA_UNAVAILABLE: ErrorResponse(503, _NOT_RUN, True),
    ErrorKind.INTERNAL_ERROR: ErrorResponse(500, _UNKNOWN, False),
}


class WisteriaError(Exception):
    """Base class of the errors that the programs report to their users."""

    exit_code = 1

    def __init__(self, message):
        super().__init__(message)
        self.message = message


class SettingsError(WisteriaError):
    """Report settings, command-line arguments or input files that cannot be used."""

    exit_code = 2


class DocumentError(WisteriaError):
    """Report a configuration document that is not valid.

    ``problems`` has one text per problem; it is empty if the text could not be parsed.
    """

    exit_code = 3

    def __init__(self, message, problems=()):
        super().__init__(message)
        self.problems = problems


class ControlError(WisteriaError):
    """Report that no control member answered as the leader in time.

    ``sent`` is false only when no member can have received a change.
    """

    exit_code = 4

    def __init__(self, message, sent=True):
        super().__init__(message)
        self.sent = sent


class ConflictError(WisteriaError):
    """Report that another operator changed the configuration first."""

    exit_code = 5


class LagError(WisteriaError):
    """Report entries that did not adopt a configuration version in time."""

    exit_code = 8


class RefusedError(WisteriaError):
    """Report a change that the control group refused."""

    exit_code = 9


class EntryError(WisteriaError):
    """Report that the entries or the log lines do not contain the requested report."""

    exit_code = 10


class StorageError(WisteriaError):
    """Report a data folder that is damaged or not usable."""

    exit_code = 6


class InvariantError(WisteriaError):
    """Report a broken invariant; the process must stop."""

    exit_code = 7


class NotLeaderError(WisteriaError):
    """Report that this member is not the leader and proposed nothing.

    ``leader_address`` is None if no leader is known.
    """

    def __init__(self, leader_address):
        super().__init__(f"not the leader; the leader is {leader_address or 'unknown'}")
        self.leader_address = leader_address


class ProposalOutcomeUnknownError(WisteriaError):
    """Report a proposal whose outcome is unknown: it may still be committed."""


class MembershipError(WisteriaError):
    """Report a membership change that the current state does not allow."""


class RequestError(WisteriaError):
    """Report a failed request with its error kind."""

    def __init__(self, kind, message, run_state=None):
        super().__init__(message)
        self.kind = kind
        self.run_state = run_state or ERROR_RESPONSES[kind].run_state


class RpcError(WisteriaError):
    """Report that a peer did not reply to a message.

    ``sent`` is false only when no byte of the message left this process.
    """

    def __init__(self, message, sent):
        super().__init__(message)
        self.sent = sent
