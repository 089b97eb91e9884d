"""Share one read among the callers that wait for it at the same time.

Load pattern: many callers ask for the same large state at once, and each answer would
be fetched and held on its own.
"""

from dataclasses import dataclass
from typing import Any

import trio


@dataclass(eq=False, slots=True)
class _Batch:
    """Represent the callers that get the result of one read."""

    is_done: bool = False
    result: Any = None
    exc: Exception | None = None


class SharedRead:
    """Run ``await read()`` for all callers that came before it began.

    No caller gets a result that was read before its call. An exception of a kind in
    ``errors`` is raised for all of them.
    """

    def __init__(self, read, errors):
        self._read = read
        self._errors = errors
        self._lock = trio.Lock()
        self._waiting = None

    async def run(self):
        """Return the result of a read that began after this call."""
        batch = self._waiting = self._waiting or _Batch()
        async with self._lock:
            if not batch.is_done:
                # Callers from now on need a later read.
                self._waiting = None
                await self._run(batch)
        if batch.exc is not None:
            raise batch.exc
        return batch.result

    async def _run(self, batch):
        try:
            batch.result = await self._read()
        except self._errors as exc:
            batch.exc = exc
        batch.is_done = True
