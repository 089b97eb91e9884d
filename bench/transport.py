"""Compare the processor time of one sub-query round trip over five transports.

Client and server share one process, so the figures include the cost of both
ends. Run with ``make microbench``.
"""

import argparse
import functools
import os
import resource
import struct
import threading
import time
from concurrent import futures
from dataclasses import dataclass

import grpc
import httpcore
import hypercorn.config
import hypercorn.trio
import msgspec
import trio

BODY = msgspec.msgpack.encode({"query": "plate:CB1234AB", "shard": "s01", "limit": 10})
HTTP_PORT = 18471
GRPC_PORT = 18472
FRAME_PORT = 18473
FRAME_HEADER = struct.Struct(">II")


@dataclass(frozen=True)
class Cost:
    """Describe the measured cost of one round trip over a transport."""

    name: str
    cpu_ms: float
    wall_ms: float
    threads: int
    rss_mb: float


async def _echo_asgi(scope, receive, send):
    if scope["type"] == "lifespan":
        await receive()
        await send({"type": "lifespan.startup.complete"})
        await receive()
        await send({"type": "lifespan.shutdown.complete"})
        return
    body = (await receive())["body"]
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": body})


async def _run_http(count, fan_out):
    cfg = hypercorn.config.Config()
    cfg.bind = [f"127.0.0.1:{HTTP_PORT}"]
    cfg.loglevel = "ERROR"
    async with trio.open_nursery() as nursery:
        serve = functools.partial(hypercorn.trio.serve, _echo_asgi, cfg)
        await nursery.start(serve)
        url = f"http://127.0.0.1:{HTTP_PORT}/"
        async with httpcore.AsyncConnectionPool(max_connections=fan_out) as pool:
            send = functools.partial(pool.request, "POST", url, content=BODY)
            cost = await _measure("httpcore-hypercorn", send, count, fan_out)
        nursery.cancel_scope.cancel()
    return cost


def _grpc_server():
    unary = grpc.unary_unary_rpc_method_handler(lambda req, context: req)
    stream = grpc.stream_stream_rpc_method_handler(lambda reqs, context: reqs)
    handlers = {"Unary": unary, "Stream": stream}
    server = grpc.server(futures.ThreadPoolExecutor(max_workers=16))
    generic = grpc.method_handlers_generic_handler("bench.Echo", handlers)
    server.add_generic_rpc_handlers((generic,))
    server.add_insecure_port(f"127.0.0.1:{GRPC_PORT}")
    server.start()
    return server


async def _run_grpc_unary(count, fan_out):
    server = _grpc_server()
    with grpc.insecure_channel(f"127.0.0.1:{GRPC_PORT}") as channel:
        method = channel.unary_unary("/bench.Echo/Unary")
        token = trio.lowlevel.current_trio_token()

        async def send():
            done = trio.Event()
            fut = method.future(BODY)
            fut.add_done_callback(lambda _: token.run_sync_soon(done.set))
            await done.wait()
            return fut.result()

        cost = await _measure("grpcio-unary", send, count, fan_out)
    server.stop(0).wait()
    return cost


async def _run_grpc_stream(count, fan_out):
    """Send each fan-out as one message over a long-lived stream."""
    server = _grpc_server()
    requests = _BlockingIterator()
    with grpc.insecure_channel(f"127.0.0.1:{GRPC_PORT}") as channel:
        replies = channel.stream_stream("/bench.Echo/Stream")(requests)
        token = trio.lowlevel.current_trio_token()
        send_reply, receive_reply = trio.open_memory_channel(fan_out)

        def forward_replies():
            for reply in replies:
                token.run_sync_soon(send_reply.send_nowait, reply)

        threading.Thread(target=forward_replies, daemon=True).start()
        batch = msgspec.msgpack.encode([BODY] * fan_out)

        async def send():
            requests.put(batch)
            return msgspec.msgpack.decode(await receive_reply.receive())

        cost = await _measure("grpcio-stream-batched", send, count, 1, fan_out)
        requests.close()
    server.stop(0).wait()
    return cost


