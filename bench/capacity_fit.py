"""Fit lines to measurements and print them as tables."""

import statistics
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """Represent a least-squares line: value = base + slope * size."""

    base: float
    slope: float
    # Largest distance of a value from the line, as a share of the largest value.
    max_deviation: float

    def at(self, size):
        """Return the value of the line at a size."""
        return self.base + self.slope * size


@dataclass(frozen=True, slots=True)
class Part:
    """Describe one measured part of the system, which becomes one table.

    ``measure(size)`` returns the values of the part by name.
    """

    name: str
    size_name: str
    sizes: tuple[int, ...]
    # Small sizes for the tests; may be empty.
    test_sizes: tuple[int, ...]
    # Size to which the lines are extrapolated, or None.
    design_size: int | None
    measure: Callable


def fit_line(points):
    """Return the least-squares line through (size, value) points."""
    sizes, values = zip(*points, strict=True)
    slope, base = statistics.linear_regression(sizes, values)
    largest = max(map(abs, values)) or 1.0
    deviations = (abs(value - base - slope * size) for size, value in points)
    return Line(base, slope, max(deviations) / largest)


def render_table(part, rows):
    """Return the Markdown lines of a part; ``rows`` are values by size."""
    sizes = sorted(rows)
    head = ["", *(f"{size:,}" for size in sizes), "base"]
    head += [f"per {part.size_name}", "max deviation"]
    head += [f"line at {part.design_size:,}"] if part.design_size else []
    yield f"### {part.name}, by {part.size_name}"
    yield ""
    yield f"| {' | '.join(head)} |"
    yield "|---" * len(head) + "|"
    for name in rows[sizes[0]]:
        points = [(size, rows[size][name]) for size in sizes]
        yield f"| {' | '.join([name, *_list_cells(part, points)])} |"


def _list_cells(part, points):
    line = fit_line(points)
    values = [value for _, value in points]
    extended = [line.at(part.design_size)] if part.design_size else []
    numbers = [*map(_render, (*values, line.base, line.slope))]
    return [*numbers, f"{line.max_deviation:.0%}", *map(_render, extended)]


def _render(value):
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"
