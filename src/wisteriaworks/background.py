"""A base class for objects with background tasks."""

import contextlib

import trio


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
