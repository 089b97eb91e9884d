"""The timeouts and intervals of the replicated log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Define the timeouts and intervals of the replicated log, in seconds.

    After its start, a granted vote or contact with a leader, a member refuses votes
    for ``election_min_s``. A leader without contact with a majority for that long
    steps down.
    """

    heartbeat_s: float = 0.15
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    # A pre-vote after a start determines whether all voters have just started.
    # It is repeated at this interval for up to startup_period_s, since
    # it takes up to 1 s until all voters have started.
    first_prevote_min_s: float = 0.02
    first_prevote_max_s: float = 0.08
    startup_period_s: float = 3.0
    # Voters that have all just started may split their votes. The next attempt
    # waits until all votes are in, which takes two syncs and a round trip.
    restart_retry_min_s: float = 0.1
    restart_retry_max_s: float = 0.3
    # Voters that have all just started begin their elections in the order of their
    # ids, at this interval, so that the first one has a majority before the next
    # one begins.
    # A round trip takes 2 to 4 ms and a sync 2 ms.
    restart_step_s: float = 0.03
    # A refused pre-vote changes no state, so it is retried sooner than an
    # election.
    prevote_retry_min_s: float = 0.25
    prevote_retry_max_s: float = 0.5
