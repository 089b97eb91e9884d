"""Estimate how long an answer takes from the decision to give it to its caller.

Load pattern: a query to many shards is answered with the parts that have arrived
when it is due. With a delegate's hop, a slow link or a busy processor on the way, a
constant margin makes half of the answers late by a few milliseconds. With several
delegates, the slowest one counts. No I/O.
"""

# Two round trips to a caller in another network, 3 ms away: the handshake of its
# connection, which the caller's clock includes, and the request with its answer.
CALLER_S = 0.012
# Weights of one observation in the mean and in the mean deviation.
MEAN_WEIGHT = 0.1
DEVIATION_WEIGHT = 0.1
# A late answer loses nine tenths of its value, and a part that arrives in the last
# milliseconds adds about one hundredth, so few answers may take longer than this.
DEVIATIONS = 4.0
# A frozen VM delays an answer by seconds, which says nothing about the next one.
MAX_OBSERVED_S = 0.05
# Largest part of an objective that is reserved for the return.
MAX_OBJECTIVE_SHARE = 0.4


class TravelTime:
    """Estimate a time that most observations do not exceed, in seconds."""

    def __init__(self, start_s):
        self._mean_s = start_s / 2
        self._deviation_s = start_s / 2 / DEVIATIONS

    def observe(self, time_s):
        """Record one observation."""
        error = min(max(time_s, 0.0), MAX_OBSERVED_S) - self._mean_s
        self._mean_s += MEAN_WEIGHT * error
        self._deviation_s += DEVIATION_WEIGHT * (abs(error) - self._deviation_s)

    def read(self):
        """Return the estimate."""
        return self._mean_s + DEVIATIONS * self._deviation_s


class ReturnTime:
    """Estimate the time from a decision at this gateway, or at a delegate, on."""

    def __init__(self):
        # From the decision to the last write to the caller.
        self.own = TravelTime(0.005)
        # By which a timer of this process is late.
        self.lag = TravelTime(0.002)
        # To the slowest of the delegates of a query and back, with its merge.
        self.hop = TravelTime(0.008)

    def estimate(self, objective_s, is_delegated=False):
        """Return the seconds to reserve; ``objective_s`` is 0 if there is none."""
        time_s = CALLER_S + self.own.read() + self.lag.read()
        if is_delegated:
            time_s += self.hop.read()
        if objective_s:
            time_s = min(time_s, MAX_OBJECTIVE_SHARE * objective_s)
        return time_s

    def estimate_hop(self, objective_s):
        """Return the seconds to reserve for the way from a delegate to this gateway."""
        delegated_s = self.estimate(objective_s, is_delegated=True)
        return delegated_s - self.estimate(objective_s)
