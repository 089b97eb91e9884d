"""The wisteria-control program: one member of the control group."""

import collections
import contextlib
import functools
import random
import signal

import trio

from wisteriaworks.accounts.confirmations import ConfirmationService
from wisteriaworks.admin import AdminApp, serve_http
from wisteriaworks.allocator import return_large_blocks
from wisteriaworks.assigner import Assigner
from wisteriaworks.background import keep_running
from wisteriaworks.clocks import read_boot_time
from wisteriaworks.consensus_timing import Timing
from wisteriaworks.control_client import ControlClient
from wisteriaworks.control_node import ControlNode
from wisteriaworks.control_service import ControlService
from wisteriaworks.document_checks import is_valid_address
from wisteriaworks.errors import (
    ProposalOutcomeUnknownError,
    SettingsError,
    WisteriaError,
)
from wisteriaworks.events import Event, log_event, log_failure
from wisteriaworks.fleet_size import record_fleet_size
from wisteriaworks.founding import (
    create_group,
    create_group_if_first_seed,
    decline_to_appoint,
    wait_for_appointment,
)
from wisteriaworks.gateway.control_watch import list_member_addresses
from wisteriaworks.generated.messages import AnnounceMember, AppointFounder
from wisteriaworks.ingress.ingress import Ingress
from wisteriaworks.list_reader import ListFollower, ListReader
from wisteriaworks.log_store import LogStore
from wisteriaworks.logs import configure_logs
from wisteriaworks.member_supervisor import MemberSupervisor
from wisteriaworks.membership_repair import MembershipRepairer, join_group
from wisteriaworks.metrics import Metrics
from wisteriaworks.operator_commands import (
    OperatorCommandClient,
    OperatorCommandService,
)
from wisteriaworks.order_age import StallWatch
from wisteriaworks.platform import wire
from wisteriaworks.platform.operator_api import OperatorApi
from wisteriaworks.quotas.service import QuotaService
from wisteriaworks.replica import Replica
from wisteriaworks.rollouts.coordinator import RolloutCoordinator
from wisteriaworks.rpc import RpcServer, split_address
from wisteriaworks.seed_announcer import SeedAnnouncer
from wisteriaworks.server_directory import ServerDirectory
from wisteriaworks.settings_watch import SettingsWatch

PROGRAM = "wisteria-control"
STOP_TIMEOUT_S = 10.0
MEMBER_PATH = "/member"
DRAIN_POLL_INTERVAL_S = 0.02
MAX_ANNOUNCED = 12
# Time for the connections' writer tasks to send queued replies after the last
# handler has returned.
FLUSH_S = 0.1


