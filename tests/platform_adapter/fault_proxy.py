"""TCP proxy on loopback that delays, resets, cuts or silences connections."""

import contextlib
import random
from enum import Enum

import trio

READ_BYTES = 65536
DELAY_S = 0.15
POLL_S = 0.02


class Fault(Enum):
    """Name the faults that a proxy injects into its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    # Answers are dropped while the connection stays open.
    CUT_ANSWERS = "cut_answers"
    # No bytes are passed on in either direction.
    SILENT = "silent"


class FaultProxy:
    """Proxy the connections to one server."""

    def __init__(self, target):
        self._target = target
        self.fault = Fault.NONE
        self.address = ""

    async def start(self, nursery):
        """Listen on a free port."""
        (listener,) = await nursery.start(self._listen)
        self.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"

    async def _listen(self, task_status):
        await trio.serve_tcp(self._serve, 0, host="127.0.0.1", task_status=task_status)

    async def _serve(self, stream):
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            await self._connect_both(stream)
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)

    async def _connect_both(self, stream):
        host, _, port = self._target.partition(":")
        server = await trio.open_tcp_stream(host, int(port))
        async with server, trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._pump, stream, server, False, scope)
            nursery.start_soon(self._pump, server, stream, True, scope)

    async def _pump(self, source, sink, are_answers, scope):
        broken = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
        with contextlib.suppress(*broken):
            while data := await source.receive_some(READ_BYTES):
                if await self._may_pass(are_answers):
                    await sink.send_all(data)
                elif self.fault is Fault.RESET:
                    break
        scope.cancel()

    async def _may_pass(self, are_answers):
        match self.fault:
            case Fault.DELAY:
                await trio.sleep(DELAY_S)
            case Fault.RESET:
                return False
            case Fault.CUT_ANSWERS:
                return not are_answers
            case Fault.SILENT:
                # The bytes are delayed, and lost if the connection ends meanwhile.
                while self.fault is Fault.SILENT:
                    await trio.sleep(POLL_S)
        return True


def choose_fault(rng: random.Random):
    """Return a random fault."""
    return rng.choice([fault for fault in Fault if fault is not Fault.NONE])
