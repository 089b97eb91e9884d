"""Guard against delegated queries that are lost, run twice or run without a caller."""

import json
import random

import pytest
import trio
from gateway_fakes import make_route
from platform_stand_in import StandInServer, StandInSystem, make_servers
from test_gateway_system import SHARDS, make_configuration

from wisteriaworks.gateway import delegate_client, gathering
from wisteriaworks.gateway.delegate_client import DelegateClient
from wisteriaworks.gateway.delegation import ACCEPT_TIMEOUT_S, DelegateSelector
from wisteriaworks.gateway.group_server import MAX_GATHERED_PARTS
from wisteriaworks.gateway.retry_budget import RetryBudget
from wisteriaworks.gateway.return_time import ReturnTime
from wisteriaworks.generated.messages import Delegate, GatherParts, HandedQuery
from wisteriaworks.generated.settings import BudgetSettings
from wisteriaworks.rpc import Channel

# Three answers of 1,300 bytes take 312 ms on the link of the first gateway.
LINKS_MBPS = (0.1, 1000.0)
SLOW_LINK, FAST_LINK = 0, 1


def make_document():
    document = json.loads(make_configuration(5))
    for route in document["routes"]:
        route["targetLatencyMs"] = 1000
    return json.dumps(document).encode()


@pytest.fixture
async def system(nursery, tmp_path):
    system = StandInSystem(nursery, tmp_path, make_servers(), links_mbps=LINKS_MBPS)
    await system.start()
    assert (await system.order("PUT", "/api/config", make_document())).status == 200
    for gateway in (SLOW_LINK, FAST_LINK):
        await system.wait_until(lambda gateway=gateway: system.is_ready(gateway))
    return system


def count_sends(system, gateway):
    """Return how many sends to servers a gateway has finished."""
    sends = system.gateways[gateway].app._forwarder._sends.series
    return sum(sends.values())


async def wait_for_delegate(system):
    async def is_delegated():
        before = count_sends(system, FAST_LINK)
        await system.call("GET", "/shards/x", gateway=SLOW_LINK)
        return count_sends(system, FAST_LINK) > before

    await system.wait_until(is_delegated)


def count_runs(system, request_id):
    return sum(server.ran.count(request_id) for server in system.servers)


async def test_query_is_delegated_to_the_gateway_with_the_faster_link(system):
    await wait_for_delegate(system)
    before = count_sends(system, SLOW_LINK)
    reply = await system.call(
        "GET", "/shards/x", gateway=SLOW_LINK, request_id="delegated"
    )
    assert reply.status == 200
    headers = {name.lower(): value for name, value in reply.headers}
    assert len(headers[b"x-wisteriaworks-shard-stamps"].split(b", ")) == len(SHARDS)
    assert headers[b"x-wisteriaworks-missing-shards"] == b"0"
    assert len(reply.content) == 4 * 16
    assert count_sends(system, SLOW_LINK) == before
    assert count_runs(system, "delegated") == len(SHARDS)


async def test_requests_to_one_service_are_not_delegated(system):
    await wait_for_delegate(system)
    before = count_sends(system, SLOW_LINK)
    assert (await system.call("GET", "/once/x", gateway=SLOW_LINK)).status == 200
    assert count_sends(system, SLOW_LINK) == before + 1


async def test_query_runs_locally_when_the_delegate_stops(system):
    await wait_for_delegate(system)
    system.gateways[FAST_LINK].app.is_stopping = True
    reply = await system.call("GET", "/shards/x", gateway=SLOW_LINK, request_id="local")
    assert reply.status == 200
    assert count_runs(system, "local") == len(SHARDS)


async def test_full_delegate_says_so_before_it_sends(system):
    """Queries beyond its capacity would wait for its processor until they are late."""
    await wait_for_delegate(system)
    system.gateways[FAST_LINK].app.groups.gathering_parts = MAX_GATHERED_PARTS
    before = [count_sends(system, gateway) for gateway in (SLOW_LINK, FAST_LINK)]
    reply = await system.call("GET", "/shards/x", gateway=SLOW_LINK)
    after = [count_sends(system, gateway) for gateway in (SLOW_LINK, FAST_LINK)]
    assert reply.status == 200
    assert (after[0] - before[0], after[1] - before[1]) == (len(SHARDS), 0)


