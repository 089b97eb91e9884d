"""Stand-ins for the platform, its servers, clients and operator, on loopback.

The programs run as separate processes with the commands of the deploy file. Each VM
has an address of its own in 127.0.0.0/8, so that ports are the same on all VMs.
"""

import asyncio
import contextlib
import gc
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
REQUEST_ID = "x-wisteriaworks-request-id"
DEADLINE_MS = "x-wisteriaworks-deadline-ms"
EXPECTED = "x-wisteriaworks-expected-instance"
HOST = "case.example"
PAGE_ENTRIES = 50
# Time after which a script gives up, below the limit of 120 s.
MAX_RUN_S = 115
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Ports that the settings templates name.
ADMIN_PORTS = (9464, 9465)


class CaseError(Exception):
    """Report that a case could not run."""


@dataclass
class Message:
    """Represent a request or an answer; header names are in lower case."""

    first_line: str
    headers: dict
    body: bytes

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.first_line.split(" ", 2)[1])


async def read_message(reader):
    """Return the next message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first_line, headers, body)


def encode_message(first_line, headers, body=b""):
    """Return a message with a length as bytes."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method, path, headers=None, body=b"", timeout_s=1.0):
    """Send one request on a new connection; return the answer, or None."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": HOST, **(headers or {})}
            writer.write(encode_message(f"{method} {path} HTTP/1.1", fields, body))
            return await read_message(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Record:
    """Write what was sent, answered and run to a file, with the time of each line."""

    def __init__(self, path):
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began_at:9.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Server:
    """Stand in for one backend server.

    It works on ``slots`` requests at once, queues some more, and rejects the others.
    ``choose_work_s`` returns how long it works on a request.
    """

    def __init__(self, system, server_id, service, zone, slots=4, queue=16):
        self.id, self.service, self.zone = server_id, service, zone
        self.slots = slots
        self.state = "ready"
        self.address = ""
        self.choose_work_s = lambda: 0.02
        # Times and request ids of what arrived from clients, and of what has run.
        self.arrivals, self.runs = [], []
        self._system = system
        self._listener = None
        self._writers = set()
        self._queue = queue
        self._waiting = 0
        self._slots = asyncio.Semaphore(slots)

    def describe(self):
        """Return the server's entry of the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
        }

    def rejects(self):
        """Return whether the server rejects the next request."""
        return self._waiting >= self._queue

    def spoil(self, connection, answer, was_run):
        """Return the bytes that are sent for an answer."""
        return answer

    async def start(self, port=0):
        """Start at a port, or at a free one."""
        self._listener, self.address = await self._system.listen(self.serve, port)
        self._system.record(f"{self.id} starts at {self.address}")

    def crash(self):
        """End; connections are reset and the port has no listener."""
        self._system.record(f"{self.id} crashes")
        self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_requests(self, reader, writer):
        connection = {}
        with contextlib.suppress(ConnectionError):
            while (request := await read_message(reader)) is not None:
                answer, was_run = await self._answer(request)
                writer.write(self.spoil(connection, answer, was_run))
                await writer.drain()
                if b"Connection: close" in answer:
                    break
        writer.close()

    async def _answer(self, request):
        request_id = request.headers.get(REQUEST_ID, "")
        fields = {"X-Wisteriaworks-Request-Id": request_id, "Keep-Alive": "timeout=15"}
        if self.state == "draining":
            fields["Connection"] = "close"
        if request.headers.get(EXPECTED) != self.id:
            return encode_message("HTTP/1.1 421 Misdirected", fields), False
        self.arrivals.append((time.monotonic(), request_id))
        left_s = float(request.headers.get(DEADLINE_MS, 1e9)) / 1000
        if self.rejects() or not await self._take_slot(left_s):
            self._system.record(f"{self.id} rejects {request_id}")
            fields["X-Wisteriaworks-Not-Executed"] = "1"
            return encode_message("HTTP/1.1 503 Full", fields), False
        try:
            self.runs.append((time.monotonic(), request_id))
            self._system.record(f"{self.id} runs {request_id}")
            await asyncio.sleep(self.choose_work_s())
        finally:
            self._slots.release()
        fields["X-Wisteriaworks-Server-Stamp"] = f"{self.id}.{request_id}"
        return encode_message("HTTP/1.1 200 OK", fields, b"x" * 64), True

    async def _take_slot(self, left_s):
        """Wait for a slot until the deadline; return whether there is one."""
        self._waiting += 1
        try:
            async with asyncio.timeout(left_s):
                await self._slots.acquire()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        return True


@dataclass
class Vm:
    """Represent one VM with a gateway and, if it has a disk, a control member."""

    name: str
    ip: str
    zone: str
    has_disk: bool
    processes: dict = field(default_factory=dict)


