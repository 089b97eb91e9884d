"""Guard against members that end, or acknowledge what is lost, when a disk is full."""

import contextlib
import errno
import functools
import itertools
import os
import random

import httpcore
import pytest
import trio
from platform_stand_in import StandInSystem, make_servers
from test_gateway_system import make_configuration

from wisteriaworks import log_segments, member_supervisor, records
from wisteriaworks.control import ControlProgram, create_group_if_first_seed
from wisteriaworks.errors import InvariantError, StorageError
from wisteriaworks.member_supervisor import MemberSupervisor, has_room, is_disk_full
from wisteriaworks.metrics import create_unexported_metrics


def make_error(code):
    error = StorageError("cannot write")
    error.__cause__ = OSError(code, "cannot write")
    return error


@pytest.mark.parametrize(
    ("exc", "expected"),
    [
        (make_error(errno.ENOSPC), True),
        (make_error(errno.EIO), False),
        (StorageError("damaged"), False),
        (ExceptionGroup("g", [ExceptionGroup("h", [make_error(errno.EDQUOT)])]), True),
        (ExceptionGroup("g", [make_error(errno.ENOSPC), InvariantError("x")]), False),
    ],
)
def test_only_a_full_disk_is_waited_for(exc, expected):
    assert is_disk_full(exc) is expected


def test_check_for_room_leaves_no_file(tmp_path, monkeypatch):
    assert has_room(tmp_path)

    def fail(fd, data):
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(member_supervisor, "write_all", fail)
    assert not has_room(tmp_path)
    assert list(tmp_path.iterdir()) == []


def test_snapshot_that_did_not_fit_does_not_keep_the_disk_full(tmp_path, monkeypatch):
    """The member waited for room that only the deletion of its own file gives."""
    left_behind = tmp_path / "snapshot-7.tmp"
    left_behind.touch()

    def write(fd, data):
        if left_behind.exists():
            raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(member_supervisor, "write_all", write)
    assert has_room(tmp_path)


class FullDisks:
    """Let writes to paths with some prefixes fail as on a full disk.

    What still fits is written, the rest is not.
    """

    def __init__(self, monkeypatch):
        self.prefixes = set()
        for module in (log_segments, member_supervisor, records):
            monkeypatch.setattr(module, "write_all", self._write)

    def _write(self, fd, data):
        path = os.readlink(f"/proc/self/fd/{fd}")
        if any(map(path.startswith, self.prefixes)):
            os.write(fd, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "full")
        os.write(fd, data)


class SupervisedSystem(StandInSystem):
    async def start_control(self, host, found=False):
        cfg = self.make_control_settings(host, found)
        supervisor = MemberSupervisor(
            lambda: ControlProgram(cfg, create_unexported_metrics()),
            cfg.data_folder,
            functools.partial(create_group_if_first_seed, cfg),
        )
        await self._nursery.start(self._run, host, supervisor)
        self.control[host] = supervisor

    def find_leader(self):
        return next(
            (
                host
                for host, member in self.control.items()
                if member.program and member.program.node.replica.is_leader
            ),
            None,
        )


async def order(system, version, hosts):
    """Send a configuration to the hosts in turn until it is acknowledged."""
    for host in itertools.cycle(hosts):
        with contextlib.suppress(httpcore.NetworkError, httpcore.RemoteProtocolError):
            body = make_configuration(version)
            reply = await system.order("PUT", "/api/config", body, host)
            assert reply.status == 200
            return
        await trio.sleep(0.1)


async def test_leader_with_a_full_disk_waits_and_joins_again(
    nursery, tmp_path, monkeypatch
):
    """It ended with exit code 6, again after each restart while the disk was full."""
    disks = FullDisks(monkeypatch)
    system = SupervisedSystem(nursery, tmp_path, make_servers(), gateways=1)
    await system.start()
    await order(system, 5, system.hosts)
    full = system.find_leader()
    disks.prefixes.add(str(tmp_path / full))
    await order(system, 6, system.hosts)

    async def waits():
        return system.control[full].program is None

    await system.wait_until(waits)
    others = [host for host in system.hosts if host != full]
    await order(system, 7, others)
    assert system.find_leader() != full
    await trio.sleep(2 * member_supervisor.CHECK_INTERVAL_S)
    disks.prefixes.clear()

    async def has_caught_up():
        program = system.control[full].program
        return program is not None and program.node.machine.version == 7

    await system.wait_until(has_caught_up)


@pytest.mark.parametrize("seed", range(2))
async def test_changes_go_on_after_disks_were_full_one_after_another(
    nursery, tmp_path, monkeypatch, seed
):
    """Changes were refused for good elsewhere, while all processes ran."""
    rng, disks = random.Random(seed), FullDisks(monkeypatch)
    system = SupervisedSystem(nursery, tmp_path, make_servers(), members=4, gateways=1)
    await system.start()
    await order(system, 5, system.hosts)
    versions = itertools.count(6)

    async def change_often():
        while True:
            await order(system, next(versions), system.hosts)

    async with trio.open_nursery() as changes:
        changes.start_soon(change_often)
        for host in rng.sample(system.hosts, 4) + rng.sample(system.hosts, 4):
            disks.prefixes.add(str(tmp_path / host))
            await trio.sleep(rng.uniform(0.2, 1.5))
            disks.prefixes.clear()
            await trio.sleep(rng.uniform(0.0, 0.3))
        changes.cancel_scope.cancel()
    for host in system.hosts:
        await order(system, next(versions), [host])


@pytest.mark.parametrize("file", ["", "log-"])
async def test_group_forms_after_the_disk_of_the_first_seed_was_full(
    nursery, tmp_path, monkeypatch, file
):
    """It ended, and took what it had written for a member of an existing group."""
    disks = FullDisks(monkeypatch)
    system = SupervisedSystem(nursery, tmp_path, make_servers(), gateways=1)
    disks.prefixes.add(str(tmp_path / system.hosts[0] / file))
    await system.start()
    await trio.sleep(3 * member_supervisor.CHECK_INTERVAL_S)
    assert system.find_leader() is None
    disks.prefixes.clear()
    await order(system, 5, system.hosts)
