"""Start a small deployment on loopback addresses, with stand-ins of its surroundings.

The programs are those of the deploy file, with its commands and settings templates. The
platform's list of servers, the servers, the operator and the clients are stand-ins that
do what the users' pages say. Only the standard library is used.
"""

import contextlib
import http.client
import http.server
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy"
APP = ROOT / "target" / "app" / "wisteriaworks"
FRONT_PORT, READINESS_PORT, CONTROL_PORT = 8104, 8108, 8106
INTERNAL_PORTS = [7380, 7395]
HOST = "search.example"
# Values of the site rodopi-parks.
BOUNDS = {
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 58,
    "coldBurstFactor": 1.5,
    "coldSlack": 5,
}
LIMITS = {"linkMbps": 1000.0, "memoryMb": 300, "maxOpenFiles": 4100}


class CannotRunError(Exception):
    """Report that a case could not run."""


class Record:
    """Write what happens to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self._path = Path(folder) / "record.txt"
        self._path.write_text("")
        self._began_at = time.monotonic()
        self._lock = threading.Lock()

    def note(self, text):
        """Write one line."""
        with self._lock:
            now = time.monotonic() - self._began_at
            with open(self._path, "a") as file:
                file.write(f"{now:8.3f} {text}\n")


def fill_template(text, fields):
    """Return a settings template with its sections and placeholders replaced."""

    def look_up(name):
        value = fields
        for word in name.split("."):
            if isinstance(value, list):
                value = value[int(word)]
            else:
                value = (value or {}).get(word)
        return value

    def fill_section(match):
        value = look_up(match[1])
        return "" if value is None else match[2].replace("{{.}}", json.dumps(value))

    def find(match):
        value = look_up(match[1])
        if value is None:
            return ""
        is_plain = isinstance(value, str) and not match[2]
        return value if is_plain else json.dumps(value)

    sections = r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n"
    text = re.sub(sections, fill_section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", find, text)


class Machine:
    """Represent one machine, which runs a gateway and a control process."""

    def __init__(self, name, zone, ip, data_folder):
        self.name, self.zone, self.ip = name, zone, ip
        self.data_folder = data_folder

    @property
    def control(self):
        """Return the address of its control process for operators."""
        return f"{self.ip}:{CONTROL_PORT}"

    def describe(self, seeds, bootstrap, list_address):
        """Return the platform's fields for the settings of its processes."""
        fields = {
            "nodeName": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "listenAddresses": {
                "front": f"{self.ip}:{FRONT_PORT}",
                "readiness": f"{self.ip}:{READINESS_PORT}",
                "control": self.control,
            },
            "internalPortRange": INTERNAL_PORTS,
            "seeds": seeds,
            "bootstrap": bootstrap,
            "limits": LIMITS,
            "bounds": BOUNDS,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "cloudApi": {"address": list_address},
        }
        if self.data_folder:
            fields["dataDir"] = str(self.data_folder)
        return fields


