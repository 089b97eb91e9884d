"""A server that fails or refuses some requests, and may send bytes after an answer."""

import contextlib
import random
import socket
import threading
import time

from deployment import make_request_id

WORK_S = 0.005
# The platform's wire examples name the request id and the signature in this order.
HEAD = (
    "HTTP/1.1 {status} {reason}\r\n"
    "X-Wisteriaworks-Request-Id: {id}\r\n"
    "X-Wisteriaworks-Server-Stamp: {stamp}\r\n"
    "Content-Length: {length}\r\n"
    "\r\n"
)
REFUSAL = (
    "HTTP/1.1 503 Service Unavailable\r\n"
    "X-Wisteriaworks-Request-Id: {id}\r\n"
    "X-Wisteriaworks-Not-Executed: 1\r\n"
    "Keep-Alive: timeout=15\r\n"
    "Content-Length: 0\r\n"
    "\r\n"
)


class FaultyServer:
    """Answer requests, a share ``errors`` of them with 500.

    A share ``sheds`` is refused with 503, and is not run.

    After a share ``extra`` of the answers, the first bytes of a second copy follow, cut
    off at any point of its head. They are sent late, where the next answer is expected.
    ``answers`` maps the id of each request to its status, signature and body.
    """

    def __init__(self, ip, service, zone, record, errors=0.0, extra=0.0, sheds=0.0):
        self.id = f"i-{make_request_id()[:8]}"
        self.service, self.zone = service, zone
        self.address = f"{ip}:8080"
        self.errors, self.extra, self.sheds = errors, extra, sheds
        self.answers = {}
        self.extras_sent = 0
        self._record = record
        self._rng = random.Random(1)
        self._listener = socket.create_server((ip, 8080), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def describe(self):
        """Return the entry of the server in the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": 8,
            "state": "ready",
            "coldRemainingMs": 0,
        }

    def close(self):
        """Accept no more connections."""
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        late = b""
        with contextlib.suppress(OSError), sock:
            stream = sock.makefile("rb")
            while headers := self._read_head(stream):
                stream.read(int(headers.get("content-length", 0)))
                time.sleep(WORK_S)
                if late:
                    self.extras_sent += 1
                    self._record.note(f"{self.id} sends late bytes {late!r}")
                head, body = self._make_answer(headers)
                sock.sendall(late + head + body)
                late = b""
                if self._rng.random() < self.extra:
                    late = head[: self._rng.randrange(1, len(head))]

    def _read_head(self, stream):
        lines = []
        while (line := stream.readline()) not in (b"", b"\r\n"):
            lines.append(line.decode("latin-1"))
        pairs = (line.split(":", 1) for line in lines[1:])
        headers = {name.lower(): value.strip() for name, value in pairs}
        return headers | {"target": lines[0].split(" ")[1]} if lines else None

    def _make_answer(self, headers):
        request_id = headers["x-wisteriaworks-request-id"]
        if self._rng.random() < self.sheds:
            self._record.note(f"{self.id} refuses {request_id}")
            return REFUSAL.format(id=request_id).encode(), b""
        is_failed = self._rng.random() < self.errors
        status, reason = (500, "Internal Server Error") if is_failed else (200, "OK")
        stamp = f"{self.id}.{self._rng.getrandbits(32):08x}"
        body = f"{self.service} {request_id} {status}".encode()
        self.answers.setdefault(request_id, []).append((status, stamp, body))
        self._record.note(f"{self.id} runs {request_id}: {status} {stamp}")
        head = HEAD.format(
            status=status, reason=reason, id=request_id, stamp=stamp, length=len(body)
        )
        return head.encode(), body
