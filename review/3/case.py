"""EVAC: a frozen control member applies an old order after it wakes."""

import asyncio
import signal
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
EVACUATED = "plovdiv-a"
PATH = f"/api/evacuate/{EVACUATED}"
FREEZE_S = 3.5
EVACUATION_S = 5.0
CONTACT_WINDOW_S = 4.0
WATCHED_S = 8.0
REQUEST_INTERVAL_S = 0.1


def make_system(folder, record_path):
    """Return a deployment with four VMs and four servers of one service."""
    system = System(folder, record_path, ZONES)
    system.servers += [Server(system, f"i-{n}", "rota", z) for n, z in enumerate(ZONES)]
    return system


def signal_vm(system, vm, number):
    """Send a signal to all processes of a VM."""
    for role in vm.processes:
        system.send_signal(vm, role, number)


async def send_requests(system, until):
    """Send requests to all gateways, one after the other."""
    number = 0
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < until():
            vm = system.vms[number % len(system.vms)]
            tasks.create_task(system.request(vm, "/rota/x", f"r{number}", 3000))
            number += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)


async def case(system, trouble):
    """Return the requests that reached the evacuated zone too late."""
    routes = [make_route("rota", "/rota/", "rota")]
    await system.start_programs_with(make_configuration(1, routes, {"rota": 110}))
    slow, *others = reversed(system.core)
    end_at = time.monotonic() + 60
    sending = asyncio.create_task(send_requests(system, lambda: end_at))
    await asyncio.sleep(1)
    await system.order_until_acked(others, "POST", PATH)
    await asyncio.sleep(1)
    frozen_at = time.monotonic()
    if trouble:
        signal_vm(system, slow, signal.SIGSTOP)
    # The operator takes the zone back. Its first call goes to the frozen member.
    await system.order_until_acked([slow, *others], "DELETE", PATH)
    await asyncio.sleep(0.3)
    await system.order_until_acked(others, "POST", PATH)
    acked_at = time.monotonic()
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if trouble:
        signal_vm(system, slow, signal.SIGCONT)
    woken_at = time.monotonic()
    late_from = max(acked_at + EVACUATION_S, woken_at + CONTACT_WINDOW_S)
    end_at = late_from + WATCHED_S
    await sending
    return [
        f"{request_id} reached {server.id} in {EVACUATED} {at - acked_at:.1f} s after"
        " the evacuation was acknowledged"
        for server in system.servers
        if server.zone == EVACUATED
        for at, request_id in server.arrivals
        if at > late_from
    ]


if __name__ == "__main__":
    run_case(case, make_system, HERE / "record.txt")
