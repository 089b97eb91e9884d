"""Guard against a checker that accepts a history that is not linearizable."""

import pytest
from history import Operation, check_history


def write(version, began_at, ended_at, marker=None):
    return Operation("write", began_at, ended_at, version, marker or version)


def read(version, began_at, ended_at, marker=None):
    return Operation("read", began_at, ended_at, version, marker or version)


GOOD = [write(1, 0, 1), read(1, 0.5, 2), write(2, 1.5, 4), read(1, 2.5, 3)]


def test_good_history_passes():
    check_history(GOOD)


@pytest.mark.parametrize(
    "fault",
    [
        write(2, 5, 6, marker=9),
        write(1, 5, 6, marker=9),
        read(1, 5, 6),
        read(2, 5, 6, marker=9),
    ],
    ids=["same version", "older version", "stale read", "unwritten content"],
)
def test_fault_is_found(fault):
    with pytest.raises(AssertionError):
        check_history([*GOOD, fault])
