"""Generate open-loop arrivals and record the outcome of each request."""

import random
from dataclasses import dataclass
from enum import Enum

import httpcore
import msgspec
import trio

from wisteriaworks.local_system import create_id

# Time after its deadline for which a caller still waits for the answer.
CALLER_TIMEOUT_MARGIN_S = 1.0


class RequestOutcome(Enum):
    """Describe the outcome of one request."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Sample:
    """Represent one finished request."""

    # Scheduled arrival, in seconds since the start of the load.
    at_s: float
    search: str
    request_id: str
    entry: str
    outcome: RequestOutcome
    # Measured from the scheduled arrival, so that it includes a late send.
    latency_ms: float
    coverage: float


class _Coverage(msgspec.Struct, frozen=True):
    total: int = 0
    answered: int = 0


class _Reply(msgspec.Struct, frozen=True):
    outcome: str
    run_state: str = ""
    coverage: _Coverage | None = None


_DECODER = msgspec.json.Decoder(_Reply)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Represent one scheduled request."""

    at_s: float
    search: str
    keyed: bool
    # Random number sent as the query, and as the routing key of keyed searches.
    number: int


def schedule_arrivals(streams, keyed, length_s, rate_factor, seed):
    """Return the arrivals of all streams, ordered by time.

    ``keyed`` holds the names of keyed searches.
    """
    arrivals = []
    for stream in streams:
        rng = random.Random(f"{seed}/{stream.search}")
        at_s = rng.expovariate(stream.rate * rate_factor)
        while at_s < length_s:
            number = rng.getrandbits(32)
            is_keyed = stream.search in keyed
            arrivals.append(Arrival(at_s, stream.search, is_keyed, number))
            at_s += rng.expovariate(stream.rate * rate_factor)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


class LoadClient:
    """Send requests to the entries that the balancer selects, and record samples."""

    def __init__(self, entries, credentials, timeout_ms, balancer):
        self._apis = {cfg.name: cfg.api for cfg in entries}
        self._credentials = credentials
        self._timeout_s = timeout_ms / 1000 + CALLER_TIMEOUT_MARGIN_S
        self._balancer = balancer
        self._pools = {}
        self.samples = []

    async def run(self, arrivals):
        """Send all arrivals at their times and wait for the answers."""
        async with trio.open_nursery() as nursery:
            started = trio.current_time()
            for arrival in arrivals:
                await trio.sleep_until(started + arrival.at_s)
                nursery.start_soon(self._send, arrival, started)
        for pool in self._pools.values():
            await pool.aclose()

    async def _send(self, arrival, started):
        entry = self._balancer.pick()
        request_id = create_id()
        outcome, coverage = RequestOutcome.LOST, 0.0
        with trio.move_on_after(self._timeout_s):
            outcome, coverage = await self._exchange(entry, arrival, request_id)
        latency_s = trio.current_time() - started - arrival.at_s
        self.samples.append(
            Sample(
                arrival.at_s,
                arrival.search,
                request_id,
                entry,
                outcome,
                1000 * latency_s,
                coverage,
            )
        )

    async def _exchange(self, entry, arrival, request_id):
        body = {"request_id": request_id, "query": {"number": arrival.number}}
        if arrival.keyed:
            body["routing_key"] = str(arrival.number)
        credential = self._credentials[arrival.search]
        try:
            response = await self._get_pool(entry).request(
                "POST",
                f"http://{self._apis[entry]}/v1/searches/{arrival.search}",
                headers=[(b"authorization", f"Bearer {credential}".encode())],
                content=msgspec.json.encode(body),
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return RequestOutcome.LOST, 0.0
        return _classify(response.status, _DECODER.decode(response.content))

    def _get_pool(self, entry):
        if entry not in self._pools:
            self._pools[entry] = httpcore.AsyncConnectionPool(max_connections=1000)
        return self._pools[entry]


def _classify(status, reply):
    coverage = reply.coverage
    share = coverage.answered / coverage.total if coverage and coverage.total else 0.0
    if status == 200:
        outcome = (
            RequestOutcome.COMPLETE
            if reply.outcome == "complete"
            else RequestOutcome.PARTIAL
        )
        return outcome, share
    return (
        RequestOutcome.REFUSED
        if reply.run_state == "not_run"
        else RequestOutcome.FAILED
    ), share


class Balancer:
    """Select entries round-robin among those that were ready at the last check."""

    def __init__(self, system, interval_s):
        self._system = system
        self._interval_s = interval_s
        self._ready = [cfg.name for cfg in system.entry_settings]
        self._turn = 0

    async def run(self):
        """Check the readiness of the entries periodically until cancelled."""
        while True:
            ready = []
            async with trio.open_nursery() as nursery:
                for cfg in self._system.entry_settings:
                    nursery.start_soon(self._check_ready, cfg.name, ready)
            self._ready = sorted(ready) or self._ready
            await trio.sleep(self._interval_s)

    async def _check_ready(self, name, ready):
        with trio.move_on_after(1.0):
            if await self._system.entries[name].is_ready("/ready"):
                ready.append(name)

    def pick(self):
        """Return the name of the entry for the next request."""
        self._turn += 1
        return self._ready[self._turn % len(self._ready)]
