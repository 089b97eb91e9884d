"""Guard against configurations that are lost, applied twice or reverted.

Three control processes are suspended, killed, restarted and replaced after the
loss of a disk, while operators make competing changes and resend them. The test
checks the history of all reads and changes.
"""

import itertools
import random
import shutil
import signal

import msgspec
import trio
from history import Operation, check_history

from wisteriaworks.errors import ControlError
from wisteriaworks.generated.document import Document, Limits
from wisteriaworks.generated.messages import (
    MemberAction,
    ProposeConfiguration,
    ProposeResult,
    ReadConfiguration,
)
from wisteriaworks.local_layout import IndexLayout, Layout
from wisteriaworks.local_system import LocalSystem, create_id

LAYOUT = Layout(domains=("a", "b", "c"), indexes=(IndexLayout("i", replica_sets=1),))
ATTEMPT_TIMEOUT_S = 3.0
# Unique values of max_running, which identify the document of each change.
MARKERS = itertools.count(1000)


class Operators:
    """Make competing reads and changes, and record their results."""

    def __init__(self, control):
        self._control = control
        self.operations = []
        self.accepted = 0

    async def write(self, rng):
        """Propose changes until cancelled; resend a change whose answer is lost."""
        while True:
            base = await self._call(ReadConfiguration())
            marker = next(MARKERS)
            document = Document(limits=Limits(max_running=marker))
            message = ProposeConfiguration(create_id(), base.version, document)
            began_at = trio.current_time()
            # A change without an answer may be applied at any later time.
            operation = Operation("write", began_at, float("inf"), None, marker)
            self.operations.append(operation)
            reply = await self._call(message)
            self.operations.remove(operation)
            if reply.result is ProposeResult.ACCEPTED:
                self.accepted += 1
                self._record("write", began_at, reply.version, marker)
            await trio.sleep(rng.uniform(0.0, 0.1))

    async def read(self, rng):
        """Read the configuration until cancelled."""
        while True:
            began_at = trio.current_time()
            reply = await self._call(ReadConfiguration())
            marker = reply.document.limits.max_running
            self._record("read", began_at, reply.version, marker)
            await trio.sleep(rng.uniform(0.0, 0.1))

    async def _call(self, message):
        while True:
            try:
                return await self._control.call(message, ATTEMPT_TIMEOUT_S)
            except ControlError:
                await trio.sleep(0.05)

    def _record(self, kind, began_at, version, marker):
        ended_at = trio.current_time()
        self.operations.append(Operation(kind, began_at, ended_at, version, marker))

    async def wait_for_progress(self, count=5):
        """Wait until ``count`` more changes were accepted."""
        target = self.accepted + count
        with trio.fail_after(60):
            while self.accepted < target:
                await trio.sleep(0.05)


async def find_leader(system):
    status = await system.read_status()
    return next(c for c in system.control_settings if c.address == status.leader)


async def freeze_leader(system, operators):
    """A leader that was suspended must not revert changes when it resumes."""
    leader = await find_leader(system)
    system.controls[leader.name].set_frozen(True)
    await operators.wait_for_progress()
    system.controls[leader.name].set_frozen(False)
    await operators.wait_for_progress()


async def kill_leader(system, operators):
    leader = await find_leader(system)
    await system.controls[leader.name].kill()
    await operators.wait_for_progress()
    await system.start_control_member(leader)
    await operators.wait_for_progress()


async def lose_disk_and_then_another_member(system, operators):
    """A member with a new disk must not vote as the old member.

    The group must then tolerate the loss of another member.
    """
    status = await system.read_status()
    lost = system.control_settings[2]
    old_id = next(m.id for m in status.members if m.address == lost.address)
    await system.controls[lost.name].kill()
    shutil.rmtree(lost.data_folder)
    await system.start_control_member(lost)
    assert await system.read_member_id(lost) != old_id
    await system.change_members(MemberAction.REMOVE, old_id)
    await system.add_member(lost)
    second = system.control_settings[1]
    await system.controls[second.name].kill()
    await operators.wait_for_progress()
    await system.start_control_member(second)
    await operators.wait_for_progress()


async def restart_all(system, operators):
    """All members must restore the latest state after hundreds of changes."""
    for process in system.controls.values():
        process.send_signal(signal.SIGKILL)
    for cfg in system.control_settings:
        await system.controls[cfg.name].wait()
        await system.start_control_member(cfg)
    await operators.wait_for_progress()


async def run_faults(folder):
    async with LocalSystem(LAYOUT, folder) as system:
        system.control_settings = tuple(
            msgspec.structs.replace(cfg, platform=None, snapshot_every=100)
            for cfg in system.control_settings
        )
        await system.start_control_group()
        operators = Operators(system.control)
        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(operators.write, random.Random(number))
                nursery.start_soon(operators.read, random.Random(10 + number))
            await operators.wait_for_progress(150)
            for fault in (
                freeze_leader,
                kill_leader,
                lose_disk_and_then_another_member,
                restart_all,
            ):
                print(f"fault {fault.__name__}", flush=True)
                await fault(system, operators)
            nursery.cancel_scope.cancel()
        print(f"{operators.accepted} changes, {len(operators.operations)} operations")
        check_history(operators.operations)


def test_configuration_history(tmp_path):
    trio.run(run_faults, tmp_path)
