"""Run a control process on a VM without a disk.

It is no member of the control group: it directs operators, gateways and members that
call it to the members. It runs on the selectors of the standard library, since trio
and the codec of the messages take most of the memory and start time of a member.
"""

import functools
import json
import os
import selectors
import signal
import socket
import sys
import time

import yaml

from wisteriaworks.redirect.members import MemberView
from wisteriaworks.redirect.protocols import HttpCall, MemberCalls, MembersQuestion

PROGRAM = "wisteria-control"
READ_BYTES = 65536
BACKLOG = 256
# Further connections wait in the backlog. Each takes some KB.
MAX_CONNECTIONS = 200
HTTP_TIMEOUT_S = 3.0
# Members and gateways keep a connection open by pings.
SILENCE_S = 10.0
# Below the interval of the questions.
QUESTION_TIMEOUT_S = 0.5
SETTINGS_INTERVAL_S = 1.0
# Longest wait for input; signals are handled after it at the latest.
MAX_WAIT_S = 0.25
# Numbers of wisteriaworks.events.Event, whose import loads the logging library.
_EVENT_STARTED, _EVENT_MEMBER_CHANGED = 520, 521


class _Connection:
    """Represent one open connection and the bytes still to send on it."""

    def __init__(self, sock, protocol, deadline, idle_s=None, pending=b""):
        self.sock = sock
        self.protocol = protocol
        self.deadline = deadline
        # If set, the deadline moves with each arrival of data.
        self.idle_s = idle_s
        self.pending = pending


