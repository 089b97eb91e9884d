"""Guard against settings changes that are missed or that stop a process."""

from pathlib import Path

import pytest
import trio

from wisteriaworks.generated.settings import ControlSettings
from wisteriaworks.settings import load_settings
from wisteriaworks.settings_watch import INTERVAL_S, SettingsWatch

TEXT = """
name: c1
domain: a
address: 127.0.0.1:7001
admin: 127.0.0.1:7002
data_folder: /data
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(TEXT)
    return path


def make_watch(path):
    changes = []
    cfg = load_settings(path, ControlSettings)
    return SettingsWatch(path, cfg, changes.append), changes


async def test_change_without_a_signal_is_noticed(path, nursery, autojump_clock):
    watch, changes = make_watch(path)
    nursery.start_soon(watch.run)
    path.write_text(TEXT + "snapshot_every: 7\n")
    await trio.sleep(2 * INTERVAL_S)
    assert [cfg.snapshot_every for cfg in changes] == [7]


def test_change_before_the_watch_is_noticed(path):
    """A member that a full disk had stopped started with the seeds of long before."""
    changes, cfg = [], load_settings(path, ControlSettings)
    path.write_text(TEXT + "snapshot_every: 7\n")
    SettingsWatch(path, cfg, changes.append).check()
    assert [cfg.snapshot_every for cfg in changes] == [7]


def test_unchanged_file_changes_nothing(path):
    watch, changes = make_watch(path)
    watch.check()
    assert changes == []


@pytest.mark.parametrize(
    "data",
    [
        b"name: [",
        b"name: c1\n",
        TEXT.encode() + b"unknown: 1\n",
        pytest.param(b"name: \xc3", id="a character that is cut off"),
        pytest.param(b"[" * 5000, id="nested too deeply"),
    ],
)
def test_unusable_file_changes_nothing(path, data):
    watch, changes = make_watch(path)
    path.write_bytes(data)
    watch.check()
    assert changes == []


def test_missing_file_changes_nothing(path):
    watch, changes = make_watch(path)
    Path(path).unlink()
    watch.check()
    assert changes == []


def test_touched_file_changes_nothing(path):
    watch, changes = make_watch(path)
    path.write_text(TEXT + "\n# a comment\n")
    watch.check()
    assert changes == []
