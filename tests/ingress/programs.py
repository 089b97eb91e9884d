"""Programs with low limits, their requests, and the bounds on what they hold."""

from dataclasses import dataclass
from typing import Any

import crowd
import msgspec
import trio
from process_stand_in import ProcessSystem

from wisteriaworks.generated.document import Limits
from wisteriaworks.generated.settings import IngressSettings
from wisteriaworks.local_layout import IndexLayout, Layout

# 4 MB for requests, and 80 connections.
INGRESS = IngressSettings(memory_mb=32.0, max_open_files=200)
# Growth of the peak beyond the memory at rest.
MAX_GROWTH_MB = 16
CLIENTS = 40
BODY_BYTES = 1_000_000
LIMITS = {"maxBodyBytes": BODY_BYTES, "maxHeaderBytes": 16_384}
OPERATORS_CLIENTS = 10
OPERATORS_BODY_BYTES = 4_000_000
# Bytes of a long answer.
ANSWER_BYTES = 2_000_000
# An answer with as many hits has 1 MB.
ENTRY_HITS = 10_000
LAYOUT = Layout(
    domains=("a", "b"),
    indexes=(IndexLayout("i", replica_sets=1, hits=ENTRY_HITS),),
    entries=1,
    controls=1,
    limits=Limits(max_body_bytes=BODY_BYTES),
)


@dataclass(frozen=True)
class Target:
    """One program: its process, its port for clients and its requests.

    ``head`` returns the head of a request with a body, ``ask`` a complete request with
    a long answer, and ``is_served`` sends an ordinary request. ``refresh`` is called
    between the requests of a crowd.
    """

    pid: int
    address: str
    head: Any
    is_served: Any
    ask: Any
    lengthen: Any
    clients: int = CLIENTS
    body_bytes: int = BODY_BYTES


class LimitedSystem(ProcessSystem):
    """Run the programs of a platform with low limits."""

    def make_control_settings(self, host, found=False):
        cfg = super().make_control_settings(host, found)
        return msgspec.structs.replace(cfg, ingress=INGRESS)

    def make_gateway_settings(self, number, admin=None):
        cfg = super().make_gateway_settings(number, admin)
        return msgspec.structs.replace(cfg, ingress=INGRESS)

    async def start_redirect(self, host, cfg):
        """Start a control process without a disk, and return it."""
        cfg = msgspec.structs.replace(cfg, data_folder=None)
        self._prepare("control", host, cfg, cfg.admin)
        process = await self._start(host)
        await process.wait_ready()
        return process


async def check_served(target):
    """Check that an ordinary request is answered, while the crowd is there."""
    with trio.fail_after(30):
        while not await target.is_served():
            await trio.sleep(0.2)


def check_memory(target, before):
    growth = crowd.read_memory_mb(target.pid, "VmHWM") - before
    print(f"growth {growth:.1f} MB")
    assert growth <= MAX_GROWTH_MB
