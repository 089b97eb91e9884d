"""Guard against extra load that grows with failures."""

import pytest

from wisteriaworks.budget import TokenBudget


@pytest.mark.parametrize(
    ("start", "primaries", "ratio", "expected"),
    [
        (0.0, 100, 0.05, 5),
        (2.0, 100, 0.1, 12),
        (0.0, 10**6, 0.1, 50),
        (0.0, 19, 0.05, 0),
    ],
)
def test_only_primaries_earn_tokens_up_to_the_cap(start, primaries, ratio, expected):
    budget = TokenBudget(start, cap=50.0)
    budget.deposit(primaries, ratio)
    taken = 0
    while budget.has_token():
        budget.withdraw()
        taken += 1
    assert taken == expected


def test_overdraft_is_a_fault_of_the_program():
    with pytest.raises(AssertionError):
        TokenBudget(0.5).withdraw()
