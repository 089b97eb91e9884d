"""Guard against work sent to a draining server after a late or false status."""

import pytest

from wisteriaworks.backend_protocol import SnapshotBody, StatusBody
from wisteriaworks.generated.messages import ServerState
from wisteriaworks.server_status import ServerStatus


def _make_status(incarnation, state="ready"):
    return StatusBody(incarnation, state, (SnapshotBody(1, ("a",), ("a",)),))


@pytest.fixture
def drained():
    status = ServerStatus()
    status.update_from_status(_make_status("x1"))
    status.record_drain_refusal("x2")
    return status


@pytest.mark.parametrize(
    ("incarnation", "draining"), [("x1", True), ("x2", True), ("x3", False)]
)
def test_only_a_newer_incarnation_ends_a_drain(drained, incarnation, draining):
    drained.update_from_status(_make_status(incarnation))
    assert drained.is_draining is draining


def test_platform_list_stops_work_until_it_changes():
    status = ServerStatus()
    status.listed_leaving = True
    status.update_from_status(_make_status("x1"))
    assert status.describe(is_warm=True) is ServerState.DRAINING
    status.listed_leaving = False
    assert status.describe(is_warm=True) is ServerState.READY


def test_drain_seen_only_in_the_status_ends_with_the_status():
    status = ServerStatus()
    status.update_from_status(_make_status("x1", "draining"))
    assert status.is_draining
    status.update_from_status(_make_status("x1"))
    assert not status.is_draining


def test_first_incarnation_is_no_restart_and_late_ones_are_ignored():
    status = ServerStatus()
    assert not status.update_incarnation("x1")
    assert status.update_incarnation("x2")
    assert not status.update_incarnation("x1")
    assert status.incarnation == "x2"
