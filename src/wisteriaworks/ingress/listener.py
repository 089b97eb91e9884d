"""Serve an ASGI app on some ports until a stop."""

import contextlib
import functools

import trio

from wisteriaworks.ingress.connection import Connection
from wisteriaworks.rpc import split_address

BACKLOG = 1024
GRACEFUL_TIMEOUT_S = 30.0


async def serve(
    app,
    addresses,
    ingress,
    private=(),
    stop=None,
    graceful_timeout_s=GRACEFUL_TIMEOUT_S,
    *,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Serve an ASGI app at each ``HOST:PORT`` until cancelled.

    The connections to ``private`` addresses, which are not for clients, have a limit
    of their own. When the event ``stop`` is set, close the listeners and the idle
    connections, finish the running requests within ``graceful_timeout_s``, and return.
    """
    async with contextlib.AsyncExitStack() as stack:
        ports = [(await _listen(a, stack), True) for a in addresses]
        ports += [(await _listen(a, stack), False) for a in private]
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as acceptors:
                for listener, is_public in ports:
                    handler = functools.partial(_handle, app, ingress, is_public)
                    accept = functools.partial(
                        trio.serve_listeners, handler_nursery=nursery
                    )
                    acceptors.start_soon(accept, handler, [listener])
                task_status.started([_describe(listener) for listener, _ in ports])
                await (trio.sleep_forever() if stop is None else stop.wait())
                acceptors.cancel_scope.cancel()
            ingress.stop()
            nursery.cancel_scope.deadline = trio.current_time() + graceful_timeout_s


async def _listen(address, stack):
    host, port = split_address(address)
    (listener,) = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    return await stack.enter_async_context(listener)


def _describe(listener):
    host, port = listener.socket.getsockname()[:2]
    return f"http://{host}:{port}"


async def _handle(app, ingress, is_public, stream):
    try:
        server = stream.socket.getsockname()[:2]
        peer = stream.socket.getpeername()[:2]
    except OSError:
        await trio.aclose_forcefully(stream)
        return
    await Connection(stream, app, ingress, server, peer, is_public).run()
