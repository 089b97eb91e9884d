"""Run the programs under overlapping faults and check what callers and servers see.

Three control members and two gateways run as separate processes. Faults are
injected from outside: signals to the processes, and proxies before the servers. The
guarantees are checked against the answers that callers got, the requests that the
servers ran, and the operator commands that were acknowledged. Run many seeds with
``python tests/platform_adapter/fault_soak.py --seeds 50``.
"""

import argparse
import contextlib
import itertools
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import httpcore
import trio
from fault_proxy import Fault, FaultProxy, choose_fault
from platform_stand_in import HOST, make_servers
from process_stand_in import ProcessSystem
from test_gateway_system import SHARDS, make_configuration

FAULTS_S = 8.0
CALLERS = 6
CONCURRENT_FAULTS = 2
# Time within which members elect a leader and gateways follow it after the faults.
RECOVERY_S = 30.0
# Minimum and maximum duration of a fault.
FAULT_DURATION_S = (0.2, 1.5)
DEADLINE_MS = 1500
ROUTES = ("/plain/", "/once/", "/shards/")


@dataclass
class Findings:
    """Collect broken guarantees, the injected faults and the statuses of answers."""

    broken: list = field(default_factory=list)
    statuses: Counter = field(default_factory=Counter)
    faults: list = field(default_factory=list)

    def check(self, is_kept, text):
        """Record ``text`` as a broken guarantee unless ``is_kept``."""
        if not is_kept:
            self.broken.append(text)


