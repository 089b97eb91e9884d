"""Guard against requests that run twice, and answers that reach another request."""

import functools
import math
import socket
import struct

import pytest
import trio

from wisteriaworks.gateway.model import (
    KEY_FAILURES,
    Answered,
    Failed,
    Failure,
    Refused,
)
from wisteriaworks.gateway.upstream import Exchange, ServerPool
from wisteriaworks.ingress.answer_memory import AnswerMemory
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

    def __init__(self, pool, request_id, body=b"", deadline_at=math.inf, **limits):
        self.outcomes = []
        self.done = trio.Event()
        self._data = f"GET /{request_id} HTTP/1.1\r\n\r\n".encode(), body
        self.exchange = Exchange(
            b"GET",
            request_id.encode(),
            lambda: self._data,
            self._on_outcome,
            deadline_at,
            **limits,
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


async def test_request_past_its_deadline_is_not_sent(nursery):
    """A suspended process wakes after the deadlines of the requests that it holds."""
    server, pool = await start(nursery, render("a"), render("b"))
    late = Caller(pool, "late", deadline_at=trio.current_time() - 0.1)
    assert late.outcomes == [Failed(Failure.ABANDONED, may_have_run=False)]
    await Caller(pool, "a").wait()
    assert server.requests == ["/a"]


async def test_queued_request_past_its_deadline_is_not_sent(nursery):
    server, pool = await start(nursery, render("a"), render("c"))
    first = Caller(pool, "a")
    queued = Caller(pool, "b", deadline_at=trio.current_time() + 1e-6)
    last = Caller(pool, "c")
    await first.wait()
    await last.wait()
    assert queued.outcomes == [Failed(Failure.ABANDONED, may_have_run=False)]
    assert server.requests == ["/a", "/c"]


@pytest.mark.parametrize("failure", sorted(KEY_FAILURES, key=lambda f: f.value))
async def test_key_is_checked_when_a_request_leaves_the_queue(nursery, failure):
    """A key may be removed while its request waits for a connection."""
    server, pool = await start(nursery, render("a"), render("c"))
    first, queued, last = (Caller(pool, name) for name in "abc")
    queued.exchange.check_send = lambda: failure
    await first.wait()
    await last.wait()
    assert queued.outcomes == [Failed(failure, may_have_run=False)]
    refused = Caller(pool, "d", check_send=lambda: failure)
    assert refused.outcomes == [Failed(failure, may_have_run=False)]
    assert server.requests == ["/a", "/c"]


HEAD = b"HTTP/1.1 200 OK\r\nX-Wisteriaworks-Request-Id: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessServer:
    """Answer each request with bytes that never end, until the caller closes."""

    def __init__(self, start, repeated):
        self._start, self._repeated = start, repeated
        self.sent_bytes = 0
        self.closed = trio.Event()

    async def serve(self, stream):
        await stream.receive_some(1000)
        try:
            await stream.send_all(self._start)
            while True:
                await stream.send_all(self._repeated)
                self.sent_bytes += len(self._repeated)
        except trio.BrokenResourceError:
            self.closed.set()


@pytest.mark.parametrize(
    ("start_bytes", "repeated"),
    [
        pytest.param(HEAD, b"x-a: b\r\n" * 1000, id="headers"),
        pytest.param(HEAD + b"x-a: ", b"b" * 8000, id="one header"),
        pytest.param(b"", b"HTTP/1.1 103 X\r\n\r\n" * 400, id="interim answers"),
        pytest.param(CHUNKED + b"1;", b"x" * 8000, id="chunk extension"),
        pytest.param(CHUNKED + b"0\r\n", b"x-a: b\r\n" * 1000, id="trailers"),
        pytest.param(HEAD + b"\r\n", b"x" * 8000, id="body"),
        pytest.param(CHUNKED, b"1f40\r\n" + b"x" * 8000 + b"\r\n", id="chunks"),
        pytest.param(b"", b"x" * 8000, id="noise"),
    ],
)
async def test_answer_without_end_is_given_up(nursery, start_bytes, repeated):
    """Each of these grew the process by 32 MiB or more before."""
    endless = EndlessServer(start_bytes, repeated)
    (listener,) = await nursery.start(
        functools.partial(trio.serve_tcp, endless.serve, 0, host="127.0.0.1")
    )
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    pool = ServerPool(address, response_format, nursery)
    outcome = await Caller(pool, "a", max_body_bytes=100_000).wait()
    assert outcome == Failed(Failure.MALFORMED, may_have_run=True)
    with trio.fail_after(10):
        await endless.closed.wait()
    # The bound and what the sockets of both ends hold.
    assert endless.sent_bytes < 16 * 1024 * 1024


async def test_largest_unfinished_answer_is_given_up_before_the_process(nursery):
    """The answers of 87 servers to each of several queries are held at once."""
    memory = AnswerMemory(limit=50_000)
    callers = []
    for size in (10_000, 30_000, 20_000):
        data = HEAD + b"Content-Length: 90000\r\n\r\n" + b"x" * size
        server = Server(data)
        (listener,) = await nursery.start(
            functools.partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
        )
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        pool = ServerPool(address, response_format, nursery, memory)
        callers.append(Caller(pool, "a"))
    assert await callers[1].wait() == Failed(Failure.MALFORMED, may_have_run=True)
    assert callers[0].outcomes == callers[2].outcomes == []
    assert memory.total <= 50_000


WHOLE = render("a", "whole body", extra="X-A: 1\r\n")
UNFRAMED = HEAD + b"X-Wisteriaworks-Server-Stamp: sig\r\n\r\n"


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("length", range(1, len(WHOLE), 7))
async def test_answer_that_is_cut_anywhere_is_no_answer(nursery, length, is_reset):
    """A cut head was passed on as a complete answer with an empty body elsewhere."""
    pool = await start_cutting_server(nursery, WHOLE[:length], is_reset)
    outcome = await Caller(pool, "a").wait()
    assert outcome == Failed(Failure.BROKEN, may_have_run=True)


@pytest.mark.parametrize("length", range(1, len(UNFRAMED), 7))
async def test_head_without_a_length_that_is_cut_is_no_answer(nursery, length):
    pool = await start_cutting_server(nursery, UNFRAMED[:length], is_reset=False)
    assert isinstance(await Caller(pool, "a").wait(), Failed)


async def test_answer_without_a_length_that_is_reset_is_no_answer(nursery):
    pool = await start_cutting_server(nursery, UNFRAMED + b"part", is_reset=True)
    assert isinstance(await Caller(pool, "a").wait(), Failed)


async def start_cutting_server(nursery, data, is_reset):
    """Return a pool to a server that sends some bytes, then closes or resets."""

    async def serve(stream):
        await stream.receive_some(1000)
        await stream.send_all(data)
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    (listener,) = await nursery.start(
        functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    )
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    return ServerPool(address, response_format, nursery)


@pytest.mark.parametrize("stray_id", ["a", "b2", None])
async def test_second_copy_after_the_next_request_never_reaches_it(nursery, stray_id):
    """The copy arrives when the answer to the next request is due."""
    stray = render(stray_id or "x", "stray")
    if stray_id is None:
        stray = stray.replace(b"X-Wisteriaworks-Request-Id: x\r\n", b"")
    server, pool = await start(nursery, render("a", "one"), stray, render("c", "two"))
    assert (await Caller(pool, "a").wait()).answer.body == b"one"
    assert await Caller(pool, "b").wait() == Failed(Failure.FOREIGN, may_have_run=True)
    assert (await Caller(pool, "c").wait()).answer.body == b"two"
    assert server.connections == 2


async def test_unexpected_error_while_writing_ends_only_the_connection(
    nursery, monkeypatch
):
    """The rest of a long request is written by a task of the whole process."""

    async def fail(sock):
        raise RuntimeError("unexpected")

    _, pool = await start(nursery)
    with monkeypatch.context() as patch:
        caller = Caller(pool, "a", body=bytes(32 * 1024 * 1024))
        while not pool._connections:
            await trio.sleep(0.001)
        patch.setattr(trio.lowlevel, "wait_writable", fail)
        assert await caller.wait() == Failed(Failure.MALFORMED, may_have_run=True)


class RefusingServer:
    """Refuse the first request, and send a second copy of that refusal late.

    The copy follows where the next answer on its connection is due.
    """

    def __init__(self):
        self.runs = []
        self._has_refused = False

    async def serve(self, stream):
        copy = b""
        async for data in stream:
            request_id = data.split()[1].decode().strip("/")
            if not self._has_refused:
                self._has_refused = True
                copy = render(request_id, head=REFUSAL)
                await stream.send_all(copy)
                continue
            self.runs.append(request_id)
            await stream.send_all(copy + render(request_id))
            copy = b""


@pytest.mark.parametrize("limit", [1, 2])
@pytest.mark.parametrize("between", [(), ("b",)])
async def test_copy_of_a_refusal_does_not_answer_a_second_send(nursery, limit, between):
    """A request that has run must not be reported as refused.

    With ``between``, another request is sent before the second send, and waits for
    the same connection.
    """
    server = RefusingServer()
    serve = functools.partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
    (listener,) = await nursery.start(serve)
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    pool = ServerPool(address, response_format, nursery)
    pool.limit = limit
    assert isinstance(await Caller(pool, "a").wait(), Refused)
    others = [Caller(pool, request_id) for request_id in between]
    outcome = await Caller(pool, "a").wait()
    assert isinstance(outcome, Answered)
    assert server.runs.count("a") == 1
    for other in others:
        await other.wait()
    assert pool.size <= limit


async def test_second_send_fails_at_once_if_no_other_connection_opens(nursery):
    """A request must not wait for a connection that may not carry it again."""
    server = RefusingServer()
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")

    async def serve_one_connection():
        async with listener:
            stream = await listener.accept()
        await server.serve(stream)

    nursery.start_soon(serve_one_connection)
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    pool = ServerPool(address, response_format, nursery)
    pool.limit = 2
    assert isinstance(await Caller(pool, "a").wait(), Refused)
    outcome = await Caller(pool, "a").wait()
    assert outcome == Failed(Failure.NO_CONNECTION, may_have_run=False)