class System:
    """Run the programs and the stand-ins of a small deployment."""

    def __init__(self, folder, record_path, zones, vms_per_zone=1, bounds=None):
        self._folder = folder
        self._record = Record(record_path)
        self.record = self._record.write
        self._bounds = bounds or {}
        prefix = f"127.{random.randint(50, 250)}.{random.randint(1, 250)}"
        self._platform_ip = f"{prefix}.250"
        self.servers = []
        # Entries of the platform's list that come from another writer.
        self.other_entries = []
        self.vms = [
            Vm(
                f"front-{zone}-{n + 1}",
                f"{prefix}.{1 + n * len(zones) + z}",
                zone,
                n == 0,
            )
            for n in range(vms_per_zone)
            for z, zone in enumerate(zones)
        ]
        ips = [vm.ip for vm in self.vms]
        self._ports = dict(
            zip(("front", "readiness", "control"), find_ports(ips, 3), strict=True)
        )
        self._internal = find_port_range(ips)
        self._zones = zones
        self._list_address = ""
        self._writers = set()

    @property
    def core(self):
        """Return the VMs that run a control member."""
        return [vm for vm in self.vms if vm.has_disk]

    def get_front(self, vm):
        """Return the address of a VM's gateway for clients."""
        return f"{vm.ip}:{self._ports['front']}"

    def get_operator_address(self, vm):
        """Return the address of a VM's control member for operators."""
        return f"{vm.ip}:{self._ports['control']}"

    async def start(self):
        """Start the servers, the platform's list and all programs."""
        for server in self.servers:
            await server.start()
        _, self._list_address = await self.listen(self._serve_list)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for vm in self.vms:
            for role, spec in deploy["roles"].items():
                if role != "control" or vm.has_disk:
                    self._start_process(vm, role, spec)
        await self.wait_until(self._is_each_ready, "the gateways to be ready", 40)

    async def start_programs_with(self, configuration):
        """Start everything, with a first configuration in force."""
        starting = asyncio.create_task(self.start())
        body = json.dumps(configuration).encode()
        while not starting.done():
            reply = await self.order(self.core[0], "PUT", "/api/config", body)
            if reply is not None and reply.status == 200:
                break
            await asyncio.sleep(0.2)
        await starting

    async def order(self, vm, method, path, body=b""):
        """Send an operator's order to one control member; return the answer."""
        address = self.get_operator_address(vm)
        reply = await call(address, method, path, body=body, timeout_s=1.0)
        status = reply.status if reply else "none in 1 s"
        self.record(f"operator: {method} {path} to {vm.name}: {status}")
        return reply

    async def order_until_acked(self, vms, method, path, body=b"", limit_s=5.0):
        """Send an order to one member after another until a 2xx answer."""
        until, pause_s = time.monotonic() + limit_s, 0.1
        while time.monotonic() < until:
            for vm in vms:
                reply = await self.order(vm, method, path, body)
                if reply is not None and 200 <= reply.status < 300:
                    return vm
                await asyncio.sleep(pause_s)
                pause_s = min(1.0, pause_s * 2)
        raise CaseError(f"no acknowledgement of {method} {path}")

    async def request(self, vm, path, request_id, deadline_ms, method="GET", body=b""):
        """Send a client's request to a gateway; return the status, or None."""
        headers = {
            "X-Wisteriaworks-Request-Id": request_id,
            "X-Wisteriaworks-Deadline-Ms": str(deadline_ms),
        }
        self.record(f"client sends {request_id} {method} {path} to {vm.name}")
        reply = await call(
            self.get_front(vm), method, path, headers, body, deadline_ms / 1000
        )
        status = reply.status if reply else None
        self.record(f"client has {request_id}: {status or 'no answer'}")
        return status

    def send_signal(self, vm, role, number):
        """Send a signal to a process that this script started."""
        self.record(f"{vm.name}/{role}: {signal.Signals(number).name}")
        vm.processes[role].send_signal(number)

    async def wait_until(self, is_met, what, limit_s):
        """Wait until an asynchronous condition holds. Raises CaseError."""
        until = time.monotonic() + limit_s
        while not await is_met():
            if time.monotonic() > until:
                raise CaseError(f"waited {limit_s} s for {what}")
            await asyncio.sleep(0.05)

    async def disconnect(self):
        """Close the connections of the stand-ins."""
        for writer in tuple(self._writers):
            writer.transport.abort()
        gc.collect()
        await asyncio.sleep(0.1)

    def stop(self):
        """End all processes that were started."""
        for vm in self.vms:
            for process in vm.processes.values():
                process.kill()
                process.wait()
        self._record.close()

    async def _is_each_ready(self):
        for vm in self.vms:
            for role, process in vm.processes.items():
                if process.poll() is not None:
                    raise CaseError(f"{vm.name}/{role} ended, see its log")
            address = f"{vm.ip}:{self._ports['readiness']}"
            reply = await call(address, "GET", "/api/ready")
            if reply is None or reply.status != 200:
                return False
        return True

    async def listen(self, serve, port=0):
        """Listen at a port, or at a free one; return the listener and its address."""

        async def accept(reader, writer):
            self._writers.add(writer)
            try:
                await serve(reader, writer)
            finally:
                self._writers.discard(writer)

        ip = self._platform_ip
        listener = await asyncio.start_server(accept, ip, port, backlog=256)
        host, port = listener.sockets[0].getsockname()
        return listener, f"{host}:{port}"

    async def _serve_list(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            await self.delay_list()
            target = request.first_line.split(" ")[1]
            start = int(target.partition("pageToken=p-")[2] or 0)
            end = start + PAGE_ENTRIES
            entries = [server.describe() for server in self.servers]
            entries += self.other_entries
            page = {
                "instances": entries[start:end],
                "nextPageToken": f"p-{end}" if end < len(entries) else None,
            }
            fields = {"Content-Type": "application/json"}
            body = json.dumps(page).encode()
            writer.write(encode_message("HTTP/1.1 200 OK", fields, body))
        writer.close()

    async def delay_list(self):
        """Wait before an answer of the platform's list."""

    def _start_process(self, vm, role, spec):
        name = f"{vm.name}-{role}"
        boot = self._folder / f"{name}.settings"
        template = (ROOT / spec["template"]).read_text()
        boot.write_text(fill_template(template, self._make_fields(vm, role)))
        log = (self._folder / f"{name}.log").open("wb")
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "WISTERIAWORKS_BOOT": str(boot),
        }
        vm.processes[role] = subprocess.Popen(
            spec["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def _make_fields(self, vm, role):
        folder = self._folder / f"{vm.name}-data"
        return {
            "nodeName": vm.name,
            "ip": vm.ip,
            "zone": vm.zone,
            "listenAddresses": {k: f"{vm.ip}:{p}" for k, p in self._ports.items()},
            "internalPortRange": self._internal,
            "seeds": [self.get_operator_address(core) for core in self.core[:3]],
            "bootstrap": True,
            "limits": {"linkMbps": 1000.0},
            "dataDir": str(folder / role) if vm.has_disk else "",
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 58,
                "coldBurstFactor": 1.5,
                "coldSlack": 5,
                **self._bounds,
            },
            "cloudApi": {"address": self._list_address, "ratePerS": 46.0},
        }


def fill_template(text, fields):
    """Return a settings template with its placeholders filled in."""

    def find(match):
        value = fields
        for word in match[1].split("."):
            value = value[int(word)] if isinstance(value, list) else value[word]
        is_plain = isinstance(value, str) and not match[2]
        return value if is_plain else json.dumps(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", find, text)


def is_free(ip, port):
    """Return whether a port of a loopback address is free."""
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def find_ports(ips, count):
    """Return ports that are free on all addresses."""
    if not all(is_free(ip, port) for ip in ips for port in ADMIN_PORTS):
        raise CaseError("a port of the settings templates is in use")
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 30000)
        if port not in ports and all(is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def find_port_range(ips):
    """Return the first and last of sixteen ports that are free on all addresses."""
    for _ in range(200):
        first = random.randint(10000, 19000)
        ports = range(first, first + 16)
        if all(is_free(ip, port) for ip in ips for port in ports):
            return [first, first + 15]
    raise CaseError("no sixteen free ports in a row")


def make_configuration(version, routes, services):
    """Return a configuration; ``services`` maps names to their connections."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthCheckPath": "/healthz",
                "maxConnections": connections,
                "protocol": "h1",
                "tlsEnabled": False,
                "coldStartS": 3.0,
                "coldPerS": 0.0,
            }
            for name, connections in services.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def make_route(name, prefix, service, **fields):
    """Return a route to one service."""
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


def run_case(case, make_system, record_path):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, or 2.

    ``case(system, trouble)`` returns a list of what broke the rule.
    """
    trouble = os.environ.get("TROUBLE", "1")
    if trouble not in ("0", "1"):
        print(f"TROUBLE: expected 0 or 1, got {trouble!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    if not (ROOT / "target/app").is_dir():
        print(
            "target/app is missing: run the build of the deploy file", file=sys.stderr
        )
        sys.exit(NOT_RUN)
    folder = Path(tempfile.mkdtemp(prefix="wisteria-case-"))
    system = None

    async def run():
        nonlocal system
        system = make_system(folder, record_path)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                return await case(system, trouble == "1")
        finally:
            await system.disconnect()

    def stop(number, frame):
        raise CaseError("the script was told to stop")

    signal.signal(signal.SIGTERM, stop)
    try:
        breaks = asyncio.run(run())
    except (CaseError, TimeoutError, OSError) as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    else:
        print("\n".join([*breaks[:10], f"the rule was broken {len(breaks)} times"]))
        sys.exit(BROKEN if breaks else HELD)
    finally:
        if system is not None:
            system.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(folder, ignore_errors=True)
