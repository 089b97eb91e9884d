"""Write the log as one JSON object per line without blocking on its reader."""

import atexit
import contextlib
import sys
import threading
from collections import deque
from datetime import UTC

import msgspec
from loguru import logger

from wisteriaworks.events import Event

# Lines queued while the reader of the log is slow; further ones are dropped and
# counted.
MAX_PENDING_LINES = 2000
# Longest time that a stop waits for a slow reader.
FLUSH_TIMEOUT_S = 1.0


def _format_record(record):
    line = {
        "time": record["time"].astimezone(UTC).isoformat(),
        "level": record["level"].name,
        "text": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return msgspec.json.encode(line, enc_hook=repr).decode()


def _format_line(record):
    # Loguru formats the returned template, so the line, which contains braces,
    # is passed as a field.
    record["extra"]["line"] = _format_record(record)
    return "{extra[line]}\n"


@contextlib.contextmanager
def _open_stream(path):
    if path is None:
        yield sys.stderr
        return
    with open(path, "a") as stream:
        yield stream


class BoundedWriter:
    """Write lines in a separate thread through a bounded queue.

    Lines go to the file ``path``, or to standard error if it is None.
    ``describe_dropped(count)`` returns the line that reports dropped lines.
    """

    def __init__(self, path, describe_dropped, max_lines=MAX_PENDING_LINES):
        self._files = contextlib.ExitStack()
        self._stream = self._files.enter_context(_open_stream(path))
        self._describe_dropped = describe_dropped
        self._max_lines = max_lines
        self._lines = deque()
        self._dropped = 0
        self._wake = threading.Event()
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        atexit.register(self.stop)

    def write(self, line):
        """Queue one line, or drop it if the queue is full."""
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
        else:
            self._lines.append(str(line))
        self._wake.set()

    def stop(self):
        """Write the queued lines and stop; takes at most ``FLUSH_TIMEOUT_S``."""
        self._is_stopping = True
        self._wake.set()
        self._thread.join(FLUSH_TIMEOUT_S)
        if not self._thread.is_alive():
            self._files.close()
        atexit.unregister(self.stop)

    def _run(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            self._flush()
            if self._is_stopping and not self._lines:
                return

    def _flush(self):
        while self._lines:
            batch = [self._lines.popleft() for _ in range(len(self._lines))]
            dropped, self._dropped = self._dropped, 0
            if dropped:
                batch.append(self._describe_dropped(dropped))
            try:
                self._stream.write("".join(batch))
                self._stream.flush()
            except (OSError, ValueError):
                # The log itself cannot be written, so the error cannot be reported.
                return


def configure_logs(cfg, program, name):
    """Send the log to the file or stream in the log settings."""

    def describe_dropped(count):
        number, level, text = Event.LOG_DROPPED.value
        line = {"level": level, "text": text, "program": program, "name": name}
        line |= {"event": number, "count": count}
        return msgspec.json.encode(line).decode() + "\n"

    logger.remove()
    writer = BoundedWriter(cfg.file, describe_dropped)
    logger.add(writer, level=cfg.level, format=_format_line)
    logger.configure(extra={"program": program, "name": name})
