"""Guard against a malformed status that reaches a caller or is waited on as interim."""

import itertools

import pytest
import trio
from test_backend_client import BODY, _allow, _refuse, connect
from test_response_reader import make_reader

from wisteriaworks.backend_client import ExchangeEnd
from wisteriaworks.gateway.response_reader import MalformedAnswerError
from wisteriaworks.generated.subqueries import SubqueryOutcome
from wisteriaworks.http_status import MalformedStatusError, is_final_status

__all__ = ["connect"]

MALFORMED = ["000", "001", "099", "600", "601", "999"]
MALFORMED += ["1", "2", "20", "99", "2000", "0200", "-20", "+20", "-200", "+200"]
MALFORMED += ["", " ", "   ", " 200", "2 0", "2O0"]
GOOD = ["200", "204", "404", "599"]
REST = " X\r\nContent-Length: 0\r\n\r\n"


def encode(status):
    return f"HTTP/1.1 {status}{REST}".encode()


def test_statuses_outside_100_to_599_are_malformed():
    for status in itertools.chain(range(-1, 100), range(600, 1000)):
        with pytest.raises(MalformedStatusError):
            is_final_status(status)
    assert [s for s in range(100, 600) if is_final_status(s)] == [*range(200, 600)]


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize("status", MALFORMED)
@pytest.mark.parametrize("before", [b"", encode("100")], ids=["only", "after-interim"])
def test_malformed_status_is_no_answer(method, status, before):
    """600 was passed on to callers, and 099 was waited on until the deadline."""
    with pytest.raises(MalformedAnswerError):
        make_reader(method).feed(before + encode(status))


@pytest.mark.parametrize("status", GOOD)
def test_final_status_is_an_answer(status):
    assert make_reader().feed(encode("102") + encode(status)).status == int(status)


def test_upgrade_is_no_answer():
    head = b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n"
    with pytest.raises(MalformedAnswerError):
        make_reader().feed(head)


@pytest.mark.parametrize("status", ["000", "099", "600", "999", "20", "2000", "-20"])
async def test_malformed_status_of_a_subquery_is_a_broken_exchange(connect, status):
    response = _refuse(503, b"shedding").replace(b"503", status.encode())
    conn = await connect(response)
    with trio.fail_after(5):
        result = await conn.run_subquery(BODY, _allow)
    assert (result.end, result.outcome, result.may_have_run) == (
        ExchangeEnd.BROKEN,
        SubqueryOutcome.FAILED,
        True,
    )
    await conn.aclose()
