"""The program ``wisteria-demo``: run the whole system on loopback.

Starts control, entries in four failure domains and emulated backend servers,
sends searches, takes a failure domain out of service, returns it to service and
stops all processes gracefully.
"""

import sys
import tempfile

import trio

from wisteriaworks.errors import WisteriaError
from wisteriaworks.generated.document import DomainState
from wisteriaworks.local_layout import DEMO_LAYOUT
from wisteriaworks.local_system import LocalSystem, create_id

SEARCH_COUNT = 12
# Time for entries and servers to react to a changed domain state.
SETTLE_S = 3.0


def _print_answer(title, status, body):
    coverage = body.get("coverage") or {}
    print(
        f"{title}: HTTP {status}, {body['outcome']}, snapshot {body.get('snapshot')}, "
        f"{coverage.get('answered')} of {coverage.get('total')} shards, "
        f"{len(body.get('results') or ())} results"
    )
    for shard in coverage.get("missing", ()):
        print(f"    missing {shard['index']}/{shard['shard']}: {shard['reason']}")


async def _send_searches(system, title):
    entries = [cfg.name for cfg in system.entry_settings]
    complete = 0
    for number in range(SEARCH_COUNT):
        entry = entries[number % len(entries)]
        status, body = await system.search(
            entry, "gate-desk", {"plate": f"CB{number:04}AB"}
        )
        complete += status == 200 and body["outcome"] == "complete"
    print(f"{title}: {complete} of {SEARCH_COUNT} answers complete")


async def _send_pass_check(system):
    request_id = create_id()
    for entry in ("entry-1", "entry-2"):
        status, body = await system.search(
            entry,
            "pass-sales",
            {"pass": "A-17"},
            request_id=request_id,
            routing_key="A-17",
        )
        _print_answer(f"pass check through {entry}", status, body)
    counters = await system.read_counters()
    runs = sum(
        count
        for server in counters.values()
        for key, count in server["executions"].items()
        if key.startswith(request_id)
    )
    print(f"the same pass check sent twice ran {runs} time(s)")


async def _drain_and_return_domain(system, name):
    version = await system.set_domain(name, DomainState.OUT)
    print(f"{name} is out of service (configuration version {version})")
    await trio.sleep(SETTLE_S)
    before = await _count_received(system, name)
    others = [c for c in system.entry_settings if c.domain != name]
    for cfg in others:
        status, body = await system.search(cfg.name, "gate-desk", {"plate": "X"})
        _print_answer(f"search through {cfg.name}", status, body)
    after = await _count_received(system, name)
    print(f"servers in {name} received {after - before} sub-queries meanwhile")
    version = await system.set_domain(name, DomainState.IN_SERVICE)
    print(f"{name} is in service again (configuration version {version})")
    await trio.sleep(SETTLE_S)


async def _count_received(system, domain):
    counters = await system.read_counters()
    names = [
        server.name
        for index in system.document.indexes.values()
        for server in index.servers
        if server.domain == domain
    ]
    return sum(counters[name]["received"] for name in names)


async def run_demo(folder):
    """Run the demo in a folder and return an exit code."""
    async with LocalSystem(DEMO_LAYOUT, folder) as system:
        await system.start()
        status = await system.read_status()
        print(
            f"{len(status.members)} control members, {len(status.entries)} entries, "
            f"{len(status.servers)} backend servers, leader {status.leader}"
        )
        answer = await system.search("entry-1", "gate-desk", {"plate": "CB1234AB"})
        _print_answer("first search", *answer)
        await _send_searches(system, "steady state")
        await _send_pass_check(system)
        await _drain_and_return_domain(system, "plovdiv-a")
        await _send_searches(system, "after the return")
        codes = await system.stop()
    print("exit codes:", ", ".join(f"{n} {c}" for n, c in sorted(codes.items())))
    return max(map(abs, codes.values()))


def main():
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="wisteria-demo-") as folder:
        try:
            sys.exit(trio.run(run_demo, folder))
        except WisteriaError as exc:
            sys.exit(f"wisteria-demo: {exc.message}")


if __name__ == "__main__":
    main()
