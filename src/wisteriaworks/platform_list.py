"""Poll the platform's list of VMs for backend servers that are leaving."""

import httpcore
import msgspec
import trio

from wisteriaworks.events import Event, log_event
from wisteriaworks.http_status import MalformedStatusError, is_final_status

POLL_INTERVAL_S = 1.0
TIMEOUT_S = 2.0
_LEAVING = "leaving"
_OK = 200


class _Vm(msgspec.Struct, frozen=True):
    address: str
    state: str


class _VmList(msgspec.Struct, frozen=True):
    vms: tuple[_Vm, ...]


_DECODER = msgspec.json.Decoder(_VmList)
_FAILURES = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    MalformedStatusError,
    msgspec.MsgspecError,
)


def parse_leaving(body):
    """Return the addresses of the VMs that a list marks as leaving.

    Raises msgspec.MsgspecError.
    """
    vms = _DECODER.decode(body).vms
    return frozenset(vm.address for vm in vms if vm.state == _LEAVING)


async def watch_platform(address, on_leaving):
    """Poll the list and pass its leaving addresses on, until cancelled.

    ``on_leaving`` gets a set of addresses. It is not called when a poll fails, so
    the addresses of the last successful poll stay in force.
    """
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    url = f"http://{address}/v1/vms"
    is_failing = False
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while True:
            try:
                reply = await pool.request("GET", url, extensions={"timeout": timeouts})
                is_final_status(reply.status)
                if reply.status != _OK:
                    raise httpcore.ProtocolError(f"status {reply.status}")
                on_leaving(parse_leaving(reply.content))
                is_failing = False
            except _FAILURES as exc:
                if not is_failing:
                    log_event(Event.PLATFORM_UNREADABLE, reason=repr(exc))
                is_failing = True
            await trio.sleep(POLL_INTERVAL_S)
