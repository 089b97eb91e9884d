"""Render burn rates as a text table and as an HTML page."""

from collections import defaultdict
from dataclasses import dataclass

import jinja2

from wisteriaworks.burn import (
    ALERTS,
    RETENTION_MINUTES,
    WINDOWS,
    compute_burn,
    compute_rate,
    get_target,
    list_misses,
)

BAR_MINUTES = 60
BARS = RETENTION_MINUTES // BAR_MINUTES
# A total outage of a 99.9% target has a rate of 1000; at that scale all other
# bars would be invisible.
MAX_PLOTTED_RATE = 20.0
PLOT_WIDTH = 720
PLOT_HEIGHT = 120
_BAR_WIDTH = PLOT_WIDTH / BARS


@dataclass(frozen=True, slots=True)
class Bar:
    """Represent one hour in a plot; coordinates are in pixels."""

    x: float
    y: float
    width: float
    height: float
    rate: float
    age_h: int


@dataclass(frozen=True, slots=True)
class Plot:
    """Represent the plot of one target of an objective."""

    title: str
    bars: tuple[Bar, ...]


def list_table_rows(series_list):
    """Return the header and the rows of the text table."""
    header = ["SEARCH", "CALLER", "TARGET", "ANSWERS", "MISSED"]
    header += [name.upper() for name, _ in WINDOWS] + ["SPENT", "ALERT"]
    burns = [burn for series in series_list for burn in compute_burn(series)]
    return header, [_format_row(burn) for burn in burns]


def _format_row(burn):
    return [
        burn.search,
        burn.caller,
        f"{burn.kind} {burn.target:.3%}",
        burn.total,
        burn.missed,
        *(f"{rate:.2f}" for rate in burn.rates),
        f"{burn.spent:.1%}",
        ", ".join(burn.alerts) or "none",
    ]


def render_page(series_list, entries, missing):
    """Return the HTML page; ``missing`` has the addresses of entries without report."""
    header, rows = list_table_rows(series_list)
    plots = [
        _create_plot(series, kind)
        for series in series_list
        for kind in ("latency", "coverage")
    ]
    thresholds = [(alert.rate, _compute_y(alert.rate)) for alert in ALERTS]
    return _TEMPLATE.render(
        header=header,
        rows=rows,
        plots=plots,
        thresholds=thresholds,
        entries=entries,
        missing=missing,
        width=PLOT_WIDTH,
        height=PLOT_HEIGHT,
        max_rate=MAX_PLOTTED_RATE,
    )


def _compute_y(rate):
    """Return the y coordinate of a rate."""
    return PLOT_HEIGHT * (1 - min(rate, MAX_PLOTTED_RATE) / MAX_PLOTTED_RATE)


def _create_plot(series, kind):
    target = get_target(series.objective, kind)
    hours = defaultdict(lambda: [0, 0])
    for age, total, missed in list_misses(series, kind):
        hours[age // BAR_MINUTES][0] += total
        hours[age // BAR_MINUTES][1] += missed
    bars = tuple(
        _create_bar(age_h, compute_rate(total, missed, target))
        for age_h, (total, missed) in sorted(hours.items())
    )
    objective = series.objective
    return Plot(f"{objective.search} for {objective.caller}: {kind}", bars)


def _create_bar(age_h, rate):
    top = _compute_y(rate)
    left = PLOT_WIDTH - (age_h + 1) * _BAR_WIDTH
    return Bar(left, top, _BAR_WIDTH - 1, PLOT_HEIGHT - top, rate, age_h)


_TEMPLATE = jinja2.Environment(
    autoescape=True, trim_blocks=True, lstrip_blocks=True
).from_string("""\
<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Error budget burn</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { padding: 0.2em 0.8em; text-align: left; border-bottom: 1px solid #ccc; }
svg { background: #f6f6f6; overflow: visible; }
rect { fill: #4a6fa5; }
line { stroke: #b03a2e; stroke-dasharray: 4 3; }
text { font-size: 11px; fill: #b03a2e; }
</style>
<h1>Error budget burn</h1>
<p>Summed over {{ entries | length }} entries: {{ entries | join(", ") }}.</p>
{% if missing %}
<p><strong>No report from {{ missing | join(", ") }}; the sums are too low.</strong></p>
{% endif %}
<table>
<tr>{% for cell in header %}<th>{{ cell }}</th>{% endfor %}</tr>
{% for row in rows %}
<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}
</table>
<p>Burn rate by hour over the last 3 days, newest on the right.
Bars are cut at {{ max_rate }}.</p>
{% for plot in plots %}
<h2>{{ plot.title }}</h2>
<svg width="{{ width }}" height="{{ height }}" role="img" aria-label="{{ plot.title }}">
{% for bar in plot.bars %}
<rect x="{{ bar.x | round(1) }}" y="{{ bar.y | round(1) }}"
 width="{{ bar.width | round(1) }}" height="{{ bar.height | round(1) }}">
<title>{{ bar.age_h }} h ago: {{ bar.rate | round(2) }}</title></rect>
{% endfor %}
{% for rate, y in thresholds %}
<line x1="0" x2="{{ width }}" y1="{{ y | round(1) }}" y2="{{ y | round(1) }}"/>
<text x="{{ width + 4 }}" y="{{ (y + 4) | round(1) }}">{{ rate }}</text>
{% endfor %}
</svg>
{% endfor %}
</html>
""")
