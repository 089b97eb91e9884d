"""The program wisteria-backend: emulated backend servers and the VM list."""

import contextlib
import functools
import random
import signal
from dataclasses import dataclass

import msgspec
import trio
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument

from wisteriaworks.backend_protocol import RefusalBody
from wisteriaworks.emulated_server import EmulatedServer
from wisteriaworks.emulator_http import make_reply, serve_stream
from wisteriaworks.emulator_listener import EmulatedServerListener
from wisteriaworks.errors import WisteriaError
from wisteriaworks.events import Event, log_event, log_failure
from wisteriaworks.generated.emulator import EmulatorSettings, Fault, FaultCommand
from wisteriaworks.logs import configure_logs
from wisteriaworks.rpc import split_address
from wisteriaworks.settings import load_settings

VM_LIST_REFRESH_S = 0.1
_DECODE_FAULT = msgspec.json.Decoder(Fault).decode


class VmState(msgspec.Struct, frozen=True):
    """Describe whether the platform lists a VM as live or leaving."""

    address: str
    state: str


class VmList(msgspec.Struct, frozen=True):
    """Carry the platform's list of VMs."""

    vms: tuple[VmState, ...]


@dataclass(frozen=True, slots=True)
class _RecordedVmList:
    """Store the list of VMs as it was at the trio time ``recorded_at``."""

    recorded_at: float
    vms: VmList


def _make_server(cfg, spec):
    index = cfg.indexes[spec.index]
    rng = random.Random(f"{cfg.seed}/{spec.name}")
    profile = cfg.profiles[spec.profile]
    model = EmulatedServer(spec.name, spec.index, index.hits, profile, rng)
    model.add_snapshot(index.snapshot, index.partition_map, spec.shards)
    return EmulatedServerListener(model, spec.address)


class Emulator:
    """Run all emulated servers of the settings in one process."""

    def __init__(self, cfg):
        self._cfg = cfg
        self.servers = {spec.name: _make_server(cfg, spec) for spec in cfg.servers}
        self.control_address = cfg.control
        self._listings = []

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; reports started once every port is open."""
        async with trio.open_nursery() as nursery:
            for server in self.servers.values():
                await nursery.start(server.run)
            nursery.start_soon(self._record_vms)
            host, port = split_address(self._cfg.control)
            serve = functools.partial(trio.serve_tcp, self._accept, port, host=host)
            listeners = await nursery.start(serve)
            port = listeners[0].socket.getsockname()[1]
            self.control_address = f"{host}:{port}"
            task_status.started()

    def apply(self, fault):
        """Execute one command of the control endpoint."""
        for name in fault.servers or self.servers:
            self._apply_to(self.servers[name], fault)

    def list_vms(self):
        """Return the platform's list of VMs, which lags behind their actual state."""
        cutoff = trio.current_time() - self._cfg.vm_list_lag_s
        visible = [
            listing for listing in self._listings if listing.recorded_at <= cutoff
        ]
        return (visible or self._listings[:1])[-1].vms

    def read_counters(self):
        """Return the counters of every server by name."""
        return {
            name: server.model.read_counters() for name, server in self.servers.items()
        }

    def _apply_to(self, server, fault):
        model = server.model
        match fault.command:
            case FaultCommand.COLD:
                model.make_cold()
            case FaultCommand.DRAIN | FaultCommand.UNDRAIN:
                model.draining = fault.command is FaultCommand.DRAIN
            case FaultCommand.STOP_ANSWERING | FaultCommand.ANSWER:
                server.answering = fault.command is FaultCommand.ANSWER
            case FaultCommand.SLOW:
                model.slow_factor = fault.factor
            case FaultCommand.FORGET_SNAPSHOT:
                model.snapshots.pop(fault.snapshot, None)
            case FaultCommand.REPARTITION:
                shards = fault.shards.get(model.name, ())
                model.add_snapshot(fault.snapshot, fault.partition_map, shards)
            case FaultCommand.LIE:
                model.reported_state_override = fault.state
            case _:
                # The other commands are methods of the server with the same name.
                getattr(server, fault.command.value)()

    async def _accept(self, stream):
        await serve_stream(stream, self._handle)

    async def _handle(self, req):
        match req.method, req.target:
            case b"GET", b"/v1/vms":
                return make_reply(200, self.list_vms())
            case b"GET", b"/counters":
                return make_reply(200, self.read_counters())
            case b"POST", b"/fault":
                return self._handle_fault(req.body)
        return make_reply(404, RefusalBody("unknown_target"))

    def _handle_fault(self, body):
        try:
            self.apply(_DECODE_FAULT(body))
        except KeyError as exc:
            # The reason is the name of a server that does not exist.
            return make_reply(400, RefusalBody(str(exc)))
        return make_reply(200, {})

    async def _record_vms(self):
        while True:
            self._record_listing()
            await trio.sleep(VM_LIST_REFRESH_S)

    def _record_listing(self):
        now = trio.current_time()
        vms = VmList(tuple(map(_describe_vm, self.servers.values())))
        if not self._listings or self._listings[-1].vms != vms:
            self._listings.append(_RecordedVmList(now, vms))
        cutoff = now - self._cfg.vm_list_lag_s
        while len(self._listings) > 1 and self._listings[1].recorded_at <= cutoff:
            del self._listings[0]


def _describe_vm(server):
    return VmState(server.address, "leaving" if server.model.draining else "live")


async def _run_until_signalled(cfg):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(Emulator(cfg).run)
            log_event(Event.PROCESS_STARTED, control=cfg.control)
            with contextlib.suppress(StopAsyncIteration):
                await anext(signals)
            log_event(Event.PROCESS_STOPPING)
            nursery.cancel_scope.cancel()


class RunCommand(Command):
    """Run the emulated servers of a settings file."""

    name = "run"
    description = "Emulate the backend servers of a settings file."
    arguments = [argument("file", description="YAML settings")]  # noqa: RUF012

    def handle(self):
        """Run until SIGTERM or SIGINT. Returns the exit code."""
        try:
            cfg = load_settings(self.argument("file"), EmulatorSettings)
        except WisteriaError as exc:
            self.line_error(exc.message)
            return exc.exit_code
        configure_logs(cfg.log, "wisteria-backend", cfg.control)
        try:
            trio.run(_run_until_signalled, cfg)
        except Exception as exc:
            log_failure(exc)
            raise
        log_event(Event.PROCESS_STOPPED)
        return 0


def main():
    """Run the command line."""
    application = Application("wisteria-backend")
    application.add(RunCommand())
    application.run()


if __name__ == "__main__":
    main()
