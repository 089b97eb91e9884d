"""The program wisteria-gateway."""

import functools
import math
import random
import signal

import trio

from wisteriaworks.accounts.gate import AccountGate
from wisteriaworks.accounts.lease import KeyLease
from wisteriaworks.accounts.renewal import LeaseRenewal
from wisteriaworks.admin import AdminApp
from wisteriaworks.allocator import return_large_blocks
from wisteriaworks.background import keep_running
from wisteriaworks.clocks import read_suspended_s
from wisteriaworks.events import Event, log_event, log_failure
from wisteriaworks.gateway.app import GatewayApp
from wisteriaworks.gateway.control_watch import ControlWatch
from wisteriaworks.gateway.delegate_client import DelegateClient
from wisteriaworks.gateway.delegation import DelegateSelector
from wisteriaworks.gateway.forwarder import Forwarder
from wisteriaworks.gateway.gateway_state import GatewayState
from wisteriaworks.gateway.gather_run import Gatherer
from wisteriaworks.gateway.list_fallback import (
    SILENCE_TIMEOUT_S,
    ListFallback,
    estimate_pages,
)
from wisteriaworks.gateway.request_log import RequestLog
from wisteriaworks.generated.messages import GatherParts, HandedQuery
from wisteriaworks.ingress.ingress import Ingress
from wisteriaworks.ingress.limits import HttpLimits
from wisteriaworks.ingress.listener import serve
from wisteriaworks.list_reader import ListFollower, ListReader
from wisteriaworks.logs import configure_logs
from wisteriaworks.metrics import Metrics
from wisteriaworks.platform import wire
from wisteriaworks.quotas.gate import GatewayQuotas
from wisteriaworks.rollouts.reporter import log_stop, report_versions
from wisteriaworks.rpc import RpcServer, split_address
from wisteriaworks.settings_watch import SettingsWatch

PROGRAM = "wisteria-gateway"
# Interval of the check whether the gateway has to read the server list itself.
LIST_CHECK_S = 0.25
DRAIN_INTERVAL_S = 0.05
# Share of the memory that the bodies of other gateways' requests may hold.
GATHERING_SHARE = 0.1
# Time before the end of a stop at which running requests are answered, so that the
# answers can still be sent.
END_MARGIN_S = 0.25


