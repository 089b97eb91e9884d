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
def test_only_primaries_add_tokens_up_to_the_cap(start, primaries, ratio, expected):
    budget = TokenBudget(start, cap=50.0)
    budget.deposit(primaries, ratio)
    withdrawn = 0
    while budget.has_token():
        budget.withdraw()
        withdrawn += 1
    assert withdrawn == expected


def test_withdrawal_without_a_token_is_an_error():
    with pytest.raises(AssertionError):
        TokenBudget(0.5).withdraw()
