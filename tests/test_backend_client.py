"""Guard against results that misreport whether a request may have run."""

import functools

import msgspec
import pytest
import trio

from wisteriaworks.backend_client import ExchangeEnd, SendRefusedError, open_connection
from wisteriaworks.backend_protocol import SubqueryBody
from wisteriaworks.generated.subqueries import SubqueryOutcome

BODY = SubqueryBody(msgspec.Raw(b"{}"), "a", 1, 100.0, "r/b/1")
ANSWER = b'{"results":[1],"shard":"%s","snapshot":1,"incarnation":"x1"}'


def _make_response(status, body):
    head = b"HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n"
    return head % (status, len(body)) + body


def _refuse(status, reason):
    return _make_response(status, b'{"reason":"%s","incarnation":"x1"}' % reason)


@pytest.fixture
async def connect(nursery):
    async def start(*parts):
        async def answer(stream):
            async with stream:
                await stream.receive_some(65536)
                for part in parts:
                    await stream.send_all(part)
                    await trio.sleep(0.01)

        serve = functools.partial(trio.serve_tcp, answer, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        port = listeners[0].socket.getsockname()[1]
        return await open_connection(f"127.0.0.1:{port}")

    return start


def _allow():
    pass


@pytest.mark.parametrize(
    ("response", "outcome", "may_have_run"),
    [
        (_make_response(200, ANSWER % b"a"), SubqueryOutcome.ANSWERED, True),
        (_make_response(200, ANSWER % b"b"), SubqueryOutcome.FAILED, True),
        (_make_response(200, b"{"), SubqueryOutcome.FAILED, True),
        (_make_response(500, b""), SubqueryOutcome.FAILED, True),
        (_refuse(503, b"shedding"), SubqueryOutcome.SHED, False),
        (_refuse(503, b"draining"), SubqueryOutcome.DRAINING, False),
        (_refuse(503, b"cold"), SubqueryOutcome.COLD, False),
        (_refuse(503, b"other"), SubqueryOutcome.FAILED, True),
        (_refuse(500, b"shedding"), SubqueryOutcome.FAILED, True),
        (_refuse(409, b"snapshot_gone"), SubqueryOutcome.SNAPSHOT_GONE, True),
        (b"HTTP/1.1 200 x\r\ncontent-length: 9\r\n\r\n{", SubqueryOutcome.FAILED, True),
        (b"garbage\r\n\r\n", SubqueryOutcome.FAILED, True),
        (b"", SubqueryOutcome.FAILED, True),
    ],
)
async def test_only_a_known_refusal_proves_that_nothing_ran(
    connect, response, outcome, may_have_run
):
    conn = await connect(response)
    result = await conn.run_subquery(BODY, _allow)
    assert (result.outcome, result.may_have_run) == (outcome, may_have_run)
    await conn.aclose()


async def test_arriving_bytes_count_as_progress(connect):
    """A long answer that is still arriving must not count as silence."""
    response, seen = _make_response(200, ANSWER % b"a"), []
    conn = await connect(response[:20], response[20:40], response[40:])
    result = await conn.run_subquery(BODY, _allow, lambda: seen.append(True))
    assert result.outcome is SubqueryOutcome.ANSWERED
    assert len(seen) >= 3
    await conn.aclose()


async def test_failed_check_sends_no_byte(connect):
    conn = await connect(_make_response(200, ANSWER % b"a"))

    def forbid():
        raise SendRefusedError(SubqueryOutcome.FENCED)

    result = await conn.run_subquery(BODY, forbid)
    assert (result.end, result.may_have_run) == (ExchangeEnd.NOT_SENT, False)
    assert result.outcome is SubqueryOutcome.FENCED


async def test_malformed_status_is_read_as_none(connect):
    conn = await connect(_make_response(200, b"{"))
    assert await conn.read_status() is None
    await conn.aclose()
