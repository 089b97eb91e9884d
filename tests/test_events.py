"""Guard against events that the catalogue does not list, and reused numbers."""

from pathlib import Path

import msgspec
from loguru import logger

from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.settings import LogSettings
from wisteriaworks.logs import configure_logs

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


def test_a_line_is_one_json_object_with_the_number(tmp_path):
    path = tmp_path / "log"
    configure_logs(LogSettings(file=str(path)), "wisteria-entry", "e1")
    log_event(Event.SERVER_HELD, server="{s1}")
    logger.remove()
    line = msgspec.json.decode(path.read_bytes())
    assert (line["event"], line["server"], line["name"]) == (301, "{s1}", "e1")
