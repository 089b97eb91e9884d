"""Stand-in for the platform with control and gateways in separate processes."""

import signal

import httpcore
import msgspec
import trio
from platform_stand_in import StandInSystem

from wisteriaworks.processes import fetch, find_free_ports, start_process

OPERATOR_TIMEOUT_S = 2.0
STOP_S = 8.0


class ProcessSystem(StandInSystem):
    """Run the programs as processes that write their logs to files."""

    def __init__(self, nursery, folder, servers, gateways=1):
        links_mbps = (0.0,) * gateways
        super().__init__(
            nursery, folder, servers, gateways=gateways, links_mbps=links_mbps
        )
        self._admin_ports = find_free_ports(gateways)
        self._commands = {}
        self.admin = f"127.0.0.1:{self._admin_ports[0]}"
        self.processes = {}
        # Names of the processes that are stopped, paused or being restarted.
        self.interrupted = set()
        self.logs = []

    async def start(self, before_programs=None):
        """Start all programs, with empty disks and no configuration.

        ``await before_programs()`` runs before control and gateways start, and may
        replace the addresses of the servers.
        """
        await self.start_servers()
        if before_programs is not None:
            await before_programs()
        for host in self.hosts:
            cfg = self.make_control_settings(host, found=True)
            self._prepare("control", host, cfg, cfg.admin)
            self.control[host] = await self._start(host)
        for number, port in enumerate(self._admin_ports):
            cfg = self.make_gateway_settings(number, f"127.0.0.1:{port}")
            self._prepare("gateway.program", cfg.name, cfg, cfg.admin)
            await self._start(cfg.name)
        for member in self.control.values():
            await member.wait_ready()
        for number in range(len(self._admin_ports)):
            # Event 101 is PROCESS_STARTED.
            await self.wait_for_line(101, f'"g{number}"')

    async def stop(self):
        """End all processes."""
        for process in self.processes.values():
            await process.kill()

    async def interrupt(self, name, kind, seconds):
        """Pause a process, or end it and restart it after a time."""
        self.interrupted.add(name)
        try:
            process = self.processes[name]
            process.send_signal(kind)
            with trio.CancelScope(shield=True):
                await trio.sleep(seconds)
                if kind == signal.SIGSTOP:
                    process.send_signal(signal.SIGCONT)
                    return
                with trio.move_on_after(STOP_S):
                    await process.wait()
                await process.kill()
                await self._start(name)
        finally:
            self.interrupted.discard(name)

    def get_front(self, gateway):
        """Return the address of a gateway for callers."""
        return f"127.0.0.1:{self._gateway_ports[2 * gateway]}"

    def get_host(self, name):
        """Return the host of the control member with a name."""
        return name.removeprefix("c-")

    async def call_operator(self, host, method, body=b""):
        """Send an operator's call for the configuration to one member."""
        timeouts = dict.fromkeys(
            ("connect", "read", "write", "pool"), OPERATOR_TIMEOUT_S
        )
        url = f"http://{host}:{self._ports[1]}/api/config"
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method, url, content=body, extensions={"timeout": timeouts}
            )

    async def read_metrics(self):
        """Return the metrics of the first gateway as text."""
        return (await fetch("GET", self.admin, "/metrics"))[1].decode()

    def _prepare(self, module, name, cfg, admin):
        settings = self._folder / f"{name}.yaml"
        # JSON is YAML.
        settings.write_bytes(msgspec.json.encode(cfg))
        log = self._folder / f"{name}.log"
        self.logs.append(log)
        self._commands[name] = (module, ["run", settings], admin, log)

    async def _start(self, name):
        module, arguments, admin, log = self._commands[name]
        process = await start_process(name, module, arguments, admin, log)
        self.processes[name] = process
        return process

    async def wait_for_line(self, event, text=""):
        """Wait until any process logged an event; return the line."""
        while True:
            for log in self.logs:
                for line in log.read_text().splitlines():
                    if f'"event":{event}' in line and text in line:
                        return msgspec.json.decode(line)
            await trio.sleep(0.05)
