"""Estimate the time of an answer from what a gateway has in flight itself.

Load pattern: 4 to 139 gateways choose at the same moment, and what they know of a
server's load from its answers is up to 2 s old. Then servers are overloaded in turn
while others are idle. The requests that the gateway itself has in flight are the only
fresh data, so they weigh more than their own work: a server that is slow to answer
them has queued those of other gateways as well. No I/O.
"""

# Weight of each request in flight, in shares of the work that one slot does. In
# simulated loads of six delegates 1 gives a p99 of 291 ms, 2 one of 260 ms, and more
# sends more requests to other domains.
IN_FLIGHT_WEIGHT = 2.0
# Weight of the time by which the oldest request in flight is late. A server that
# pauses for 250 ms is avoided before it counts as stalled.
LATE_WEIGHT = 3.0
# With two servers, all that one of them does not get goes to the other one, and often
# to another domain, so these services are balanced by the plain queue.
MIN_SERVERS = 3


def estimate_queue_s(work_s, in_flight, slots):
    """Return the expected seconds of an answer behind the requests in flight.

    ``work_s`` is the usual time of an answer.
    """
    return (1 + in_flight / max(1, slots)) * work_s


def estimate_loaded_s(work_s, in_flight, slots, oldest_s):
    """Return the same for the comparison of three servers or more.

    ``oldest_s`` is for how long the oldest request in flight has waited.
    """
    queue_s = estimate_queue_s(work_s, IN_FLIGHT_WEIGHT * in_flight, slots)
    return queue_s + LATE_WEIGHT * max(0.0, oldest_s - work_s)
