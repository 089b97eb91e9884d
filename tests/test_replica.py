"""Guard against lost commands when members restart, join or lose their disks."""

import contextlib
import itertools
import random
from types import SimpleNamespace

import msgspec
import pytest
import trio

from wisteriaworks import rpc
from wisteriaworks.consensus_timing import Timing
from wisteriaworks.effects import PersistVote
from wisteriaworks.errors import (
    MembershipError,
    NotLeaderError,
    ProposalOutcomeUnknownError,
    StorageError,
)
from wisteriaworks.generated.consensus import Deliver, PreVoteReply
from wisteriaworks.generated.messages import MemberAction
from wisteriaworks.log_store import LogStore, initialise
from wisteriaworks.membership_repair import MembershipRepairer
from wisteriaworks.replica import Replica

SNAPSHOT_EVERY = 50
WAIT_S = 30.0


class Commands:
    """Record all commands; the result of a command is its position."""

    def __init__(self):
        self.applied = []

    def apply(self, index, data):
        self.applied.append(data)
        return len(self.applied)

    def encode_snapshot(self):
        return msgspec.msgpack.encode(self.applied)

    def restore_snapshot(self, data):
        self.applied = msgspec.msgpack.decode(data, type=list[bytes])


class Host:
    """Run a restartable replica of one folder at one address."""

    def __init__(self, name, folder, nursery):
        self.name, self.folder = name, folder
        self.replica = None
        self.address = None
        self.leadership_changes = []
        self._nursery = nursery
        self._stopped = None

    async def listen(self):
        server = rpc.RpcServer({Deliver: self._handle})
        listeners = await self._nursery.start(server.serve, "127.0.0.1:0")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

    async def start(self, timing=None):
        self._timing = timing
        self._stopped = trio.Event()
        self._scope = await self._nursery.start(self._run)

    async def stop(self):
        self._scope.cancel()
        await self._stopped.wait()

    async def _handle(self, message, send):
        if self.replica is not None:
            await self.replica.handle_deliver(message, send)

    async def _run(self, task_status):
        self.commands = Commands()
        with LogStore(self.folder) as store, trio.CancelScope() as scope:
            self.replica = Replica(
                store,
                self.name,
                self.address,
                self.commands,
                random.Random(self.name),
                snapshot_every=SNAPSHOT_EVERY,
                timing=self._timing,
                on_leadership=self.leadership_changes.append,
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(self.replica.run)
                task_status.started(scope)
        self.replica = None
        self._stopped.set()


class Cluster:
    """Send commands to whichever replica leads."""

    def __init__(self, hosts):
        self.hosts = hosts
        self._markers = (b"end%d" % number for number in itertools.count())

    @property
    def running(self):
        return [host for host in self.hosts if host.replica is not None]

    async def find_leader(self):
        while True:
            for host in self.running:
                with contextlib.suppress(NotLeaderError):
                    await host.replica.confirm_leader()
                    return host
            await trio.sleep(0.02)

    async def propose(self, data):
        """Retry until a leader accepts the command, and return its result.

        Return None if the outcome is unknown.
        """
        while True:
            leader = await self.find_leader()
            try:
                return await leader.replica.propose(data)
            except NotLeaderError:
                continue
            except ProposalOutcomeUnknownError:
                return None

    async def propose_all(self, count, prefix):
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self.propose, b"%s%d" % (prefix, number))

    async def change(self, action, member_id, address=""):
        while True:
            leader = await self.find_leader()
            try:
                return await leader.replica.change_members(action, member_id, address)
            except (NotLeaderError, MembershipError, ProposalOutcomeUnknownError):
                if self._has_changed(leader, action, member_id):
                    return None
                await trio.sleep(0.05)

    def _has_changed(self, leader, action, member_id):
        voters = {m.id: m.voter for m in leader.replica.members}
        match action:
            case MemberAction.ADD_LEARNER:
                return member_id in voters
            case MemberAction.PROMOTE:
                return voters.get(member_id, False)
            case MemberAction.REMOVE:
                return member_id not in voters

    async def add(self, host):
        member_id = host.replica.id
        await self.change(MemberAction.ADD_LEARNER, member_id, host.address)
        await self.change(MemberAction.PROMOTE, member_id)

    async def wait_for_voter(self, member_id):
        while not self._has_changed(
            await self.find_leader(), MemberAction.PROMOTE, member_id
        ):
            await trio.sleep(0.02)

    async def settle(self):
        """Wait until all running replicas have applied the same commands."""
        marker = next(self._markers)
        await self.propose(marker)
        while any(h.commands.applied[-1:] != [marker] for h in self.running):
            await trio.sleep(0.02)
        first, *others = self.running
        for host in others:
            assert host.commands.applied == first.commands.applied
        return first.commands.applied


@pytest.fixture
async def cluster(tmp_path, nursery):
    """Return a cluster of three voters, of which c0 was initialised."""
    hosts = [Host(f"c{number}", tmp_path / f"c{number}", nursery) for number in "012"]
    for host in hosts:
        await host.listen()
    initialise(hosts[0].folder, "c0", hosts[0].address)
    for host in hosts:
        await host.start()
    new_cluster = Cluster(hosts)
    for host in hosts[1:]:
        await new_cluster.add(host)
    return new_cluster


