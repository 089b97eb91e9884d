"""Guard against requests that run twice, and answers that reach another request."""

import functools

import pytest
import trio

from wisteriaworks.gateway.model import Answered, Failed, Failure, Refused
from wisteriaworks.gateway.upstream import Exchange, ServerPool
from wisteriaworks.platform.wire import response_format

REFUSAL = "HTTP/1.1 503 X\r\nX-Wisteriaworks-Not-Executed: 1\r\n"


def render(request_id, body="ok", head="HTTP/1.1 200 OK\r\n", extra=""):
    """Return an answer with the id of a request."""
    return (
        f"{head}X-Wisteriaworks-Request-Id: {request_id}\r\n"
        f"X-Wisteriaworks-Server-Stamp: sig\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class Server:
    """Answer by a script with one entry for each request, in order of arrival.

    Bytes are sent as they are, "close" closes the connection, and "wait" never
    answers.
    """

    def __init__(self, *script):
        self._script = list(script)
        self.connections = 0
        self.requests = []
        self.closed = trio.Event()

    async def serve(self, stream):
        self.connections += 1
        try:
            await self._serve(stream)
        finally:
            self.closed.set()

    async def _serve(self, stream):
        buffer = b""
        async for data in stream:
            buffer += data
            while b"\r\n\r\n" in buffer:
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                self.requests.append(head.split()[1].decode())
                step = self._script.pop(0) if self._script else "wait"
                if step == "close":
                    return
                if step != "wait":
                    await stream.send_all(step)


async def start(nursery, *script, limit=1):
    """Return a scripted server and the connection pool to it."""
    server = Server(*script)
    serve = functools.partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
    (listener,) = await nursery.start(serve)
    port = listener.socket.getsockname()[1]
    pool = ServerPool(f"127.0.0.1:{port}", response_format, nursery)
    pool.limit = limit
    return server, pool


class Caller:
    """Send one request and wait for its outcome."""

    def __init__(self, pool, request_id, body=b""):
        self.outcomes = []
        self.done = trio.Event()
        self._data = f"GET /{request_id} HTTP/1.1\r\n\r\n".encode() + body
        self.exchange = Exchange(
            b"GET", request_id.encode(), lambda: self._data, self._on_outcome, 0.0
        )
        pool.submit(self.exchange)

    def _on_outcome(self, outcome):
        self.outcomes.append(outcome)
        self.done.set()

    async def wait(self):
        with trio.fail_after(10):
            await self.done.wait()
        return self.outcomes[0]


async def test_answers_reach_their_requests_over_one_connection(nursery):
    server, pool = await start(nursery, render("a", "one"), render("b", "two"))
    first = await Caller(pool, "a").wait()
    second = await Caller(pool, "b").wait()
    assert (first.answer.body, second.answer.body) == (b"one", b"two")
    assert server.connections == 1


async def test_request_waits_while_the_connection_is_busy(nursery):
    server, pool = await start(nursery, render("a"), render("b"))
    callers = [Caller(pool, "a"), Caller(pool, "b")]
    outcomes = [await caller.wait() for caller in callers]
    assert all(isinstance(outcome, Answered) for outcome in outcomes)
    assert server.connections == 1


async def test_request_on_a_connection_that_closes_may_have_run(nursery):
    server, pool = await start(nursery, "close")
    outcome = await Caller(pool, "a").wait()
    assert outcome == Failed(Failure.BROKEN, may_have_run=True)
    assert server.requests == ["/a"]


async def test_unreachable_server_did_not_run_the_request(nursery):
    pool = ServerPool("127.0.0.1:1", response_format, nursery)
    outcome = await Caller(pool, "a").wait()
    assert outcome == Failed(Failure.NO_CONNECTION, may_have_run=False)


async def test_late_second_answer_never_reaches_the_next_request(nursery):
    """The server answers request a twice; b must not get the second answer."""
    twice = render("a", "one") + render("a", "stray")
    server, pool = await start(nursery, twice, render("b", "two"))
    assert (await Caller(pool, "a").wait()).answer.body == b"one"
    assert (await Caller(pool, "b").wait()).answer.body == b"two"
    assert server.connections == 2


async def test_answer_to_another_request_is_foreign(nursery):
    _, pool = await start(nursery, render("other"))
    outcome = await Caller(pool, "a").wait()
    assert outcome == Failed(Failure.FOREIGN, may_have_run=True)


async def test_answer_without_an_id_is_foreign(nursery):
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    _, pool = await start(nursery, data)
    outcome = await Caller(pool, "a").wait()
    assert outcome == Failed(Failure.FOREIGN, may_have_run=True)


async def test_malformed_bytes_are_no_answer(nursery):
    _, pool = await start(nursery, b"noise\r\n\r\n")
    outcome = await Caller(pool, "a").wait()
    assert outcome == Failed(Failure.MALFORMED, may_have_run=True)


async def test_statement_that_a_request_did_not_run_is_a_refusal(nursery):
    _, pool = await start(nursery, render("a", head=REFUSAL))
    assert isinstance(await Caller(pool, "a").wait(), Refused)


async def test_announced_close_is_obeyed(nursery):
    closing = render("a", extra="Connection: close\r\n")
    server, pool = await start(nursery, closing, render("b"))
    await Caller(pool, "a").wait()
    await Caller(pool, "b").wait()
    assert server.connections == 2


async def test_cancelled_request_closes_its_connection(nursery):
    """This lets the server drop the work for a caller that has disconnected."""
    server, pool = await start(nursery, "wait")
    caller = Caller(pool, "a")
    while not server.requests:
        await trio.sleep(0.001)
    pool.cancel(caller.exchange)
    with trio.fail_after(10):
        await server.closed.wait()
    assert caller.outcomes == []


async def test_cancelled_request_in_the_queue_is_never_sent(nursery):
    server, pool = await start(nursery, render("a"), render("c"))
    first, second = Caller(pool, "a"), Caller(pool, "b")
    pool.cancel(second.exchange)
    third = Caller(pool, "c")
    await first.wait()
    await third.wait()
    assert server.requests == ["/a", "/c"]


@pytest.mark.parametrize("limit", [1, 3])
async def test_connections_stay_within_the_limit(nursery, limit):
    answers = [render(str(n)) for n in range(12)]
    server, pool = await start(nursery, *["wait"] * limit, *answers, limit=limit)
    for number in range(12):
        Caller(pool, f"w{number}")
    while len(server.requests) < limit:
        await trio.sleep(0.001)
    assert pool.size == limit
    assert server.connections == limit
