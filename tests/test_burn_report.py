"""Guard against a page with invalid markup or bars at the wrong hour."""

import re
import xml.etree.ElementTree as ET

from test_burn import STALL_OBJECTIVE

from wisteriaworks.burn import RETENTION_MINUTES
from wisteriaworks.burn_report import PLOT_HEIGHT, PLOT_WIDTH, render_page
from wisteriaworks.generated.reports import BurnSeries

_SERIES = BurnSeries(
    objective=STALL_OBJECTIVE,
    ages=(0, 59, 60, RETENTION_MINUTES - 1),
    totals=(100, 100, 1, 10),
    slow=(10, 10, 1, 0),
    uncovered=(0, 0, 0, 0),
)


def _read_plots(page):
    return [ET.fromstring(svg) for svg in re.findall(r"<svg.*?</svg>", page, re.S)]


def test_bars_stay_inside_the_plot_and_the_newest_hour_is_on_the_right():
    latency, coverage = _read_plots(render_page([_SERIES], ["e1"], []))
    bars = latency.findall("rect")
    titles = [bar.find("title").text for bar in bars]
    assert titles == ["0 h ago: 10.0", "1 h ago: 100.0", "71 h ago: 0.0"]
    assert [float(bar.get("x")) for bar in bars] == [PLOT_WIDTH - 10, 700, 0]
    heights = [float(bar.get("height")) for bar in bars]
    assert heights == [PLOT_HEIGHT / 2, PLOT_HEIGHT, 0]
    assert len(coverage.findall("rect")) == 3


def test_missing_entries_are_named_and_names_are_escaped():
    page = render_page([_SERIES], ["<e1>"], ["127.0.0.1:9"])
    assert "No report from 127.0.0.1:9" in page
    assert "&lt;e1&gt;" in page and "<e1>" not in page
