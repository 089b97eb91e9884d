"""Measure what clients that don't behave make a gateway and a control member hold.

Each row gives the memory at rest and its peak, the descriptors, and the status of an
ordinary request, with 300 clients and the settings of a VM of 152 MB. The last row has
both programs on one VM of 200 MB, each with 300 clients of all forms at once.
"""

import contextlib
import functools
import itertools
import json
import sys
import tempfile
from pathlib import Path

import msgspec
import trio

ROOT = Path(__file__).resolve().parent.parent
sys.path += [str(ROOT / "tests" / name) for name in ("platform_adapter", "ingress")]

import crowd  # noqa: E402
from platform_stand_in import make_servers  # noqa: E402
from process_stand_in import ProcessSystem  # noqa: E402
from test_gateway_system import make_configuration  # noqa: E402

from wisteriaworks.generated.settings import IngressSettings  # noqa: E402

CLIENTS = 300
ANSWER_BYTES = 2 * crowd.MB
LIMITS = {"maxBodyBytes": crowd.MB, "maxHeaderBytes": 16_384}
# Time for the answers to arrive.
SETTLE_S = 3.0
REQUESTS_AT_ONCE = 8
SHAPES = {
    "length": functools.partial(crowd.make_body, size=crowd.MB),
    "chunks": functools.partial(crowd.make_chunks, size=crowd.MB),
    "one-byte chunks": functools.partial(crowd.make_chunks, size=50_000, chunk=1),
    "header lines": functools.partial(crowd.make_header_lines, size=16_000),
    "trailers": functools.partial(crowd.make_trailers, size=500_000),
}
# Requests at once, and how their answers are taken.
ANSWERS = {
    "answers not read": (1, crowd.take_nothing),
    "answers read slowly": (1, crowd.take_slowly),
    "answers of several requests": (REQUESTS_AT_ONCE, crowd.take_nothing),
}
ALL_FORMS = "all forms"
GATEWAY_INGRESS = IngressSettings(memory_mb=152.0, max_open_files=1535)
SHARED_VM_INGRESS = IngressSettings(memory_mb=200.0, max_open_files=4100)
# The shares of deploy/control.yaml.
CONTROL_INGRESS = msgspec.structs.replace(
    SHARED_VM_INGRESS, memory_share=0.06, answer_share=0.06
)
_request_numbers = itertools.count()


class System(ProcessSystem):
    """Run the programs with the limits of a VM."""

    gateway_ingress = GATEWAY_INGRESS
    control_ingress = GATEWAY_INGRESS

    def make_control_settings(self, host, found=False):
        """Return the settings of one control member."""
        cfg = super().make_control_settings(host, found)
        return msgspec.structs.replace(cfg, ingress=self.control_ingress)

    def make_gateway_settings(self, number, admin=None):
        """Return the settings of one gateway."""
        cfg = super().make_gateway_settings(number, admin)
        return msgspec.structs.replace(cfg, ingress=self.gateway_ingress)


class SharedVmSystem(System):
    """Run the programs with the limits of a VM that has one of each."""

    gateway_ingress = SHARED_VM_INGRESS
    control_ingress = CONTROL_INGRESS


def make_gateway_head(*lines, method=b"POST"):
    """Return the head of a request with an id of its own."""
    number = b"X-Wisteriaworks-Request-Id: b%d" % next(_request_numbers)
    return crowd.encode_head(b"/plain/x", number, *lines, method=method)


def make_control_head(*lines, method=b"PUT"):
    """Return the head of an operator's call."""
    return crowd.encode_head(b"/api/config", *lines, method=method)


def make_clients(head, shape, count):
    """Return the pieces of each client, and how the clients take their answers."""
    if shape in SHAPES:
        return [SHAPES[shape](head) for _ in range(count)], crowd.take_nothing
    if shape in ANSWERS:
        number, take = ANSWERS[shape]
        ask = functools.partial(head, method=b"GET")
        return [[ask() for _ in range(number)] for _ in range(count)], take
    shapes = [*SHAPES, *ANSWERS]
    parts = [make_clients(head, name, count // len(shapes))[0] for name in shapes]
    return list(itertools.chain(*parts)), crowd.take_nothing


class Measured:
    """Represent one program while clients come."""

    def __init__(self, system, program):
        name, self.address, self.head = {
            "gateway": ("g0", system.get_front(0), make_gateway_head),
            "control": (system.hosts[0], system.seeds[0], make_control_head),
        }[program]
        self.pid = system.processes[name].pid
        crowd.reset_peak(self.pid)
        self.rest_mb = crowd.read_memory_mb(self.pid, "VmRSS")
        self.rest_files = crowd.count_descriptors(self.pid)

    def open_clients(self, shape):
        """Return the context manager of the clients."""
        clients, take = make_clients(self.head, shape, CLIENTS)
        return crowd.open_clients(self.address, clients, take, SETTLE_S)

    def read_peak_mb(self):
        """Return the peak of the memory."""
        return crowd.read_memory_mb(self.pid, "VmHWM")


async def run(system_class, show):
    """Start a system with long answers and call ``show`` with it."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            system = system_class(nursery, Path(folder), make_servers())
            try:
                await system.start()
                document = json.loads(make_configuration(5)) | {"limits": LIMITS}
                source = json.dumps(document).encode() + b" " * ANSWER_BYTES
                await system.order("PUT", "/api/config", source)
                await system.wait_until(system.is_ready)
                for server in system.servers:
                    server.padding = bytes(ANSWER_BYTES)
                await show(system)
            finally:
                with trio.CancelScope(shield=True):
                    await system.stop()
            nursery.cancel_scope.cancel()


async def show_program(program, shape, system):
    """Let the clients come, and print what one process holds."""
    measured = Measured(system, program)
    async with measured.open_clients(shape):
        served = await call(system)
        files = crowd.count_descriptors(measured.pid)
    print(
        f"| {program} | {shape} | {measured.rest_mb:.0f} MB, {measured.rest_files} |"
        f" {measured.read_peak_mb():.0f} MB, {files} | {served} |",
        flush=True,
    )


async def show_shared_vm(system):
    """Print what a gateway and a control member hold together."""
    programs = [Measured(system, program) for program in ("gateway", "control")]
    async with contextlib.AsyncExitStack() as stack:
        for measured in programs:
            await stack.enter_async_context(measured.open_clients(ALL_FORMS))
        served = await call(system)
    rest_mb = sum(m.rest_mb for m in programs)
    peaks = " + ".join(f"{m.read_peak_mb():.0f}" for m in programs)
    print(f"| both | {ALL_FORMS} | {rest_mb:.0f} MB | {peaks} MB | {served} |")


async def call(system):
    """Return the status of an ordinary request."""
    return (await system.call("POST", "/plain/x", b"x")).status


def main():
    """Measure all programs and forms of requests."""
    shapes = sys.argv[1:] or [*SHAPES, *ANSWERS, ALL_FORMS]
    for program in ("gateway", "control"):
        for shape in shapes:
            trio.run(run, System, functools.partial(show_program, program, shape))
    trio.run(run, SharedVmSystem, show_shared_vm)


if __name__ == "__main__":
    main()