async def test_commands_reach_all_members_in_one_order(cluster):
    results = [await cluster.propose(b"%d" % number) for number in range(20)]
    assert results == list(range(1, 21))
    assert await cluster.settle() == [b"%d" % n for n in range(20)] + [b"end0"]
    leader = await cluster.find_leader()
    assert leader.replica.is_leader
    assert leader.replica.became_leader_at is not None
    assert leader.leadership_changes[-1].is_leader
    for host in cluster.hosts:
        assert host.replica.leader_address == leader.address
        assert all(member.voter for member in host.replica.members)
        if host is not leader:
            assert host.replica.became_leader_at is None
            with pytest.raises(NotLeaderError) as caught:
                await host.replica.propose(b"no")
            assert caught.value.leader_address == leader.address


async def test_restart_from_snapshot_and_log_loses_no_command(cluster):
    await cluster.propose_all(300, b"a")
    await cluster.settle()
    for host in cluster.hosts:
        while not list(host.folder.glob("snapshot-*")):
            await trio.sleep(0.02)
    await cluster.propose_all(10, b"c")
    for host in cluster.hosts:
        await host.stop()
    for host in cluster.hosts:
        await host.start()
    await cluster.propose_all(10, b"b")
    applied = await cluster.settle()
    expected = {b"a%d" % n for n in range(300)} | {b"c%d" % n for n in range(10)}
    assert expected < set(applied)
    assert len(set(applied)) == len(applied)


async def test_others_continue_after_the_leader_stops(cluster):
    await cluster.propose_all(30, b"a")
    old = await cluster.find_leader()
    term = old.replica.term
    await old.stop()
    await cluster.propose_all(30, b"b")
    new = await cluster.find_leader()
    assert new.replica.term > term
    await old.start()
    applied = await cluster.settle()
    assert {b"a%d" % n for n in range(30)} < set(applied)


async def test_second_failure_after_a_replaced_disk_loses_no_command(cluster):
    await cluster.propose_all(200, b"a")
    lost = cluster.hosts[2]
    old_id = lost.replica.id
    await lost.stop()
    for path in lost.folder.iterdir():
        path.unlink()
    await lost.start()
    assert lost.replica.id != old_id
    await cluster.change(MemberAction.REMOVE, old_id)
    await cluster.add(lost)
    await cluster.hosts[1].stop()
    await cluster.propose_all(10, b"b")
    applied = await cluster.settle()
    assert {b"a%d" % n for n in range(200)} < set(applied)


async def _run_repairer(host):
    operators = SimpleNamespace(tolerated_losses=1)
    node = SimpleNamespace(
        replica=host.replica,
        is_stopping=False,
        cfg=SimpleNamespace(operators=operators),
    )
    await MembershipRepairer(node).run()


async def test_leaders_replaced_in_turn_leave_a_majority(cluster, tmp_path, nursery):
    """Lost leaders that stayed voters beside their successors ended the group."""
    for host in cluster.hosts:
        nursery.start_soon(_run_repairer, host)
    with trio.fail_after(WAIT_S):
        for name in ("c3", "c4", "c5", "c6"):
            successor = Host(name, tmp_path / name, nursery)
            await successor.listen()
            await successor.start()
            if len(cluster.hosts) > 3:
                lost = await cluster.find_leader()
                await lost.stop()
                cluster.hosts.remove(lost)
            cluster.hosts.append(successor)
            nursery.start_soon(_run_repairer, successor)
            member_id = successor.replica.id
            await cluster.change(MemberAction.ADD_LEARNER, member_id, successor.address)
            await cluster.wait_for_voter(member_id)
        await cluster.propose(b"a")


@pytest.mark.parametrize("lost", [(), (0,), (2,)])
async def test_group_that_lost_power_does_not_wait_for_a_lost_disk(cluster, lost):
    """The election after the start must not wait for the election timeout.

    The survivors would wait if the lost voter, which might lead, did not answer. The
    replacement reports that the voter's disk is lost.
    """
    await cluster.propose_all(20, b"a")
    old_ids = [host.replica.id for host in cluster.hosts]
    for host in cluster.hosts:
        await host.stop()
    for number in lost:
        for path in cluster.hosts[number].folder.iterdir():
            path.unlink()
    # The timeouts are too long for an election by timeout.
    timing = Timing(election_min_s=1e6, election_max_s=2e6)
    for host in cluster.hosts:
        await host.start(timing)
    with trio.fail_after(WAIT_S):
        await cluster.propose(b"b")
        for number in lost:
            await cluster.change(MemberAction.REMOVE, old_ids[number])
            await cluster.add(cluster.hosts[number])
        applied = await cluster.settle()
    assert {b"a%d" % n for n in range(20)} < set(applied)


async def test_message_for_an_old_identity_is_ignored(cluster):
    host = cluster.hosts[0]
    term = host.replica.term
    message = PreVoteReply(term=term + 9, sender="x", granted=False)
    for recipient in ("c0/old", host.replica.id):
        assert host.replica.term == term
        await host.replica.handle_deliver(
            Deliver(recipient=recipient, address="127.0.0.1:1", message=message), None
        )
    assert host.replica.term == term + 9


async def test_failing_disk_stops_the_member(tmp_path, monkeypatch):
    initialise(tmp_path, "c0", "127.0.0.1:1")
    with LogStore(tmp_path) as store:
        replica = Replica(store, "c0", "127.0.0.1:1", Commands(), random.Random(0))

        def fail(effects):
            assert any(isinstance(effect, PersistVote) for effect in effects)
            raise StorageError("disk full")

        monkeypatch.setattr(store, "write", fail)
        with pytest.raises(StorageError, match="disk full"):
            await replica.run()
        assert not replica.is_leader
