"""Stand-ins for the platform, its servers, clients and operators, on loopback.

The programs of wisteriaworks run as separate processes with the commands and the
settings templates of the deploy file. Each machine has its own loopback address, so
the ports of the platform's settings are the same on all of them.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
ZONES = ("north", "east", "south", "west")
REGION = "region-1"
HOSTNAME = "shop.example"
FRONT_PORT, READINESS_PORT, CONTROL_PORT = 8104, 8108, 8106
INTERNAL_PORTS = (7380, 7395)
ADMIN_PORTS = (9464, 9465)
LIST_PORT, SERVER_PORT = 8102, 8080
PAGE_SIZE = 50
# Bounds of a small deployment, as the platform's page of settings shows them.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 12000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 58,
    "coldBurstFactor": 1.5,
    "coldSlack": 5,
    "evacuationMs": 5000,
    "recoveryS": 12,
}
DRAIN_S = BOUNDS["drainMs"] / 1000
CONTACT_S = BOUNDS["contactWindowMs"] / 1000
EVACUATION_S = BOUNDS["evacuationMs"] / 1000
COLD_START_S = 3.0
LIST_LAG_S = 0.8
# A case has 120 s, and this leaves time to end the processes.
CASE_TIMEOUT_S = 110.0
MAX_LINE_BYTES = 2**20


class NotRunError(Exception):
    """Report that a case could not run."""


class Record:
    """Write the lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self._path = Path(folder) / "record.txt"
        self._path.write_text("")
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write one line."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")


