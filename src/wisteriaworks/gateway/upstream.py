"""Connection pool of one server, and the requests that wait for a connection.

A connection has one task, which reads. A request is written by the task that
submits it or, if it was queued, by the task of the connection that takes it; only
the rest of a partial write gets a task of its own. The outcome is passed to a
callback, so that a query to many shards does not need a task for each shard.
"""

import errno
import math
import socket
from collections import deque
from dataclasses import dataclass
from typing import Any

import trio

from wisteriaworks.balancing.traffic import ignore_bytes
from wisteriaworks.events import log_failure
from wisteriaworks.gateway.model import Answered, Failed, Failure, Refused
from wisteriaworks.gateway.response_reader import (
    MAX_ANSWER_BYTES,
    MalformedAnswerError,
    ResponseReader,
)
from wisteriaworks.gateway.server_stats import NEW_CONNECTION_COST_S
from wisteriaworks.ingress.answer_memory import AnswerMemory
from wisteriaworks.rpc import split_address

READ_BYTES = 65536
# A request with a longer body is sent in two parts.
MAX_COPIED_BYTES = 16 * 1024
# Interval at which an answer that has to wait for memory checks for room.
ROOM_INTERVAL_S = 0.05
# A connect takes one round trip and up to 6 ms at the server. A lost SYN is
# retransmitted only after a second, which is too late.
CONNECT_TIMEOUT_S = 0.4
# Maximum of the connect cost as a share of the answer time. Without it, a server that
# is back in service and has no open connections would get no short requests.
MAX_CONNECT_COST_SHARE = 0.3
# The kernel closes a connection whose peer does not acknowledge data for this long.
TCP_USER_TIMEOUT_MS = 2000
# Servers close an idle connection at their timeout, and a request must not be sent
# at that moment, so a connection is not used from IDLE_MARGIN_S before the timeout
# on. A stated timeout below 1.5 s gives a limit of 0.5 s. The default, for servers
# that state no timeout, is below the usual timeouts of servers.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_TIMEOUT_S = 4.0
# After a failed connect, requests to the server fail at once for this long.
CONNECT_PAUSE_S = 0.2
# A server may send a second copy of an answer where the next answer is due. The copy
# of a refusal would pass as the answer to a second send of the same request, so a
# connection never carries a request again that is among its latest ones.
REMEMBERED_REQUESTS = 8


def estimate_connect_cost(work_s):
    """Return the cost in seconds of a new connection for an answer of ``work_s``."""
    return min(NEW_CONNECTION_COST_S, MAX_CONNECT_COST_SHARE * work_s)


def _allow_send():
    return None


@dataclass(eq=False, slots=True)
class Exchange:
    """Represent one request to one server until its outcome is known.

    ``encode()`` returns head and body as bytes at the moment they are sent, so that
    the head states the time that remains then. ``on_outcome`` is called at most once,
    from any task. ``deadline_at`` is on the monotonic clock. A request that would be
    sent later is not sent. A body of more than ``max_body_bytes`` is malformed.
    ``check_send()`` returns the Failure because of which the request can't be sent
    now, or None.
    """

    method: bytes
    request_id: bytes
    encode: Any
    on_outcome: Any
    deadline_at: float
    max_body_bytes: int = MAX_ANSWER_BYTES
    check_send: Any = _allow_send
    conn: Any = None
    is_done: bool = False

    def find_obstacle(self, now):
        """Return the Failure because of which the request can't be sent, or None."""
        return Failure.ABANDONED if now >= self.deadline_at else self.check_send()

    def finish(self, outcome):
        """Report the outcome, unless one has been reported already."""
        if not self.is_done:
            self.is_done = True
            self.on_outcome(outcome)


