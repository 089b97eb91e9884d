"""Guard against lost or invented commands after a restart of one member."""

import pytest
from control_fakes import make_settings

from wisteriaworks.errors import SettingsError
from wisteriaworks.single_replica import (
    NotLeaderError,
    SingleReplica,
    initialise_member,
)


class Recorder:
    """Stand in for a state machine."""

    def __init__(self):
        self.applied = []

    def apply(self, index, data):
        self.applied.append((index, data))
        return data.upper()


@pytest.fixture
def cfg(tmp_path):
    return make_settings(tmp_path / "d")


async def run(cfg, *commands):
    machine = Recorder()
    with SingleReplica(cfg, machine) as replica:
        results = [await replica.propose(data) for data in commands]
        return machine.applied, results, replica.term


async def test_restart_applies_the_same_commands_under_a_new_term(cfg):
    initialise_member(cfg)
    assert await run(cfg, b"a", b"b") == ([(1, b"a"), (2, b"b")], [b"A", b"B"], 1)
    assert await run(cfg, b"c") == ([(1, b"a"), (2, b"b"), (3, b"c")], [b"C"], 2)


@pytest.mark.parametrize("cut", [1, 3, 9, 12])
async def test_torn_tail_is_cut(cfg, tmp_path, cut):
    initialise_member(cfg)
    await run(cfg, b"a", b"bbbb")
    path = tmp_path / "d" / "single.log"
    path.write_bytes(path.read_bytes()[:-cut])
    assert (await run(cfg, b"c"))[0] == [(1, b"a"), (2, b"c")]
    assert (await run(cfg))[0] == [(1, b"a"), (2, b"c")]


async def test_two_processes_cannot_use_one_folder(cfg):
    initialise_member(cfg)
    with SingleReplica(cfg, Recorder()), pytest.raises(SettingsError):
        await run(cfg)


async def test_member_that_was_not_initialised_does_not_lead(cfg):
    with SingleReplica(cfg, Recorder()) as replica:
        with pytest.raises(NotLeaderError):
            await replica.propose(b"a")
        assert (replica.is_leader, replica.leader_address) == (False, "")
