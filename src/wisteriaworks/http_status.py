"""Decide whether the status of an HTTP answer is interim, final or malformed. No I/O.

Load pattern: servers in trouble send statuses outside the ranges of HTTP. The parsers
accept any three digits, so a status of 600 would reach callers as an answer, and one
of 099 would be followed by a wait for a final answer until the deadline.
"""

MIN_INTERIM_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


class MalformedStatusError(Exception):
    """Report a status that is neither interim nor final."""


def is_final_status(status):
    """Return whether a status is final; false for an interim one.

    Raises MalformedStatusError for a status outside 100 to 599.
    """
    if not MIN_INTERIM_STATUS <= status <= MAX_STATUS:
        raise MalformedStatusError(f"status {status}")
    return status >= MIN_FINAL_STATUS