class GatewayProgram:
    """Run one gateway until it is told to stop."""

    def __init__(self, cfg, path=None):
        self._cfg = cfg
        self._path = path
        self._ingress = None
        self._stop = trio.Event()
        self.app = None
        self._watch = None
        self._quotas = None
        self._settings = None
        self._lease_renewal = None
        self._peer_server = None
        self._was_ready = False
        self._created_at = 0.0

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until the task is cancelled."""
        cfg = self._cfg
        self._created_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            metrics = Metrics(PROGRAM, cfg.name)
            self._ingress = Ingress(cfg.ingress, metrics=metrics)
            answers = self._ingress.answers
            forwarder = Forwarder(cfg, wire, nursery, metrics, answers)
            state = GatewayState(
                cfg.name,
                forwarder.fleet,
                functools.partial(self._handle_change, forwarder),
            )
            log = RequestLog(state, metrics, random.Random())
            selector = DelegateSelector(
                cfg.name, cfg.link_mbps, random.Random(), cfg.domain
            )
            delegates = DelegateClient(
                selector, forwarder.return_time, nursery, forwarder.traffic
            )
            state.on_delegates = delegates.set_delegates
            gatherer = Gatherer(delegates, forwarder, log)
            accounts = self._make_account_gate(state, forwarder, metrics)
            self._quotas = self._make_quotas(state, metrics)
            self.app = self._make_app(
                state, forwarder, log, metrics, gatherer, accounts
            )
            self.app.groups.max_gathering_bytes = int(
                cfg.ingress.memory_mb * GATHERING_SHARE * 1024 * 1024
            )
            self._register_metrics(state, forwarder, metrics)
            self._watch = ControlWatch(cfg, state)
            self._settings = SettingsWatch(self._path, cfg, self._watch.update_settings)
            nursery.start_soon(keep_running, self._watch.run)
            nursery.start_soon(keep_running, self._lease_renewal.run)
            if self._quotas is not None:
                nursery.start_soon(keep_running, self._quotas.run)
            nursery.start_soon(keep_running, forwarder.sweep)
            nursery.start_soon(keep_running, delegates.check_delegates)
            nursery.start_soon(keep_running, log.run)
            nursery.start_soon(keep_running, self._read_list_directly, state, forwarder)
            nursery.start_soon(keep_running, self._settings.run)
            if forwarder.fleet.versions is not None:
                self._start_reports(nursery, forwarder.fleet.versions, metrics)
            if cfg.peer:
                handlers = {
                    GatherParts: self.app.groups.gather_parts,
                    HandedQuery: self.app.groups.decline_delegated_query,
                }
                self._peer_server = RpcServer(handlers, log_failure)
                await nursery.start(self._peer_server.serve, cfg.peer)
            await nursery.start(self._serve)
            task_status.started()
            await trio.sleep_forever()

    def _make_account_gate(self, state, forwarder, metrics):
        """Return the gate that checks keys, and create the renewal of its lease."""
        cfg = self._cfg
        lease = KeyLease(cfg.accounts.revoke_ms / 1000)
        gate = AccountGate(cfg.accounts, state, lease, wire.read_key, metrics)
        forwarder.check_key = gate.find_obstacle
        self._lease_renewal = LeaseRenewal(
            cfg.name, gate, lease, state, lambda: self._watch.leader
        )
        return gate

    def _start_reports(self, nursery, versions, metrics):
        sends = metrics.create_counter(
            "wisteria.gateway.rollout.sends", "Sends to services during their rollouts"
        )
        versions.on_send = lambda kind: sends.add(1, {"version": kind})
        versions.on_stop = log_stop
        versions.read_suspended_s = read_suspended_s
        get_channel = functools.partial(getattr, self._watch, "leader")
        nursery.start_soon(keep_running, report_versions, versions, get_channel)

    def _make_app(self, state, forwarder, log, metrics, gatherer, accounts):
        admin = None
        if self._cfg.admin:
            is_ready = functools.partial(getattr, self, "is_ready")
            port = split_address(self._cfg.admin)[1]
            admin = (port, AdminApp(is_ready, metrics))
        readiness_port = split_address(self._cfg.readiness)[1]
        return GatewayApp(
            state,
            forwarder,
            wire,
            readiness_port,
            log,
            admin,
            gatherer,
            accounts=accounts,
            quotas=self._quotas,
        )

    def _make_quotas(self, state, metrics):
        """Return the limits of accounts, or None if the platform has none."""
        if self._cfg.quotas is None:
            return None
        return GatewayQuotas(
            self._cfg.name,
            lambda: state.routes.document.accounts,
            lambda: self._watch.leader,
            metrics,
        )

    def _register_metrics(self, state, forwarder, metrics):
        create_gauge, fleet = metrics.create_gauge, forwarder.fleet
        create_gauge(
            "wisteria.gateway.configuration.version",
            "Version of the configuration in force",
            lambda: state.routes.version,
        )
        create_gauge(
            "wisteria.gateway.state.age",
            "Seconds since the last news of the leader",
            lambda: trio.current_time() - state.updated_at,
        )
        create_gauge(
            "wisteria.gateway.requests.running",
            "Requests without an answer",
            lambda: self.app.running,
        )
        create_gauge(
            "wisteria.gateway.servers",
            "Servers in the list",
            lambda: len(fleet.table.list_ids()),
        )
        create_gauge(
            "wisteria.gateway.list.age",
            "Seconds since the reading of the list of servers in use began",
            lambda: state.list_age_s,
        )
        create_gauge(
            "wisteria.gateway.fleet.size",
            "Gateways that share the budgets",
            lambda: fleet.shares.gateway_count,
        )
        create_gauge(
            "wisteria.gateway.connections",
            "Open connections to servers",
            forwarder.count_connections,
        )

    @property
    def is_ready(self):
        """Return whether this gateway can serve callers."""
        return self.app.is_ready

    async def _serve(self, *, task_status):
        cfg = self._cfg
        private = [cfg.readiness, *([cfg.admin] if cfg.admin else [])]
        await serve(
            self.app,
            [cfg.listen],
            self._ingress,
            private,
            self._stop,
            cfg.stop_timeout_s,
            task_status=task_status,
        )

    async def drain(self):
        """Stop being ready, finish running requests, and close connections.

        Requests that still run shortly before the end of the time for a stop are
        answered without a result.
        """
        end_at = trio.current_time() + self._cfg.stop_timeout_s - END_MARGIN_S
        self.app.is_stopping = True
        if self._peer_server is not None:
            self._peer_server.announce_stop()
        await trio.sleep(self._cfg.balancer_lag_s)
        self.app.is_closing = True
        self._stop.set()
        while self.app.running:
            if trio.current_time() >= end_at:
                self.app.end_requests()
                self._ingress.end_unfinished()
            await trio.sleep(DRAIN_INTERVAL_S)
        await trio.sleep(DRAIN_INTERVAL_S)

    def reload(self):
        """Check for changed settings now; addresses and budgets don't change."""
        self._settings.check()

    def _handle_change(self, forwarder, document):
        forwarder.prune_servers(document)
        self._lease_renewal.wake()
        if self.app.is_ready and not self._was_ready:
            self._was_ready = True
            started_ms = math.floor((trio.current_time() - self._created_at) * 1000)
            log_event(Event.GATEWAY_READY, after_ms=started_ms)
        limits = document.limits
        self._ingress.http = HttpLimits(
            limits.max_header_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        )

    async def _read_list_directly(self, state, forwarder):
        """Read the server list while no update arrives from control."""
        fallback = ListFallback(random.Random())

        def is_required():
            if not state.routes.version:
                return False
            now, fleet = trio.current_time(), forwarder.fleet
            pages = reader.pages or estimate_pages(len(fleet.table.list_ids()))
            return fallback.is_due(
                now - state.updated_at,
                fleet.cold.gateway_count,
                now,
                pages,
                fleet.cold.position,
            )

        await trio.sleep(SILENCE_TIMEOUT_S)
        reader = ListReader(self._cfg.server_list, wire)
        await ListFollower(reader, LIST_CHECK_S, is_required).run(
            state.apply_direct_list
        )


