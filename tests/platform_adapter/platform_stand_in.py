"""Stand-in for the platform on loopback: servers, their list, and a system.

Control members share one port on 127.0.0.1, 127.0.0.2 and so on, as members
do on the platform's VMs.
"""

import contextlib
import functools
import itertools
import json
import struct

import httpcore
import trio

from wisteriaworks.admin import serve_http
from wisteriaworks.asgi import run_lifespan, send_response
from wisteriaworks.control import ControlProgram, create_group_if_first_seed
from wisteriaworks.gateway.program import GatewayProgram
from wisteriaworks.generated.settings import (
    AccountSettings,
    BudgetSettings,
    ControlSettings,
    GatewaySettings,
    OperatorSettings,
)
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.processes import find_free_ports

HOST = "h.example"
WAIT_S = 30.0


class StandInServer:
    """Answer requests as a backend server does.

    The body of an answer is two equal records. Each has the number of requests that
    the server has run and the number in the server's id. The stamp header of a
    successful answer names the server and the request.
    """

    def __init__(self, server_id, service, domain):
        self.id = server_id
        self.service = service
        self.domain = domain
        self.address = ""
        self.state = "ready"
        self.version = "v1"
        self.delay_s = 0.0
        # Answers wait for this event.
        self.released = trio.Event()
        self.released.set()
        # Whether the server refuses all requests as not run.
        self.refuses = False
        # Whether the server runs requests, and answers them with an error.
        self.fails = False
        # Whether the server runs requests, and closes the connection then.
        self.closes_instead_of_answering = False
        # Bytes of each answer beside its records.
        self.padding = b""
        self.ran = []
        # Headers of the latest request.
        self.headers = {}

    def describe(self):
        """Return the server's entry of the list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": self.version,
            "maxConcurrency": 2,
            "state": self.state,
            "coldRemainingMs": 0,
        }

    async def serve(self, stream):
        """Serve one connection."""
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._serve_requests(stream)

    async def _serve_requests(self, stream):
        buffer = b""
        async for data in stream:
            buffer += data
            while b"\r\n\r\n" in buffer:
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                if not await self._answer(stream, head):
                    return

    async def _answer(self, stream, head):
        """Answer one request and return whether the connection stays open."""
        lines = head.decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        self.headers = headers
        request_id = headers["x-wisteriaworks-request-id"]
        head = f"X-Wisteriaworks-Request-Id: {request_id}\r\n"
        if headers["x-wisteriaworks-expected-instance"] != self.id:
            status = "421 X"
        elif self.refuses:
            status = "503 X"
            head += "X-Wisteriaworks-Not-Executed: 1\r\n"
        else:
            status = "200 OK"
            self.ran.append(request_id)
            await trio.sleep(self.delay_s)
            await self.released.wait()
            if self.closes_instead_of_answering:
                await stream.aclose()
                return False
            status = "500 X" if self.fails else status
            head += f"X-Wisteriaworks-Server-Stamp: {self.id}.{request_id}\r\n"
        body = struct.pack(">QQ", len(self.ran), int(self.id[1:])) * 2 + self.padding
        head = f"HTTP/1.1 {status}\r\n{head}Content-Length: {len(body)}\r\n\r\n"
        await stream.send_all(head.encode() + body)
        return True


def make_servers():
    """Return two servers, in two domains, for each of three services."""
    return [
        StandInServer(f"i{10 * shard + n}", f"s{shard}", domain)
        for shard in (1, 2, 3)
        for n, domain in enumerate("ab")
    ]


class _List:
    """Serve the list of servers, two entries a page.

    ``before_page(start)`` is awaited between the reading of a page's entries and its
    sending; ``start`` is the position of its first entry.
    """

    def __init__(self, servers):
        self._servers = servers
        self.before_page = _send_at_once

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            return await run_lifespan(receive, send)
        query = scope["query_string"].decode()
        start = int(query.partition("=")[2] or 0)
        page = [server.describe() for server in self._servers[start : start + 2]]
        more = str(start + 2) if start + 2 < len(self._servers) else None
        body = json.dumps({"instances": page, "nextPageToken": more})
        await self.before_page(start)
        await send_response(send, 200, body.encode())


async def _send_at_once(start):
    pass


class StandInSystem:
    """Run control members and gateways in this process."""

    def __init__(
        self,
        nursery,
        folder,
        servers,
        members=3,
        gateways=2,
        links_mbps=(0.0,) * 9,
        domains="aaaaaaaaa",
    ):
        self._nursery = nursery
        self._folder = folder
        self.servers = servers
        self._links_mbps = links_mbps
        self._domains = domains
        self._ports = find_free_ports(4 + 3 * gateways)
        self._list = f"127.0.0.1:{self._ports[3]}"
        self.list = _List(servers)
        self._gateway_ports = self._ports[4 : 4 + 2 * gateways]
        self._peer_ports = self._ports[4 + 2 * gateways :]
        self.hosts = [f"127.0.0.{n + 1}" for n in range(members)]
        # Limits on rollouts in the settings of all programs.
        self.rollouts = None
        self.seeds = tuple(f"{host}:{self._ports[1]}" for host in self.hosts[:3])
        self.scopes = {}
        self.control = {}
        self.gateways = []
        self._numbers = itertools.count()
        self.accounts = AccountSettings()

    async def start(self):
        """Start all programs, with empty disks and no configuration."""
        await self.start_servers()
        for host in self.hosts:
            await self.start_control(host, found=True)
        for number in range(len(self._gateway_ports) // 2):
            await self.start_gateway(number)

    async def start_servers(self):
        """Start the servers and the platform's list."""
        for server in self.servers:
            serve = functools.partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
            (listener,) = await self._nursery.start(serve)
            server.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        await self._nursery.start(serve_http, self.list, self._list)

    def make_control_settings(self, host, found=False):
        """Return the settings of one control member."""
        return ControlSettings(
            name=f"c-{host}",
            domain="a",
            address=f"{host}:{self._ports[0]}",
            admin=f"{host}:{self._ports[2]}",
            data_folder=str(self._folder / host),
            election_s=0.5,
            operators=OperatorSettings(
                listen=f"{host}:{self._ports[1]}",
                seeds=self.seeds,
                found=found,
                server_list=self._list,
                list_interval_s=0.2,
                rollouts=self.rollouts,
            ),
        )

    async def start_control(self, host, found=False):
        """Start one control member; it runs until ``stop_control``."""
        cfg = self.make_control_settings(host, found)
        create_group_if_first_seed(cfg)
        program = ControlProgram(cfg, create_unexported_metrics())
        await self._nursery.start(self._run, host, program)
        self.control[host] = program

    def stop_control(self, host):
        """End a control member at once, as a kill does."""
        self.scopes.pop(host).cancel()
        del self.control[host]

    async def _run(self, host, program, task_status):
        scope = self.scopes[host] = trio.CancelScope()
        with scope:
            await program.run(task_status=task_status)

    def make_gateway_settings(self, number, admin=None):
        """Return the settings of one gateway."""
        front, readiness = self._gateway_ports[2 * number : 2 * number + 2]
        return GatewaySettings(
            admin=admin,
            accounts=self.accounts,
            peer=f"127.0.0.1:{self._peer_ports[number]}",
            link_mbps=self._links_mbps[number],
            name=f"g{number}",
            domain=self._domains[number],
            listen=f"127.0.0.1:{front}",
            readiness=f"127.0.0.1:{readiness}",
            seeds=self.seeds,
            member_port=self._ports[0],
            server_list=self._list,
            balancer_lag_s=0.2,
            rollouts=self.rollouts,
            budget=BudgetSettings(retry_ratio=1.0, slack=100.0),
        )

    async def start_gateway(self, number):
        """Start one gateway."""
        program = GatewayProgram(self.make_gateway_settings(number))
        await self._nursery.start(program.run)
        self.gateways.append(program)

    async def call(
        self,
        method,
        path,
        body=b"",
        gateway=0,
        deadline_ms=5000,
        request_id=None,
        **more,
    ):
        """Send a request to a gateway; return status, headers and body.

        ``more`` are headers of the platform, without the start of their names.
        """
        headers = {
            "host": HOST,
            "x-wisteriaworks-request-id": request_id or f"r{next(self._numbers)}",
            "x-wisteriaworks-deadline-ms": str(deadline_ms),
        } | {f"x-wisteriaworks-{n.replace('_', '-')}": v for n, v in more.items()}
        address = f"127.0.0.1:{self._gateway_ports[2 * gateway]}"
        return await _call(method, f"http://{address}{path}", headers, body)

    async def is_ready(self, gateway=0):
        """Return whether a gateway is ready, as the platform's balancer checks it."""
        address = f"127.0.0.1:{self._gateway_ports[2 * gateway + 1]}"
        return (await _call("GET", f"http://{address}/api/ready")).status == 200

    async def order(self, method, path, body=b"", host=None):
        """Repeat an operator's order on server errors; return the final answer."""
        hosts = itertools.cycle([host] if host else list(self.control))
        with trio.fail_after(WAIT_S):
            while True:
                url = f"http://{next(hosts)}:{self._ports[1]}{path}"
                reply = await _call(method, url, body=body)
                if reply.status < 500:
                    return reply
                await trio.sleep(0.1)

    async def wait_until(self, is_met):
        """Wait until an asynchronous condition holds."""
        with trio.fail_after(WAIT_S):
            while not await is_met():
                await trio.sleep(0.05)

    async def wait_until_may_repeat(self, gateway, services):
        """Wait until a gateway that has started may repeat sends to services."""
        budget = self.gateways[gateway].app._forwarder.fleet.budget

        async def may_repeat():
            now = trio.current_time()
            return all(budget.may_repeat(name, now) for name in services)

        await self.wait_until(may_repeat)

    def find_leader(self):
        """Return the host of the member that leads, or None."""
        return next(
            (h for h, p in self.control.items() if p.node.replica.is_leader), None
        )


async def _call(method, url, headers=None, body=b""):
    headers = {"host": "operators"} | (headers or {})
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), 10.0)
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method, url, headers=headers, content=body, extensions={"timeout": timeouts}
        )
