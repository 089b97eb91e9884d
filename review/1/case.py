"""REFUSED, TWICE: a late copy of a refusal is taken for the answer to a second send."""

import asyncio
import collections
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins"))

from deployment import (  # noqa: E402
    Server,
    System,
    make_configuration,
    make_route,
    run_case,
)

ZONES = ("plovdiv-a", "plovdiv-b", "asenovgrad", "stamboliyski")
# The servers of driver-app, by zone.
SERVER_ZONES = (*ZONES[:3], *ZONES)
CONNECTIONS = 110
# Doses of the site's disruptions: srv_grey with shed, and garble with extra late.
SHED_SHARE = 0.45
EXTRA_SHARE = 0.03
EXTRA_SERVERS = 4
EXTRA_S = 5.0
WINDOWS = 7
WINDOW_INTERVAL_S = 12.0
REQUESTS_PER_S = 40
WORK_S = (0.06, 0.18)
# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class GreyServer(Server):
    """Stand in for a server that refuses a part of the requests, and repeats answers.

    While ``repeats`` is set, it sends a second copy of EXTRA_SHARE of its answers, at
    the point where the next answer on the connection is expected.
    """

    sheds = False
    repeats = False

    def rejects(self):
        """Return whether the server rejects the next request."""
        return super().rejects() or (self.sheds and random.random() < SHED_SHARE)

    def spoil(self, connection, answer, was_run):
        """Return the bytes that are sent for an answer."""
        late = connection.pop("late", b"")
        if late:
            self._system.record(f"{self.id} sends a copy of an earlier answer first")
        if self.repeats and random.random() < EXTRA_SHARE:
            connection["late"] = answer
        return late + answer


def make_system(folder, record_path):
    """Return a deployment with four VMs and the seven servers of driver-app."""
    system = System(folder, record_path, ZONES)
    for number, zone in enumerate(SERVER_ZONES):
        server = GreyServer(system, f"i-{number}", "driver-app", zone)
        server.choose_work_s = lambda: random.uniform(*WORK_S)
        system.servers.append(server)
    return system


async def send_requests(system, statuses):
    """Send requests that are not idempotent to all gateways for a while."""
    until = time.monotonic() + EXTRA_S

    async def send(vm, request_id):
        statuses[request_id] = await system.request(
            vm, "/rota/x", request_id, 3000, "POST", b"pass"
        )

    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < until:
            request_id = f"r{len(statuses)}"
            statuses[request_id] = None
            tasks.create_task(send(random.choice(system.vms), request_id))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


async def case(system, trouble):
    """Return the requests that ran twice, or ran although they were refused."""
    fields = {"routeType": "non_idempotent", "attempts": 1}
    route = make_route("rota", "/rota/", "driver-app", **fields)
    services = {"driver-app": CONNECTIONS}
    await system.start_programs_with(make_configuration(1, [route], services))
    await asyncio.sleep(10)
    statuses = {}
    for number in range(WINDOWS):
        began_at = time.monotonic()
        for server in system.servers:
            server.sheds = True
        for server in random.sample(system.servers, EXTRA_SERVERS):
            server.repeats = trouble
        await send_requests(system, statuses)
        for server in system.servers:
            server.repeats = server.sheds = False
        if number + 1 < WINDOWS:
            await asyncio.sleep(began_at + WINDOW_INTERVAL_S - time.monotonic())
    runs = collections.Counter(r for server in system.servers for _, r in server.runs)
    counts = collections.Counter(statuses.values())
    system.record(f"statuses: {dict(counts)}")
    return [
        *(f"TWICE: {r} ran {n} times" for r, n in runs.items() if n > 1),
        *(
            f"REFUSED: {r} was answered {status} and has run"
            for r, status in statuses.items()
            if status in NOT_RUN_STATUSES and runs[r]
        ),
    ]


if __name__ == "__main__":
    run_case(case, make_system, HERE / "record.txt")