class _BlockingIterator:
    def __init__(self):
        self._items = []
        self._ready = threading.Condition()
        self._closed = False

    def put(self, item):
        with self._ready:
            self._items.append(item)
            self._ready.notify()

    def close(self):
        with self._ready:
            self._closed = True
            self._ready.notify()

    def __iter__(self):
        return self

    def __next__(self):
        with self._ready:
            self._ready.wait_for(lambda: self._items or self._closed)
            if not self._items:
                raise StopIteration
            return self._items.pop(0)


async def _read_frames(stream, on_frame):
    buffer = bytearray()
    async for chunk in stream:
        buffer += chunk
        offset = 0
        while len(buffer) - offset >= FRAME_HEADER.size:
            length, number = FRAME_HEADER.unpack_from(buffer, offset)
            end = offset + FRAME_HEADER.size + length
            if end > len(buffer):
                break
            await on_frame(number, bytes(buffer[offset + FRAME_HEADER.size : end]))
            offset = end
        del buffer[:offset]


async def _echo_frames(stream):
    async def reply(number, body):
        msgspec.msgpack.decode(body)
        await stream.send_all(FRAME_HEADER.pack(len(body), number) + body)

    await _read_frames(stream, reply)


async def _run_frames(count, fan_out):
    return await _exchange_frames("trio-msgpack-frames", count, fan_out, 1)


async def _run_frames_batched(count, fan_out):
    """Send each fan-out as one frame, like a batch for one holder."""
    return await _exchange_frames("trio-msgpack-batched", count, 1, fan_out)


async def _exchange_frames(name, count, in_flight, per_frame):
    payload = msgspec.msgpack.encode([BODY] * per_frame)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            functools.partial(
                trio.serve_tcp, _echo_frames, FRAME_PORT, host="127.0.0.1"
            )
        )
        stream = await trio.open_tcp_stream("127.0.0.1", FRAME_PORT)
        waiting = {}

        async def on_frame(number, body):
            msgspec.msgpack.decode(body)
            waiting.pop(number).set()

        nursery.start_soon(_read_frames, stream, on_frame)
        lock = trio.StrictFIFOLock()
        numbers = iter(range(2**31))

        async def send():
            number = next(numbers)
            waiting[number] = done = trio.Event()
            async with lock:
                await stream.send_all(FRAME_HEADER.pack(len(payload), number) + payload)
            await done.wait()

        cost = await _measure(name, send, count, in_flight, per_frame)
        nursery.cancel_scope.cancel()
    return cost


async def _measure(name, send, count, fan_out, per_send=1):
    await send()
    rounds = count // (fan_out * per_send)
    cpu = time.process_time()
    wall = time.perf_counter()
    for _ in range(rounds):
        async with trio.open_nursery() as nursery:
            for _ in range(fan_out):
                nursery.start_soon(send)
    total = rounds * fan_out * per_send
    return Cost(
        name=name,
        cpu_ms=1000 * (time.process_time() - cpu) / total,
        wall_ms=1000 * (time.perf_counter() - wall) / total,
        threads=len(os.listdir("/proc/self/task")),
        rss_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    )


def main():
    """Measure one transport and print its line of the table."""
    runs = {
        "http": _run_http,
        "frames": _run_frames,
        "frames-batched": _run_frames_batched,
        "grpc-unary": _run_grpc_unary,
        "grpc-stream": _run_grpc_stream,
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("transport", choices=runs)
    parser.add_argument("--count", type=int, default=6000, help="round trips")
    parser.add_argument("--fan-out", type=int, default=30, help="in flight at once")
    args = parser.parse_args()
    cost = trio.run(runs[args.transport], args.count, args.fan_out)
    print(
        f"{cost.name:24} cpu {cost.cpu_ms:.3f} ms  wall {cost.wall_ms:.3f} ms"
        f"  threads {cost.threads}  peak {cost.rss_mb:.0f} MB"
    )


if __name__ == "__main__":
    main()