def fill_template(text, fields):
    """Return a settings template with the values of the fields."""

    def find(match):
        value = fields
        for word in match[1].split("."):
            value = value[int(word)] if isinstance(value, list) else value[word]
        is_plain = isinstance(value, str) and not match[2]
        return value if is_plain else json.dumps(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", find, text)


def choose_network():
    """Return the first three numbers of loopback addresses that are not in use."""
    for _ in range(50):
        network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        if all(map(_is_free, (f"{network}.10", f"{network}.200"))):
            return network
    raise NotRunError("no free loopback addresses")


def _is_free(host):
    ports = (FRONT_PORT, CONTROL_PORT, INTERNAL_PORTS[0], LIST_PORT, *ADMIN_PORTS)
    for port in ports:
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


@dataclass
class Arrival:
    """Represent a request that reached a server, and what became of it."""

    at: float
    request_id: str
    body: bytes
    outcome: str = "running"


class Server:
    """Answer requests as a sound backend server does."""

    def __init__(self, record, server_id, service, zone, host, slots=4, queue=16):
        self.id = server_id
        self.service = service
        self.zone = zone
        self.address = f"{host}:{SERVER_PORT}"
        self.slots = slots
        self.state = "ready"
        self.work_s = 0.02
        # Time of the record until which the server is cold, and until when the list
        # does not show that yet.
        self.cold_until = self.cold_listed_at = 0.0
        self.arrivals = []
        self._queue = queue
        self._record = record
        self._host = host
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._listener = None
        self._writers = set()

    def describe(self):
        """Return the server's entry of the list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": self.slots,
            "state": self.state,
            "coldRemainingMs": self._read_listed_cold_ms(),
            "id": self.id,
        }

    def become_cold(self, cold_s, list_lag_s):
        """Become cold again, which the list shows after its lag."""
        now = self._record.now()
        self.cold_until, self.cold_listed_at = now + cold_s, now + list_lag_s
        self._record.write(f"{self.id} is cold for {cold_s:g} s")

    def _read_listed_cold_ms(self):
        now = self._record.now()
        left_s = self.cold_until - now if now >= self.cold_listed_at else 0.0
        return max(0, round(left_s * 1000))

    async def start(self):
        """Listen for connections."""
        self._listener = await asyncio.start_server(
            self._serve, self._host, SERVER_PORT, limit=MAX_LINE_BYTES
        )

    async def end(self):
        """End the server: close its listener and its connections."""
        self._listener.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        broken = (ConnectionError, asyncio.IncompleteReadError, ValueError)
        with contextlib.suppress(*broken, asyncio.CancelledError):
            while await self._serve_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        first, headers = head
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, target, _ = first.split(" ", 2)
        request_id = headers.get("x-wisteriaworks-request-id")
        if request_id is None:
            status = "200 OK" if target == "/healthz" else "400 Bad Request"
            cold_ms = max(0, round((self.cold_until - self._record.now()) * 1000))
            extra = f"X-Wisteriaworks-Instance-Id: {self.id}\r\n"
            extra += f"X-Wisteriaworks-Cold-Start-Ms: {cold_ms}\r\n"
            await _answer(writer, status, extra, b"")
            return True
        echo = f"X-Wisteriaworks-Request-Id: {request_id}\r\n"
        expected = headers.get("x-wisteriaworks-expected-instance", self.id)
        arrival = Arrival(self._record.now(), request_id, body)
        if expected != self.id:
            await _answer(writer, "421 Misdirected Request", echo, b"")
            return True
        self.arrivals.append(arrival)
        self._record.write(f"{self.id} is reached by {request_id} ({method} {target})")
        not_run = f"{echo}X-Wisteriaworks-Not-Executed: 1\r\n"
        if self._waiting >= self._queue:
            arrival.outcome = "full"
            await _answer(writer, "503 Service Unavailable", not_run, b"")
            return True
        left_s = int(headers.get("x-wisteriaworks-deadline-ms", 10_000)) / 1000
        closed = asyncio.ensure_future(reader.read(1))
        try:
            arrival.outcome = await self._run(arrival, left_s, closed)
        finally:
            closed.cancel()
            # The next read of the connection may begin only after this one has ended.
            await asyncio.wait({closed})
        return await self._send_outcome(writer, arrival, echo, not_run)

    async def _run(self, arrival, left_s, closed):
        deadline = time.monotonic() + left_s
        self._waiting += 1
        try:
            await asyncio.wait_for(self._free.acquire(), left_s)
        except TimeoutError:
            return "expired in the queue"
        finally:
            self._waiting -= 1
        try:
            if closed.done():
                return "dropped"
            arrival.outcome = "runs"
            self._record.write(f"{self.id} runs {arrival.request_id}")
            left_s = max(0.0, deadline - time.monotonic())
            await asyncio.wait({closed}, timeout=min(self.work_s, left_s))
            if closed.done():
                return "dropped while it ran"
            return "ran" if self.work_s <= left_s else "ran to its deadline"
        finally:
            self._free.release()

    async def _send_outcome(self, writer, arrival, echo, not_run):
        stamp = f"X-Wisteriaworks-Server-Stamp: {self.id}.{arrival.request_id}\r\n"
        match arrival.outcome:
            case "ran":
                body = f"{self.id} {arrival.request_id}".encode()
                await _answer(writer, "200 OK", echo + stamp, body)
            case "ran to its deadline":
                await _answer(writer, "504 Gateway Timeout", echo + stamp, b"")
            case "expired in the queue":
                await _answer(writer, "503 Service Unavailable", not_run, b"")
            case _:
                return False
        return True


async def read_head(reader):
    """Return the first line and the headers of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _answer(writer, status, headers, body):
    length = f"Content-Length: {len(body)}\r\n\r\n"
    writer.write(f"HTTP/1.1 {status}\r\n{headers}{length}".encode() + body)
    await writer.drain()


class ServerList:
    """Serve the platform's list of servers, ``PAGE_SIZE`` entries a page.

    ``foreign`` are the bytes of entries of other writers, by position in the list.
    ``before_page(number)`` is awaited between the reading of a page's content and the
    sending of the page.
    """

    def __init__(self, record, servers, host):
        self.servers = servers
        self.foreign = {}
        self.page_size = PAGE_SIZE
        self.before_page = None
        self.address = f"{host}:{LIST_PORT}"
        self._host = host
        self._record = record

    async def start(self):
        """Listen for connections."""
        await asyncio.start_server(self._serve, self._host, LIST_PORT)

    def _make_page(self, number):
        entries = [json.dumps(s.describe()).encode() for s in self.servers]
        for position, data in sorted(self.foreign.items()):
            entries.insert(position, data)
        start = number * self.page_size
        is_last = start + self.page_size >= len(entries)
        token = "null" if is_last else f'"p{number + 1}"'
        page = b",".join(entries[start : start + self.page_size])
        return b'{"instances":[%b],"nextPageToken":%b}' % (page, token.encode())

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError, ValueError):
            while head := await read_head(reader):
                match = re.search(r"pageToken=p(\d+)", head[0])
                number = int(match[1]) if match else 0
                body = self._make_page(number)
                if self.before_page is not None:
                    await self.before_page(number)
                await _answer(
                    writer, "200 OK", "Content-Type: application/json\r\n", body
                )
        writer.close()


