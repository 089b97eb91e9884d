"""Guard against requests that a limit should end, or that it must not end."""

import functools
import re

import pytest
import trio
import trio.testing

from wisteriaworks.asgi import read_body, send_response, wait_for_disconnect
from wisteriaworks.errors import ERROR_RESPONSES, RequestError
from wisteriaworks.generated.settings import IngressSettings
from wisteriaworks.ingress.connection import Connection
from wisteriaworks.ingress.ingress import Ingress
from wisteriaworks.ingress.limits import HttpLimits

HEAD = b"POST /a%20b?c HTTP/1.1\r\nHost: h\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = HttpLimits(max_header_bytes=1000, header_timeout_s=3.0, idle_timeout_s=15.0)
MAX_BODY_BYTES = 300_000


class App:
    """Answer with the length of the body, or with the error of reading it."""

    def __init__(self):
        self.bodies, self.scopes = [], []
        self.answer = b""

    async def __call__(self, scope, receive, send):
        self.scopes.append(scope)
        try:
            body = await read_body(receive, MAX_BODY_BYTES)
        except RequestError as exc:
            status = ERROR_RESPONSES[exc.kind].http_status
            return await send_response(send, status, exc.kind.value.encode(), ())
        self.bodies.append(body)
        await send_response(send, 200, self.answer or b"%d" % len(body), ())


class Harness:
    def __init__(
        self, nursery, app, open_pair=trio.testing.memory_stream_pair, **settings
    ):
        self.app = app
        self.ingress = Ingress(IngressSettings(**settings), LIMITS)
        self.stream, server = open_pair()
        pair = ("127.0.0.1", 1)
        self.connection = Connection(server, app, self.ingress, pair, pair)
        nursery.start_soon(self.connection.run)
        self._started_at = trio.current_time()

    @property
    def elapsed_s(self):
        return trio.current_time() - self._started_at

    async def read(self):
        """Return all bytes until the connection is closed."""
        received = b""
        async for data in self.stream:
            received += data
        return received

    async def exchange(self, data):
        """Send bytes and the end, and return all answers."""
        await self.stream.send_all(data)
        await self.stream.send_eof()
        return await self.read()


@pytest.fixture
def harness(nursery):
    return Harness(nursery, App(), max_header_lines=40, max_trailer_bytes=100)


def list_statuses(data):
    return [int(s) for s in re.findall(rb"HTTP/1.1 (\d+)", data)]


async def test_requests_of_one_connection_are_served_in_order(autojump_clock, harness):
    post = HEAD + b"Content-Length: 3\r\n\r\nabc"
    chunks = (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n"
    )
    replies = await harness.exchange(GET + post + chunks)
    assert list_statuses(replies) == [200, 200, 200]
    assert harness.app.bodies == [b"", b"abc", b"de"]
    scope = harness.app.scopes[1]
    assert (scope["path"], scope["raw_path"]) == ("/a b", b"/a%20b")
    assert harness.ingress.table.held == 0


async def test_answer_to_head_has_no_body(autojump_clock, harness):
    replies = await harness.exchange(GET.replace(b"GET", b"HEAD") + GET)
    assert list_statuses(replies) == [200, 200]
    assert replies.count(b"\r\n\r\n0") == 1


async def test_large_answer_arrives_completely(autojump_clock, harness):
    harness.app.answer = bytes(3_000_000)
    assert (await harness.exchange(GET)).endswith(harness.app.answer)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\n", 408),
        (HEAD + b"Content-Length: 5\r\n\r\nab", 408),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", 408),
        (HEAD + b"a:\r\n" * 40 + b"\r\n", 431),
        (HEAD + b"a: " + b"b" * 1000 + b"\r\n\r\n", 431),
        (HEAD + b"a: " + b"b" * 1000, 431),
        (
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
            + b"a: b\r\n" * 30
            + b"\r\n",
            431,
        ),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"a: b\r\n" * 500, 431),
        (HEAD + b"Content-Length: 300001\r\n\r\n" + bytes(300_001), 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"\x00\r\n\r\n", 400),
    ],
)
async def test_request_beyond_a_limit_is_refused(autojump_clock, harness, data, status):
    """The time limits were not enforced; a client kept its connection."""
    await harness.stream.send_all(data)
    replies = await harness.read()
    assert list_statuses(replies) == [status]
    assert harness.app.bodies == []
    await trio.sleep(2)
    assert not harness.ingress.table.clients