async def test_delegate_declines_bodies_beyond_its_memory(system):
    await wait_for_delegate(system)
    groups = system.gateways[FAST_LINK].app.groups
    groups.gathering_bytes, groups.max_gathering_bytes = 1, 3
    before = count_sends(system, FAST_LINK)
    reply = await system.call("POST", "/shards/x", b"body", gateway=SLOW_LINK)
    assert reply.status == 200
    assert count_sends(system, FAST_LINK) == before
    reply = await system.call("POST", "/shards/x", b"bo", gateway=SLOW_LINK)
    assert reply.status == 200
    assert count_sends(system, FAST_LINK) == before + len(SHARDS)
    assert groups.gathering_bytes == 1


async def test_query_of_another_version_is_declined(system):
    """Otherwise consecutive requests of a caller could see a newer configuration first
    and an older one next."""
    await wait_for_delegate(system)
    routes = system.gateways[FAST_LINK].app._state.routes
    routes.version += 1
    before = count_sends(system, FAST_LINK)
    reply = await system.call("GET", "/shards/x", gateway=SLOW_LINK, request_id="other")
    assert reply.status == 200
    assert count_sends(system, FAST_LINK) == before
    assert count_runs(system, "other") == len(SHARDS)


async def test_disconnect_of_the_caller_cancels_the_query_at_the_delegate(system):
    await wait_for_delegate(system)
    for server in system.servers:
        server.delay_s = 60.0
    with trio.move_on_after(0.5):
        await system.call("GET", "/shards/x", gateway=SLOW_LINK, deadline_ms=60000)
    for gateway in (SLOW_LINK, FAST_LINK):
        app = system.gateways[gateway].app

        async def is_idle(app=app):
            return app.running == 0

        await system.wait_until(is_idle)


async def lose_delegate(system, delay_s):
    """Break the connections to the delegate during a query; return its status."""
    for server in system.servers:
        server.delay_s = 60.0
    statuses = []

    async def call():
        reply = await system.call(
            "GET", "/shards/x", gateway=SLOW_LINK, request_id="lost", deadline_ms=60000
        )
        statuses.append(reply.status)

    async with trio.open_nursery() as calls:
        calls.start_soon(call)
        while count_runs(system, "lost") < len(SHARDS):
            await trio.sleep(0.01)
        for server in system.servers:
            server.delay_s = delay_s
        for served in tuple(system.gateways[FAST_LINK]._peer_server._connections):
            await trio.aclose_forcefully(served._stream)
    return statuses[0]


@pytest.fixture
def patient(monkeypatch):
    """Let a delegate accept queries late, as it does on a busy machine."""
    monkeypatch.setattr(delegate_client, "ACCEPT_TIMEOUT_S", 10.0)


async def allow_one_attempt(system):
    document = json.loads(make_document())
    for route in document["routes"]:
        route["attempts"] = 1
    document["version"] = 9
    body = json.dumps(document).encode()
    assert (await system.order("PUT", "/api/config", body)).status == 200
    for gateway in system.gateways:

        async def has_version(state=gateway.app._state):
            return state.routes.version == 9

        await system.wait_until(has_version)


async def test_query_of_a_lost_delegate_has_an_unknown_outcome_and_no_repeat(
    system, patient
):
    """The servers may have run the query, so the status must not state "not run", and
    with one attempt a second run could reach a second server of a shard."""
    await allow_one_attempt(system)
    await wait_for_delegate(system)
    assert await lose_delegate(system, delay_s=0.0) == 502
    assert count_runs(system, "lost") == len(SHARDS)


def freeze_until_cancelled(system):
    """Let the delegate wake up after it was cancelled; return the event of its end.

    It does not notice the cancellation.
    """
    app, ended = system.gateways[FAST_LINK].app, trio.Event()

    async def accept_late(message, send):
        try:
            with trio.CancelScope(shield=True):
                await trio.sleep(2 * ACCEPT_TIMEOUT_S)
                return await app.groups.gather_parts(message, send)
        finally:
            ended.set()

    system.gateways[FAST_LINK]._peer_server._handlers[GatherParts] = accept_late
    return ended