@dataclass
class Machine:
    """Represent one machine of the system and its processes by role."""

    name: str
    zone: str
    ip: str
    roles: tuple[str, ...]
    folder: Path
    processes: dict = field(default_factory=dict)


class System:
    """Run the programs of wisteriaworks on several machines.

    There is one machine with a disk in each zone, which runs control. ``gateways`` is
    the number of machines that run a gateway.
    """

    def __init__(self, record, network, folder, gateways):
        self._record = record
        self._folder = Path(folder)
        # Address of the platform's list, by the name of the role that reads it.
        list_address = f"{network}.200:{LIST_PORT}"
        self.list_addresses = {"control": list_address, "gateway": list_address}
        self.machines = [
            self._make_machine(number, f"{network}.{10 + number}", gateways)
            for number in range(max(gateways, len(ZONES)))
        ]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]

    def _make_machine(self, number, ip, gateways):
        roles = ("control",) * (number < len(ZONES)) + ("gateway",) * (
            number < gateways
        )
        zone = ZONES[number % len(ZONES)]
        name = f"front-{zone}-{number // len(ZONES) + 1}"
        folder = self._folder / name
        (folder / "data").mkdir(parents=True)
        return Machine(name, zone, ip, roles, folder)

    @property
    def controls(self):
        """Return the machines that run control."""
        return [m for m in self.machines if "control" in m.roles]

    @property
    def gateways(self):
        """Return the machines that run a gateway."""
        return [m for m in self.machines if "gateway" in m.roles]

    def start_all(self):
        """Start all processes for the first time, with empty disks."""
        for machine in self.machines:
            for role in machine.roles:
                self.start(machine, role, bootstrap=True)

    def start(self, machine, role, bootstrap=False):
        """Start one process with the command of the deploy file."""
        settings = machine.folder / f"{role}.yaml"
        template = (ROOT / self._roles[role]["template"]).read_text()
        settings.write_text(
            fill_template(template, self._make_fields(machine, role, bootstrap))
        )
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "WISTERIAWORKS_BOOT": str(settings),
        }
        with open(machine.folder / f"{role}.log", "ab") as log:
            machine.processes[role] = subprocess.Popen(
                self._roles[role]["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{machine.name}: {role} started")

    def send_signal(self, machine, role, number):
        """Send a signal to one process."""
        machine.processes[role].send_signal(number)
        name = signal.Signals(number).name
        self._record.write(f"{machine.name}: {name} to {role}")

    def stop_all(self):
        """End all processes."""
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()

    def _make_fields(self, machine, role, bootstrap):
        return {
            "nodeName": machine.name,
            "role": role,
            "machineClass": "front",
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listenAddresses": {
                "front": f"{machine.ip}:{FRONT_PORT}",
                "readiness": f"{machine.ip}:{READINESS_PORT}",
                "control": f"{machine.ip}:{CONTROL_PORT}",
            },
            "internalPortRange": list(INTERNAL_PORTS),
            "seeds": [f"{m.ip}:{CONTROL_PORT}" for m in self.controls[:3]],
            "bootstrap": bootstrap,
            "lossCounts": "control" in machine.roles,
            "limits": {"linkMbps": 1000.0, "memoryMb": 300, "maxOpenFiles": 4100},
            "dataDir": str(machine.folder / "data"),
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "cloudApi": {"address": self.list_addresses[role], "ratePerS": 46.0},
        }

    # Calls

    async def put_configuration(self, document):
        """Send a configuration to any member until one acknowledges it."""
        body = json.dumps(document).encode()
        await self._order("PUT", "/api/config", body)
        self._record.write(f"configuration {document['version']} acknowledged")

    async def evacuate(self, zone, method="POST"):
        """Take a zone out of service or, with the method DELETE, back into it."""
        await self._order(method, f"/api/evacuate/{zone}", b"")
        self._record.write(f"{method} of the evacuation of {zone} acknowledged")

    async def _order(self, method, path, body):
        for machine in itertools.cycle(self.controls):
            address = f"{machine.ip}:{CONTROL_PORT}"
            with contextlib.suppress(OSError, TimeoutError):
                reply = await call(address, method, path, {}, body, 1.0)
                if reply.status < 300:
                    return
                if reply.status < 500:
                    raise NotRunError(f"{method} {path}: status {reply.status}")
            await asyncio.sleep(0.1)

    async def wait_ready(self):
        """Wait until all gateways are ready."""
        for machine in self.gateways:
            while not await self.is_ready(machine):
                await asyncio.sleep(0.1)
        self._record.write("all gateways are ready")

    async def is_ready(self, machine):
        """Return whether a gateway is ready, as the platform checks it."""
        address = f"{machine.ip}:{READINESS_PORT}"
        with contextlib.suppress(OSError, TimeoutError):
            return (
                await call(address, "GET", "/api/ready", {}, b"", 1.0)
            ).status == 200
        return False


