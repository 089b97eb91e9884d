"""Guard against gateways and members that find no control group by the seeds."""

import pytest
import trio
from platform_stand_in import make_servers
from test_gateway_system import make_configuration
from test_redirect import VotersSystem

from wisteriaworks.generated.messages import AnnounceMember

WITHOUT_DISK = 3


class RestartedSystem(VotersSystem):
    """Run three control processes without a disk, which are the seeds, and members."""

    domains = "abcabc"
    without_disk = WITHOUT_DISK
    tolerated_losses = 1

    @property
    def seed_hosts(self):
        return self.hosts[:WITHOUT_DISK]

    @property
    def member_hosts(self):
        return self.hosts[WITHOUT_DISK:]

    async def start(self):
        await self.start_servers()
        await self.start_all(found=True)
        await self.start_gateway(0)
        # The founder of the group closes its connections once.
        await self.wait_until_joined(len(self.member_hosts))
        reply = await self.order("PUT", "/api/config", make_configuration(5))
        assert reply.status == 200
        await self.wait_until(self.is_ready)

    async def start_all(self, found=False):
        for host in self.hosts:
            await self.start_control(host, found)

    def kill_seed(self, number):
        child = self.children[number]
        child.kill()
        child.wait()
        child.stderr.close()

    async def restart_seed(self, number):
        """Start a process without a disk again, which has forgotten the members."""
        self.kill_seed(number)
        await self.start_control(self.seed_hosts[number])
        self.children[number] = self.children.pop()

    async def kill_all(self):
        for number in range(WITHOUT_DISK):
            self.kill_seed(number)
        self.children.clear()
        for host in self.member_hosts:
            self.stop_control(host)
            await self.ended[host].wait()

    def name_seeds(self, *hosts):
        """Name other seeds in the settings of programs that start from now on."""
        port = self.seeds[0].rpartition(":")[2]
        self.seeds = tuple(f"{host}:{port}" for host in hosts)

    def lose_disk(self, host):
        for path in (self._folder / host).iterdir():
            path.unlink()

    async def assert_new_gateway_is_served(self):
        """Start a gateway that knows the seeds only, and send a request to it."""
        await self.start_gateway(1)
        await self.wait_until(lambda: self.is_ready(gateway=1))
        reply = await self.call("GET", "/plain/1", gateway=1)
        assert reply.status == 200

    async def wait_until_joined(self, count):
        """Wait until the group has so many members that are in contact."""

        async def has_joined():
            members = self.read_members()
            known = [
                member.program.node.replica.leader_address
                for member in self.control.values()
            ]
            return len({m.address for m in members}) == count and all(known)

        await self.wait_until(has_joined)


@pytest.fixture
async def system(nursery, tmp_path):
    system = RestartedSystem(nursery, tmp_path, make_servers(), 6, gateways=2)
    try:
        await system.start()
        yield system
    finally:
        for child in system.children:
            child.kill()
            child.wait()
            child.stderr.close()


@pytest.mark.parametrize("restarts", [1, 2])
async def test_restart_of_all_processes_with_seeds_without_a_disk(system, restarts):
    """No process told the seeds of the members: no gateway was served again."""
    for _ in range(restarts):
        await system.kill_all()
        await system.start_all()
        # The second restart comes while the group forms again.
        await trio.sleep(0.5)
    await system.assert_new_gateway_is_served()


async def test_announced_address_that_cannot_be_called_is_not_used(system):
    """A member that asks it for admission would stop to look for its group."""
    program = system.control[system.member_hosts[0]].program
    system.stop_control(system.member_hosts[1])
    system.stop_control(system.member_hosts[2])

    async def knows_no_leader():
        return program.node.replica.leader_address is None

    await system.wait_until(knows_no_leader)
    for address in ("x", "127.0.0.9:99999", "127.0.0.9:1"):
        await program._handle_announcement(AnnounceMember(address), None)
    assert set(program._announced) == {"127.0.0.9:1"}


async def test_one_seed_is_enough(system):
    """Two of the seeds are down for good."""
    await system.kill_all()
    await system.start_all()
    for number in (0, 2):
        system.kill_seed(number)
    del system.children[2], system.children[0]
    await system.assert_new_gateway_is_served()


async def test_rolling_restart_of_the_seeds(system):
    """Each seed forgets the members, the last one after the others have."""
    for number in range(WITHOUT_DISK):
        await system.restart_seed(number)
    await system.assert_new_gateway_is_served()


async def test_member_that_lost_its_disk_joins_by_seeds_without_a_disk(system):
    """It knows no member, and the seeds have forgotten them."""
    lost = system.member_hosts[0]
    await system.kill_all()
    system.lose_disk(lost)
    await system.start_all()
    await system.wait_until_joined(len(system.member_hosts))
    await system.assert_new_gateway_is_served()


async def test_member_that_lost_its_disk_joins_as_the_only_seed(system):
    """It knows no member, and asks nobody but itself."""
    lost = system.member_hosts[0]
    system.name_seeds(lost, "127.0.0.99", "127.0.0.98")
    await system.kill_all()
    system.lose_disk(lost)
    await system.start_all()
    await system.wait_until_joined(len(system.member_hosts))
    await system.assert_new_gateway_is_served()