async def test_query_with_one_attempt_runs_once_though_its_delegate_wakes_up(system):
    """A delegate that accepts it late may reach another server than the next one."""
    await allow_one_attempt(system)
    await wait_for_delegate(system)
    ended, before = freeze_until_cancelled(system), count_sends(system, FAST_LINK)
    reply = await system.call(
        "GET", "/shards/x", gateway=SLOW_LINK, request_id="frozen", deadline_ms=60000
    )
    assert reply.status == 200
    with trio.fail_after(10):
        await ended.wait()
    assert count_sends(system, FAST_LINK) == before
    assert count_runs(system, "frozen") == len(SHARDS)


async def test_query_of_a_lost_delegate_runs_again_where_attempts_allow_it(
    system, patient
):
    """No shard has more servers than the route may use, so no second run can reach
    too many, and the caller gets an answer instead of 502."""
    await wait_for_delegate(system)
    await system.wait_until_may_repeat(SLOW_LINK, SHARDS)
    budget = system.gateways[SLOW_LINK].app._forwarder.fleet.budget
    assert await lose_delegate(system, delay_s=0.0) == 200
    repeats = [budget._services[name].repeats.total for name in SHARDS]
    assert min(repeats) >= 1


def freeze_delegate(system):
    """Keep the delegate from accepting queries."""

    async def never_accept(message, send):
        await trio.sleep_forever()

    server = system.gateways[FAST_LINK]._peer_server
    server._handlers[GatherParts] = never_accept


async def test_query_that_a_frozen_delegate_does_not_accept_runs_elsewhere(system):
    """A frozen VM kept each query that was sent to it until its deadline."""
    await wait_for_delegate(system)
    freeze_delegate(system)
    with trio.fail_after(5):
        reply = await system.call(
            "GET",
            "/shards/x",
            gateway=SLOW_LINK,
            request_id="frozen",
            deadline_ms=60000,
        )
    assert reply.status == 200
    assert count_runs(system, "frozen") == len(SHARDS)


def forbid_repeats(system):
    """Leave the gateways no budget for repeated sends."""
    for gateway in system.gateways:
        fleet = gateway.app._forwarder.fleet
        settings = BudgetSettings(retry_ratio=0.0, slack=0.0)
        fleet.budget = RetryBudget(settings, trio.current_time())


async def test_query_that_was_not_accepted_needs_no_budget(system):
    """After a loss of power the budget for repeats would deny it at each gateway."""
    await wait_for_delegate(system)
    freeze_delegate(system)
    forbid_repeats(system)
    reply = await system.call("GET", "/shards/x", gateway=SLOW_LINK, deadline_ms=60000)
    assert reply.status == 200


async def test_query_that_was_not_accepted_and_is_said_not_to_have_run_never_runs(
    system,
):
    """The delegate wakes up when the servers accept requests again."""
    await wait_for_delegate(system)
    ended = freeze_until_cancelled(system)
    for server in system.servers:
        server.refuses = True
    reply = await system.call(
        "GET", "/shards/x", gateway=SLOW_LINK, request_id="refused", deadline_ms=60000
    )
    assert reply.status == 503
    for server in system.servers:
        server.refuses = False
    with trio.fail_after(10):
        await ended.wait()
    assert count_runs(system, "refused") == 0


async def test_delegate_without_power_is_known_before_a_query(nursery):
    """Each of 200 gateways would lose 50 ms with each of its first queries."""
    delegate = Delegate(
        "d1", "127.0.0.1:1", "a", 1000.0, gathers=True, awaits_confirmation=True
    )
    selector = DelegateSelector("own", 1.0, random.Random(1))
    client = DelegateClient(selector, ReturnTime(), nursery)
    client.set_delegates([delegate])
    nursery.start_soon(client.check_delegates)
    with trio.fail_after(10):
        while not client._unreachable:
            await trio.sleep(0.01)
    other = Delegate(
        "d2", "127.0.0.1:2", "b", 1000.0, gathers=True, awaits_confirmation=True
    )
    selector.set_delegates([delegate, other])
    route = make_route(shards=tuple(f"s{n}" for n in range(90)), objective_ms=147)
    assert selector.choose(route, "a", trio.current_time(), ()) == other


