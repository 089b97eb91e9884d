"""Wake the readers of a claim when it reaches a final state."""

import trio


class ClaimWaiters:
    """Hold one event per claim that is waited for."""

    def __init__(self):
        self._events = {}

    def notify(self, key):
        """Wake those who wait for a claim."""
        event = self._events.pop(key, None)
        if event is not None:
            event.set()

    def notify_all(self):
        """Wake everyone, because this member stops or no longer leads."""
        for key in tuple(self._events):
            self.notify(key)

    async def wait(self, key, deadline):
        """Return when the claim may have changed, or at the deadline."""
        event = self._events.setdefault(key, trio.Event())
        with trio.move_on_at(deadline):
            await event.wait()
