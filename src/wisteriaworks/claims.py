"""Run non-idempotent requests at most once.

A request is claimed in the replicated state before anything is sent, makes one
attempt at a backend server, and is resolved afterwards. If a request did not
run, this outcome is recorded before it is returned to the caller.
"""

from dataclasses import dataclass

import msgspec
import trio

from wisteriaworks.answers import (
    Answer,
    create_error_answer,
    create_single_attempt_answer,
)
from wisteriaworks.errors import ControlError, ErrorKind, RequestError, RunState
from wisteriaworks.events import Event, log_event, log_failure
from wisteriaworks.generated.api import RecordedAnswer
from wisteriaworks.generated.messages import (
    Claim,
    ClaimRecord,
    ClaimResult,
    ClaimState,
    ReadClaim,
    Resolve,
)
from wisteriaworks.single_attempt import SingleAttemptOutcome

CALL_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1
_OK = 200
_NOT_RUN_KINDS = {
    kind.value: kind for kind in (ErrorKind.NO_SNAPSHOT, ErrorKind.DEADLINE_PASSED)
}


@dataclass(frozen=True)
class ClaimKey:
    """Identify one non-idempotent request."""

    caller: str
    request_id: str


class _Execution:
    """Track one execution in this entry.

    Repeated requests with the same ClaimKey await the same answer.
    """

    def __init__(self, digest):
        self.digest = digest
        self.done = trio.Event()
        self.answer = None

    def finish(self, answer):
        assert self.answer is None, "an execution is finished twice"
        self.answer = answer
        self.done.set()


class ClaimRunner:
    """Claim, run and resolve non-idempotent requests.

    Executions run in ``nursery``, so that one continues when its caller
    disconnects.
    """

    def __init__(self, control, searches, session, metrics, nursery):
        self._control = control
        self._searches = searches
        self._session = session
        self._metrics = metrics
        self._nursery = nursery
        self._executions = {}

    @property
    def running(self):
        """Return the number of executions whose outcome is not recorded yet."""
        return len(self._executions)

    async def run(self, view, request, digest):
        """Return the answer to a non-idempotent request.

        Raises RequestError if the request fails or its deadline passes first.
        """
        key = ClaimKey(request.caller, request.request_id)
        execution = self._executions.get(key)
        if execution is None:
            execution = self._executions[key] = _Execution(digest)
            self._nursery.start_soon(self._execute, key, view, request, execution)
        if execution.digest != digest:
            raise _create_reuse_error()
        with trio.move_on_at(request.deadline):
            await execution.done.wait()
        if execution.answer is None:
            raise _create_unknown_error("the outcome was not known before the deadline")
        return execution.answer

    async def refuse(self, request, digest, error):
        """Record that a request is refused, then raise ``error``.

        If the request ID was claimed before, return its recorded outcome instead.
        """
        key = ClaimKey(request.caller, request.request_id)
        if key in self._executions:
            return await self.run(None, request, digest)
        try:
            reply = await self._call(self._create_claim(key, digest, refuse=True))
        except ControlError as exc:
            raise _create_unconfirmed_error(exc) from exc
        if reply.record is not None and reply.record.state is ClaimState.NOT_RUN:
            raise error
        return await self._get_claimed_outcome(key, request, reply)

    def _create_claim(self, key, digest, refuse=False):
        return Claim(
            session=self._session.number,
            caller=key.caller,
            request_id=key.request_id,
            digest=digest,
            refuse=refuse,
        )

    async def _call(self, message):
        return await self._control.call(message, CALL_TIMEOUT_S)

    async def _execute(self, key, view, request, execution):
        try:
            await self._claim_and_run(key, view, request, execution)
        except RequestError as exc:
            execution.finish(create_error_answer(request.request_id, exc))
        except Exception as exc:
            log_failure(exc)
            if execution.answer is None:
                failure = RequestError(ErrorKind.INTERNAL_ERROR, "internal error")
                execution.finish(create_error_answer(request.request_id, failure))
        finally:
            del self._executions[key]

    async def _claim_and_run(self, key, view, request, execution):
        claim = self._create_claim(key, execution.digest)
        try:
            reply = await self._claim(claim, request.deadline)
        except ControlError as exc:
            await self._abandon(claim, execution, exc)
            return
        self._metrics.claims.add(1, {"result": reply.result.value})
        if not self._is_claim_owner(reply, claim):
            execution.finish(await self._get_claimed_outcome(key, request, reply))
            return
        state, answer = await self._attempt(view, request, claim)
        await self._record(claim, state, answer, execution, request)

    async def _claim(self, claim, deadline):
        while True:
            try:
                return await self._call(claim)
            except ControlError:
                if trio.current_time() + RETRY_DELAY_S >= deadline:
                    raise
            await trio.sleep(RETRY_DELAY_S)

    def _is_claim_owner(self, reply, claim):
        # If the first reply to a claim was lost, the repeated claim finds a record
        # of this session. No other execution of the request can run in this entry,
        # because there is one per key, and a session number is never used twice.
        record = reply.record
        return reply.result is ClaimResult.GRANTED or (
            reply.result is ClaimResult.EXISTS
            and record.state is ClaimState.CLAIMED
            and record.session == claim.session
        )

    async def _abandon(self, claim, execution, exc):
        """Give up a request that was not sent but whose claim may be recorded."""
        if not exc.sent:
            raise _create_unconfirmed_error(exc) from exc
        execution.finish(
            create_error_answer(claim.request_id, _create_unconfirmed_error(exc))
        )
        refusal = msgspec.structs.replace(claim, refuse=True)
        reply = await self._call_until_session_ends(refusal, claim.session)
        if reply is not None and self._is_claim_owner(reply, claim):
            await self._resolve(claim, ClaimState.NOT_RUN, b"")

    async def _attempt(self, view, request, claim):
        """Make the single attempt. Return the state to record and the answer."""
        if not self._session.may_claim() or self._session.number != claim.session:
            return ClaimState.NOT_RUN, create_error_answer(
                request.request_id,
                RequestError(ErrorKind.ENTRY_FENCED, "the entry lost its session"),
            )
        result = await self._searches.run_single_attempt(view, request)
        return _interpret_result(request.request_id, view, result)

    async def _record(self, claim, state, answer, execution, request):
        """Record the outcome, then finish the execution with it.

        A server's answer is returned even if it is not recorded by the deadline,
        because it is correct whatever is recorded later.
        """
        with trio.move_on_at(request.deadline) as scope:
            recorded_state = await self._resolve(claim, state, answer.encode_record())
        if scope.cancelled_caught:
            execution.finish(self._create_unrecorded_answer(state, answer))
            await self._resolve(claim, state, answer.encode_record())
        elif state is ClaimState.NOT_RUN and recorded_state != ClaimState.NOT_RUN:
            execution.finish(self._create_unrecorded_answer(state, answer))
        else:
            execution.finish(answer)
        if state is ClaimState.UNKNOWN:
            log_event(Event.REQUEST_UNKNOWN, request_id=claim.request_id)

    def _create_unrecorded_answer(self, state, answer):
        if state is ClaimState.DONE:
            return answer
        return create_error_answer(
            answer.request_id, _create_unknown_error("the outcome is not recorded")
        )

    async def _resolve(self, claim, state, answer):
        """Record the state of a claim, retrying until the session ends.

        Return the recorded state, or None if the session ended first.
        """
        message = Resolve(
            session=claim.session,
            caller=claim.caller,
            request_id=claim.request_id,
            state=state,
            answer=answer,
        )
        reply = await self._call_until_session_ends(message, claim.session)
        return reply.record.state if reply is not None and reply.record else None

    async def _call_until_session_ends(self, message, session):
        while self._session.number == session:
            try:
                return await self._call(message)
            except ControlError:
                await trio.sleep(RETRY_DELAY_S)
        return None

    async def _get_claimed_outcome(self, key, request, reply):
        """Return the outcome of a request that another execution has claimed."""
        match reply.result:
            case ClaimResult.REQUEST_ID_REUSED:
                raise _create_reuse_error()
            case ClaimResult.REQUEST_ID_EXPIRED:
                raise RequestError(
                    ErrorKind.REQUEST_ID_EXPIRED,
                    "the time in the request ID is outside the accepted window",
                )
            case ClaimResult.SESSION_CLOSED:
                raise _create_unconfirmed_error("the entry's session is closed")
        record = await self._await_outcome(key, request, reply.record)
        return _create_recorded_answer(key.request_id, record)

    async def _await_outcome(self, key, request, record):
        while record is None or record.state is ClaimState.CLAIMED:
            time_left_s = request.deadline - trio.current_time()
            if time_left_s <= 0:
                raise _create_unknown_error("the request is still running")
            message = ReadClaim(
                key.caller, key.request_id, min(time_left_s, CALL_TIMEOUT_S)
            )
            try:
                reply = await self._control.call(message, time_left_s)
            except ControlError as exc:
                raise _create_unconfirmed_error(exc) from exc
            record = reply.record
        return record


