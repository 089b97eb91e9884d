"""Guard against limits of accounts that do not reach requests or outlive control."""

import json

import msgspec
import pytest
from platform_stand_in import StandInSystem, make_servers
from test_gateway_system import make_configuration

from wisteriaworks.generated.settings import QuotaSettings

CFG = QuotaSettings(slack=5.0)
BOUND = 12


class QuotaSystem(StandInSystem):
    """Run the programs with limits on accounts."""

    def make_control_settings(self, host, found=False):
        cfg = super().make_control_settings(host, found)
        operators = msgspec.structs.replace(cfg.operators, quotas=CFG)
        return msgspec.structs.replace(cfg, operators=operators)

    def make_gateway_settings(self, number, admin=None):
        cfg = super().make_gateway_settings(number, admin)
        return msgspec.structs.replace(cfg, quotas=CFG)


def make_document():
    """Return a configuration in which the name of an account is also its key."""
    document = json.loads(make_configuration(5))
    document["tenants"] = [
        {"name": "small", "apiKeys": ["small"], "ratePerS": 1, "burstSize": 2},
        {"name": "free", "apiKeys": ["free"]},
    ]
    return json.dumps(document).encode()


@pytest.fixture
async def system(nursery, tmp_path):
    system = QuotaSystem(nursery, tmp_path, make_servers())
    await system.start()
    reply = await system.order("PUT", "/api/config", make_document())
    assert reply.status == 200
    for gateway in (0, 1):
        await system.wait_until(lambda gateway=gateway: system.is_ready(gateway))
    return system


async def send(system, account, number):
    return await system.call(
        "GET",
        "/plain/x",
        gateway=number % 2,
        request_id=f"{account}-{number}",
        credential=account,
    )


async def test_account_over_its_limit_is_refused_at_all_gateways(system):
    replies = [await send(system, "small", number) for number in range(60)]
    served = [reply for reply in replies if reply.status == 200]
    refused = [reply for reply in replies if reply.status in (429, 503)]
    assert len(served) + len(refused) == len(replies)
    assert len(served) <= BOUND
    assert all(float(dict(r.headers)[b"retry-after"]) > 0 for r in refused)
    # Other accounts are not affected.
    assert (await send(system, "free", 1)).status == 200


async def test_requests_run_again_under_the_next_leader(system):
    await system.wait_until(lambda: _is_served(system, "small"))
    system.stop_control(system.find_leader())
    await system.wait_until(lambda: _is_served(system, "small"))


async def test_without_control_nothing_runs_once_permissions_have_ended(system):
    for host in tuple(system.control):
        system.stop_control(host)

    async def is_unavailable():
        reply = await send(system, "small", 0)
        return reply.status == 503 and reply.content == b"quota_unavailable"

    await system.wait_until(is_unavailable)
    assert (await send(system, "free", 1)).status == 200


async def _is_served(system, account):
    return (await send(system, account, 0)).status == 200
