"""A server that answers requests of any method, and notes the method of each."""

import http.server
import threading

from deployment import make_request_id


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    owner = None

    def log_message(self, *args):
        pass

    def __getattr__(self, name):
        # The base class calls do_X for a request of the method X.
        if name.startswith("do_"):
            return self._run
        raise AttributeError(name)

    def _run(self):
        owner = self.owner
        request_id = self.headers.get("X-Wisteriaworks-Request-Id")
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        expected = self.headers.get("X-Wisteriaworks-Expected-Instance")
        echo = {"X-Wisteriaworks-Request-Id": request_id or ""}
        refusal = {"X-Wisteriaworks-Not-Executed": "1"}
        if request_id is None:
            self._answer(400, refusal, b"")
        elif expected not in (None, owner.id):
            self._answer(421, echo | refusal, b"")
        else:
            owner.runs.append((request_id, self.command, self.path, body))
            owner.record.note(
                f"{owner.service} {owner.id} runs {request_id}: "
                f"{self.command} {self.path}"
            )
            stamp = f"{owner.id}.{request_id}"
            headers = echo | {"X-Wisteriaworks-Server-Stamp": stamp}
            self._answer(200, headers, owner.service.encode())

    def _answer(self, status, headers, body):
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class MethodServer:
    """Run one server; ``runs`` lists id, method, path and body of its requests."""

    def __init__(self, ip, service, zone, record):
        self.id = f"i-{make_request_id()[:8]}"
        self.service, self.zone, self.record = service, zone, record
        self.address = f"{ip}:8080"
        self.runs = []
        handler = type("Handler", (_Handler,), {"owner": self})
        self._server = http.server.ThreadingHTTPServer((ip, 8080), handler)
        self._server.daemon_threads = True
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def describe(self):
        """Return the entry of the server in the platform's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "maxConcurrency": 4,
            "state": "ready",
            "coldRemainingMs": 0,
        }

    def close(self):
        """Stop answering."""
        self._server.shutdown()
        self._server.server_close()
