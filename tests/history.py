"""Check a concurrent history of the configuration as a versioned register."""

import itertools
from dataclasses import dataclass


@dataclass(frozen=True)
class Event:
    """Hold one finished operation: ``write`` or ``read``.

    ``marker`` is what was written or read; a write whose outcome is not known
    has no version and no end.
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
    assert len(versions) == len(set(versions)), "two writes got one version"
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
    assert written, "a read returned what nobody wrote"


def _check_order(first, second):
    if second.kind == "write":
        assert first.version < second.version, "a later write got an older version"
    else:
        assert first.version <= second.version, "a read went back in time"
