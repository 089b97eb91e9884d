"""The stand-in of the platform with control and a gateway in their own processes."""

import msgspec
import trio
from platform_stand_in import StandInSystem

from wisteriaworks.processes import fetch, find_free_ports, start_process


class ProcessSystem(StandInSystem):
    """Run the programs as processes that write their logs to files."""

    def __init__(self, nursery, folder, servers):
        super().__init__(nursery, folder, servers, gateways=1)
        self.admin = f"127.0.0.1:{find_free_ports(1)[0]}"
        self.processes = {}
        self.logs = []

    async def start(self):
        """Start everything, with empty disks and no operator."""
        await self.start_servers()
        for host in self.hosts:
            cfg = self.make_control_settings(host, found=True)
            self.control[host] = await self._start("control", host, cfg, cfg.admin)
        gateway = self.make_gateway_settings(0, self.admin)
        await self._start("gateway.program", "gateway", gateway, self.admin)
        for member in self.control.values():
            await member.wait_ready()
        await self.wait_for_line(101, gateway.name)

    async def stop(self):
        """End all processes."""
        for process in self.processes.values():
            await process.kill()

    def order_host(self, name):
        """Return the host of the control member with a name."""
        return name.removeprefix("c-")

    async def read_metrics(self):
        """Return the metrics of the gateway as text."""
        return (await fetch("GET", self.admin, "/metrics"))[1].decode()

    async def _start(self, module, name, cfg, admin):
        settings = self._folder / f"{name}.yaml"
        # JSON is YAML.
        settings.write_bytes(msgspec.json.encode(cfg))
        log = self._folder / f"{name}.log"
        self.logs.append(log)
        process = await start_process(name, module, ["run", settings], admin, log)
        self.processes[name] = process
        return process

    async def wait_for_line(self, event, text=""):
        """Wait until some process wrote a line with an event; return the line."""
        while True:
            for log in self.logs:
                for line in log.read_text().splitlines():
                    if f'"event":{event}' in line and text in line:
                        return msgspec.json.decode(line)
            await trio.sleep(0.05)
