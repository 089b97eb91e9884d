"""Limit the extra load that hedges and retries put on backend servers."""

# Covers the sub-queries that fail at once when one entry out of ten is lost
# under full load; more failures than that are an outage.
CAP_TOKENS = 100.0
# A process that has just started must be able to retry its first failures.
START_TOKENS = 10.0


class TokenBudget:
    """Limit extra attempts by tokens that only primary attempts add.

    Extra attempts add no tokens, so that the budget cannot grow in an outage.
    """

    def __init__(self, start=START_TOKENS, cap=CAP_TOKENS):
        self._cap = cap
        self._tokens = start

    def deposit(self, primaries, ratio):
        """Add ``ratio`` tokens for each primary attempt, up to the cap."""
        self._tokens = min(self._cap, self._tokens + primaries * ratio)

    def has_token(self):
        """Return whether a token can be withdrawn."""
        return self._tokens >= 1.0

    def withdraw(self):
        """Withdraw one token for an attempt that is sent now."""
        assert self.has_token(), "the budget is overdrawn"
        self._tokens -= 1.0