def _create_recorded_answer(request_id, record: ClaimRecord):
    match record:
        case ClaimRecord(state=ClaimState.UNKNOWN):
            raise _create_unknown_error(
                "the outcome of the request is recorded as unknown"
            )
        case ClaimRecord(state=ClaimState.NOT_RUN, answer=b""):
            raise RequestError(
                ErrorKind.BACKEND_REFUSED, "the request is recorded as not run"
            )
        case ClaimRecord(answer=b""):
            raise RequestError(
                ErrorKind.ANSWER_NOT_RECORDED,
                "the request ran, but its answer was too large to be recorded",
            )
    recorded = msgspec.json.decode(record.answer, type=RecordedAnswer)
    complete = recorded.status == _OK
    return Answer(request_id, recorded.status, bytes(recorded.body), complete)


def _interpret_result(request_id, view, result):
    """Return the state to record for an attempt, and the answer."""
    match result.outcome:
        case SingleAttemptOutcome.DONE:
            return ClaimState.DONE, create_single_attempt_answer(
                request_id, view, result
            )
        case SingleAttemptOutcome.NOT_RUN:
            kind = _NOT_RUN_KINDS.get(result.reason, ErrorKind.BACKEND_REFUSED)
            error = RequestError(kind, f"the request was not run: {result.reason}")
            return ClaimState.NOT_RUN, create_error_answer(request_id, error)
    return ClaimState.UNKNOWN, create_error_answer(
        request_id, _create_unknown_error(result.reason)
    )


def _create_reuse_error():
    return RequestError(
        ErrorKind.REQUEST_ID_REUSED, "the request ID was used for another request"
    )


def _create_unknown_error(message):
    return RequestError(ErrorKind.OUTCOME_UNKNOWN, message)


def _create_unconfirmed_error(reason):
    return RequestError(
        ErrorKind.CONTROL_UNAVAILABLE,
        f"cannot confirm the recorded state of the request: {reason}",
        run_state=RunState.UNKNOWN,
    )
