"""Guard against uncounted violations and answers that depend on the partitioning.

A violation is a sub-query beyond the capacity of a cold server.
"""

import random

import msgspec
import pytest

from wisteriaworks.backend_protocol import SubqueryBody
from wisteriaworks.emulated_server import EmulatedServer, Refusal, list_hits
from wisteriaworks.generated.emulator import ColdStart, Profile

MAPS = [("a",), ("a", "b"), ("a", "b", "c", "d", "e")]


def _make_server(**profile):
    server = EmulatedServer("s", "i", 10, Profile(**profile), random.Random(1))
    server.add_snapshot(1, ("a", "b"), ("a",))
    return server


def _admit(server, now=0.0, shard="a", snapshot=1):
    body = SubqueryBody(msgspec.Raw(b"1"), shard, snapshot, 100.0, "r1/b1/1")
    return server.admit(body, now)


@pytest.mark.parametrize("partition_map", MAPS, ids=len)
def test_repartitioned_index_has_the_same_hits(partition_map):
    by_shard = list_hits("i", 20, b'{"q":1}', partition_map)
    hits = [hit for data in by_shard.values() for hit in msgspec.json.decode(data)]
    unpartitioned = msgspec.json.decode(list_hits("i", 20, b'{"q":1}', ("all",))["all"])
    assert sorted(hits, key=str) == sorted(unpartitioned, key=str)
    assert tuple(by_shard) == partition_map


@pytest.mark.parametrize("refuses", [False, True])
def test_cold_server_counts_a_violation(refuses):
    server = _make_server(cold=ColdStart(refuses=refuses))
    _admit(server)
    before = server.incarnation
    expected = Refusal.COLD if refuses else Refusal.SHEDDING
    assert _admit(server) is expected
    assert server.read_counters().violations == 1
    assert (server.incarnation == before) is refuses


def test_collapsed_server_refuses_and_is_cold_again():
    server = _make_server(start_cold=False, cold=ColdStart(collapse_s=2.0))
    server.collapse(10.0)
    assert _admit(server, now=11.9) is Refusal.SHEDDING
    assert not isinstance(_admit(server, now=12.0), Refusal)
    assert server.cold


def test_capacity_grows_with_service_time():
    server = _make_server(slots=3, cold=ColdStart(step_busy_s=0.1))
    server.finish(_admit(server, now=0.0), now=0.1)
    assert server.capacity == 2
    server.finish(_admit(server, now=1.0), now=1.2)
    assert not server.cold


def test_work_beyond_the_slots_waits_and_beyond_the_queue_is_shed():
    server = _make_server(start_cold=False, slots=1, queue=1)
    first, second = _admit(server), _admit(server)
    assert second.started_at is None
    assert _admit(server) is Refusal.SHEDDING
    assert server.finish(first, 1.0) is second
    assert second.started_at == 1.0


@pytest.mark.parametrize(
    ("fields", "refusal"),
    [
        ({"snapshot": 2}, Refusal.SNAPSHOT_GONE),
        ({"shard": "b"}, Refusal.UNKNOWN_SHARD),
    ],
)
def test_unknown_data_is_refused(fields, refusal):
    assert _admit(_make_server(), **fields) is refusal


def test_work_after_drain_is_refused_and_counted():
    server = _make_server()
    server.draining = True
    assert _admit(server) is Refusal.DRAINING
    assert server.read_counters().received_after_drain == 1
