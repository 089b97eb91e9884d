"""Guard against one entry that hides the reports of the others."""

import functools

import pytest
import trio

from wisteriaworks import entry_reports
from wisteriaworks.generated.reports import BurnReport

_GOOD = b'{"entry": "e1", "config_version": 1, "series": []}'


@pytest.fixture
async def serve(nursery):
    async def start(status, body):
        async def answer(stream):
            await stream.receive_some()
            head = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
            await stream.send_all(head + body)

        listen = functools.partial(trio.serve_tcp, answer, 0, host="127.0.0.1")
        (listener,) = await nursery.start(listen)
        return f"127.0.0.1:{listener.socket.getsockname()[1]}"

    return start


async def test_each_entry_has_its_own_outcome(serve):
    addresses = [
        await serve(200, _GOOD),
        await serve(404, b""),
        await serve(503, b""),
        await serve(200, b"{}"),
        "127.0.0.1:1",
    ]
    replies = await entry_reports.read_reports(addresses, "/v1/burn", BurnReport)
    assert [reply.address for reply in replies] == addresses
    assert replies[0].report.entry == "e1"
    assert [bool(reply.report) for reply in replies[1:]] == [False] * 4
    assert replies[1].problem == ""
    problems = [reply.problem.split(":")[0] for reply in replies[2:]]
    assert problems == ["HTTP status 503", "unreadable report", "no answer"]


async def test_a_silent_entry_does_not_block_the_report(nursery, autojump_clock):
    # Real sockets need real time before the clock may jump.
    autojump_clock.autojump_threshold = 0.05

    async def never_answer(stream):
        await trio.sleep_forever()

    listen = functools.partial(trio.serve_tcp, never_answer, 0, host="127.0.0.1")
    (listener,) = await nursery.start(listen)
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    (reply,) = await entry_reports.read_reports([address], "/v1/burn", BurnReport)
    assert reply.problem.startswith("no answer within")
