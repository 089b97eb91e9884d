"""Guard against budgets that grow when gateways are cut off from control.

When three of nine gateways were cut off, they continued to send, but the other
six divided the entire ``slack`` of the retry budget among themselves. One service
received 161 repeated queries where 138 are allowed.
"""

from wisteriaworks.fleet_size import SHRINK_AFTER_S, FleetSize


def record_sizes(watcher_counts, recorded=0, step_s=1.0):
    """Return the number recorded after each step."""
    size, history = FleetSize(), []
    for number, count in enumerate(watcher_counts):
        recorded = size.choose(recorded, count, number * step_s) or recorded
        history.append(recorded)
    return history


def test_number_grows_at_once():
    assert record_sizes([1, 4, 9]) == [1, 4, 9]


def test_gateways_that_are_cut_off_still_count():
    assert record_sizes([9] * 5 + [6] * 30 + [9])[-2:] == [9, 9]


def test_new_leader_does_not_start_with_the_first_gateway():
    assert record_sizes([1, 2, 3], recorded=9) == [9, 9, 9]


def test_gateways_absent_for_long_no_longer_count():
    steps = int(SHRINK_AFTER_S) + 2
    assert record_sizes([9] + [6] * steps)[-1] == 6
