"""Measure what clients that stop short of the end of a 1 MB body make a gateway hold.

Prints the memory at rest and its peak, and the descriptors, of a gateway and of a
control member with the default settings, with 300 clients each.
"""

import functools
import json
import sys
import tempfile
from pathlib import Path

import trio

ROOT = Path(__file__).resolve().parent.parent
sys.path += [str(ROOT / "tests" / name) for name in ("platform_adapter", "ingress")]

import crowd  # noqa: E402
from platform_stand_in import make_servers  # noqa: E402
from process_stand_in import ProcessSystem  # noqa: E402
from test_gateway_system import make_configuration  # noqa: E402

CLIENTS = 300
LIMITS = {"maxBodyBytes": crowd.MB, "maxHeaderBytes": 16_384}
SHAPES = {
    "length": functools.partial(crowd.make_body, size=crowd.MB),
    "chunks": functools.partial(crowd.make_chunks, size=crowd.MB),
    "one-byte chunks": functools.partial(crowd.make_chunks, size=50_000, chunk=1),
    "header lines": functools.partial(crowd.make_header_lines, size=16_000),
    "trailers": functools.partial(crowd.make_trailers, size=500_000),
}
GATEWAY_HEAD = functools.partial(
    crowd.encode_head, b"/plain/x", b"X-Wisteriaworks-Request-Id: a"
)
CONTROL_HEAD = functools.partial(crowd.encode_head, b"/api/config", method=b"PUT")


async def measure(program, shape):
    """Print one row for one program and one kind of request."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            system = ProcessSystem(nursery, Path(folder), make_servers())
            try:
                await system.start()
                document = json.loads(make_configuration(5)) | {"limits": LIMITS}
                await system.order("PUT", "/api/config", json.dumps(document).encode())
                await system.wait_until(system.is_ready)
                await show(system, program, shape)
            finally:
                with trio.CancelScope(shield=True):
                    await system.stop()
            nursery.cancel_scope.cancel()


async def show(system, program, shape):
    """Let the clients come, and print what the process holds."""
    name, address, head = {
        "gateway": ("g0", system.get_front(0), GATEWAY_HEAD),
        "control": (system.hosts[0], system.seeds[0], CONTROL_HEAD),
    }[program]
    pid = system.processes[name].pid
    rest = crowd.read_memory_mb(pid, "VmRSS"), crowd.count_descriptors(pid)
    async with crowd.open_crowd(address, CLIENTS, SHAPES[shape](head)):
        served = (await system.call("POST", "/plain/x", b"x")).status
        files = crowd.count_descriptors(pid)
    peak = crowd.read_memory_mb(pid, "VmHWM")
    print(
        f"| {program} | {shape} | {rest[0]:.0f} MB, {rest[1]} | {peak:.0f} MB, {files}"
        f" | {served} |",
        flush=True,
    )


def main():
    """Measure all programs and kinds of requests."""
    for program in ("gateway", "control"):
        for shape in SHAPES:
            trio.run(measure, program, shape)


if __name__ == "__main__":
    main()