async def test_connection_to_a_former_delegate_is_closed(nursery, monkeypatch):
    """Gateways that come and go would each leave a connection and a task behind."""
    monkeypatch.setattr(delegate_client, "CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(delegate_client, "KEEP_UNLISTED_S", 0.05)
    client = DelegateClient(
        DelegateSelector("own", 1.0, random.Random(1)), ReturnTime(), nursery
    )
    client.set_delegates(
        [
            Delegate(
                "d1", "127.0.0.1:1", "a", 1000.0, gathers=True, awaits_confirmation=True
            )
        ]
    )
    nursery.start_soon(client.check_delegates)
    with trio.fail_after(10):
        while not client._channels:
            await trio.sleep(0.01)
        client.set_delegates([])
        while client._channels or client._unlisted_since:
            await trio.sleep(0.01)


async def test_query_of_a_gateway_of_an_older_version_is_declined(system):
    """Such a gateway then runs the query itself."""
    message = HandedQuery(b"GET", b"/shards/x", "h", (), b"", b"id", 1000, 5)
    address = system.gateways[FAST_LINK]._cfg.peer
    async with Channel(address) as channel:
        assert not (await channel.call(message, 5.0)).taken


FAST_LINKS = {"a": 1, "b": 2}


@pytest.fixture
async def divided(nursery, tmp_path, monkeypatch):
    """A system whose shards have their servers in two domains, with a delegate each."""
    # With three shards a second group would cost more than a part from another domain.
    monkeypatch.setattr(gathering, "GROUP_COST", 0)
    monkeypatch.setattr(gathering, "EQUAL_COST", 0)
    servers = [
        StandInServer("i1", "s1", "a"),
        StandInServer("i2", "s2", "b"),
        StandInServer("i3", "s3", "a"),
    ]
    system = StandInSystem(
        nursery,
        tmp_path,
        servers,
        gateways=3,
        links_mbps=(0.1, 1000.0, 1000.0),
        domains="aab",
    )
    await system.start()
    assert (await system.order("PUT", "/api/config", make_document())).status == 200
    for gateway in range(3):
        await system.wait_until(lambda gateway=gateway: system.is_ready(gateway))

    async def is_divided():
        await system.call("GET", "/shards/x", gateway=SLOW_LINK)
        return all(count_sends(system, gateway) for gateway in FAST_LINKS.values())

    await system.wait_until(is_divided)
    return system


def count_service_sends(system):
    return [count_sends(system, gateway) for gateway in range(3)]


async def test_parts_are_gathered_in_the_domains_of_their_servers(divided):
    before = count_service_sends(divided)
    reply = await divided.call(
        "GET", "/shards/x", gateway=SLOW_LINK, request_id="divided"
    )
    after = count_service_sends(divided)
    assert [b - a for a, b in zip(before, after, strict=True)] == [0, 2, 1]
    headers = {name.lower(): value for name, value in reply.headers}
    signatures = headers[b"x-wisteriaworks-shard-stamps"].split(b", ")
    assert sorted(signatures) == [b"i%d.divided" % n for n in (1, 2, 3)]
    assert headers[b"x-wisteriaworks-missing-shards"] == b"0"
    records = [reply.content[i : i + 16] for i in range(0, len(reply.content), 16)]
    assert records == sorted(records, reverse=True)
    assert len(records) == 4
    assert count_runs(divided, "divided") == len(SHARDS)


async def test_other_delegates_take_the_group_of_a_stopping_one(divided):
    """The group then runs where its servers are not, and nothing is left out."""
    divided.gateways[FAST_LINKS["b"]].app.is_stopping = True
    before = count_service_sends(divided)
    reply = await divided.call("GET", "/shards/x", gateway=SLOW_LINK, request_id="one")
    after = count_service_sends(divided)
    assert reply.status == 200
    assert [b - a for a, b in zip(before, after, strict=True)] == [0, 3, 0]
    assert count_runs(divided, "one") == len(SHARDS)


async def test_late_group_does_not_keep_the_others_from_the_caller(divided):
    """A query that may lack a third of its parts is answered when it is due."""
    divided.servers[1].delay_s = 60.0
    with trio.fail_after(10):
        reply = await divided.call(
            "GET", "/shards/x", gateway=SLOW_LINK, deadline_ms=60000
        )
    headers = {name.lower(): value for name, value in reply.headers}
    assert reply.status == 200
    assert headers[b"x-wisteriaworks-missing-shards"] == b"1"