class Deployment:
    """Run the processes of some machines, and the stand-ins around them.

    ``zones`` names the zone of each machine with a disk; as many machines without one
    are in the same zones.
    """

    def __init__(self, folder, zones=("a", "b", "c"), without_disk=True):
        if not APP.is_dir():
            raise CannotRunError("target/app is missing: run the deploy file's build")
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self._prefix = self._choose_network()
        self.machines = []
        for number, zone in enumerate(zones):
            data = self.folder / f"data-{zone}"
            data.mkdir()
            ip = f"{self._prefix}.{10 + number}"
            self.machines.append(Machine(f"front-{zone}-1", zone, ip, data))
        if without_disk:
            for number, zone in enumerate(zones):
                ip = f"{self._prefix}.{40 + number}"
                self.machines.append(Machine(f"front-{zone}-2", zone, ip, None))
        self.with_disk = [m for m in self.machines if m.data_folder]
        self.without_disk = [m for m in self.machines if not m.data_folder]
        self.seeds = [machine.control for machine in self.with_disk[:3]]
        self.servers = []
        self.platform = PlatformList(f"{self._prefix}.200", self.servers)

    def _choose_network(self):
        """Return the first three numbers of loopback addresses that nobody uses."""
        rng = random.SystemRandom()
        for _ in range(20):
            prefix = f"127.{rng.randrange(20, 250)}.{rng.randrange(250)}"
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.bind((f"{prefix}.10", FRONT_PORT))
                return prefix
        raise CannotRunError("no free loopback addresses were found")

    def add_server(self, service, zone, **behaviour):
        """Start a server of a service, list it and return it."""
        return self.add(lambda ip: Server(ip, service, zone, self.record, **behaviour))

    def add(self, make_server):
        """List the server that ``make_server(ip)`` starts, and return it."""
        server = make_server(f"{self._prefix}.{100 + len(self.servers)}")
        self.servers.append(server)
        return server

    def write_settings(self, bootstrap):
        """Write the settings files of all processes with the seeds in use."""
        for machine in self.machines:
            fields = machine.describe(self.seeds, bootstrap, self.platform.address)
            for role in ("gateway", "control"):
                text = (DEPLOY / f"{role}.yaml").read_text()
                path = self.folder / f"{machine.name}-{role}.yaml"
                temporary = path.with_suffix(".new")
                temporary.write_text(fill_template(text, fields))
                temporary.replace(path)

    def start(self, machine, role):
        """Start one process with the command of the deploy file."""
        name = f"{machine.name}/{role}"
        path = self.folder / f"{machine.name}-{role}.yaml"
        with open(self.folder / f"{machine.name}-{role}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-S", "deploy/launch.py", role],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WISTERIAWORKS_BOOT": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"started {name}")

    def start_all(self):
        """Start the processes of all machines."""
        for machine in self.machines:
            for role in ("control", "gateway"):
                self.start(machine, role)

    def send_signal(self, name, number):
        """Send a signal to one process."""
        self.record.note(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def kill_all(self):
        """Kill all processes at the same moment."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.record.note("all processes were killed")

    def close(self):
        """End all processes and stand-ins, and remove the temporary folder."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.kill()
            process.wait()
        for server in self.servers:
            server.close()
        self.platform.close()
        for path in sorted(self.folder.rglob("*"), reverse=True):
            path.rmdir() if path.is_dir() else path.unlink()
        self.folder.rmdir()

    # The operator

    def call_operator(self, method, path, body=b"", machines=None):
        """Make an operator's call until it is answered; return status and body.

        The call goes to one machine after the other. A 307 is followed twice.
        """
        machines = machines or self.machines
        until, number = time.monotonic() + 20.0, 0
        while time.monotonic() < until:
            address = machines[number % len(machines)].control
            number += 1
            for _ in range(3):
                status, headers, answer = send(address, method, path, body, 1.0)
                if status != 307:
                    break
                address = urllib.parse.urlsplit(headers["location"]).netloc
            if status and status < 500 and status not in (307, 408, 429):
                self.record.note(f"operator: {method} {path}: {status}")
                return status, answer
            time.sleep(0.1)
        self.record.note(f"operator: {method} {path}: no clear response")
        return 0, b""

    def put_configuration(self, version, routes, services):
        """Send a configuration until it is acknowledged. Raises CannotRunError."""
        body = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthCheckPath": "/healthz",
                    "maxConnections": 110,
                    "protocol": "h1",
                    "tlsEnabled": False,
                    "coldStartS": 3.0,
                    "coldPerS": 0.0,
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        data = json.dumps(body).encode()
        status, _ = self.call_operator("PUT", "/api/config", data)
        if status != 200:
            raise CannotRunError(f"the configuration was not accepted: {status}")

    def wait_until_served(self, path, timeout_s=20.0):
        """Wait until each gateway serves a path. Raises CannotRunError."""
        until = time.monotonic() + timeout_s
        for machine in self.machines:
            while ask(machine, path)[0] != 200:
                if time.monotonic() > until:
                    raise CannotRunError(f"{machine.name} does not serve requests")
                time.sleep(0.1)


def make_route(name, prefix, service, **fields):
    """Return a route of a configuration to one service."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 2,
        "service": service,
        "attempts": 2,
    } | fields


def send(address, method, path, body=b"", timeout_s=3.0, headers=()):
    """Send a request on a new connection; return status, headers and body.

    The status is 0 without a complete answer.
    """
    conn = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        conn.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
        for name, value in {"Host": address, **dict(headers)}.items():
            conn.putheader(name, value)
        if body or method in ("PUT", "POST"):
            conn.putheader("Content-Length", str(len(body)))
        conn.endheaders(body or None)
        answer = conn.getresponse()
        names = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, names, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        conn.close()


def make_request_id():
    """Return a new id of a client attempt."""
    return f"{random.SystemRandom().getrandbits(64):016x}"


def ask(machine, path, request_id=None, deadline_ms=3000, method="GET", body=b""):
    """Send a client's request to a gateway; return status, headers and body."""
    headers = {
        "Host": HOST,
        "X-Wisteriaworks-Request-Id": request_id or make_request_id(),
        "X-Wisteriaworks-Deadline-Ms": str(deadline_ms),
    }
    address = f"{machine.ip}:{FRONT_PORT}"
    return send(address, method, path, body, deadline_ms / 1000 + 0.5, headers)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def answer(self, status, headers, body):
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def _serve(ip, port, handler):
    server = http.server.ThreadingHTTPServer((ip, port), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class PlatformList:
    """Answer calls for the platform's list with the servers that run."""

    def __init__(self, ip, servers):
        platform = self
        # Called with the list before it is sent; changes it.
        self.change = lambda instances: None

        class Handler(_Handler):
            def do_GET(self):
                instances = [server.describe() for server in servers]
                platform.change(instances)
                page = {"instances": instances, "nextPageToken": None}
                headers = {"Content-Type": "application/json"}
                self.answer(200, headers, json.dumps(page).encode())

        self._server = _serve(ip, 8102, Handler)
        self.address = f"{ip}:8102"

    def close(self):
        """Stop answering."""
        self._server.shutdown()
        self._server.server_close()


class Server:
    """Run one server of a service, which answers with its name and signature.

    ``runs`` lists the requests that it ran as pairs of id and path. ``work_s`` is the
    time of an answer.
    """

    def __init__(self, ip, service, zone, record, work_s=0.005):
        self.id = f"i-{make_request_id()[:8]}"
        self.service, self.zone = service, zone
        self.address = f"{ip}:8080"
        self.runs = []
        server = self

        class Handler(_Handler):
            def do_GET(self):
                request_id = self.headers.get("X-Wisteriaworks-Request-Id")
                length = int(self.headers.get("Content-Length", 0))
                self.rfile.read(length)
                echo = {"X-Wisteriaworks-Request-Id": request_id or ""}
                expected = self.headers.get("X-Wisteriaworks-Expected-Instance")
                if request_id is None:
                    self.answer(400, {"X-Wisteriaworks-Not-Executed": "1"}, b"")
                elif expected not in (None, server.id):
                    refusal = {"X-Wisteriaworks-Not-Executed": "1"}
                    self.answer(421, echo | refusal, b"")
                else:
                    server.runs.append((request_id, self.path))
                    record.note(f"{service} {server.id} runs {request_id} {self.path}")
                    time.sleep(work_s)
                    stamp = f"{server.id}.{request_id}"
                    headers = echo | {"X-Wisteriaworks-Server-Stamp": stamp}
                    self.answer(200, headers, f"{service} {self.path}".encode())

            do_POST = do_GET  # noqa: N815

        self._server = _serve(ip, 8080, Handler)

    def describe(self):
        """Return the entry of the server in the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": 4,
            "state": "ready",
            "coldRemainingMs": 0,
        }

    def close(self):
        """Stop answering."""
        self._server.shutdown()
        self._server.server_close()


def run_case(folder, play):
    """Run ``play(deployment, has_trouble)`` and return the exit code of a case.

    ``play`` returns whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    try:
        deployment = Deployment(folder)
        has_held = play(deployment, has_trouble)
    except (CannotRunError, OSError) as exc:
        print(f"the case could not run: {exc}")
        return 2
    finally:
        if deployment is not None:
            deployment.close()
    print("the rule held" if has_held else "the rule was broken")
    return 0 if has_held else 1
