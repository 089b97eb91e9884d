"""Run the background tasks of an object."""

import contextlib

import trio


class BackgroundTasks:
    """Run tasks in ``_nursery`` while used as an asynchronous context manager.

    Leaving the context cancels the tasks and waits for their end.
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
