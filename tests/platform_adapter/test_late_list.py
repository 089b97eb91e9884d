"""Guard against a list of servers that arrives late and replaces a newer one."""

import trio
from platform_stand_in import StandInSystem, make_servers
from test_gateway_system import make_configuration

from wisteriaworks import list_reader

# Longer than a gateway takes to use a list that it has received.
SETTLE_S = 0.5


class LatePage:
    """Send the second page of the next read of the list only when released."""

    def __init__(self):
        self.is_held = False
        self._is_spent = False
        self._released = trio.Event()

    async def before_page(self, start):
        if start and not self._is_spent:
            self.is_held = self._is_spent = True
            await self._released.wait()
            self.is_held = False

    def release(self):
        self._released.set()


async def test_slow_read_of_a_gateway_does_not_replace_the_list_of_the_leader(
    nursery, tmp_path, monkeypatch
):
    """Servers that began to leave during the read got requests until their end."""
    monkeypatch.setattr(list_reader, "TIMEOUT_S", 60.0)
    monkeypatch.setattr(list_reader, "PAGE_TIMEOUT_S", 60.0)
    system = StandInSystem(nursery, tmp_path, make_servers(), gateways=1)
    await system.start()
    reply = await system.order("PUT", "/api/config", make_configuration(5))
    assert reply.status == 200
    await system.wait_until(system.is_ready)
    leaving, *others = system.servers

    async def gets_no_work():
        before = len(leaving.ran)
        for _ in range(5):
            await system.call("GET", "/plain/x")
        return len(leaving.ran) == before

    for host in system.hosts:
        system.stop_control(host)
    # A read of the leader that was under way has ended then, and none of the gateway
    # has begun.
    await trio.sleep(SETTLE_S)
    late_page = LatePage()
    system.list.before_page = late_page.before_page

    async def is_read():
        return late_page.is_held

    await system.wait_until(is_read)
    leaving.state = "draining"
    for host in system.hosts:
        await system.start_control(host)
    await system.wait_until(gets_no_work)
    late_page.release()
    await trio.sleep(SETTLE_S)
    assert not late_page.is_held
    assert await gets_no_work()
    assert sum(len(server.ran) for server in others) > 0