@pytest.mark.parametrize(("slow", "lasts_s"), [(b"", 15.0), (b"G", 3.0)])
async def test_connection_without_a_request_ends(
    autojump_clock, harness, slow, lasts_s
):
    if slow:
        await harness.stream.send_all(slow)
    await harness.read()
    assert lasts_s <= harness.elapsed_s < lasts_s + 1.5


async def test_head_that_trickles_ends_at_the_limit(autojump_clock, harness, nursery):
    async def trickle():
        for _ in range(100):
            await harness.stream.send_all(b"a")
            await trio.sleep(0.1)

    nursery.start_soon(trickle)
    assert list_statuses(await harness.read()) == [408]
    assert harness.elapsed_s < 5


async def test_body_at_the_limit_in_one_byte_chunks_is_served(autojump_clock, harness):
    chunks = b"1\r\nx\r\n" * 5000 + b"0\r\n\r\n"
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    assert list_statuses(await harness.exchange(head + chunks)) == [200]
    assert harness.app.bodies == [b"x" * 5000]


async def test_continue_is_sent_before_the_body(autojump_clock, harness):
    head = HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
    await harness.stream.send_all(head)
    assert list_statuses(await harness.stream.receive_some()) == [100]
    assert list_statuses(await harness.exchange(b"abc")) == [200]


async def test_unfinished_request_gets_a_refusal_when_memory_is_used_up(
    nursery, autojump_clock
):
    harness = Harness(nursery, App(), memory_mb=1.0, memory_share=0.2)
    other = Harness(nursery, App())
    other.connection._ingress = other.ingress = harness.ingress
    head = HEAD + b"Content-Length: 200000\r\n\r\n"
    await harness.stream.send_all(head + bytes(90_000))
    await trio.testing.wait_all_tasks_blocked()
    await other.stream.send_all(head + bytes(50_000))
    reply = await harness.read()
    assert list_statuses(reply) == [503]
    assert b"retry-after: 1.000\r\n" in reply
    assert not harness.app.bodies


async def test_unfinished_request_stays_counted_after_continue(nursery, autojump_clock):
    """Clients that wait for an interim answer are ended as the others are."""
    harness = Harness(nursery, App(), memory_mb=1.0, memory_share=0.2)
    other = Harness(nursery, App())
    other.connection._ingress = other.ingress = harness.ingress
    head = HEAD + b"Expect: 100-continue\r\nContent-Length: 200000\r\n\r\n"
    await harness.stream.send_all(head)
    assert list_statuses(await harness.stream.receive_some()) == [100]
    await harness.stream.send_all(bytes(90_000))
    await trio.testing.wait_all_tasks_blocked()
    await other.stream.send_all(head + bytes(50_000))
    assert list_statuses(await harness.read()) == [503]


async def test_large_request_is_refused_as_not_run_while_others_run(
    nursery, autojump_clock
):
    app = App()

    async def run(scope, receive, send):
        await app(scope, receive, functools.partial(send_late, send))

    async def send_late(send, message):
        await trio.sleep(1.0)
        await send(message)

    harness = Harness(nursery, run, memory_mb=1.0, memory_share=0.2)
    other = Harness(nursery, run)
    other.connection._ingress = other.ingress = harness.ingress
    long, short = (
        HEAD + b"Content-Length: %d\r\n\r\n" % size + bytes(size)
        for size in (60_000, 40_000)
    )
    await harness.stream.send_all(long)
    await trio.testing.wait_all_tasks_blocked()
    reply = await other.exchange(short)
    assert list_statuses(reply) == [503]
    assert b"retry-after: 1.000\r\n" in reply
    assert [len(body) for body in app.bodies] == [60_000]


async def test_caller_that_leaves_is_reported(nursery, autojump_clock):
    left = trio.Event()

    async def app(scope, receive, send):
        await read_body(receive, 10)
        await wait_for_disconnect(receive)
        left.set()

    harness = Harness(nursery, app)
    await harness.stream.send_all(GET)
    await trio.testing.wait_all_tasks_blocked()
    await harness.stream.aclose()
    with trio.fail_after(5):
        await left.wait()


