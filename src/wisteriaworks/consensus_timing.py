"""The intervals of the replicated log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Hold the intervals of the replicated log, in seconds.

    A member that heard from a leader refuses votes for ``election_min_s``, and
    a leader that did not hear from a majority for that long steps down.
    """

    heartbeat_s: float = 0.15
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    # A pre-vote after a start finds out whether all voters have just started.
    # It is repeated at this pace while they start, which takes up to a second.
    first_prevote_min_s: float = 0.02
    first_prevote_max_s: float = 0.08
    starting_s: float = 3.0
    # Voters that have all just started may vote for different candidates; the
    # next try waits for the votes, which take two syncs and a round trip.
    restart_retry_min_s: float = 0.1
    restart_retry_max_s: float = 0.3
    # They start in the order of their ids, so that the first has most votes
    # before the next one starts; a round trip takes 2 to 4 ms, a sync 2 ms.
    restart_step_s: float = 0.03
    # A refused pre-vote costs nothing, so it is repeated sooner.
    prevote_retry_min_s: float = 0.25
    prevote_retry_max_s: float = 0.5