@dataclass(frozen=True)
class Reply:
    """Represent an answer; status 0 if the connection ended without one."""

    status: int
    headers: dict
    body: bytes


async def call(address, method, path, headers, body, timeout_s):
    """Send one request on a new connection and return its answer.

    Raises OSError or TimeoutError.
    """
    async with asyncio.timeout(timeout_s):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOSTNAME}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Reply(0, {}, b"")
            first, answered = head
            length = int(answered.get("content-length", 0))
            content = await reader.readexactly(length)
            return Reply(int(first.split(" ")[1]), answered, content)
        except asyncio.IncompleteReadError:
            return Reply(0, {}, b"")
        finally:
            writer.close()


class Clients:
    """Send requests to gateways as clients do, one attempt each."""

    def __init__(self, record, deadline_ms):
        self._record = record
        self._deadline_ms = deadline_ms
        self._numbers = itertools.count(1)
        self.statuses = {}

    async def send(self, machine, method, path, body=b""):
        """Send one request to a gateway; return its id and its status.

        The status is 0 if no answer came.
        """
        request_id = f"{next(self._numbers):016x}"
        headers = {
            "X-Wisteriaworks-Request-Id": request_id,
            "X-Wisteriaworks-Deadline-Ms": self._deadline_ms,
        }
        self._record.write(f"{request_id} sent to {machine.name} ({method} {path})")
        address = f"{machine.ip}:{FRONT_PORT}"
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            timeout_s = self._deadline_ms / 1000
            reply = await call(address, method, path, headers, body, timeout_s)
            status = reply.status
        self._record.write(f"{request_id} answered {status or 'not at all'}")
        self.statuses[request_id] = status
        return request_id, status

    def count(self):
        """Return the number of answers by status."""
        counts = {}
        for status in self.statuses.values():
            counts[status] = counts.get(status, 0) + 1
        return dict(sorted(counts.items()))


def make_configuration(version, routes, services, max_connections, cold_per_s=0.0):
    """Return a configuration; ``routes`` lack the fields that all of them share."""
    common = {"hostname": HOSTNAME, "priority": 2}
    return {
        "version": version,
        "routes": [common | route for route in routes],
        "services": [
            {
                "name": name,
                "healthCheckPath": "/healthz",
                "maxConnections": max_connections,
                "protocol": "h1",
                "tlsEnabled": False,
                "coldStartS": COLD_START_S,
                "coldPerS": cold_per_s,
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


def run_case(folder, case):
    """Run ``await case(record, network, folder, has_trouble)`` and exit.

    The case returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1")
    if trouble not in ("0", "1"):
        _give_up("TROUBLE must be 0 or 1")
    if not (ROOT / "target/app").is_dir() or not (ROOT / "target/deps").is_dir():
        _give_up("the build of the deploy file is missing")
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(EXIT_NOT_RUN))
    record = Record(folder)
    record.write(f"TROUBLE={trouble}")
    temporary = tempfile.mkdtemp(prefix="review-")
    try:
        run = case(record, choose_network(), Path(temporary), trouble == "1")
        is_held = asyncio.run(asyncio.wait_for(run, CASE_TIMEOUT_S))
    except (NotRunError, OSError, TimeoutError) as exc:
        record.write(f"the case could not run: {exc!r}")
        _give_up(f"the case could not run: {exc!r}")
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.write("the rule held" if is_held else "the rule was broken")
    print("held" if is_held else "broken")
    sys.exit(EXIT_HELD if is_held else EXIT_BROKEN)


def _give_up(text):
    print(text, file=sys.stderr)
    sys.exit(EXIT_NOT_RUN)
