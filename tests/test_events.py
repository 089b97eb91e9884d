"""Guard against events missing from the catalogue, reused numbers and a slow log."""

import sys
import threading
from pathlib import Path

import msgspec
from loguru import logger

from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.settings import LogSettings
from wisteriaworks.log_limit import LogLimiter
from wisteriaworks.logs import BoundedWriter, configure_logs

CATALOGUE = Path(__file__).resolve().parent.parent / "docs" / "events.md"


def test_catalogue_lists_exactly_the_events():
    rows = [
        line.strip("| ").split(" | ")
        for line in CATALOGUE.read_text().splitlines()
        if line.startswith("| ") and line[2].isdigit()
    ]
    expected = [
        [str(e.value.number), e.value.level, e.name, e.value.text] for e in Event
    ]
    assert rows == expected


def test_numbers_are_unique():
    assert len({event.value.number for event in Event}) == len(list(Event))


class BlockedStream:
    """Block writes until released, like a pipe that nobody reads."""

    def __init__(self):
        self.released = threading.Event()
        self.entered = threading.Event()
        self.text = ""

    def write(self, text):
        self.entered.set()
        self.released.wait()
        self.text += text

    def flush(self):
        pass


def test_slow_reader_drops_lines_without_blocking(monkeypatch):
    """A log that nobody reads must not block requests; its lines are dropped."""
    stream = BlockedStream()
    monkeypatch.setattr(sys, "stderr", stream)
    writer = BoundedWriter(None, lambda count: f"dropped {count}\n", max_lines=10)
    writer.write("first\n")
    stream.entered.wait()
    for number in range(25):
        writer.write(f"{number}\n")
    stream.released.set()
    writer.stop()
    lines = stream.text.split()
    assert lines[0] == "first"
    assert lines[1:11] == [str(number) for number in range(10)]
    assert lines[11:] == ["dropped", "15"]


def test_lines_above_the_limit_are_counted():
    """Lines above the rate limit are counted, so that no failure goes unreported."""
    limiter = LogLimiter(lines_per_s=3)
    admitted = [limiter.admit(704, 1.0 + number / 100) for number in range(10)]
    assert admitted == [True] * 3 + [False] * 7
    assert limiter.admit(705, 1.5)
    assert limiter.pop_suppressed_counts() == {704: 7}
    assert limiter.pop_suppressed_counts() == {}
    assert limiter.admit(704, 2.0)


def test_a_line_is_one_json_object_with_the_number(tmp_path):
    path = tmp_path / "log"
    configure_logs(LogSettings(file=str(path)), "wisteria-entry", "e1")
    log_event(Event.SERVER_HELD, server="{s1}")
    logger.remove()
    line = msgspec.json.decode(path.read_bytes())
    assert (line["event"], line["server"], line["name"]) == (301, "{s1}", "e1")
