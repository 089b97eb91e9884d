"""Serve health, readiness and metrics over HTTP."""

import functools

import trio

from wisteriaworks.asgi import run_lifespan, send_response
from wisteriaworks.ingress.ingress import Ingress
from wisteriaworks.ingress.listener import serve

_HEADERS = ((b"content-type", b"text/plain; version=0.0.4; charset=utf-8"),)


class AdminApp:
    """Answer ``/health``, ``/ready`` and ``/metrics`` as an ASGI app.

    ``render_page(path)`` returns the body of any other page, or None.
    """

    def __init__(self, is_ready, metrics, render_page=lambda path: None):
        self._is_ready = is_ready
        self._metrics = metrics
        self._render_page = render_page

    async def __call__(self, scope, receive, send):
        match scope["type"]:
            case "lifespan":
                await run_lifespan(receive, send)
            case "http":
                await send_response(send, *self._answer(scope), _HEADERS)

    def _answer(self, scope):
        if scope["method"] not in ("GET", "HEAD"):
            return 405, b"method not allowed\n"
        match scope["path"]:
            case "/health":
                return 200, b"ok\n"
            case "/ready":
                return (200, b"ready\n") if self._is_ready() else (503, b"not ready\n")
            case "/metrics":
                return 200, self._metrics.render()
        page = self._render_page(scope["path"])
        return (404, b"not found\n") if page is None else (200, page)


async def serve_http(
    app,
    address,
    stop=None,
    ingress=None,
    is_private=False,
    *,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Serve an ASGI app at ``HOST:PORT`` until cancelled.

    When the event ``stop`` is set, close the listener and the idle
    connections, finish the running requests, and return. ``ingress`` has the limits
    that the ports of a process share.
    """
    public, private = ((), [address]) if is_private else ([address], ())
    ingress = ingress or Ingress()
    run = functools.partial(serve, app, public, ingress, private, stop)
    await run(task_status=task_status)
