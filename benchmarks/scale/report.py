"""Output of the results as tables, JSON and plots."""

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
    """One measurement over several values of the varied parameter."""

    measure: str
    unit: str
    over: str  # the varied parameter
    rows: list[Row]

    @property
    def slope(self) -> Slope:
        """Return the line fitted to the medians."""
        return slope_of(self.rows)


def as_json(series: list[Series]) -> list[dict[str, Any]]:
    """Return series as data for JSON."""
    return [
        {**asdict(item), "medians": [row.median for row in item.rows], "slope": asdict(item.slope)}
        for item in series
    ]


def show(series: list[Series], console: Console) -> None:
    """Print one table per series, with its slope."""
    for item in series:
        table = Table(
            item.over, f"{item.measure}, {item.unit}", "spread", title=f"{item.measure} over {item.over}"
        )
        for row in item.rows:
            table.add_row(f"{row.size:g}", f"{row.median:.4g}", f"{row.spread:.0%}")
        console.print(table)
        slope = item.slope
        console.print(f"  {slope.base:.4g} + {slope.each:.4g} x {item.over}, residual {slope.residual:.0%}")


def plot(series: list[Series], folder: Path) -> None:
    """Write one plot per series to a folder."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for item in series:
        figure, axes = pyplot.subplots()
        sizes = [row.size for row in item.rows]
        medians = [row.median for row in item.rows]
        error_bars = [
            [row.median - min(row.values) for row in item.rows],
            [max(row.values) - row.median for row in item.rows],
        ]
        axes.errorbar(sizes, medians, yerr=error_bars, marker="o")
        axes.plot(sizes, [item.slope.base + item.slope.each * size for size in sizes], linestyle=":")
        axes.set(xlabel=item.over, ylabel=item.unit, title=item.measure, ylim=(0, None))
        image = io.BytesIO()
        figure.savefig(image, format="png")
        write_bytes_atomically(folder / f"{item.measure}-{item.over}.png", image.getvalue())
        pyplot.close(figure)


def save(series: list[Series], path: Path) -> None:
    """Write series to a file."""
    write_text_atomically(path, json.dumps(as_json(series), indent=1))
