"""Limit the requests that a gateway sends to a new version.

Load pattern: about 20 requests/s reach a service through up to 139 gateways, of which
most send fewer than ten requests during a rollout. Each gateway keeps to a share of its
own sends, so the sum keeps to it too, whether or not the gateways reach control. No
I/O.
"""

# Part of the allowed share that is used while a rollout runs. The rest is left for the
# promotion, in which all requests go to the new version before its deadline.
USED_PART = 0.75
# Credit that accumulates while no server of the new version is usable.
MAX_CREDIT = 2.0


class ShareRule:
    """Count the sends of one gateway to one service.

    ``offset`` is a random number from 0 to 1. It spreads the first sends to the new
    version over the gateways, so that those with few requests contribute as well and
    the expected sum is the share of all sends.
    """

    def __init__(self, share, offset):
        self._share = share
        self._credit = offset

    @property
    def may_send(self):
        """Return whether the next send may go to the new version."""
        return self._credit + self._share >= 1.0

    def count(self, is_new):
        """Count a send to the new version or to another one."""
        credit = min(MAX_CREDIT, self._credit + self._share)
        # Below 0 only if no other version had a usable server.
        self._credit = max(0.0, credit - 1.0) if is_new else credit