class _Connection:
    """Run one connection, which carries one request at a time."""

    def __init__(self, sock, pool):
        self._sock = sock
        self._pool = pool
        self._reader = ResponseReader(pool.response_format)
        # Parts of the request that have not been sent.
        self._unsent = deque()
        # Set when _send starts _send_remaining, and cleared when that ends. It is only
        # compared with None; the token itself is not used.
        self._writer_token = None
        self._is_closed = False
        self._carried_ids = deque(maxlen=REMEMBERED_REQUESTS)
        self.exchange = None
        self.idle_since = trio.current_time()
        self.idle_limit_s = DEFAULT_IDLE_TIMEOUT_S

    def is_fresh(self, now):
        """Return whether the connection has been idle for less than its limit."""
        return now - self.idle_since < self.idle_limit_s

    def may_carry(self, exchange):
        """Return whether this is no second send of a request on this connection."""
        return exchange.request_id not in self._carried_ids

    def start(self, exchange):
        """Send a request."""
        self._carried_ids.append(exchange.request_id)
        self.exchange = exchange
        exchange.conn = self
        self._reader.expect(exchange.method, exchange.max_body_bytes)
        head, body = exchange.encode()
        self._pool.count_bytes(len(head) + len(body), 0)
        # A long body is not copied, since it may be sent to many servers at once.
        is_long = len(body) > MAX_COPIED_BYTES
        parts = (head, body) if is_long else (head + body,)
        self._unsent = deque(map(memoryview, parts))
        self._send()

    def close(self):
        """Close the connection; its task then ends."""
        if not self._is_closed:
            self._is_closed = True
            self._pool.memory.update(self, 0)
            self._reader.close()
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()

    async def run(self):
        """Read until the connection ends."""
        try:
            while not self._is_closed:
                await trio.lowlevel.wait_readable(self._sock)
                room = self._pool.memory.compute_room(self, trio.current_time())
                if not room:
                    await trio.sleep(ROOM_INTERVAL_S)
                elif not self._receive(min(room, READ_BYTES)):
                    break
        except (OSError, trio.ClosedResourceError):
            self._fail_exchange(Failure.BROKEN)
        finally:
            self.close()
            self._fail_exchange(Failure.BROKEN)
            self._pool.remove(self)

    def _receive(self, max_bytes):
        """Read once and return whether the connection stays open."""
        try:
            data = self._sock.recv(max_bytes)
        except BlockingIOError:
            return True
        self._pool.count_bytes(0, len(data))
        try:
            answer = self._reader.feed(data) if data else self._reader.feed_end()
        except MalformedAnswerError:
            self._fail_exchange(Failure.MALFORMED)
            return False
        if answer is None:
            self._limit_memory()
            return bool(data) and not self._is_closed
        self._pool.memory.update(self, 0)
        return self._handle_answer(answer)

    def _limit_memory(self):
        largest = self._pool.memory.update(self, self._reader.body_bytes)
        if largest is not None:
            largest.give_up()

    def give_up(self):
        """End the running answer as malformed and close the connection."""
        self.close()
        self._fail_exchange(Failure.MALFORMED)

    def _handle_answer(self, answer):
        exchange, self.exchange = self.exchange, None
        is_usable = not answer.closes_connection and not self._unsent
        if answer.idle_timeout_s is not None:
            self.idle_limit_s = max(0.5, answer.idle_timeout_s - IDLE_MARGIN_S)
        self.idle_since = trio.current_time()
        if answer.request_id != exchange.request_id:
            exchange.finish(Failed(Failure.FOREIGN, may_have_run=True))
            return False
        outcome = Refused(answer) if answer.not_run else Answered(answer)
        if is_usable:
            self._pool.release(self)
        exchange.finish(outcome)
        return is_usable

    def _fail_exchange(self, failure):
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.finish(Failed(failure, may_have_run=True))

    def _send(self):
        try:
            self._write()
        except OSError:
            return self.close()
        if self._unsent and self._writer_token is None:
            self._writer_token = trio.lowlevel.current_trio_token()
            self._pool.nursery.start_soon(self._send_remaining)
        return None

    def _write(self):
        """Send as much as the kernel takes. Raises OSError."""
        while self._unsent:
            try:
                sent = self._sock.send(self._unsent[0])
            except BlockingIOError:
                return
            # An idle connection must not keep the body of its last request.
            rest = self._unsent.popleft()[sent:]
            if rest:
                self._unsent.appendleft(rest)

    async def _send_remaining(self):
        try:
            while self._unsent and not self._is_closed:
                await trio.lowlevel.wait_writable(self._sock)
                self._write()
        except (OSError, trio.ClosedResourceError):
            self.close()
        except Exception as exc:
            log_failure(exc)
            self.give_up()
        finally:
            self._writer_token = None


