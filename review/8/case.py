"""Check that a slow read of the list does not replace newer news of the leader."""

import asyncio
import signal
from pathlib import Path

from platform_system import (
    CONTACT_S,
    DRAIN_S,
    ZONES,
    Clients,
    Server,
    ServerList,
    System,
    make_configuration,
    run_case,
)

SERVICE, OTHER_SERVICE = "pass-desk", "archive"
# Listed servers of the other service, which no route names; the list has three pages.
OTHER_SERVERS = 110
# Servers of the service. In each cycle two of them leave, one in each of their zones.
SERVERS, LEAVING = 12, 2
REQUESTS_PER_S = 40
DEADLINE_MS = 2000
CYCLES = 4
# All machines of the core lose their processes for this long.
DOWN_S = 1.5
# The platform answers this late while it is slow.
SLOW_ANSWER_S = 0.9
# A server that leaves goes on to serve for this long after the list shows it.
LEAVING_S = 10.0
ROUTE = {
    "name": "r-pass",
    "pathPrefix": "/pass/",
    "routeType": "idempotent",
    "timeoutMs": DEADLINE_MS,
    "targetLatencyMs": 500,
    "service": SERVICE,
    "attempts": 2,
}


class SlowList(ServerList):
    """Answer the second page late while the platform is slow.

    ``on_first_page()`` is called after the content of a first page has been read.
    """

    def __init__(self, record, servers, host):
        super().__init__(record, servers, host)
        self.is_slow = False
        self.on_first_page = None
        self.before_page = self._delay

    async def _delay(self, number):
        if number == 0 and self.on_first_page is not None:
            self.on_first_page()
        if number == 1 and self.is_slow:
            self._record.write("the platform answers late with a page of the list")
            await asyncio.sleep(SLOW_ANSWER_S)
            self._record.write("the late page of the list is sent")


async def send_steadily(system, clients, tasks):
    """Send requests to all gateways in turn until cancelled."""
    number = 0
    while True:
        machine = system.gateways[number % len(system.gateways)]
        send = clients.send(machine, "GET", f"/pass/{number}")
        tasks.add(task := asyncio.ensure_future(send))
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)


class Cycle:
    """Kill the core once while servers begin to leave, and count late requests."""

    def __init__(self, record, system, platforms, servers, leaving):
        self._record = record
        self._system = system
        self._platforms = platforms
        self._servers = servers
        self._leaving = leaving
        self._drained_at = None

    async def run(self, has_trouble):
        """Return the number of requests that reached the leaving servers too late."""
        record, started_at = self._record, self._record.now()
        if has_trouble:
            started_at = await self._kill_core()
        else:
            await asyncio.sleep(2.0)
            self._leave()
        if self._drained_at is None:
            record.write("no gateway read the list before the leader was back")
            return 0
        # The machines are in touch again contactWindowMs after the core's last event.
        # The platform was slow until SLOW_ANSWER_S after the server began to leave.
        bound = self._drained_at + SLOW_ANSWER_S + DRAIN_S
        bound = max(bound, started_at + CONTACT_S)
        await asyncio.sleep(self._drained_at + LEAVING_S - record.now())
        for server in self._leaving:
            self._servers.remove(server)
            await server.end()
            record.write(f"{server.id} has ended")
        late = sum(a.at > bound for server in self._leaving for a in server.arrivals)
        record.write(f"{late} requests reached these servers after {bound:.3f}")
        return late

    def _leave(self):
        if self._drained_at is not None:
            return
        self._drained_at = self._record.now()
        for server in self._leaving:
            server.state = "draining"
            self._record.write(f"the list shows that {server.id} is draining")

    async def _kill_core(self):
        """Kill all members, start them again, and return when they were started."""
        system, (_, for_gateways) = self._system, self._platforms
        for machine in system.controls:
            system.send_signal(machine, "control", signal.SIGKILL)
        for_gateways.on_first_page, for_gateways.is_slow = self._leave, True
        await asyncio.sleep(DOWN_S)
        for machine in system.controls:
            machine.processes["control"].wait()
            system.start(machine, "control")
        started_at = self._record.now()
        await asyncio.sleep(2.0)
        for_gateways.on_first_page, for_gateways.is_slow = None, False
        return started_at


async def run(record, network, folder, has_trouble):
    """Return whether no request reached a leaving server after drainMs."""
    servers = [
        Server(record, f"i-{n}", SERVICE, ZONES[n % 2], f"{network}.{100 + n}")
        for n in range(SERVERS + CYCLES * LEAVING)
    ]
    others = [
        Server(record, f"o-{n}", OTHER_SERVICE, ZONES[n % 4], f"{network}.{130 + n}")
        for n in range(OTHER_SERVERS)
    ]
    listed = [*servers[:SERVERS], *others]
    # Both show the same list; gateways reach the platform at the second address.
    platforms = [SlowList(record, listed, f"{network}.{n}") for n in (2, 3)]
    for part in (*servers, *platforms):
        await part.start()
    system = System(record, network, folder, gateways=4)
    system.list_addresses = {
        "control": platforms[0].address,
        "gateway": platforms[1].address,
    }
    clients, tasks, late = Clients(record, DEADLINE_MS), set(), 0
    try:
        system.start_all()
        services = [SERVICE, OTHER_SERVICE]
        await system.put_configuration(make_configuration(7, [ROUTE], services, 46))
        await system.wait_ready()
        traffic = asyncio.ensure_future(send_steadily(system, clients, tasks))
        for number in range(CYCLES):
            await asyncio.sleep(CONTACT_S + 1.0)
            first = number * LEAVING
            leaving = servers[first : first + LEAVING]
            cycle = Cycle(record, system, platforms, listed, leaving)
            late += await cycle.run(has_trouble)
            listed[:0] = servers[SERVERS + first : SERVERS + first + LEAVING]
        traffic.cancel()
        await asyncio.gather(*tasks)
    finally:
        system.stop_all()
    record.write(f"answers by status: {clients.count()}")
    record.write(f"{late} requests reached leaving servers too late")
    return not late


if __name__ == "__main__":
    run_case(Path(__file__).parent, run)
