"""Write the log as one JSON object a line, without ever waiting for its reader."""

import atexit
import contextlib
import sys
import threading
from collections import deque
from datetime import UTC

import msgspec
from loguru import logger

from wisteriaworks.events import Event

# Lines kept while the reader of the log is slow; more are dropped and counted.
MAX_PENDING_LINES = 2000
# A stop waits this long for a slow reader.
FLUSH_S = 1.0


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
    # Loguru formats the returned template, so braces are passed as a field.
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
    """Write lines in a thread of its own, and drop what is too much.

    They go to the file ``path``, or to standard error if it is None.
    ``describe_dropped(count)`` returns the line that tells of dropped ones.
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
        """Queue one line, or drop it if too many wait."""
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
        else:
            self._lines.append(str(line))
        self._wake.set()

    def stop(self):
        """Write what is queued, for a second at most."""
        self._is_stopping = True
        self._wake.set()
        self._thread.join(FLUSH_S)
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
                # Nobody reads any more, so there is nowhere to report it.
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
