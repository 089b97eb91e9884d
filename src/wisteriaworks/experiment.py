"""Run experiments: interleaved variants, open-loop load and scheduled faults."""

import subprocess
import tempfile
from collections import Counter

import msgspec
import trio

from wisteriaworks.arrivals import (
    Balancer,
    LoadClient,
    RequestOutcome,
    schedule_arrivals,
)
from wisteriaworks.generated.document import DomainState
from wisteriaworks.generated.experiment import (
    Action,
    RunResult,
    Window,
    WindowResult,
)
from wisteriaworks.local_layout import IndexLayout, Layout, make_credential
from wisteriaworks.local_system import LocalSystem
from wisteriaworks.quantiles import LatencyHistogram

READINESS_CHECK_INTERVAL_S = 0.2
# Maximum time after a drain in which the domain may still receive new work.
DRAIN_TARGET_S = 3.0
# Execution keys begin with the request id, a UUID as text of this length.
_ID_LENGTH = 36


def create_layout(experiment, variant):
    """Return the layout of the local system for one variant."""
    deployment = experiment.deployment
    profile = deployment.profile
    if variant.straggler_probability is not None:
        service = msgspec.structs.replace(
            profile.service, straggler_probability=variant.straggler_probability
        )
        profile = msgspec.structs.replace(profile, service=service)
    return Layout(
        domains=deployment.domains,
        indexes=tuple(
            IndexLayout(**msgspec.structs.asdict(index)) for index in deployment.indexes
        ),
        entries=deployment.entries,
        controls=deployment.controls,
        emulators=deployment.emulators,
        profile=profile,
        limits=variant.limits,
        timeout_ms=deployment.timeout_ms,
        seed=experiment.seed,
        priorities={stream.search: stream.priority for stream in experiment.streams},
    )


