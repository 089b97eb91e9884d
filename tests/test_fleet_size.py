"""Guard against budgets that grow when gateways are merely out of reach.

On day hunt-d9a9-19 three of nine gateways were cut off from control; the other
six took the whole slack and a service got 161 repeats where 138 are allowed.
"""

from wisteriaworks.fleet_size import SHRINK_AFTER_S, FleetSize


def play(watching, recorded=0, step_s=1.0):
    """Return what is recorded after each step."""
    size, history = FleetSize(), []
    for number, count in enumerate(watching):
        recorded = size.choose(recorded, count, number * step_s) or recorded
        history.append(recorded)
    return history


def test_number_grows_at_once():
    assert play([1, 4, 9]) == [1, 4, 9]


def test_gateways_that_are_cut_off_still_count():
    assert play([9] * 5 + [6] * 30 + [9])[-2:] == [9, 9]


def test_new_leader_does_not_begin_with_the_first_gateway():
    assert play([1, 2, 3], recorded=9) == [9, 9, 9]


def test_gateways_that_are_gone_for_good_are_forgotten():
    steps = int(SHRINK_AFTER_S) + 2
    assert play([9] + [6] * steps)[-1] == 6
