"""Check a concurrent history of the configuration as a versioned register."""

import itertools
from dataclasses import dataclass


@dataclass(frozen=True)
class Operation:
    """Describe one operation of kind ``write`` or ``read``.

    ``marker`` identifies the content that was written or read. For a write with an
    unknown outcome, ``version`` is None and ``ended_at`` is not used.
    """

    kind: str
    began_at: float
    ended_at: float
    version: int | None
    marker: int


def check_history(operations):
    """Raise AssertionError unless the history is linearizable."""
    known = [operation for operation in operations if operation.version is not None]
    writes = [operation for operation in known if operation.kind == "write"]
    unknown = {
        operation.marker for operation in operations if operation.version is None
    }
    versions = [operation.version for operation in writes]
    assert len(versions) == len(set(versions)), "two writes got the same version"
    markers = {operation.version: operation.marker for operation in writes}
    for operation in known:
        _check_marker(operation, markers, unknown)
    for first, second in itertools.permutations(known, 2):
        if first.ended_at < second.began_at:
            _check_order(first, second)


def _check_marker(operation, markers, unknown):
    if operation.version == 0:
        return
    expected = markers.setdefault(operation.version, operation.marker)
    assert operation.marker == expected, f"version {operation.version} has two contents"
    written = operation.kind == "write" or operation.marker in {
        *markers.values(),
        *unknown,
    }
    assert written, "a read returned content that was never written"


def _check_order(first, second):
    if second.kind == "write":
        assert first.version < second.version, "a later write got an older version"
    else:
        assert first.version <= second.version, "a later read returned an older version"