async def run_until_signal(program, timeout_s):
    """Run a program until SIGTERM or SIGINT and return the exit code.

    SIGHUP reloads the settings.
    """
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    is_drained = False
    with trio.open_signal_receiver(*signals) as received:
        async with trio.open_nursery() as nursery:
            await nursery.start(program.run)
            log_event(Event.PROCESS_STARTED)
            async for number in received:
                if number != signal.SIGHUP:
                    break
                program.reload()
            log_event(Event.PROCESS_STOPPING)
            with trio.move_on_after(timeout_s):
                await program.drain()
                is_drained = True
            nursery.cancel_scope.cancel()
    log_event(Event.PROCESS_STOPPED if is_drained else Event.STOP_TIMED_OUT)
    return 0 if is_drained else 1


def run_gateway(cfg, path):
    """Run a gateway until SIGTERM and return the exit code."""
    configure_logs(cfg.log, PROGRAM, cfg.name)
    return_large_blocks()
    program = GatewayProgram(cfg, path)
    try:
        return trio.run(run_until_signal, program, cfg.stop_timeout_s)
    except BaseExceptionGroup as group:
        log_failure(group)
        return 1


def main():
    """Run the command line of wisteria-gateway."""
    # The platform starts the program without the command line, so only this function
    # imports it.
    from wisteriaworks.gateway.command import make_application

    make_application().run()


if __name__ == "__main__":
    main()
