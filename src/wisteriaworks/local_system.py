"""Run an entire system on the loopback address.

Used by the demo, the tests and the load tool. Control members, entries spread
over the failure domains and backend emulators each run in a separate process.
"""

import contextlib
import itertools
import signal
from pathlib import Path

import msgspec
import trio
import uuid_utils

from wisteriaworks.control_client import ControlClient
from wisteriaworks.errors import ControlError, WisteriaError
from wisteriaworks.generated.document import Domain
from wisteriaworks.generated.messages import (
    ChangeMembers,
    MemberAction,
    ProposeConfiguration,
    ProposeResult,
    ReadConfiguration,
    ReadStatus,
)
from wisteriaworks.generated.settings import (
    ControlSettings,
    EntrySettings,
    LogSettings,
)
from wisteriaworks.local_layout import (
    create_document,
    create_emulator_settings,
    make_credential,
)
from wisteriaworks.processes import (
    fetch,
    find_free_ports,
    run_program,
    start_process,
)

CALL_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 60.0
CONTROL_POLL_INTERVAL_S = 0.1


class LocalSystem:
    """Start, control and stop a local system. An asynchronous context manager."""

    def __init__(self, layout, folder, document=None):
        self.layout = layout
        self.folder = Path(folder)
        self.document = document or create_document(layout)
        self.entries = {}
        self.controls = {}
        self.emulators = {}
        self._stack = contextlib.AsyncExitStack()
        self._create_settings()

    def _create_settings(self):
        layout = self.layout
        needed = layout.emulators + 2 * layout.controls + 3 * layout.entries
        ports = (f"127.0.0.1:{port}" for port in find_free_ports(needed))
        self.emulator_addresses = tuple(itertools.islice(ports, layout.emulators))
        members = [(next(ports), next(ports)) for _ in range(layout.controls)]
        domains = itertools.cycle(layout.domains)
        self.control_settings = tuple(
            ControlSettings(
                name=f"control-{number}",
                domain=domain,
                address=address,
                admin=admin,
                data_folder=str(self.folder / f"control-{number}"),
                peers=tuple(other for other, _ in members if other != address),
                platform=self.emulator_addresses[0],
                log=self._create_log_settings(f"control-{number}"),
            )
            for number, ((address, admin), domain) in enumerate(
                zip(members, domains, strict=False), 1
            )
        )
        domains = itertools.cycle(layout.domains)
        self.entry_settings = tuple(
            EntrySettings(
                name=f"entry-{number}",
                domain=next(domains),
                api=next(ports),
                peer=next(ports),
                admin=next(ports),
                control=tuple(address for address, _ in members),
                balancer_lag_s=1.0,
                seed=layout.seed + number,
                log=self._create_log_settings(f"entry-{number}"),
            )
            for number in range(1, layout.entries + 1)
        )

    def _create_log_settings(self, name):
        return LogSettings(file=str(self.folder / f"{name}.log"))

    async def __aenter__(self):
        self._stack.push_async_callback(self._kill_all)
        self.control = await self._stack.enter_async_context(
            ControlClient(tuple(cfg.address for cfg in self.control_settings))
        )
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    async def start(self):
        """Start everything and wait until every entry is ready."""
        async with trio.open_nursery() as nursery:
            for number in range(self.layout.emulators):
                nursery.start_soon(self.start_emulator, number)
        await self.start_control_group()
        async with trio.open_nursery() as nursery:
            for cfg in self.entry_settings:
                nursery.start_soon(self.start_entry, cfg)
            # The document is applied once all entries have joined, so that
            # control spreads the servers over all of them from the start.
            await self.wait_for(
                lambda status: len(status.entries) >= self.layout.entries
            )
            await self.apply(self.document, 0)
        await self.wait_for_holders()

    async def start_emulator(self, number):
        """Start one of the backend emulators."""
        cfg = create_emulator_settings(
            self.layout, self.document, self.emulator_addresses, number
        )
        name = f"emulator-{number + 1}"
        path = self._write_settings(name, cfg)
        process = await self._start_program(name, "backend_emulator", path, cfg.control)
        self.emulators[name] = process
        await process.wait_ready("/v1/vms")

    async def start_control_group(self):
        """Start the control members and make each of them a voter."""
        first, *others = self.control_settings
        path = self._write_settings(first.name, first)
        result = await run_program("control", ["init", path])
        if result.returncode:
            raise WisteriaError(f"control init failed: {result.stderr.decode()}")
        async with trio.open_nursery() as nursery:
            for cfg in self.control_settings:
                nursery.start_soon(self.start_control_member, cfg)
        for cfg in others:
            await self.add_member(cfg)

    async def start_control_member(self, cfg):
        """Start one control member."""
        path = self._write_settings(cfg.name, cfg)
        process = await self._start_program(cfg.name, "control", path, cfg.admin)
        self.controls[cfg.name] = process
        await process.wait_ready("/health")
        return process

    async def read_member_id(self, cfg):
        """Return the id of a running control member."""
        _, body = await fetch("GET", cfg.admin, "/member")
        return body.decode().strip()

    async def add_member(self, cfg):
        """Add a running control member and promote it when it has caught up."""
        member_id = await self.read_member_id(cfg)
        for action in (MemberAction.ADD_LEARNER, MemberAction.PROMOTE):
            await self.change_members(action, member_id, cfg.address)

    async def change_members(self, action, member_id, address=""):
        """Send a membership change and retry it until control accepts it.

        Raises trio.TooSlowError after READY_TIMEOUT_S.
        """
        message = ChangeMembers(create_id(), action, member_id, address)
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(ControlError):
                    reply = await self.control.call(message, CALL_TIMEOUT_S)
                    if reply.accepted:
                        return
                await trio.sleep(CONTROL_POLL_INTERVAL_S)

    async def start_entry(self, cfg):
        """Start one entry and wait until it is ready."""
        path = self._write_settings(cfg.name, cfg)
        process = await self._start_program(cfg.name, "entry", path, cfg.admin)
        self.entries[cfg.name] = process
        await process.wait_ready()
        return process

    async def apply(self, document, expected_version):
        """Apply a configuration and return its version. Raises WisteriaError."""
        message = ProposeConfiguration(create_id(), expected_version, document)
        reply = await self.control.call(message, CALL_TIMEOUT_S)
        if reply.result is not ProposeResult.ACCEPTED:
            raise WisteriaError(
                f"configuration was not accepted: {reply.result} {reply.problems}"
            )
        return reply.version

    async def set_domain(self, name, state):
        """Set the state of a failure domain and return the new version."""
        current = await self.control.call(ReadConfiguration(), CALL_TIMEOUT_S)
        domains = {**current.document.domains, name: Domain(state=state)}
        document = msgspec.structs.replace(current.document, domains=domains)
        return await self.apply(document, current.version)

    async def read_status(self):
        """Return the state of the system as control sees it."""
        return await self.control.call(ReadStatus(), CALL_TIMEOUT_S)

    async def wait_for(self, condition):
        """Wait until ``condition(status)`` is true."""
        with trio.fail_after(READY_TIMEOUT_S):
            while not condition(await self.read_status()):
                await trio.sleep(CONTROL_POLL_INTERVAL_S)

    async def wait_for_holders(self):
        """Wait until every server is held and has reported a snapshot."""
        await self.wait_for(
            lambda status: (
                len(status.servers) == len(self._list_servers())
                and all(r.holder and r.snapshots for r in status.servers)
            )
        )
        # The entries receive the routes with their next heartbeat.
        await trio.sleep(1.0)

    def _list_servers(self):
        return [s.name for i in self.document.indexes.values() for s in i.servers]

    async def inject_fault(self, command, **fields):
        """Send a command to the fault endpoints of the emulators."""
        requested = fields.pop("servers", None)
        for address in self.emulator_addresses:
            known = set(await self._read_counters(address))
            servers = sorted(known if requested is None else known & set(requested))
            if servers:
                fault = {"command": command, "servers": servers, **fields}
                await _send_fault(address, fault)

    async def read_counters(self):
        """Return the counters of each emulated server by name."""
        counters = {}
        for address in self.emulator_addresses:
            counters.update(await self._read_counters(address))
        return counters

    async def _read_counters(self, address):
        _, body = await fetch("GET", address, "/counters")
        return msgspec.json.decode(body)

    async def search(self, entry, search, query, **options):
        """Send one search to an entry; return status and decoded body."""
        cfg = next(cfg for cfg in self.entry_settings if cfg.name == entry)
        return await send_search(cfg.api, search, query, **options)

    async def stop(self):
        """Stop everything gracefully; return the exit codes by name."""
        codes = {}

        async def stop_one(process):
            codes[process.name] = await process.stop()

        for group in (self.entries, self.controls, self.emulators):
            async with trio.open_nursery() as nursery:
                for process in group.values():
                    nursery.start_soon(stop_one, process)
        return codes

    def _write_settings(self, name, cfg):
        path = self.folder / f"{name}.yaml"
        path.write_bytes(msgspec.yaml.encode(cfg))
        return path

    async def _start_program(self, name, module, path, health_address):
        log = self.folder / f"{name}.out"
        return await start_process(name, module, ["run", path], health_address, log)

    async def _kill_all(self):
        groups = (self.entries, self.controls, self.emulators)
        processes = [process for group in groups for process in group.values()]
        with trio.CancelScope(shield=True):
            for process in processes:
                process.send_signal(signal.SIGCONT)
                await process.kill()


async def _send_fault(address, fault):
    body = msgspec.json.encode(fault)
    status, reply = await fetch("POST", address, "/fault", body)
    if status != 200:
        raise WisteriaError(
            f"emulator rejected fault {fault}: HTTP {status}: {reply.decode()}"
        )


def create_id():
    """Return a new UUIDv7 as text."""
    return str(uuid_utils.uuid7())


async def send_search(
    api,
    search,
    query,
    request_id=None,
    routing_key=None,
    timeout_ms=None,
    credential=None,
    timeout_s=10.0,
):
    """Send one search; return status and decoded body."""
    body = {"request_id": request_id or create_id(), "query": query}
    if routing_key is not None:
        body["routing_key"] = routing_key
    credential = credential or make_credential(search)
    headers = [(b"authorization", f"Bearer {credential}".encode())]
    if timeout_ms is not None:
        headers.append((b"x-timeout-ms", str(timeout_ms).encode()))
    status, data = await fetch(
        "POST",
        api,
        f"/v1/searches/{search}",
        msgspec.json.encode(body),
        headers,
        timeout_s,
    )
    return status, msgspec.json.decode(data)
