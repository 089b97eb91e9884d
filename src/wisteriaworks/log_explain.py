"""Explain a request from the log lines of several processes, in one order.

The clocks of VMs differ by seconds at times. A gateway adopts a configuration
a few milliseconds after control accepted it, so the shortest time between the
two, over all versions, tells how far its clock is off.
"""

import itertools
from dataclasses import dataclass, replace
from datetime import datetime

import msgspec

from wisteriaworks.events import Event

# What happened this long before and after a request may explain it.
BEFORE_S = 5.0
AFTER_S = 2.0
# A version takes at least about this long from control to a gateway.
ADOPTION_S = 0.001
# Events that change what a process believes or whether it runs.
_CONTEXT = frozenset(
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
_OWN_FIELDS = ("time", "level", "text", "event", "program", "name")


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line; ``at`` is its time in seconds since the Unix epoch."""

    at: float
    program: str
    name: str
    event: int
    text: str
    fields: dict

    @property
    def process(self):
        """Return what names the process that wrote the line."""
        return self.program, self.name


def read_lines(texts):
    """Return the log lines among some texts, each with any prefix."""
    lines = (_read_line(text) for text in texts)
    return [line for line in lines if line is not None]


def _read_line(text):
    start = text.find("{")
    if start < 0:
        return None
    try:
        plain = msgspec.json.decode(text[start:].encode(), type=dict)
        return LogLine(
            at=datetime.fromisoformat(plain["time"]).timestamp(),
            program=str(plain.get("program", "")),
            name=str(plain.get("name", "")),
            event=int(plain["event"]),
            text=str(plain["text"]),
            fields={k: v for k, v in plain.items() if k not in _OWN_FIELDS},
        )
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError):
        return None


def align_clocks(lines):
    """Return the lines by the clock of control, in order.

    A process that adopted no version while it ran keeps its own clock.
    """
    accepted = {}
    for line in lines:
        if line.event == _ACCEPTED:
            accepted.setdefault(line.fields.get("version"), line.at)
    lags = {}
    for process, own in itertools.groupby(
        sorted(lines, key=lambda line: line.process), key=lambda line: line.process
    ):
        lag = _find_lag(sorted(own, key=lambda line: line.at), accepted)
        if lag is not None:
            lags[process] = lag
    aligned = [
        replace(line, at=line.at - lags.get(line.process, 0.0)) for line in lines
    ]
    return sorted(aligned, key=lambda line: line.at)


def _find_lag(own, accepted):
    """Return the shortest time from the acceptance of a version to its adoption."""
    gaps, is_first = [], True
    for line in own:
        if line.event == _STARTED:
            # The version found at a start may have been accepted long before.
            is_first = True
        elif line.event == _ADOPTED:
            version = line.fields.get("version")
            if not is_first and version in accepted:
                gaps.append(line.at - accepted[version])
            is_first = False
    return min(gaps) - ADOPTION_S if gaps else None


def explain_request(lines, request_id):
    """Return the lines of a request and those that may explain it, in order.

    An unknown request gives no lines.
    """
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return []
    waited_s = max(line.fields.get("waited_ms", 0) for line in own) / 1000
    first, last = own[0].at - waited_s - BEFORE_S, own[-1].at + AFTER_S
    servers = _list_servers(own)
    return [
        line
        for line in lines
        if line in own or (first <= line.at <= last and _is_context(line, servers))
    ]


def _is_context(line, servers):
    if line.event == _AVOIDED:
        return line.fields.get("server") in servers
    return line.event in _CONTEXT


def _list_servers(own):
    causes = itertools.chain.from_iterable(
        line.fields.get("causes", ()) for line in own
    )
    return {server for cause in causes for server in cause.get("servers", ())}


def render_line(line, start):
    """Return a line as text, with the milliseconds since ``start``."""
    fields = " ".join(f"{name}={_render(v)}" for name, v in line.fields.items())
    offset_ms = (line.at - start) * 1000
    return (
        f"{offset_ms:+10.1f} ms  {line.program} {line.name}  "
        f"{line.event} {line.text}  {fields}"
    ).rstrip()


def _render(value):
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
