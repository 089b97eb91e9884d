"""Exchange the seeds for machines without a disk, then kill and restart everything."""

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_3"))

from deployment import ask, make_route, run_case  # noqa: E402

PATH = "/rota/1"
# Of the site rodopi-parks.
SEED_LAG_S, RECOVERY_S = 3.0, 12.0
MEASURED_S = 10.0
LEAST_SHARE = 0.25


def play(deployment, has_trouble):
    """Return whether a quarter of the requests is served after the recovery."""
    record = deployment.record
    for zone in ("a", "b"):
        deployment.add_server("driver-app", zone)
    deployment.write_settings(bootstrap=True)
    deployment.start_all()
    deployment.put_configuration(
        5, [make_route("rota", "/rota/", "driver-app")], ["driver-app"]
    )
    deployment.wait_until_served(PATH)
    if has_trouble:
        deployment.seeds = [machine.control for machine in deployment.without_disk]
        record.note(f"the settings name other seeds: {deployment.seeds}")
    deployment.write_settings(bootstrap=False)
    for name in deployment.processes:
        deployment.send_signal(name, signal.SIGHUP)
    time.sleep(SEED_LAG_S)
    before = measure(deployment, 3.0)
    record.note(f"before the final fault: {before:.2f} of the requests served")
    deployment.kill_all()
    time.sleep(1.0)
    deployment.start_all()
    time.sleep(RECOVERY_S)
    after = measure(deployment, MEASURED_S)
    record.note(f"{RECOVERY_S} s after the restart: {after:.2f} served")
    status, _ = deployment.call_operator(
        "GET", "/api/config", machines=deployment.with_disk
    )
    record.note(f"control answers a read of the configuration: {status}")
    return before < LEAST_SHARE or after >= LEAST_SHARE


def measure(deployment, seconds):
    """Return the share of requests to all gateways that are served."""
    until, served, asked = time.monotonic() + seconds, 0, 0
    while time.monotonic() < until:
        for machine in deployment.machines:
            status = ask(machine, PATH, deadline_ms=1000)[0]
            deployment.record.note(f"client at {machine.name}: {status}")
            asked += 1
            served += status == 200
        time.sleep(0.2)
    return served / asked


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