class ServerPool:
    """Manage at most ``limit`` connections to one server."""

    def __init__(
        self,
        address,
        response_format,
        nursery,
        memory=None,
        count_bytes=ignore_bytes,
    ):
        self._address = address
        # Called with the numbers of bytes sent and received.
        self.count_bytes = count_bytes
        self.memory = memory or AnswerMemory(math.inf)
        self.response_format = response_format
        self.nursery = nursery
        self.limit = 1
        self._connections = set()
        self._idle = []
        self._connecting = 0
        self._waiting = deque()
        self._connect_paused_until = 0.0

    @property
    def size(self):
        """Return the number of connections, open or being opened."""
        return len(self._connections) + self._connecting

    def estimate_wait(self, work_s, now):
        """Return the estimated seconds that a request waits for a connection.

        ``work_s`` is the time of one answer.
        """
        if self._idle and self._idle[-1].is_fresh(now):
            return 0.0
        if self.size < self.limit:
            return estimate_connect_cost(work_s)
        # On average a running answer still takes half of its time.
        return work_s * (0.5 + len(self._waiting) / max(1, self.limit))

    def submit(self, exchange):
        """Send a request at once, or queue it until a connection is free.

        While connects are paused, it fails at once if the pool has no connection.
        """
        now = trio.current_time()
        obstacle = exchange.find_obstacle(now)
        if obstacle is not None:
            exchange.finish(Failed(obstacle, may_have_run=False))
            return
        conn = self._pop_idle(exchange, now)
        if conn is not None:
            conn.start(exchange)
        elif now < self._connect_paused_until and not self._connections:
            exchange.finish(Failed(Failure.NO_CONNECTION, may_have_run=False))
        else:
            self._waiting.append(exchange)
            self._open_connections()
            self._make_room()

    def cancel(self, exchange):
        """Cancel a request: remove it from the queue or close its connection."""
        exchange.is_done = True
        if exchange.conn is None:
            self._dequeue(exchange)
        elif exchange.conn.exchange is exchange:
            exchange.conn.close()

    def close(self):
        """Close all connections."""
        for conn in tuple(self._connections):
            conn.close()
        self._fail_waiting()

    def release(self, conn):
        """Send the next queued request on a free connection, or keep it idle."""
        exchange = self._pop_waiting(conn, trio.current_time())
        if exchange is not None:
            conn.start(exchange)
            return
        self._idle.append(conn)
        self._make_room()

    def remove(self, conn):
        """Remove a connection that has ended."""
        self._connections.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
        self._open_connections()

    def _pop_idle(self, exchange, now):
        # The most recently used first, so that surplus connections time out.
        skipped = []
        found = None
        while self._idle and found is None:
            conn = self._idle.pop()
            if not conn.is_fresh(now):
                conn.close()
            elif conn.may_carry(exchange):
                found = conn
            else:
                skipped.append(conn)
        self._idle += reversed(skipped)
        return found

    def _pop_waiting(self, conn, now):
        """Return the first queued request that a connection may carry, or None."""
        skipped = []
        found = None
        while self._waiting and found is None:
            exchange = self._waiting.popleft()
            if exchange.is_done:
                continue
            # The process may have been suspended since the request was queued, or its
            # key removed.
            obstacle = exchange.find_obstacle(now)
            if obstacle is not None:
                exchange.finish(Failed(obstacle, may_have_run=False))
            elif conn.may_carry(exchange):
                found = exchange
            else:
                skipped.append(exchange)
        self._waiting.extendleft(reversed(skipped))
        return found

    def _make_room(self):
        """Close an idle connection if queued requests need a new one instead."""
        if self._waiting and self._idle and not self._connecting:
            self._idle.pop(0).close()

    def _dequeue(self, exchange):
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def _open_connections(self):
        while self._connecting < len(self._waiting) and self.size < self.limit:
            self._connecting += 1
            self.nursery.start_soon(self._run_connection)

    async def _run_connection(self):
        sock = None
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                sock = await _connect(self._address)
        except OSError:
            pass
        finally:
            self._connecting -= 1
        if sock is None:
            self._connect_paused_until = trio.current_time() + CONNECT_PAUSE_S
            self._fail_waiting()
            return
        conn = _Connection(sock, self)
        self._connections.add(conn)
        try:
            self.release(conn)
            await conn.run()
        except Exception as exc:
            # An error on one connection must not end the process.
            log_failure(exc)
            conn.give_up()

    def _fail_waiting(self):
        # Open connections serve the queued requests that they may carry.
        if self._connecting:
            return
        waiting, self._waiting = self._waiting, deque()
        for exchange in waiting:
            if any(conn.may_carry(exchange) for conn in self._connections):
                self._waiting.append(exchange)
            else:
                exchange.finish(Failed(Failure.NO_CONNECTION, may_have_run=False))


async def _connect(address):
    """Return a connected, non-blocking socket. Raises OSError."""
    host, port = split_address(address)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        if (code := sock.connect_ex((host, port))) not in (0, errno.EINPROGRESS):
            raise OSError(code, "cannot connect")
        await trio.lowlevel.wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, "cannot connect")
    except BaseException:
        sock.close()
        raise
    return sock
