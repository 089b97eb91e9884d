"""Guard against copies of equal partition maps, and against changed reports."""

import pytest

from wisteriaworks import codec, partition_maps
from wisteriaworks.generated.messages import Route, ServerState, SnapshotReport
from wisteriaworks.partition_maps import PartitionMaps


def make_decoded_route(server):
    """Return a route that shares no objects with others, as after decoding."""
    report = SnapshotReport(1, ("s1", "s2"), ("s1",))
    route = Route(server, 7, "e:1", 1, ServerState.READY, False, (report,))
    return codec.decode(codec.encode(route))


def test_equal_maps_are_one_object():
    maps, routes = PartitionMaps(), [make_decoded_route("x"), make_decoded_route("y")]
    shared = [maps.share(route) for route in routes]
    first, second = (route.snapshots[0].partition_map for route in shared)
    assert shared == routes
    assert first is second


@pytest.mark.parametrize("limit", [1, 2])
def test_old_maps_are_dropped(limit, monkeypatch):
    monkeypatch.setattr(partition_maps, "MAX_MAPS", limit)
    maps = PartitionMaps()
    for number in range(5):
        report = SnapshotReport(number, (f"s{number}",), ())
        route = Route("x", 7, "e:1", 1, ServerState.READY, False, (report,))
        assert maps.share(route) == route
        assert len(maps._maps) <= limit