class ControlProgram:
    """Run one control member."""

    def __init__(self, cfg, metrics, path=None, ingress=None):
        self._cfg = cfg
        self._ingress = ingress or Ingress(cfg.ingress)
        self._client = None
        self._settings_watch = SettingsWatch(path, cfg, self._update_seeds)
        # Addresses of members that this one has not heard of otherwise.
        self._announced = collections.deque(maxlen=MAX_ANNOUNCED)
        self._announcer = None
        self._seeds = cfg.operators.seeds if cfg.operators else ()
        self._node = ControlNode(cfg, metrics)
        self._service = ControlService(self._node)
        self._directory = ServerDirectory()
        self._list_follower = None
        self._operator_commands = OperatorCommandService(self._node, self._directory)
        self._confirmations = ConfirmationService(self._node)
        self._quotas = QuotaService(self._node, cfg.operators and cfg.operators.quotas)
        handlers = (
            self._service.list_handlers()
            | self._operator_commands.list_handlers()
            | self._confirmations.list_handlers()
            | self._quotas.list_handlers()
        )
        handlers[AppointFounder] = decline_to_appoint
        handlers[AnnounceMember] = self._handle_announcement
        self._rollouts = self._create_rollouts(cfg, metrics)
        if self._rollouts is not None:
            handlers |= self._rollouts.list_handlers()
        self._server = RpcServer(handlers, _log_failure)
        self._scope = None

    def _create_rollouts(self, cfg, metrics):
        if cfg.operators is None or cfg.operators.rollouts is None:
            return None
        coordinator = RolloutCoordinator(
            cfg.operators.rollouts, self._node, self._directory, self._operator_commands
        )
        self._operator_commands.get_rollouts = coordinator.list_states
        metrics.create_gauge(
            "wisteria.rollouts.running",
            "Rollouts that are not decided",
            coordinator.count_in_progress,
        )
        return coordinator

    @property
    def node(self):
        """Return the state that the components of the member share."""
        return self._node

    def is_ready(self):
        """Return whether this member knows a leader and is not stopping."""
        return not self._node.is_stopping and bool(self._node.replica.leader_address)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; call ``task_status.started`` with the listeners.

        Returns if this member is appointed to create the group, which is done while
        the member does not run.
        """
        with contextlib.ExitStack() as stack:
            store = stack.enter_context(LogStore(self._cfg.data_folder))
            replica = self._node.replica = self._create_replica(store)
            async with trio.open_nursery() as nursery:
                self._scope = nursery.cancel_scope
                await nursery.start(replica.run)
                nursery.start_soon(keep_running, Assigner(self._node).run)
                if self._cfg.platform is not None:
                    self._watch_platform(nursery)
                # The RPC server starts before the HTTP servers, because other
                # members need this one for an election.
                listeners = await nursery.start(self._server.serve, self._cfg.address)
                app = AdminApp(self.is_ready, self._node.metrics, self._render_page)
                shared = (None, self._ingress, True)
                await nursery.start(serve_http, app, self._cfg.admin, *shared)
                if self._cfg.operators is not None:
                    await nursery.start(self._serve_operators, self._cfg.operators)
                task_status.started(listeners)

    def _watch_platform(self, nursery):
        # Imported here, because the import of httpcore slows the start.
        from wisteriaworks.platform_list import watch_platform

        nursery.start_soon(
            keep_running, watch_platform, self._cfg.platform, self._update_leaving
        )

    def _create_replica(self, store):
        cfg = self._cfg
        return Replica(
            store,
            cfg.name,
            cfg.address,
            self._node.machine,
            random.Random(cfg.seed or None),
            snapshot_every=cfg.snapshot_every,
            timing=Timing(
                election_min_s=cfg.election_s, election_max_s=2 * cfg.election_s
            ),
            tolerated_losses=cfg.operators.tolerated_losses if cfg.operators else 1,
            on_leadership=self._handle_leadership_change,
        )

    def _handle_leadership_change(self, leadership):
        self._operator_commands.notify()
        if not leadership.is_leader:
            # If this member leads again, servers may have left in the meantime.
            self._directory.clear()
            self._quotas.discard()
        if self._list_follower is not None:
            self._list_follower.wake()

    async def _serve_operators(self, cfg, *, task_status):
        """Serve the operator API, and maintain the members automatically."""
        self._list_follower = ListFollower(
            ListReader(cfg.server_list, wire),
            cfg.list_interval_s,
            lambda: self._node.replica.is_leader,
        )
        client = self._client = ControlClient(self._list_addresses())
        self._announcer = SeedAnnouncer(
            self._node.replica, self._cfg.address, self._list_seeds()
        )
        async with client, trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, self._settings_watch.run)
            nursery.start_soon(keep_running, self._announcer.run)
            nursery.start_soon(keep_running, join_group, self._node, client)
            nursery.start_soon(keep_running, self._end_if_appointed)
            nursery.start_soon(keep_running, MembershipRepairer(self._node).run)
            nursery.start_soon(
                keep_running, record_fleet_size, self._node, self._operator_commands
            )
            nursery.start_soon(keep_running, self._operator_commands.announce_delegates)
            nursery.start_soon(keep_running, self._confirmations.run)
            nursery.start_soon(
                keep_running, self._list_follower.run, self._update_server_list
            )
            stall_watch = StallWatch(read_boot_time())
            nursery.start_soon(keep_running, stall_watch.run)
            has_rollouts = self._rollouts is not None
            if has_rollouts:
                nursery.start_soon(keep_running, self._rollouts.run)
            app = OperatorApi(OperatorCommandClient(client), stall_watch, has_rollouts)
            await nursery.start(serve_http, app, cfg.listen, None, self._ingress)
            task_status.started()

    async def _end_if_appointed(self):
        if await wait_for_appointment(self._cfg, self._node.replica):
            log_event(Event.FOUNDER_APPOINTED)
            self._scope.cancel()

    def reload(self):
        """Check for changed settings now."""
        self._settings_watch.check()

    def _update_seeds(self, cfg):
        if self._client is not None and cfg.operators is not None:
            self._seeds = cfg.operators.seeds
            self._client.addresses = self._list_addresses()
            self._announcer.seeds = self._list_seeds()

    def _list_seeds(self):
        """Return the addresses of the control processes on the hosts of the seeds."""
        port = split_address(self._cfg.address)[1]
        return list_member_addresses(self._seeds, port)

    def _list_addresses(self):
        """Return the addresses of this member, the known members and the seeds."""
        members = [m.address for m in self._node.replica.members]
        known = (self._cfg.address, *members, *self._announced, *self._list_seeds())
        return tuple(dict.fromkeys(known))

    async def _handle_announcement(self, message, send):
        """Use the address of another member, unless this one knows its group."""
        is_outside = self._node.replica.leader_address is None
        is_usable = is_valid_address(message.address)
        if is_outside and is_usable and message.address not in self._announced:
            self._announced.append(message.address)
            if self._client is not None:
                self._client.addresses = self._list_addresses()
        return await self._operator_commands.read_members(message, send)

    def _update_server_list(self, servers, read_at):
        services = self._node.machine.document.services
        if self._directory.replace(servers, trio.current_time(), read_at, services):
            self._operator_commands.notify()

    def _render_page(self, path):
        return self._node.replica.id.encode() if path == MEMBER_PATH else None

    async def drain(self):
        """Stop accepting calls and wait for the running calls."""
        self._node.stop()
        self._server.announce_stop()
        while self._service.running:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
        await trio.sleep(FLUSH_S)

    def _update_leaving(self, addresses):
        self._node.leaving_addresses = addresses


def _log_failure(exc):
    # An unknown outcome of a proposal is reported to the caller, not logged.
    if not isinstance(exc, ProposalOutcomeUnknownError):
        log_failure(exc)


async def run_until_signal(program):
    """Run a program until SIGTERM or SIGINT; return the exit code.

    SIGHUP makes the program check for changed settings.

    A second SIGTERM or SIGINT, or a stop that takes longer than
    ``STOP_TIMEOUT_S``, ends the program with exit code 1.
    """
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*numbers) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(program.run)
            log_event(Event.PROCESS_STARTED)
            while await anext(signals) == signal.SIGHUP:
                program.reload()
            log_event(Event.PROCESS_STOPPING)
            is_drained = await _drain(program, signals)
            nursery.cancel_scope.cancel()
    event = Event.PROCESS_STOPPED if is_drained else Event.STOP_TIMED_OUT
    log_event(event)
    return 0 if is_drained else 1


async def _drain(program, signals):
    is_drained = False

    async def drain(scope):
        nonlocal is_drained
        await program.drain()
        is_drained = True
        scope.cancel()

    with trio.move_on_after(STOP_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(drain, nursery.cancel_scope)
            while await anext(signals) == signal.SIGHUP:
                pass
            nursery.cancel_scope.cancel()
    return is_drained


def run_member(cfg, path):
    """Run a control member until SIGTERM and return the exit code.

    Without a data folder, the process directs calls to members instead. Raises
    WisteriaError.
    """
    if cfg.data_folder is None:
        from wisteriaworks.redirect.process import read_settings, run_redirect

        if cfg.operators is None:
            raise SettingsError("data_folder is required without operators")
        return run_redirect(read_settings(path), path)
    configure_logs(cfg.log, PROGRAM, cfg.name)
    return_large_blocks()
    metrics = Metrics(PROGRAM, cfg.name)
    # A member that starts again after a full disk keeps the metrics of its clients.
    ingress = Ingress(cfg.ingress, metrics=metrics)
    program = MemberSupervisor(
        functools.partial(ControlProgram, cfg, metrics, path, ingress),
        cfg.data_folder,
        functools.partial(create_group_if_first_seed, cfg),
        functools.partial(create_group, cfg),
    )
    try:
        return trio.run(functools.partial(run_until_signal, program))
    except* (OSError, WisteriaError) as group:
        exc = _find_first_exception(group)
    if isinstance(exc, WisteriaError):
        raise exc
    raise SettingsError(f"cannot serve: {exc}")


def _find_first_exception(exc):
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def main():
    """Run the command line of wisteria-control."""
    # Imported here, because a start by a platform needs no command line.
    from wisteriaworks.control_command import make_application

    make_application().run()


if __name__ == "__main__":
    main()
