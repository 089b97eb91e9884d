"""Limit the extra load that hedges and retries put on backend servers."""

# Covers the sub-queries that break at once when one entry out of ten dies
# under full load; more than that is an outage.
CAP_TOKENS = 100.0
# A process that has just started must be able to retry its first failures.
START_TOKENS = 10.0


class TokenBudget:
    """Hand out tokens that only primary attempts earn.

    Extra attempts earn nothing, so that the budget cannot grow in an outage.
    """

    def __init__(self, start=START_TOKENS, cap=CAP_TOKENS):
        self._cap = cap
        self._tokens = start

    def earn(self, primaries, ratio):
        """Add ``ratio`` tokens for each primary attempt, up to the cap."""
        self._tokens = min(self._cap, self._tokens + primaries * ratio)

    def has_token(self):
        """Say whether ``take`` may be called."""
        return self._tokens >= 1.0

    def take(self):
        """Take one token for an attempt that is sent now."""
        assert self.has_token(), "the budget is overdrawn"
        self._tokens -= 1.0
