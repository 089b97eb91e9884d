"""Guard against acknowledged configurations that two lost control disks destroy."""

import shutil

import pytest
from platform_stand_in import make_servers
from test_gateway_system import make_configuration
from test_redirect import VotersSystem


@pytest.mark.parametrize("has_leader", [True, False])
@pytest.mark.parametrize("all_restart", [True, False])
async def test_configuration_survives_two_lost_disks(
    nursery, tmp_path, has_leader, all_restart
):
    """With three voters no leader was elected again and nothing could be read."""
    system = VotersSystem(nursery, tmp_path, make_servers(), 6, gateways=0)
    system.domains = "aabbcc"
    await system.start()

    lost_ids = set()

    async def has_five_voters():
        voters = {member.id for member in system.read_members() if member.voter}
        return len(voters - lost_ids) == 5

    await system.wait_until(has_five_voters)
    body = make_configuration(5)
    assert (await system.order("PUT", "/api/config", body)).status == 200
    hosts = [m.address.split(":")[0] for m in system.read_members() if m.voter]
    leader = next(
        host
        for host, member in system.control.items()
        if member.program.node.replica.is_leader
    )
    others = [host for host in hosts if host != leader]
    lost = [leader, others[0]] if has_leader else others[:2]
    lost_ids |= {system.control[host].program.node.replica.id for host in lost}
    stopped = system.hosts if all_restart else lost
    for host in stopped:
        system.stop_control(host)
        await system.ended[host].wait()
    for host in lost:
        shutil.rmtree(tmp_path / host)
    for host in stopped:
        await system.start_control(host)
    reply = await system.order("GET", "/api/config")
    assert (reply.status, reply.content) == (200, body)
    # The lost voters have been replaced, so two more may be lost.
    await system.wait_until(has_five_voters)
