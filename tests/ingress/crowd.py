"""Clients that send much and stop, and what a process holds meanwhile."""

import contextlib
import itertools
import os
import re
from pathlib import Path

import trio

from wisteriaworks.rpc import split_address

# Ends a client whose bytes are neither read nor refused. It is no bound on a result.
SEND_TIMEOUT_S = 6.0
RECEIVE_BUFFER_BYTES = 4096
# Bytes that a slow client reads at a time.
SLOW_BYTES = 2000
SLOW_INTERVAL_S = 0.1
LINE = b"a:\r\n"
TRAILER = b"a: b\r\n"
MB = 1_000_000


def encode_head(target, *lines, method=b"POST"):
    """Return the head of a request."""
    first = b"%b %b HTTP/1.1" % (method, target)
    return b"\r\n".join((first, b"Host: h.example", *lines)) + b"\r\n\r\n"


def make_body(head, size):
    """Return the pieces of a request that stops one byte short of its end."""
    pieces = itertools.repeat(bytes(50_000), (size - 1) // 50_000)
    rest = bytes((size - 1) % 50_000)
    return (head(b"Content-Length: %d" % size), *pieces, rest)


def make_chunks(head, size, chunk=1000):
    """Return the pieces of a request in chunks, without the last chunk."""
    one = b"%x\r\n%b\r\n" % (chunk, bytes(chunk))
    batch = max(1, 50_000 // chunk)
    count = size // (chunk * batch)
    return (
        head(b"Transfer-Encoding: chunked"),
        *itertools.repeat(one * batch, count),
    )


def make_header_lines(head, size):
    """Return a complete head of many short lines; its body does not come."""
    lines = [LINE[:-2]] * ((size - 200) // len(LINE))
    return (head(*lines, b"Content-Length: 10"),)


def make_trailers(head, size):
    """Return a request in chunks whose trailers do not end."""
    batch = TRAILER * 1000
    return (
        head(b"Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n",
        *itertools.repeat(batch, size // len(batch)),
    )


async def take_nothing(stream):
    """Leave the answers in the socket."""


async def take_slowly(stream):
    """Read a little of the answers now and then."""
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        while await stream.receive_some(SLOW_BYTES):
            await trio.sleep(SLOW_INTERVAL_S)


def open_crowd(address, count, pieces):
    """Let clients send the pieces of a request; their connections then stay open."""
    return open_clients(address, [pieces] * count)


@contextlib.asynccontextmanager
async def open_clients(address, requests, take=take_nothing, settle_s=0.5):
    """Let one client for each request send its pieces, and stay open.

    ``take(stream)`` reads the answers of a client. The clients have ``settle_s`` after
    all have sent.
    """
    streams = []

    async def run(pieces, *, task_status):
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            stream = await _connect(*split_address(address))
            streams.append(stream)
            with trio.move_on_after(SEND_TIMEOUT_S):
                for piece in pieces:
                    await stream.send_all(piece)
            task_status.started()
            await take(stream)
            return
        task_status.started()

    try:
        async with trio.open_nursery() as takers:
            async with trio.open_nursery() as senders:
                for pieces in requests:
                    senders.start_soon(takers.start, run, pieces)
            await trio.sleep(settle_s)
            yield
            takers.cancel_scope.cancel()
    finally:
        for stream in streams:
            await trio.aclose_forcefully(stream)


async def _connect(host, port):
    """Return a stream whose kernel buffer holds little of what is not read."""
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def count_descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def reset_peak(pid):
    """Let the peak of the memory of a process begin anew."""
    Path(f"/proc/{pid}/clear_refs").write_text("5")


def read_memory_mb(pid, field):
    """Return a field of the memory of a process: VmRSS, or VmHWM for the peak."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+)", text)[1]) / 1024
