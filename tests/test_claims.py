"""Guard against a request that runs twice and against false refusals."""

import itertools
import os
import random
import uuid
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from wisteriaworks.claims import ClaimRunner
from wisteriaworks.errors import ControlError, ErrorKind, RequestError, RunState
from wisteriaworks.generated.commands import (
    ClaimRequest,
    CloseSession,
    OpenSession,
    ResolveRequest,
)
from wisteriaworks.generated.messages import (
    Claim,
    ClaimRecordReply,
    ReadClaim,
    Resolve,
)
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.search import SearchRequest
from wisteriaworks.single_attempt import SingleAttemptOutcome, SingleAttemptResult
from wisteriaworks.state_machine import StateMachine, encode_command
from wisteriaworks.view import EMPTY_VIEW

SOAK = int(os.environ.get("WISTERIA_SOAK", "1"))
METRICS = create_unexported_metrics()
DIGEST = b"digest"
NOW_MS = 1_800_000_000_000
DELAY_S = 0.01
NUMBERS = itertools.count()


def create_request(timeout_s=5.0, age_ms=0):
    version_and_variant = (7 << 76) | (2 << 62)
    value = ((NOW_MS - age_ms) << 80) | version_and_variant | next(NUMBERS)
    request_id = str(uuid.UUID(int=value))
    deadline = trio.current_time() + timeout_s
    return SearchRequest("pass", request_id, "steward", b"{}", "k", deadline)


@dataclass
class FakeControl:
    """Run the real state machine behind a network that loses messages."""

    rng: random.Random = field(default_factory=lambda: random.Random(1))
    loss: float = 0.0
    machine: StateMachine = field(default_factory=StateMachine)
    index: int = 0

    def apply(self, command):
        self.index += 1
        return self.machine.apply(self.index, encode_command(command, NOW_MS))

    async def call(self, message, timeout_s):
        await trio.sleep(DELAY_S * self.rng.random())
        if self.rng.random() < self.loss:
            raise ControlError("lost before it arrived")
        reply = self._answer(message)
        await trio.sleep(DELAY_S * self.rng.random())
        if self.rng.random() < self.loss:
            raise ControlError("the answer was lost")
        return reply

    def _answer(self, message):
        match message:
            case Claim():
                return self.apply(ClaimRequest(message))
            case Resolve():
                return self.apply(ResolveRequest(message))
            case ReadClaim(caller=caller, request_id=request_id):
                return ClaimRecordReply(self.read(caller, request_id))

    def read(self, caller, request_id):
        """Return the record of a request through a claim on a copy of the machine."""
        claim = Claim(0, caller, request_id, DIGEST)
        reply = StateMachine.apply(
            self.copy(), self.index + 1, encode_command(ClaimRequest(claim), NOW_MS)
        )
        return reply.record

    def copy(self):
        machine = StateMachine()
        machine.restore_snapshot(self.machine.encode_snapshot())
        return machine


class FakeSession:
    """Simulate an entry's session that the test can close."""

    def __init__(self, control):
        self._control = control
        self.number = control.apply(OpenSession("e", "a", "127.0.0.1:1"))

    def may_claim(self):
        return self.number in self._control.machine.sessions

    def close(self):
        self._control.apply(CloseSession(session=self.number))
        self.number = self._control.apply(OpenSession("e", "a", "127.0.0.1:1"))


@dataclass
class FakeSearches:
    """Make attempts with random outcomes and count the executions."""

    rng: random.Random
    outcomes: tuple = tuple(SingleAttemptOutcome)
    runs: Counter = field(default_factory=Counter)

    async def run_single_attempt(self, view, request):
        outcome = self.rng.choice(self.outcomes)
        if outcome is not SingleAttemptOutcome.NOT_RUN:
            self.runs[request.request_id] += 1
        await trio.sleep(5 * DELAY_S * self.rng.random())
        sent = outcome is not SingleAttemptOutcome.NOT_RUN
        return SingleAttemptResult(outcome, sent, reason="scripted", snapshot=1)


class System:
    """Run two entries with the same control group."""

    def __init__(self, nursery, seed=1, loss=0.0, outcomes=tuple(SingleAttemptOutcome)):
        self.control = FakeControl(random.Random(seed), loss)
        self.searches = FakeSearches(random.Random(seed + 1), outcomes)
        self.sessions = [FakeSession(self.control) for _ in range(2)]
        self.runners = [
            ClaimRunner(self.control, self.searches, session, METRICS, nursery)
            for session in self.sessions
        ]

    async def send(self, entry, request, digest=DIGEST):
        """Return the outcome and the run state reported to the caller."""
        try:
            answer = await self.runners[entry].run(EMPTY_VIEW, request, digest)
        except RequestError as exc:
            return exc.kind.value, exc.run_state.value
        body = msgspec.json.decode(answer.body)
        return body["outcome"], body.get("run_state", "ran")