class RedirectProcess:
    """Serve the ports of a control process and ask for the members."""

    def __init__(self, settings, path):
        operators = settings["operators"]
        self._path = path
        self._name = settings["name"]
        # Its port stays open while clients use up the connections.
        self._admin = settings["admin"]
        self._is_stopping = False
        self._selector = selectors.DefaultSelector()
        self._connections = set()
        self._listeners = []
        self._accepts = True
        self._settings_time = _read_modification_time(path)
        self._next_settings_at = self._next_ask_at = now = time.monotonic()
        self._member = ""
        self._view = MemberView(
            operators["listen"],
            settings["address"],
            operators["seeds"],
            operators.get("found", False),
            now,
        )
        self._ports = {
            operators["listen"]: functools.partial(HttpCall, self._answer_operator),
            settings["admin"]: functools.partial(HttpCall, self._answer_admin),
            settings["address"]: functools.partial(
                MemberCalls, self._view, time.monotonic
            ),
        }

    @property
    def seeds(self):
        """Return the seeds in use."""
        return self._view.seeds

    def run(self):
        """Serve until SIGTERM or SIGINT. Raises OSError."""
        signal.signal(signal.SIGTERM, self._stop)
        signal.signal(signal.SIGINT, self._stop)
        signal.signal(signal.SIGHUP, lambda *_: self.reload())
        for address, make_protocol in self._ports.items():
            listener = socket.create_server(_split(address), backlog=BACKLOG)
            listener.setblocking(False)
            self._listeners.append((listener, make_protocol))
        self._watch_listeners()
        self._log(_EVENT_STARTED, "control process without a disk: no member")
        while not self._is_stopping:
            for key, events in self._selector.select(self._compute_wait()):
                self._handle(key.data, events)
            self._run_due_tasks(time.monotonic())

    def _stop(self, *_):
        self._is_stopping = True

    def _compute_wait(self):
        wait_s = self._next_ask_at - time.monotonic()
        return max(0.0, min(wait_s, MAX_WAIT_S))

    def _run_due_tasks(self, now):
        for connection in [c for c in self._connections if c.deadline <= now]:
            self._close(connection)
        if now >= self._next_ask_at:
            self._next_ask_at = now + self._view.get_ask_interval(now)
            for address in self._view.list_addresses():
                self._ask(address, now)
        if now >= self._next_settings_at:
            self._next_settings_at = now + SETTINGS_INTERVAL_S
            if _read_modification_time(self._path) != self._settings_time:
                self.reload()
        if (member := self._view.find_member(now)) != self._member:
            self._member = member
            text = "member to which operators are directed changed"
            self._log(_EVENT_MEMBER_CHANGED, text, member=member)

    # Connections

    def _watch_listeners(self):
        for listener, make_protocol in self._listeners:
            self._selector.register(listener, selectors.EVENT_READ, make_protocol)

    def _handle(self, data, events):
        if not isinstance(data, _Connection):
            self._accept(data)
        elif data in self._connections:
            try:
                self._exchange(data, events)
            except OSError:
                self._close(data)

    def _accept(self, make_protocol):
        listener = next(li for li, make in self._listeners if make is make_protocol)
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        protocol = make_protocol()
        is_http = isinstance(protocol, HttpCall)
        timeout_s = HTTP_TIMEOUT_S if is_http else SILENCE_S
        deadline = time.monotonic() + timeout_s
        self._open(sock, protocol, deadline, None if is_http else SILENCE_S)

    def _ask(self, address, now):
        try:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(_split(address))
        except (OSError, ValueError):
            return
        question = MembersQuestion(self._handle_reply)
        self._open(sock, question, now + QUESTION_TIMEOUT_S, None, question.request)

    def _handle_reply(self, reply):
        self._view.handle_reply(reply, time.monotonic())

    def _open(self, sock, protocol, deadline, idle_s, pending=b""):
        sock.setblocking(False)
        connection = _Connection(sock, protocol, deadline, idle_s, pending)
        self._connections.add(connection)
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if pending else 0)
        self._selector.register(sock, events, connection)
        if self._accepts and len(self._connections) >= MAX_CONNECTIONS:
            self._accepts = False
            for listener, _ in self._list_limited():
                self._selector.unregister(listener)

    def _close(self, connection):
        self._connections.discard(connection)
        self._selector.unregister(connection.sock)
        connection.sock.close()
        if not self._accepts and len(self._connections) < MAX_CONNECTIONS:
            self._accepts = True
            for listener, make_protocol in self._list_limited():
                self._selector.register(listener, selectors.EVENT_READ, make_protocol)

    def _list_limited(self):
        """Return the listeners that close while clients use up the connections."""
        return [
            (listener, make_protocol)
            for listener, make_protocol in self._listeners
            if make_protocol is not self._ports[self._admin]
        ]

    def _exchange(self, connection, events):
        protocol, sock = connection.protocol, connection.sock
        if events & selectors.EVENT_READ and not protocol.is_done:
            data = sock.recv(READ_BYTES)
            if not data:
                return self._close(connection)
            connection.pending += protocol.receive(data)
            if connection.idle_s is not None:
                connection.deadline = time.monotonic() + connection.idle_s
        if connection.pending:
            connection.pending = connection.pending[sock.send(connection.pending) :]
        if connection.pending:
            self._selector.modify(sock, selectors.EVENT_WRITE, connection)
        elif protocol.is_done:
            self._close(connection)
        else:
            self._selector.modify(sock, selectors.EVENT_READ, connection)

    # Answers

    def _answer_operator(self, target):
        address = self._view.find_operator_address(time.monotonic())
        if not address:
            return 503, ("Retry-After: 0.5",), b"no control member is known"
        return 307, (f"Location: http://{address}{target}",)

    def _answer_admin(self, target):
        is_ready = bool(self._view.find_member(time.monotonic()))
        match target.partition("?")[0]:
            case "/health":
                return 200, (), b"ok\n"
            case "/ready":
                return (200, (), b"ready\n") if is_ready else (503, (), b"not ready\n")
            case "/metrics":
                return 200, ("Content-Type: text/plain; version=0.0.4",), b""
        return 404, (), b"not found\n"

    def reload(self):
        """Use the seeds of the changed settings."""
        self._settings_time = _read_modification_time(self._path)
        try:
            with open(self._path) as file:
                seeds = yaml.safe_load(file)["operators"]["seeds"]
        except (OSError, yaml.YAMLError, KeyError, TypeError):
            return
        if isinstance(seeds, list) and all(isinstance(seed, str) for seed in seeds):
            self._view.seeds = tuple(seeds)

    def _log(self, number, text, **fields):
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S+00:00", time.gmtime()),
            "level": "INFO",
            "text": text,
            "event": number,
            "program": PROGRAM,
            "name": self._name,
            **fields,
        }
        print(json.dumps(line), file=sys.stderr, flush=True)


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def _read_modification_time(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None


def read_settings(path):
    """Return the settings of a control process as a mapping if it has no disk.

    Returns None if it has one, or if the settings can't be read; the complete reader
    of settings reports the error then.
    """
    try:
        with open(path) as file:
            settings = yaml.safe_load(file)
    except (OSError, ValueError, yaml.YAMLError):
        return None
    has_no_disk = isinstance(settings, dict) and not settings.get("data_folder")
    return settings if has_no_disk and settings.get("operators") else None


def run_redirect(settings, path):
    """Run the process until SIGTERM and return the exit code."""
    try:
        RedirectProcess(settings, path).run()
    except (OSError, KeyError, ValueError) as exc:
        print(f"cannot serve: {exc!r}", file=sys.stderr)
        return 1
    return 0