class ExperimentRun:
    """Execute one run of one variant."""

    def __init__(self, experiment, variant, round_number, folder):
        self._experiment = experiment
        self._variant = variant
        self._round_number = round_number
        self._seed = experiment.seed + round_number
        self._system = LocalSystem(create_layout(experiment, variant), folder)
        self._after_domain_out = 0

    async def run(self):
        """Run the load on a new system and return the RunResult."""
        async with self._system as system:
            await system.start()
            balancer = Balancer(system, READINESS_CHECK_INTERVAL_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(balancer.run)
                samples, counters = await self._run_load(balancer)
                nursery.cancel_scope.cancel()
            await system.stop()
        return self._summarize(samples, counters)

    async def _run_load(self, balancer):
        system, experiment = self._system, self._experiment
        keyed = {i.name for i in experiment.deployment.indexes if i.keyed}
        length_s = experiment.warm_up_s + experiment.duration_s
        arrivals = schedule_arrivals(
            experiment.streams, keyed, length_s, self._variant.rate_factor, self._seed
        )
        credentials = {s.search: make_credential(s.search) for s in experiment.streams}
        timeout_ms = experiment.deployment.timeout_ms
        load_client = LoadClient(
            system.entry_settings, credentials, timeout_ms, balancer
        )
        before = await system.read_counters()
        async with trio.open_nursery() as nursery:
            for step in experiment.steps:
                nursery.start_soon(self._execute_step, step)
            await load_client.run(arrivals)
        after = await system.read_counters()
        return load_client.samples, _subtract_counters(after, before)

    async def _execute_step(self, step):
        system = self._system
        await trio.sleep(step.at_s)
        match step.action:
            case Action.DRAIN_DOMAIN:
                await self._drain_domain(step.target)
            case Action.RETURN_DOMAIN:
                await system.inject_fault(
                    "cold", servers=self._list_servers(step.target)
                )
                await system.set_domain(step.target, DomainState.IN_SERVICE)
            case Action.KILL_ENTRY:
                await system.entries[step.target].kill()
            case Action.STOP_ENTRY:
                await system.entries[step.target].stop()
            case Action.START_ENTRY:
                settings_by_name = {cfg.name: cfg for cfg in system.entry_settings}
                await system.start_entry(settings_by_name[step.target])
            case Action.FREEZE_ENTRY | Action.THAW_ENTRY:
                is_frozen = step.action is Action.FREEZE_ENTRY
                system.entries[step.target].set_frozen(is_frozen)
            case Action.FREEZE_CONTROL | Action.THAW_CONTROL:
                is_frozen = step.action is Action.FREEZE_CONTROL
                system.controls[step.target].set_frozen(is_frozen)
            case Action.FAULT:
                await system.inject_fault(**step.fault)

    async def _drain_domain(self, name):
        """Take a domain out of service and count sub-queries after DRAIN_TARGET_S."""
        servers = self._list_servers(name)
        await self._system.set_domain(name, DomainState.OUT)
        await trio.sleep(DRAIN_TARGET_S)
        received_before = await self._count_received(servers)
        return_times_s = (
            step.at_s
            for step in self._experiment.steps
            if step.action is Action.RETURN_DOMAIN and step.target == name
        )
        drained_at_s = next(
            step.at_s
            for step in self._experiment.steps
            if step.action is Action.DRAIN_DOMAIN and step.target == name
        )
        drained_s = (
            next(return_times_s, drained_at_s + 2 * DRAIN_TARGET_S) - drained_at_s
        )
        # Counting stops 0.5 s before the domain returns to service.
        await trio.sleep(max(0.0, drained_s - DRAIN_TARGET_S - 0.5))
        self._after_domain_out += await self._count_received(servers) - received_before

    def _list_servers(self, domain):
        return [
            server.name
            for index in self._system.document.indexes.values()
            for server in index.servers
            if server.domain == domain
        ]

    async def _count_received(self, servers):
        counters = await self._system.read_counters()
        return sum(counters[name]["received"] for name in servers)

    def _summarize(self, samples, counters):
        experiment = self._experiment
        end_s = experiment.warm_up_s + experiment.duration_s
        windows = experiment.windows or (
            Window(name="all", from_s=experiment.warm_up_s, to_s=end_s),
        )
        expected = self._count_expected_subqueries(samples)
        received = sum(server["received"] for server in counters.values())
        return RunResult(
            experiment=experiment.name,
            variant=self._variant.name,
            round=self._round_number,
            seed=self._seed,
            commit=read_commit(),
            windows=tuple(summarize_window(samples, window) for window in windows),
            subqueries=received,
            extra_load=received / expected - 1 if expected else 0.0,
            violations=sum(server["violations"] for server in counters.values()),
            ran_twice=self._count_ran_twice(samples, counters),
            after_domain_out=self._after_domain_out,
        )

    def _count_ran_twice(self, samples, counters):
        """Count the non-idempotent requests that ran more than once."""
        keyed = {i.name for i in self._experiment.deployment.indexes if i.keyed}
        ids = {s.request_id for s in samples if s.search in keyed}
        runs = Counter()
        for server in counters.values():
            for key, count in server["executions"].items():
                runs[key[:_ID_LENGTH]] += count
        return sum(runs[request_id] > 1 for request_id in ids)

    def _count_expected_subqueries(self, samples):
        shards = {
            index.name: 1 if index.keyed else index.replica_sets
            for index in self._experiment.deployment.indexes
        }
        executed = (
            s
            for s in samples
            if s.outcome not in (RequestOutcome.REFUSED, RequestOutcome.LOST)
        )
        return sum(shards[sample.search] for sample in executed)


def summarize_window(samples, window):
    """Return the WindowResult of the samples that arrived in a window."""
    in_window = [s for s in samples if window.from_s <= s.at_s < window.to_s]
    counts = {
        outcome: sum(s.outcome is outcome for s in in_window)
        for outcome in RequestOutcome
    }
    answered = [
        s
        for s in in_window
        if s.outcome in (RequestOutcome.COMPLETE, RequestOutcome.PARTIAL)
    ]
    latency = LatencyHistogram()
    for sample in answered:
        latency.record(sample.latency_ms)
    return WindowResult(
        window=window.name,
        sent=len(in_window),
        **{outcome.value: count for outcome, count in counts.items()},
        useful_per_s=counts[RequestOutcome.COMPLETE] / (window.to_s - window.from_s),
        coverage=sum(s.coverage for s in answered) / max(1, len(answered)),
        p50_ms=latency.read(50),
        p95_ms=latency.read(95),
        p99_ms=latency.read(99),
    )


def _subtract_counters(after, before):
    counter_keys = ("received", "violations")
    return {
        name: {
            **{key: counts[key] - before[name][key] for key in counter_keys},
            "executions": _select_new_executions(counts, before[name]),
        }
        for name, counts in after.items()
    }


def _select_new_executions(after, before):
    old = before["executions"]
    return {key: n for key, n in after["executions"].items() if key not in old}


def read_commit():
    """Return the commit of the working tree, or ``unknown``."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"


def run_experiment(experiment, on_result=lambda result: None):
    """Run all variants of an experiment in turn and return their results."""
    results = []
    for round_number in range(experiment.rounds):
        for variant in experiment.variants:
            with tempfile.TemporaryDirectory(prefix="wisteria-load-") as folder:
                run = ExperimentRun(experiment, variant, round_number, folder)
                result = trio.run(run.run)
            results.append(result)
            on_result(result)
    return results
