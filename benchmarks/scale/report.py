"""Results as tables, JSON and plots."""

from __future__ import annotations

import io
import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from benchmarks.scale.fit import Row, Slope, slope_of
from elderstall.atomic_file import write_bytes_atomically, write_text_atomically


@dataclass(frozen=True, slots=True)
class Series:
    """One measurement over sizes."""

    measure: str
    unit: str
    over: str  # what varies
    rows: list[Row]

    @property
    def slope(self) -> Slope:
        """Give the line through its medians."""
        return slope_of(self.rows)


def as_json(series: list[Series]) -> list[dict[str, Any]]:
    """Write series as plain data."""
    return [
        {**asdict(s), "medians": [row.median for row in s.rows], "slope": asdict(s.slope)} for s in series
    ]


def show(series: list[Series], console: Console) -> None:
    """Print a table a series, with its slope."""
    for s in series:
        table = Table(s.over, f"{s.measure}, {s.unit}", "spread", title=f"{s.measure} over {s.over}")
        for row in s.rows:
            table.add_row(f"{row.size:g}", f"{row.median:.4g}", f"{row.spread:.0%}")
        console.print(table)
        line = s.slope
        console.print(f"  {line.base:.4g} + {line.each:.4g} x {s.over}, residual {line.residual:.0%}")


def plot(series: list[Series], folder: Path) -> None:
    """Draw a picture a series."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for s in series:
        figure, axes = pyplot.subplots()
        sizes = [row.size for row in s.rows]
        medians = [row.median for row in s.rows]
        spans = [
            [row.median - min(row.values) for row in s.rows],
            [max(row.values) - row.median for row in s.rows],
        ]
        axes.errorbar(sizes, medians, yerr=spans, marker="o")
        axes.plot(sizes, [s.slope.base + s.slope.each * size for size in sizes], linestyle=":")
        axes.set(xlabel=s.over, ylabel=s.unit, title=s.measure, ylim=(0, None))
        picture = io.BytesIO()
        figure.savefig(picture, format="png")
        write_bytes_atomically(folder / f"{s.measure}-{s.over}.png", picture.getvalue())
        pyplot.close(figure)


def save(series: list[Series], path: Path) -> None:
    """Write series to a file."""
    write_text_atomically(path, json.dumps(as_json(series), indent=1))
