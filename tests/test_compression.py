"""Guard against configurations that take too long to reach all gateways."""

import pytest
from gateway_fakes import make_route

from wisteriaworks.compression import MINIMUM_BYTES, compress, decompress
from wisteriaworks.document_codec import pack_document, unpack_document
from wisteriaworks.generated.commands import RaiseConfiguration
from wisteriaworks.generated.document import Document, Service
from wisteriaworks.state_machine import StateMachine, encode_command

SHARDS = tuple(f"service{n:03d}x" for n in range(90))
GATEWAYS = 63
LEADER_BYTES_PER_S = 100e6 / 8
APPLY_S = 4.0


@pytest.fixture(scope="module")
def large_document():
    """Return a configuration of 1,250 routes, each to 90 shards."""
    routes = tuple(
        make_route(name=f"r{n}", path_prefix=f"/p{n}/", shards=SHARDS)
        for n in range(1250)
    )
    return Document(
        routes=routes, services=dict.fromkeys(SHARDS, Service(connections=9))
    )


def test_large_configuration_reaches_all_gateways_in_time(large_document):
    """Sending the configuration uncompressed would exceed the time limit.

    Uncompressed, the configuration has more than 1.2 MB, which the leader sends to
    each of 63 gateways over its 100 Mbit/s link. Compressed, it may use a quarter of
    the time limit.
    """
    packed = pack_document(large_document)
    assert GATEWAYS * len(packed) / LEADER_BYTES_PER_S < APPLY_S / 4
    assert unpack_document(packed) == large_document


def test_large_command_and_snapshot_are_small_and_complete(large_document):
    source = b'{"routes":[]}' * 50_000
    command = encode_command(RaiseConfiguration(7, large_document, source), 1)
    assert len(command) < 200_000
    machine = StateMachine()
    machine.apply(1, command)
    snapshot = machine.encode_snapshot()
    assert len(snapshot) < 200_000
    restored = StateMachine()
    restored.restore_snapshot(snapshot)
    assert (restored.version, restored.source) == (7, source)
    assert restored.document == large_document


@pytest.mark.parametrize("size", [0, 1, MINIMUM_BYTES - 1, MINIMUM_BYTES, 1_000_000])
def test_any_value_is_restored(size):
    data = b"\x90" * size
    assert decompress(compress(data)) == data


def test_damaged_value_is_an_error():
    with pytest.raises(ValueError, match="cannot decompress"):
        decompress(compress(bytes(MINIMUM_BYTES))[:-9] + b"x")
