"""Wake the readers of a claim when its state is final."""

import trio


class ClaimWaiters:
    """Store one event for each claim that has waiting readers."""

    def __init__(self):
        self._events = {}

    def notify(self, key):
        """Wake the readers that wait for a claim."""
        event = self._events.pop(key, None)
        if event is not None:
            event.set()

    def notify_all(self):
        """Wake all readers, when this member stops or is no longer the leader."""
        for key in tuple(self._events):
            self.notify(key)

    async def wait(self, key, deadline):
        """Wait until the claim may have changed, at most until the deadline."""
        event = self._events.setdefault(key, trio.Event())
        with trio.move_on_at(deadline):
            await event.wait()