@pytest.fixture
def system(nursery, autojump_clock):
    return System(nursery, outcomes=(SingleAttemptOutcome.DONE,))


async def test_resend_to_another_entry_gets_the_recorded_answer(system):
    request = create_request()
    assert await system.send(0, request) == ("complete", "ran")
    assert await system.send(1, request) == ("complete", "ran")
    assert system.searches.runs[request.request_id] == 1


async def test_concurrent_resends_run_once(system):
    request = create_request()
    outcomes = []

    async def send(entry):
        outcomes.append(await system.send(entry, request))

    async with trio.open_nursery() as sends:
        for entry in (0, 1, 0, 1):
            sends.start_soon(send, entry)
    assert set(outcomes) == {("complete", "ran")}
    assert system.searches.runs[request.request_id] == 1


async def test_other_body_under_the_same_id_is_refused(system):
    request = create_request()
    await system.send(0, request)
    outcome = await system.send(1, request, digest=b"other")
    assert outcome == (ErrorKind.REQUEST_ID_REUSED.value, "not_run")


async def test_id_older_than_the_window_never_runs(system):
    request = create_request(age_ms=2 * 3600 * 1000)
    outcome = await system.send(0, request)
    assert outcome == (ErrorKind.REQUEST_ID_EXPIRED.value, "unknown")
    assert not system.searches.runs


async def test_recorded_refusal_stays_not_run(system):
    request = create_request()
    refusal = RequestError(ErrorKind.OVERLOADED, "busy")
    with pytest.raises(RequestError) as caught:
        await system.runners[0].refuse(request, DIGEST, refusal)
    assert caught.value is refusal
    outcome = await system.send(1, request)
    assert outcome == (ErrorKind.BACKEND_REFUSED.value, "not_run")
    assert not system.searches.runs


async def test_refusal_of_a_request_that_ran_gives_its_answer(system):
    request = create_request()
    await system.send(0, request)
    refusal = RequestError(ErrorKind.OVERLOADED, "busy")
    answer = await system.runners[1].refuse(request, DIGEST, refusal)
    assert answer.status == 200


async def test_request_continues_after_its_caller_disconnects(system):
    request = create_request()
    with trio.move_on_after(2 * DELAY_S):
        await system.send(0, request)
    assert await system.send(1, request) == ("complete", "ran")
    assert system.searches.runs[request.request_id] == 1


async def test_unreachable_control_gives_unknown_and_runs_nothing(system):
    system.control.loss = 1.0
    outcome = await system.send(0, create_request(timeout_s=1.0))
    assert outcome[1] == "unknown"
    assert not system.searches.runs


def check_outcomes(reported, runs):
    """Compare the outcomes reported for one request with its executions."""
    states = {state for _, state in reported}
    assert runs <= 1, "a non-idempotent request ran twice"
    assert not (states & {"ran"}) or runs == 1, "an answer without a run"
    if "not_run" in states:
        assert runs == 0, "a refusal said 'not run' of a request that ran"


async def run_random(seed):
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        system = System(nursery, seed, loss=rng.choice([0.0, 0.1, 0.4]))
        requests = [create_request(timeout_s=1 + rng.random()) for _ in range(4)]
        reported = {request.request_id: [] for request in requests}

        async def send(request, delay_s):
            await trio.sleep(delay_s)
            outcome = await system.send(rng.randrange(2), request)
            reported[request.request_id].append(outcome)

        async def refuse(request, delay_s):
            await trio.sleep(delay_s)
            refusal = RequestError(ErrorKind.OVERLOADED, "busy")
            try:
                await system.runners[rng.randrange(2)].refuse(request, DIGEST, refusal)
            except RequestError as exc:
                reported[request.request_id].append(
                    (exc.kind.value, exc.run_state.value)
                )

        async def close_sessions():
            for _ in range(rng.randrange(4)):
                await trio.sleep(rng.random())
                rng.choice(system.sessions).close()

        async with trio.open_nursery() as callers:
            callers.start_soon(close_sessions)
            for request in requests:
                for _ in range(rng.randrange(1, 5)):
                    action = refuse if rng.random() < 0.2 else send
                    callers.start_soon(action, request, rng.random())
        nursery.cancel_scope.cancel()
    for request_id, outcomes in reported.items():
        check_outcomes(outcomes, system.searches.runs[request_id])
    return reported


@given(seed=st.integers(0, 2**32))
@settings(max_examples=60 * SOAK, derandomize=True, deadline=None)
def test_random_faults_never_run_a_request_twice(seed):
    trio.run(run_random, seed, clock=trio.testing.MockClock(autojump_threshold=0))


def test_random_runs_reach_every_state():
    """Check that the random runs cover all outcomes."""
    clock = trio.testing.MockClock
    seen = Counter()
    for seed in range(30):
        reported = trio.run(run_random, seed, clock=clock(autojump_threshold=0))
        seen.update(state for outcomes in reported.values() for _, state in outcomes)
    assert set(seen) == {state.value for state in RunState}
