"""Numbered log events.

Event numbers are stable: operators search and alert by them. docs/events.md
lists all of them, and a test compares the two.
"""

import traceback
from enum import Enum
from typing import NamedTuple

from loguru import logger


class _Spec(NamedTuple):
    number: int
    level: str
    text: str


class Event(Enum):
    """List the events that the programs log."""

    # 1xx: processes
    PROCESS_STARTED = _Spec(101, "INFO", "process started")
    PROCESS_STOPPING = _Spec(102, "INFO", "stop requested")
    PROCESS_STOPPED = _Spec(103, "INFO", "process stopped")
    HANDLER_FAILED = _Spec(104, "ERROR", "a message handler failed")
    STOP_TIMED_OUT = _Spec(105, "ERROR", "stop took too long")
    SETTINGS_RELOADED = _Spec(106, "INFO", "settings reloaded")
    SETTINGS_REFUSED = _Spec(107, "ERROR", "changed settings cannot be used")
    LINES_LEFT_OUT = _Spec(
        108, "WARNING", "log lines of an event suppressed by the rate limit"
    )
    LOG_DROPPED = _Spec(109, "WARNING", "log lines were dropped: the reader is slow")
    # 2xx: entry and control sessions
    SESSION_OPENED = _Spec(201, "INFO", "session opened")
    SESSION_LOST = _Spec(202, "WARNING", "session lost")
    CONFIGURATION_ADOPTED = _Spec(203, "INFO", "configuration adopted")
    ENTRY_FENCED = _Spec(204, "WARNING", "entry fenced: configuration not confirmed")
    ENTRY_UNFENCED = _Spec(205, "INFO", "entry serves again")
    CONTROL_UNREACHABLE = _Spec(206, "WARNING", "no control member answers")
    # 3xx: backend servers held by an entry
    SERVER_HELD = _Spec(301, "INFO", "server held")
    SERVER_RELEASED = _Spec(302, "INFO", "server released")
    SERVER_STATE_CHANGED = _Spec(303, "INFO", "server state changed")
    SERVER_RAMP_RESET = _Spec(304, "WARNING", "concurrency limit of a server reset")
    CONNECTION_SILENT = _Spec(305, "WARNING", "connection to a server went silent")
    # 4xx: requests
    REQUEST_FAILED = _Spec(401, "WARNING", "request failed")
    REQUEST_PARTIAL = _Spec(402, "INFO", "answer is partial")
    REQUEST_UNKNOWN = _Spec(403, "WARNING", "outcome of a request is unknown")
    REQUEST_RESTARTED = _Spec(
        404, "INFO", "snapshot no longer available; the search restarts"
    )
    REPLICA_EJECTED = _Spec(405, "INFO", "replica ejected after bad replies")
    # 5xx: control
    LEADER_ELECTED = _Spec(501, "INFO", "this member leads")
    LEADER_LOST = _Spec(502, "WARNING", "this member no longer leads")
    MEMBERS_CHANGED = _Spec(503, "INFO", "control members changed")
    SNAPSHOT_WRITTEN = _Spec(504, "INFO", "state snapshot written")
    LOG_TAIL_CUT = _Spec(505, "WARNING", "damaged tail of the log truncated")
    CONFIGURATION_ACCEPTED = _Spec(506, "INFO", "configuration accepted")
    SESSION_CLOSED = _Spec(507, "INFO", "session closed")
    SERVERS_ASSIGNED = _Spec(508, "INFO", "servers assigned")
    DISK_CREATED = _Spec(509, "INFO", "data folder got a new disk identity")
    SNAPSHOT_RESTORED = _Spec(510, "INFO", "snapshot of the leader restored")
    PLATFORM_UNREADABLE = _Spec(511, "WARNING", "list of VMs cannot be read")
    DOMAIN_ORDERED = _Spec(
        512,
        "INFO",
        "received an order to take a failure domain out of service or return it",
    )
    CONFIGURATION_REFUSED = _Spec(513, "WARNING", "configuration refused as not valid")
    ORDER_NOT_TAKEN = _Spec(
        514, "WARNING", "operator's order or read not confirmed by the control group"
    )
    DISK_FULL = _Spec(515, "ERROR", "disk is full: the member waits for room")
    DISK_HAS_ROOM = _Spec(516, "INFO", "disk has room again: the member starts")
    REDIRECT_STARTED = _Spec(520, "INFO", "control process without a disk: no member")
    REDIRECT_MEMBER_CHANGED = _Spec(
        521, "INFO", "member to which operators are directed changed"
    )
    FOUNDER_APPOINTED = _Spec(
        522, "INFO", "this member creates the group, as the first seed has no disk"
    )
    # 6xx: console
    OPERATOR_SIGNED_IN = _Spec(601, "INFO", "operator signed in")
    SIGN_IN_REFUSED = _Spec(602, "WARNING", "sign-in refused")
    CONFIGURATION_PROPOSED = _Spec(603, "INFO", "configuration proposed")
    DOMAIN_MOVED = _Spec(604, "INFO", "failure domain state changed")
    # 7xx: gateways
    LEADER_WATCHED = _Spec(
        701, "INFO", "gateway receives updates from a control member"
    )
    LEADER_SILENT = _Spec(702, "WARNING", "gateway lost its control member")
    LIST_READ_DIRECTLY = _Spec(
        703,
        "INFO",
        "gateway reads the list of servers directly, as control sends no updates",
    )
    REQUEST_UNSERVED = _Spec(704, "WARNING", "request on a route not served")
    ANSWER_PARTIAL = _Spec(705, "INFO", "answer on a route lacks some shards")
    REQUEST_REFUSED = _Spec(
        706, "WARNING", "request refused before it was matched to a route"
    )
    REQUEST_SERVED = _Spec(
        707, "INFO", "request answered; only a sample of these is logged"
    )
    CALLER_GONE = _Spec(708, "INFO", "caller disconnected before its answer")
    GATEWAY_READY = _Spec(709, "INFO", "gateway is ready for callers")
    SERVER_AVOIDED = _Spec(710, "INFO", "server is avoided for a time")
    LIST_OUTDATED = _Spec(
        711, "INFO", "a list of servers is not used: its reading began earlier"
    )
    GROUP_HANDED_ON = _Spec(
        712, "INFO", "group of shards goes from one gateway to the next"
    )
    GROUP_CANCELLED = _Spec(
        713, "INFO", "group of shards cancelled by the gateway that asked for it"
    )
    KEYS_CONFIRMED = _Spec(
        720, "INFO", "configuration confirmed: requests with keys are served"
    )
    KEYS_NOT_CONFIRMED = _Spec(
        721, "WARNING", "configuration not confirmed: requests with keys are refused"
    )
    KEY_REFUSED = _Spec(
        722, "WARNING", "request refused because of its key, or without a lease"
    )
    # 73x: limits of accounts
    QUOTA_EXCEEDED = _Spec(730, "INFO", "request refused: account over its limit")
    QUOTA_UNAVAILABLE = _Spec(
        731, "WARNING", "request refused: control gave no permission for its account"
    )
    QUOTA_UNANSWERED = _Spec(
        732, "WARNING", "control does not answer questions for permissions"
    )
    QUOTA_ANSWERED = _Spec(733, "INFO", "control answers questions for permissions")
    QUOTAS_STARTED = _Spec(734, "INFO", "this leader gives permissions for accounts")
    # 74x: rollouts
    ROLLOUT_ORDERED = _Spec(740, "INFO", "received an order for a rollout")
    ROLLOUT_PROMOTED = _Spec(
        741, "INFO", "all requests of a service move to the new version"
    )
    ROLLOUT_SUCCEEDED = _Spec(742, "INFO", "rollout has succeeded")
    ROLLOUT_ROLLED_BACK = _Spec(743, "WARNING", "rollout is rolled back")
    ROLLOUT_FOLLOWED = _Spec(744, "INFO", "gateway follows a phase of a rollout")
    VERSION_STOPPED = _Spec(
        745, "WARNING", "gateway stops sending to a version after bad answers"
    )
    # 75x: clients of all programs
    CLIENT_REFUSED = _Spec(
        750, "WARNING", "a request or connection of a client was ended by a limit"
    )


def log_failure(exc, **fields):
    """Log an unexpected exception with its traceback."""
    trace = "".join(traceback.format_exception(exc))
    log_event(Event.HANDLER_FAILED, error=repr(exc), traceback=trace, **fields)


def log_event(event, **fields):
    """Log an event with its fields."""
    number, level, text = event.value
    logger.bind(event=number, **fields).log(level, text)
