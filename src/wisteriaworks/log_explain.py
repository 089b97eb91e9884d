"""Explain a request from the log lines of several processes, merged by time.

The clocks of VMs can differ by seconds. A gateway adopts a configuration version
a few milliseconds after the control group accepted it, so the shortest time
between the two events, over all versions, estimates its clock offset.
"""

import itertools
from dataclasses import dataclass, replace
from datetime import datetime

import msgspec

from wisteriaworks.events import Event

# Events this long before and after a request may explain it.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 2.0
# Minimum time from the acceptance of a version to its adoption by a gateway.
MIN_ADOPTION_S = 0.001
# Events that may explain a request although they do not name it, such as the start of
# a process, missing log lines, or a change of the leader or of the configuration.
_CONTEXT_EVENTS = frozenset(
    event.value.number
    for event in (
        Event.PROCESS_STARTED,
        Event.PROCESS_STOPPING,
        Event.PROCESS_STOPPED,
        Event.STOP_TIMED_OUT,
        Event.HANDLER_FAILED,
        Event.SETTINGS_RELOADED,
        Event.LINES_LEFT_OUT,
        Event.LOG_DROPPED,
        Event.CONFIGURATION_ADOPTED,
        Event.LEADER_ELECTED,
        Event.LEADER_LOST,
        Event.MEMBERS_CHANGED,
        Event.CONFIGURATION_ACCEPTED,
        Event.DISK_CREATED,
        Event.PLATFORM_UNREADABLE,
        Event.DOMAIN_ORDERED,
        Event.ORDER_NOT_TAKEN,
        Event.DISK_FULL,
        Event.DISK_HAS_ROOM,
        Event.LEADER_WATCHED,
        Event.LEADER_SILENT,
        Event.LIST_READ_DIRECTLY,
        Event.GATEWAY_READY,
    )
)
_AVOIDED = Event.SERVER_AVOIDED.value.number
_ACCEPTED = Event.CONFIGURATION_ACCEPTED.value.number
_ADOPTED = Event.CONFIGURATION_ADOPTED.value.number
_STARTED = Event.PROCESS_STARTED.value.number
_COMMON_FIELDS = ("time", "level", "text", "event", "program", "name")
# What reading a line of another program can raise.
_UNREADABLE = (
    msgspec.MsgspecError,
    KeyError,
    OSError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class _Cause(msgspec.Struct):
    servers: tuple[str, ...] = ()


class _UsedFields(msgspec.Struct):
    """Declare the types of the fields that explanations use."""

    request: str = ""
    server: str = ""
    version: int = 0
    waited_ms: float = 0.0
    causes: tuple[_Cause, ...] = ()


@dataclass(frozen=True, slots=True)
class LogLine:
    """Represent one log line; ``at`` is in seconds since the Unix epoch."""

    at: float
    program: str
    name: str
    event: int
    text: str
    fields: dict

    @property
    def process(self):
        """Return the program and the name of the process that wrote the line."""
        return self.program, self.name


def read_lines(texts):
    """Parse log lines; other texts and any text before the JSON object are skipped."""
    lines = (_read_line(text) for text in texts)
    return [line for line in lines if line is not None]


def _read_line(text):
    start = text.find("{")
    if start < 0:
        return None
    try:
        record = msgspec.json.decode(text[start:].encode(), type=dict)
        msgspec.convert(record, _UsedFields)
        return LogLine(
            at=datetime.fromisoformat(record["time"]).timestamp(),
            program=str(record.get("program", "")),
            name=str(record.get("name", "")),
            event=int(record["event"]),
            text=str(record["text"]),
            fields={k: v for k, v in record.items() if k not in _COMMON_FIELDS},
        )
    except _UNREADABLE:
        return None


def align_clocks(lines):
    """Return the lines with times on the control group's clock, sorted.

    The times of a process without a sample of its clock offset are not changed.
    """
    accepted = {}
    for line in lines:
        if line.event == _ACCEPTED:
            accepted.setdefault(line.fields.get("version"), line.at)
    offsets_s = {}
    for process, process_lines in itertools.groupby(
        sorted(lines, key=lambda line: line.process), key=lambda line: line.process
    ):
        offset_s = _estimate_clock_offset(
            sorted(process_lines, key=lambda line: line.at), accepted
        )
        if offset_s is not None:
            offsets_s[process] = offset_s
    aligned = [
        replace(line, at=line.at - offsets_s.get(line.process, 0.0)) for line in lines
    ]
    return sorted(aligned, key=lambda line: line.at)


def _estimate_clock_offset(process_lines, accepted):
    """Return a process's clock offset in seconds, or None without a sample."""
    delays_s, is_first = [], True
    for line in process_lines:
        if line.event == _STARTED:
            # The version adopted at the start may have been accepted long before.
            is_first = True
        elif line.event == _ADOPTED:
            version = line.fields.get("version")
            if not is_first and version in accepted:
                delays_s.append(line.at - accepted[version])
            is_first = False
    return min(delays_s) - MIN_ADOPTION_S if delays_s else None


def explain_request(lines, request_id):
    """Return the lines of a request and the lines that may explain it, in order.

    The list is empty if no line names the request.
    """
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return []
    waited_s = max(line.fields.get("waited_ms", 0) for line in request_lines) / 1000
    start, end = (
        request_lines[0].at - waited_s - CONTEXT_BEFORE_S,
        request_lines[-1].at + CONTEXT_AFTER_S,
    )
    servers = _list_servers(request_lines)
    return [
        line
        for line in lines
        if line in request_lines
        or (start <= line.at <= end and _is_context(line, servers))
    ]


def _is_context(line, servers):
    if line.event == _AVOIDED:
        return line.fields.get("server") in servers
    return line.event in _CONTEXT_EVENTS


def _list_servers(request_lines):
    causes = itertools.chain.from_iterable(
        line.fields.get("causes", ()) for line in request_lines
    )
    return {server for cause in causes for server in cause.get("servers", ())}


def render_line(line, start):
    """Return a line as text, with its offset from ``start`` in milliseconds."""
    fields = " ".join(f"{name}={_render(v)}" for name, v in line.fields.items())
    offset_ms = (line.at - start) * 1000
    return (
        f"{offset_ms:+10.1f} ms  {line.program} {line.name}  "
        f"{line.event} {line.text}  {fields}"
    ).rstrip()


def _render(value):
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