class Soak:
    """Run the system under the random faults of one seed."""

    def __init__(self, nursery, folder, seed):
        self._rng = random.Random(seed)
        self._nursery = nursery
        self.system = ProcessSystem(nursery, folder, make_servers(), gateways=2)
        self.proxies = []
        self.findings = Findings()
        self._numbers = itertools.count()
        self._answers = {}
        self._acknowledged = 0
        self._is_over = False

    async def run(self):
        """Inject the faults, then check that the system recovers."""
        await self.system.start(self._insert_proxies)
        await self._order(5)
        for gateway in (0, 1):
            await self.system.wait_until(lambda g=gateway: self._is_ready(g))
        async with trio.open_nursery() as client_nursery:
            for _ in range(CALLERS):
                client_nursery.start_soon(self._call_repeatedly)
            client_nursery.start_soon(self._operate)
            with trio.move_on_after(FAULTS_S):
                async with trio.open_nursery() as fault_nursery:
                    for _ in range(CONCURRENT_FAULTS):
                        fault_nursery.start_soon(self._inject_faults)
            await self._clear_faults()
            self._is_over = True
        await self._check_recovery()
        self._check_runs()
        return self.findings

    async def _insert_proxies(self):
        for server in self.system.servers:
            proxy = FaultProxy(server.address)
            await proxy.start(self._nursery)
            server.address = proxy.address
            self.proxies.append(proxy)

    # Faults

    async def _inject_faults(self):
        while True:
            step = self._rng.choice(
                [self._inject_server_fault, self._inject_process_fault]
            )
            await step(self._rng.uniform(*FAULT_DURATION_S))
            await trio.sleep(self._rng.uniform(0.0, 0.3))

    async def _inject_server_fault(self, seconds):
        proxy = self._rng.choice(self.proxies)
        fault = choose_fault(self._rng)
        self.findings.faults.append(f"{fault.value} for {seconds:.2f} s")
        try:
            proxy.fault = fault
            await trio.sleep(seconds)
        finally:
            proxy.fault = Fault.NONE

    async def _inject_process_fault(self, seconds):
        free = [n for n in self.system.processes if n not in self.system.interrupted]
        controls = [n for n in free if n in self.system.hosts]
        # One member at a time, so that the others keep a majority.
        if len(controls) < len(self.system.hosts):
            free = [name for name in free if name not in controls]
        if not free:
            return
        name = self._rng.choice(sorted(free))
        kind = self._rng.choice([signal.SIGSTOP, signal.SIGKILL, signal.SIGTERM])
        self.findings.faults.append(f"{kind.name} to {name} for {seconds:.2f} s")
        await self.system.interrupt(name, kind, seconds)

    async def _clear_faults(self):
        for proxy in self.proxies:
            proxy.fault = Fault.NONE

    # Callers

    async def _call_repeatedly(self):
        async with httpcore.AsyncConnectionPool(max_connections=2) as pool:
            while not self._is_over:
                await self._call(pool, self._rng.choice(ROUTES))
                await trio.sleep(self._rng.uniform(0.0, 0.05))

    async def _call(self, pool, prefix):
        request_id = f"q{next(self._numbers)}{prefix.strip('/')}"
        headers = {
            "host": HOST,
            "x-wisteriaworks-request-id": request_id,
            "x-wisteriaworks-deadline-ms": str(DEADLINE_MS),
        }
        url = f"http://{self.system.get_front(self._rng.randrange(2))}{prefix}x"
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), 4.0)
        self._answers[request_id] = None
        failures = (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        )
        with contextlib.suppress(*failures):
            reply = await pool.request(
                "GET", url, headers=headers, extensions={"timeout": timeouts}
            )
            self._answers[request_id] = reply.status
            self.findings.statuses[reply.status] += 1
            if reply.status == 200:
                self._check_answer(request_id, reply)

    def _check_answer(self, request_id, reply):
        headers = {name.lower(): value for name, value in reply.headers}
        if "shards" not in request_id:
            stamp = headers.get(b"x-wisteriaworks-server-stamp", b"").decode()
            is_own = stamp.endswith(f".{request_id}")
            self.findings.check(
                is_own, f"{request_id} is not named in the stamp of its answer: {stamp}"
            )
            return
        stamps = headers[b"x-wisteriaworks-shard-stamps"].decode().split(", ")
        missing = int(headers[b"x-wisteriaworks-missing-shards"])
        are_own = all(stamp.endswith(f".{request_id}") for stamp in stamps)
        self.findings.check(
            are_own, f"{request_id} is not named in every stamp of its parts: {stamps}"
        )
        shards = {stamp[1] for stamp in stamps}
        is_consistent = len(shards) == len(stamps) == len(SHARDS) - missing
        self.findings.check(
            is_consistent,
            f"{request_id} got the parts {stamps} but {missing} shards stated missing",
        )
        body = reply.content
        records = [body[n : n + 16] for n in range(0, len(body), 16)]
        is_sorted = records == sorted(records, reverse=True)
        self.findings.check(
            is_sorted, f"{request_id} got records not in descending order"
        )

    # Operator

    async def _operate(self):
        for version in itertools.count(10, 3):
            if self._is_over:
                return
            await self._order(version)
            await self._read()
            await trio.sleep(self._rng.uniform(0.1, 0.5))

    async def _order(self, version):
        body = make_configuration(version, timeoutMs=2000)
        while not self._is_over:
            reply = await self._call_operator("PUT", body)
            if reply is not None and reply.status == 200:
                self._acknowledged = version
                return
            is_refused = reply is not None and reply.status < 500
            self.findings.check(not is_refused, f"version {version} was refused")
            await trio.sleep(0.1)

    async def _read(self):
        before = self._acknowledged
        reply = await self._call_operator("GET")
        if reply is not None and reply.status == 200:
            version = json.loads(reply.content)["version"]
            text = f"version {version} was read after {before} was acknowledged"
            self.findings.check(version >= before, text)

    async def _call_operator(self, method, body=b""):
        host = self._rng.choice(self.system.hosts)
        failures = (httpcore.NetworkError, httpcore.ProtocolError)
        with contextlib.suppress(*failures, httpcore.TimeoutException):
            return await self.system.call_operator(host, method, body)
        return None

    # Checks after the faults

    async def _is_ready(self, gateway):
        with contextlib.suppress(httpcore.NetworkError, httpcore.TimeoutException):
            return await self.system.is_ready(gateway)
        return False

    async def _check_recovery(self):
        text = f"no recovery within {RECOVERY_S} s"
        with trio.move_on_after(RECOVERY_S):
            for gateway in (0, 1):
                while not await self._serves(gateway):
                    await trio.sleep(0.1)
            await self._read()
            text = ""
        self.findings.check(not text, text)

    async def _serves(self, gateway):
        failures = (httpcore.NetworkError, httpcore.ProtocolError)
        with contextlib.suppress(*failures, httpcore.TimeoutException):
            reply = await self.system.call("GET", "/shards/x", gateway=gateway)
            headers = {name.lower(): value for name, value in reply.headers}
            return headers.get(b"x-wisteriaworks-missing-shards") == b"0"
        return False

    def _check_runs(self):
        runs = Counter(itertools.chain(*(s.ran for s in self.system.servers)))
        for request_id, status in self._answers.items():
            ran = runs[request_id]
            if "once" in request_id:
                self.findings.check(ran <= 1, f"{request_id} ran {ran} times")
            if status in (429, 503):
                self.findings.check(ran == 0, f"{request_id} got {status} but it ran")
        ran_ids = {request_id for request_id in runs if request_id.startswith("q")}
        self.findings.check(ran_ids <= self._answers.keys(), "an unknown request ran")


async def run_seed(seed, folder):
    """Return the findings of one seed."""
    async with trio.open_nursery() as nursery:
        soak = Soak(nursery, Path(folder), seed)
        try:
            return await soak.run()
        finally:
            nursery.cancel_scope.cancel()
            with trio.CancelScope(shield=True):
                await soak.system.stop()


def main():
    """Run some seeds and exit with 1 if a guarantee was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=int(time.time()))
    args = parser.parse_args()
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        with tempfile.TemporaryDirectory() as folder:
            findings = trio.run(run_seed, seed, folder)
        statuses = dict(sorted(findings.statuses.items()))
        faults = len(findings.faults)
        print(f"seed {seed}: {faults} faults, answers {statuses}", flush=True)
        for text in findings.broken:
            print(f"  BROKEN {text}", flush=True)
        failed += bool(findings.broken)
    print(f"{args.seeds - failed} passed, {failed} failed")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
