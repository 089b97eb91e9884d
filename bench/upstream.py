"""Compare the CPU time of one request between two HTTP clients.

Client and server share one process, so the figures include the cost of both ends.
Both clients use the same small server, so the difference is that of the clients.
Run with ``make microbench``.
"""

import argparse
import time

import httpcore
import trio

from wisteriaworks.gateway.upstream import Exchange, ServerPool
from wisteriaworks.platform.wire import response_format

BODY = bytes(1000)
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Wisteriaworks-Request-Id: id1\r\n"
    b"X-Wisteriaworks-Server-Stamp: sig\r\nKeep-Alive: timeout=9\r\n"
)
ANSWER = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
PATH = "/p/2f"
REQUEST = (
    f"GET {PATH} HTTP/1.1\r\nhost: h.example\r\nx-wisteriaworks-request-id: id1\r\n\r\n"
).encode()


async def _answer(stream):
    async for data in stream:
        for _ in range(data.count(b"\r\n\r\n")):
            await stream.send_all(ANSWER)


class _GatewayPool:
    """Send requests as a gateway does: with a callback and no task for each."""

    name = "gateway, httptools"

    def __init__(self, port, fan_out, nursery):
        self._pool = ServerPool(f"127.0.0.1:{port}", response_format, nursery)
        self._pool.limit = fan_out

    async def run(self, fan_out):
        remaining, done = fan_out, trio.Event()

        def on_outcome(outcome):
            nonlocal remaining
            remaining -= 1
            if remaining == 0:
                done.set()

        for _ in range(fan_out):
            exchange = Exchange(b"GET", b"id1", lambda: REQUEST, on_outcome, 0.0)
            self._pool.submit(exchange)
        await done.wait()

    async def aclose(self):
        self._pool.close()


class _Httpcore:
    """Send requests with the pool of httpcore, with a task for each."""

    name = "httpcore"

    def __init__(self, port, fan_out, nursery):
        self._url = f"http://127.0.0.1:{port}{PATH}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=fan_out, max_keepalive_connections=fan_out
        )

    async def run(self, fan_out):
        headers = {"host": "h.example", "x-wisteriaworks-request-id": "id1"}
        async with trio.open_nursery() as nursery:
            for _ in range(fan_out):
                nursery.start_soon(self._send, headers)

    async def _send(self, headers):
        await self._pool.request("GET", self._url, headers=headers)

    async def aclose(self):
        await self._pool.aclose()


async def _measure(kind, rounds, fan_out):
    async with trio.open_nursery() as nursery:
        (listener,) = await nursery.start(
            lambda task_status: trio.serve_tcp(
                _answer, 0, host="127.0.0.1", task_status=task_status
            )
        )
        client = kind(listener.socket.getsockname()[1], fan_out, nursery)
        await client.run(fan_out)
        began = time.process_time()
        for _ in range(rounds):
            await client.run(fan_out)
        used_s = time.process_time() - began
        await client.aclose()
        nursery.cancel_scope.cancel()
    return 1000 * used_s / (rounds * fan_out)


def main():
    """Print the CPU time of one request for each client."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=200)
    parser.add_argument("--fan-out", type=int, default=20)
    args = parser.parse_args()
    for kind in (_Httpcore, _GatewayPool):
        cost_ms = trio.run(_measure, kind, args.rounds, args.fan_out)
        print(f"{kind.name:22} {cost_ms:.3f} ms a request, client and server together")


if __name__ == "__main__":
    main()
