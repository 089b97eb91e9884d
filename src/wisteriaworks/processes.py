"""Start and stop the programs as child processes.

Used by the demo, the tests and the load tool. The programs of the product
themselves start no other process.
"""

import contextlib
import itertools
import random
import signal
import socket
import subprocess
import sys

import httpcore
import trio

from wisteriaworks.errors import WisteriaError

READY_TIMEOUT_S = 30.0
POLL_S = 0.05
# These ports are below the usual ephemeral range, so that outgoing connections
# do not occupy them.
_PORTS = range(12000, 30000)


def find_free_ports(count, rng=None):
    """Return ports on the loopback address that nothing listens on."""
    rng = rng or random.SystemRandom()
    start = rng.randrange(len(_PORTS))
    candidates = itertools.chain(_PORTS[start:], _PORTS[:start])
    return list(itertools.islice(filter(_is_free, candidates), count))


def _is_free(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


async def fetch(method, address, path, body=b"", headers=(), timeout_s=5.0):
    """Send one HTTP request on a new connection and return its status and body.

    Raises httpcore.NetworkError, httpcore.TimeoutException or
    httpcore.ProtocolError.
    """
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            method,
            f"http://{address}{path}",
            headers=list(headers),
            content=body,
            extensions={"timeout": timeouts},
        )
        return response.status, response.content


class Process:
    """Represent one started program."""

    def __init__(self, name, process, admin_address, log):
        self.name = name
        self.admin_address = admin_address
        self._process = process
        self._log = log

    @property
    def pid(self):
        """Return the process id."""
        return self._process.pid

    async def wait_ready(self, path="/ready"):
        """Wait until the program reports that it is ready. Raises WisteriaError."""
        with trio.move_on_after(READY_TIMEOUT_S):
            while self._process.returncode is None:
                if await self.is_ready(path):
                    return
                await trio.sleep(POLL_S)
                self._process.poll()
        raise WisteriaError(f"{self.name} did not become ready; its log: {self._log}")

    async def is_ready(self, path):
        """Return whether a page of the admin address answers with status 200."""
        with contextlib.suppress(httpcore.NetworkError, httpcore.TimeoutException):
            status, _ = await fetch("GET", self.admin_address, path, timeout_s=1.0)
            return status == 200
        return False

    async def stop(self):
        """Send SIGTERM, wait for the end and return the exit code."""
        self.send_signal(signal.SIGTERM)
        return await self.wait()

    async def kill(self):
        """Send SIGKILL and wait for the end."""
        self.send_signal(signal.SIGKILL)
        await self.wait()

    def set_frozen(self, is_frozen):
        """Freeze the program, or thaw it."""
        self.send_signal(signal.SIGSTOP if is_frozen else signal.SIGCONT)

    def send_signal(self, number):
        """Send a signal unless the program has ended."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    async def wait(self):
        """Wait for the end and return the exit code."""
        return await self._process.wait()


async def start_process(name, module, arguments, admin_address, log):
    """Start one of the programs and append its output to the file ``log``."""
    with open(log, "ab") as stream:
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", f"wisteriaworks.{module}", *map(str, arguments)],
            stdin=subprocess.DEVNULL,
            stdout=stream,
            stderr=stream,
        )
    return Process(name, process, admin_address, log)


async def run_program(module, arguments, timeout_s=30.0):
    """Run one of the programs until it exits and return the completed process."""
    command = [sys.executable, "-m", f"wisteriaworks.{module}", *map(str, arguments)]
    with trio.fail_after(timeout_s):
        return await trio.run_process(
            command, capture_stdout=True, capture_stderr=True, check=False
        )
