"""Background tasks: a base class for their owners, and restarts after errors."""

import contextlib

import trio

from wisteriaworks.errors import InvariantError
from wisteriaworks.events import log_failure

RESTART_PAUSE_S = 0.5


async def keep_running(task, *args):
    """Run a task; log an unexpected error and start the task again after a pause.

    Raises InvariantError, after which the process must not continue.
    """
    while True:
        try:
            return await task(*args)
        except InvariantError:
            raise
        except Exception as exc:
            log_failure(exc)
        await trio.sleep(RESTART_PAUSE_S)


class BackgroundTasks:
    """Provide a nursery to subclasses while used as an asynchronous context manager.

    Subclasses start their tasks in ``_nursery``. Leaving the context cancels the
    tasks and waits for their end.
    """

    def __init__(self):
        self._stack = contextlib.AsyncExitStack()
        self._nursery = None

    async def __aenter__(self):
        manager = trio.open_nursery()
        self._nursery = await self._stack.enter_async_context(manager)
        return self

    async def __aexit__(self, *exc_info):
        self._nursery.cancel_scope.cancel()
        return await self._stack.__aexit__(*exc_info)
