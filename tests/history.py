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


def check_history(events):
    """Raise AssertionError unless the history is linearizable."""
    known = [event for event in events if event.version is not None]
    writes = [event for event in known if event.kind == "write"]
    unknown = {event.marker for event in events if event.version is None}
    versions = [event.version for event in writes]
    assert len(versions) == len(set(versions)), "two writes got the same version"
    markers = {event.version: event.marker for event in writes}
    for event in known:
        _check_marker(event, markers, unknown)
    for first, second in itertools.permutations(known, 2):
        if first.ended_at < second.began_at:
            _check_order(first, second)


def _check_marker(event, markers, unknown):
    if event.version == 0:
        return
    expected = markers.setdefault(event.version, event.marker)
    assert event.marker == expected, f"version {event.version} has two contents"
    written = event.kind == "write" or event.marker in {*markers.values(), *unknown}
    assert written, "a read returned content that was never written"


def _check_order(first, second):
    if second.kind == "write":
        assert first.version < second.version, "a later write got an older version"
    else:
        assert first.version <= second.version, "a later read returned an older version"