async def test_error_of_the_app_ends_one_request(nursery, autojump_clock):
    async def app(scope, receive, send):
        raise ValueError("x")

    assert list_statuses(await Harness(nursery, app).exchange(GET)) == [500]


async def test_idle_connection_ends_at_a_stop(autojump_clock, harness):
    await trio.testing.wait_all_tasks_blocked()
    harness.ingress.stop()
    assert await harness.read() == b""
    assert harness.elapsed_s < 1


async def test_request_that_crosses_a_stop_is_answered(autojump_clock, harness):
    """The connection was closed before a request that had arrived was read."""
    await harness.stream.send_all(GET)
    harness.ingress.stop()
    replies = await harness.read()
    assert list_statuses(replies) == [200]
    assert b"connection: close" in replies.lower()


async def test_unfinished_body_is_refused_at_the_end_of_a_stop(autojump_clock, harness):
    """A client that stops short of its end made each planned stop fail."""
    await harness.stream.send_all(HEAD + b"Content-Length: 5\r\n\r\nabcd")
    await trio.sleep(1.0)
    harness.ingress.end_unfinished()
    assert list_statuses(await harness.read()) == [503]


@pytest.mark.parametrize("tail", [b"\r\n", GET])
async def test_caller_that_leaves_after_more_bytes_is_noticed(
    nursery, autojump_clock, tail
):
    """The servers worked on for a caller that had left."""
    seen = []

    async def app(scope, receive, send):
        await read_body(receive, MAX_BODY_BYTES)
        with trio.move_on_after(60.0):
            await wait_for_disconnect(receive)
            seen.append(scope["path"])

    harness = Harness(nursery, app)
    await harness.stream.send_all(GET + tail)
    await trio.sleep(0.1)
    await harness.stream.aclose()
    await trio.sleep(0.1)
    assert seen == ["/"]


async def test_answer_before_the_end_of_a_body_closes(autojump_clock, harness):
    """The next request on the connection was dropped without an answer."""
    head = HEAD + b"Content-Length: 900000\r\n\r\n"
    replies = await harness.exchange(head + bytes(310_000))
    assert list_statuses(replies) == [413]
    assert b"connection: close" in replies.lower()


@pytest.mark.parametrize(("value", "status"), [(b"bar \t", 200), (b"a\nb", 500)])
async def test_header_of_a_server_does_not_lose_the_answer(
    nursery, autojump_clock, value, status
):
    """A value that the writer of answers refuses ended the connection silently."""

    async def app(scope, receive, send):
        await send_response(send, 200, b"body", ((b"x-foo", value),))

    assert list_statuses(await Harness(nursery, app).exchange(GET)) == [status]


async def test_slow_link_gets_a_long_answer(nursery, autojump_clock):
    """Limits on answers must not end a client whose memory nobody needs."""
    pair = trio.testing.lockstep_stream_pair
    harness = Harness(nursery, App(), pair, memory_mb=1.0, answer_share=0.1)
    harness.app.answer = bytes(300_000)
    nursery.start_soon(harness.stream.send_all, GET)
    received = b""
    while not received.endswith(harness.app.answer):
        received += await harness.stream.receive_some(4000)
        await trio.sleep(1.0)
    assert harness.ingress.answers.total == 0


async def test_client_without_progress_is_ended_while_others_need_memory(
    nursery, autojump_clock
):
    pair = trio.testing.lockstep_stream_pair
    harness = Harness(nursery, App(), pair, memory_mb=1.0, answer_share=0.1)
    other = Harness(nursery, harness.app, pair)
    other.connection._ingress = other.connection._writer._ingress = harness.ingress
    harness.app.answer = bytes(300_000)
    await harness.stream.send_all(GET)
    await trio.sleep(2.0)
    await other.stream.send_all(GET)
    assert len(await other.stream.receive_some()) > 0
    with pytest.raises(trio.BrokenResourceError):
        await harness.stream.send_all(GET)
    assert harness.connection.client not in harness.ingress.table.clients


async def test_client_that_takes_nothing_is_ended_alone(nursery, autojump_clock):
    pair = trio.testing.lockstep_stream_pair
    harness = Harness(nursery, App(), pair)
    harness.app.answer = bytes(300_000)
    await harness.stream.send_all(GET)
    await trio.sleep(60.0)
    assert not harness.ingress.table.clients
    assert harness.ingress.answers.total == 0
