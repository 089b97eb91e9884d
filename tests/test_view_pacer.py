"""Guard against a new leader that sends the complete list to a large fleet at once."""

import msgspec
import pytest
from test_control_watch import StandInReplica, make_service
from test_fleet_updates import make_directory

from wisteriaworks import view_pacer
from wisteriaworks.generated.messages import Watch
from wisteriaworks.view_pacer import BURST_BYTES, BYTES_PER_S, ViewPacer


@pytest.mark.parametrize(("gateways", "size"), [(139, 13_000), (200, 17_000)])
def test_views_of_today_do_not_wait(gateways, size):
    pacer = ViewPacer()
    assert all(pacer.admit(size, 1.0) for _ in range(gateways))


@pytest.mark.parametrize("size", [500_000, 2 * BURST_BYTES])
def test_views_of_a_large_fleet_keep_to_the_rate(size):
    pacer, seconds = ViewPacer(), 20
    admitted = sum(pacer.admit(size, step / 100) for step in range(100 * seconds))
    assert admitted * size <= BURST_BYTES + BYTES_PER_S * seconds + size
    assert admitted * size >= 0.8 * BYTES_PER_S * seconds


def test_gateway_that_waits_for_its_view_gets_an_update_without_a_list(monkeypatch):
    """Without any update it would look for another leader."""
    monkeypatch.setattr(view_pacer, "BURST_BYTES", 1)
    service = make_service(StandInReplica(), make_directory())
    watch = Watch("g", 0, reads_packed=True)
    service._watches.append(watch)
    service._update_watches()
    service._view_pacer.admit(BURST_BYTES, 0.0)
    monkeypatch.setattr("trio.current_time", lambda: 0.0)
    update, revision = service._make_paced_update(watch, 0, 0)
    assert (update.list_read, update.packed_changes, revision) == (False, b"", 0)
    monkeypatch.setattr("trio.current_time", lambda: 9.0)
    update, revision = service._make_paced_update(watch, 0, 0)
    assert (update.list_read, update.full) == (True, True)
    assert revision == service._directory.revision
    assert msgspec.msgpack.encode(update)
