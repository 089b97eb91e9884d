"""The fields of the console's forms."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec

from wisteriaworks.document_checks import NAME_PATTERN, is_valid_address
from wisteriaworks.generated.document import (
    Caller,
    Limits,
    Objective,
    Routing,
    Search,
    Server,
)

_NAME = re.compile(NAME_PATTERN)


class Widget(Enum):
    """List the ways in which a field is rendered and parsed."""

    TEXT = "text"
    INTEGER = "integer"
    DECIMAL = "decimal"
    OPTIONAL_DECIMAL = "optional_decimal"
    CHECKBOX = "checkbox"
    CHOICE = "choice"
    MANY = "many"


@dataclass(frozen=True, slots=True)
class FieldSpec:
    """Describe one form field.

    ``choices`` is the group of the document whose names can be selected, and
    ``options`` lists fixed values. ``expected`` replaces the schema's text in
    error messages, and ``check`` applies a rule that the schema does not have.
    """

    name: str
    label: str
    widget: Widget
    hint: str = ""
    choices: str = ""
    options: tuple[str, ...] = ()
    expected: str = ""
    check: Callable | None = None


@dataclass(frozen=True, slots=True)
class FormSpec:
    """Describe the form of one data class of the document."""

    struct_type: type[msgspec.Struct]
    fields: tuple[FieldSpec, ...]


def is_valid_name(text):
    """Return whether a text is a valid name in the document."""
    return bool(_NAME.fullmatch(text))


def _is_fraction(value):
    return value is None or 0 <= value <= 1


_FRACTION_TEXT = "a number from 0 to 1"
_OPEN_FRACTION_TEXT = "a number above 0 and below 1"

SEARCH = FormSpec(
    Search,
    (
        FieldSpec(
            "indexes",
            "Indexes",
            Widget.MANY,
            "The indexes behind the search. A keyed search has exactly one.",
            choices="indexes",
            expected="at least one index",
        ),
        FieldSpec(
            "routing",
            "Routing",
            Widget.CHOICE,
            "scatter asks every shard; keyed asks the one shard of the routing key.",
            options=tuple(routing.value for routing in Routing),
        ),
        FieldSpec(
            "idempotent",
            "Idempotent",
            Widget.CHECKBOX,
            "Leave unchecked for requests that must run at most once.",
        ),
        FieldSpec(
            "minimum_coverage",
            "Minimum coverage",
            Widget.DECIMAL,
            "Share of shards, 0 to 1, below which the answer is an error.",
            expected=_FRACTION_TEXT,
        ),
    ),
)
SERVER = FormSpec(
    Server,
    (
        FieldSpec(
            "address",
            "Address",
            Widget.TEXT,
            "IPv4 address and port, for example 127.0.0.1:21001.",
            expected="an IPv4 address and a port from 1 to 65535",
            check=is_valid_address,
        ),
        FieldSpec("domain", "Failure domain", Widget.CHOICE, choices="domains"),
        FieldSpec(
            "replica_set",
            "Replica set",
            Widget.TEXT,
            "Servers of one replica set carry the same shards.",
            expected="1 to 64 letters, digits, dots, underscores or hyphens, "
            "with a letter or digit first",
            check=is_valid_name,
        ),
        FieldSpec(
            "slots",
            "Slots",
            Widget.INTEGER,
            "Sub-queries that the server runs at once, 1 to 64.",
            expected="a whole number from 1 to 64",
        ),
        FieldSpec(
            "connections",
            "Connections",
            Widget.INTEGER,
            "Connections that the server accepts, 1 to 1000.",
            expected="a whole number from 1 to 1000",
        ),
    ),
)
CALLER = FormSpec(
    Caller,
    (
        FieldSpec(
            "credential_sha256",
            "Hash of the credential",
            Widget.TEXT,
            "The output of: wisteria caller hash -. Never the credential itself.",
            expected="64 hexadecimal digits in lower case",
        ),
        FieldSpec(
            "searches",
            "Searches",
            Widget.MANY,
            "The searches that the caller may send.",
            choices="searches",
        ),
        FieldSpec(
            "timeout_ms",
            "Time-out in ms",
            Widget.INTEGER,
            "Longest deadline that the caller may ask for; also the default.",
            expected="a whole number from 1 to 600000",
        ),
        FieldSpec(
            "priority",
            "Priority",
            Widget.INTEGER,
            "0 is served first, 9 last.",
            expected="a whole number from 0 to 9",
        ),
        FieldSpec(
            "minimum_coverage",
            "Minimum coverage",
            Widget.OPTIONAL_DECIMAL,
            "Share of shards, 0 to 1; leave empty to use the value of the search.",
            expected=f"{_FRACTION_TEXT}, or nothing",
            check=_is_fraction,
        ),
    ),
)
LIMITS = FormSpec(
    Limits,
    (
        FieldSpec(
            "max_body_bytes",
            "Largest request body in bytes",
            Widget.INTEGER,
            expected="a whole number from 1 up",
        ),
        FieldSpec(
            "max_answer_bytes",
            "Largest answer in bytes",
            Widget.INTEGER,
            expected="a whole number from 1024 up",
        ),
        FieldSpec(
            "max_recorded_answer_bytes",
            "Largest recorded answer in bytes",
            Widget.INTEGER,
            "Larger answers of non-idempotent requests are recorded without body.",
            expected="a whole number from 0 up",
        ),
        FieldSpec(
            "request_id_window_s",
            "Request id window in seconds",
            Widget.INTEGER,
            "Maximum age of the request id of a non-idempotent request.",
            expected="a whole number from 1 to 604800",
        ),
        FieldSpec(
            "hedge_ratio",
            "Hedge budget",
            Widget.DECIMAL,
            "Hedged sub-queries per primary sub-query, 0 to 1.",
            expected=_FRACTION_TEXT,
        ),
        FieldSpec(
            "retry_ratio",
            "Retry budget",
            Widget.DECIMAL,
            "Retried sub-queries per primary sub-query, 0 to 1.",
            expected=_FRACTION_TEXT,
        ),
        FieldSpec(
            "max_running",
            "Running requests",
            Widget.INTEGER,
            "Requests that one entry runs at once.",
            expected="a whole number from 1 up",
        ),
        FieldSpec(
            "max_header_bytes",
            "Largest header on a route in bytes",
            Widget.INTEGER,
            expected="a whole number from 256 up",
        ),
        FieldSpec(
            "header_timeout_ms",
            "Time-out of a header in ms",
            Widget.INTEGER,
            "Longest time that a caller of a route may take to send a header.",
            expected="a whole number from 1 up",
        ),
        FieldSpec(
            "idle_timeout_ms",
            "Time-out of an idle connection in ms",
            Widget.INTEGER,
            "A caller's connection on a route is closed after this idle time.",
            expected="a whole number from 1 up",
        ),
    ),
)
OBJECTIVE = FormSpec(
    Objective,
    (
        FieldSpec("search", "Search", Widget.CHOICE, choices="searches"),
        FieldSpec(
            "caller",
            "Caller",
            Widget.CHOICE,
            "The caller must be allowed to send the search.",
            choices="callers",
        ),
        FieldSpec(
            "latency_ms",
            "Latency threshold in ms",
            Widget.INTEGER,
            "Answers that take longer are too slow.",
            expected="a whole number from 1 up",
        ),
        FieldSpec(
            "latency_target",
            "Latency target",
            Widget.DECIMAL,
            "Share of answers that are not too slow, for example 0.99.",
            expected=_OPEN_FRACTION_TEXT,
        ),
        FieldSpec(
            "coverage_target",
            "Coverage target",
            Widget.DECIMAL,
            "Share of answers that are complete, for example 0.999.",
            expected=_OPEN_FRACTION_TEXT,
        ),
    ),
)
