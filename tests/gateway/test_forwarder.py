"""Guard against sends for disconnected callers, and to reused addresses."""

import dataclasses
import functools
import math

import pytest
import trio
from gateway_fakes import make_document, make_entry, make_route, make_settings

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.gateway.forwarder import Forwarder
from wisteriaworks.gateway.model import AnswerTimes, CallerRequest, Failure
from wisteriaworks.gateway.retry_budget import RetryBudget
from wisteriaworks.gateway.server_table import make_known_servers
from wisteriaworks.generated.settings import BudgetSettings
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.platform import wire


def make_times(now):
    """Return the times of a request without an objective and with 60 s left."""
    return AnswerTimes(math.inf, now + 60.0, now + 60.0)


@pytest.fixture
async def forwarder(nursery, autojump_clock):
    return Forwarder(make_settings(), wire, nursery, create_unexported_metrics())


async def start_silent_server(nursery, requests):
    """Return the address of a server that reads requests and never answers."""

    async def serve(stream):
        async for data in stream:
            requests.append(data)

    (listener,) = await nursery.start(
        functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    )
    return f"127.0.0.1:{listener.socket.getsockname()[1]}"


async def test_request_is_not_retried_after_the_caller_disconnects(nursery):
    """The end of an abandoned send must not start a retry at the other server."""
    requests = []
    forwarder = Forwarder(make_settings(), wire, nursery, create_unexported_metrics())
    nursery.start_soon(forwarder.sweep)
    addresses = [await start_silent_server(nursery, requests) for _ in range(2)]
    entries = [make_entry(f"i{n}", address=a) for n, a in enumerate(addresses)]
    forwarder.fleet.table.assign(make_known_servers(entries, trio.current_time()))
    route = make_route(idempotent=True, timeout_ms=60_000)
    request = CallerRequest(b"GET", b"/p/x", route.host, (), b"", b"id1", float("inf"))
    times = make_times(trio.current_time())
    async with trio.open_nursery() as caller:
        caller.start_soon(
            forwarder.run, request, route, ("s",), make_document(route), times
        )
        while not requests:
            await trio.sleep(0.001)
        caller.cancel_scope.cancel()
    with trio.fail_after(10):
        while forwarder._abandoned:
            await trio.sleep(0.01)
    # A retry would reach the other server within this time.
    await trio.sleep(0.1)
    assert len(requests) == 1


async def start_server_at_reused_address(nursery, requests):
    """Return the address of a server that answers 421 to each request."""

    async def serve(stream):
        async for data in stream:
            requests.append(data)
            await stream.send_all(
                b"HTTP/1.1 421 X\r\nX-Wisteriaworks-Request-Id: id1\r\n"
                b"X-Wisteriaworks-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )

    (listener,) = await nursery.start(
        functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    )
    return f"127.0.0.1:{listener.socket.getsockname()[1]}"


async def test_server_at_a_reused_address_gets_one_request(nursery):
    """Otherwise requests for an ended server keep reaching the one at its address."""
    requests = []
    forwarder = Forwarder(make_settings(), wire, nursery, create_unexported_metrics())
    address = await start_server_at_reused_address(nursery, requests)
    entries = [make_entry("i1", address=address)]
    forwarder.fleet.table.assign(make_known_servers(entries, trio.current_time()))
    route = make_route(idempotent=True, timeout_ms=60_000)
    for _ in range(5):
        times = make_times(trio.current_time())
        request = CallerRequest(
            b"GET", b"/p/x", route.host, (), b"", b"id1", float("inf")
        )
        with trio.fail_after(10):
            await forwarder.run(request, route, ("s",), make_document(route), times)
    assert len(requests) == 1


@pytest.mark.parametrize("failure", [Failure.KEY_REMOVED, Failure.NOT_CONFIRMED])
async def test_hedge_is_not_sent_after_the_key_was_removed(nursery, failure):
    """The first send may have run, so the request must not pass for not run."""
    requests, written = [], []
    forwarder = Forwarder(make_settings(), wire, nursery, create_unexported_metrics())
    encode = forwarder.encode

    def encode_and_record(*args):
        written.append(args)
        return encode(*args)

    # A busy machine may send the hedge before the server has read the first request.
    forwarder.encode = encode_and_record
    forwarder.check_key = lambda request: failure if written else None
    # A gateway that has just started may not repeat yet.
    forwarder.fleet.budget = RetryBudget(BudgetSettings(), trio.current_time() - 60.0)
    addresses = [await start_silent_server(nursery, requests) for _ in range(2)]
    entries = [make_entry(f"i{n}", address=a) for n, a in enumerate(addresses)]
    forwarder.fleet.table.assign(make_known_servers(entries, trio.current_time()))
    route = make_route(idempotent=True, timeout_ms=60_000, objective_ms=50)
    request = CallerRequest(b"GET", b"/p/x", route.host, (), b"", b"id1", float("inf"))
    now = trio.current_time()
    times = AnswerTimes(math.inf, now + 0.5, now + 0.5)
    result = await forwarder.run(request, route, ("s",), make_document(route), times)
    assert result.may_have_run
    outcomes = [dict(key)["outcome"] for key in forwarder._sends.series]
    assert failure.value in outcomes
    assert len(requests) == 1


@pytest.mark.parametrize("left_s, sends", [(-1.0, 0), (60.0, 1)])
async def test_request_whose_permission_has_ended_is_not_sent(nursery, left_s, sends):
    """The process may have been suspended since the check of the account's limit."""
    requests = []
    forwarder = Forwarder(make_settings(), wire, nursery, create_unexported_metrics())
    address = await start_server_at_reused_address(nursery, requests)
    entries = [make_entry("i1", address=address)]
    forwarder.fleet.table.assign(make_known_servers(entries, trio.current_time()))
    route = make_route(timeout_ms=60_000)
    request = CallerRequest(b"GET", b"/p/x", route.host, (), b"", b"id1", float("inf"))
    request = dataclasses.replace(request, expires_at=read_boot_time() + left_s)
    times = make_times(trio.current_time())
    with trio.fail_after(10):
        result = await forwarder.run(
            request, route, ("s",), make_document(route), times
        )
    assert len(requests) == sends
    assert not result.may_have_run
