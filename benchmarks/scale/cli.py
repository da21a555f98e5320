"""Command line of the scale measurements: which to run, over which parameter, and how often."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import Progress

from benchmarks.scale.fit import Row
from benchmarks.scale.measures import MEASURES, Size, know_all_workers
from benchmarks.scale.report import Series, plot, save, show

SIZES = "200,1000,4000,23000"


def measure_repeatedly(measure: str, over: str, size: Size, value: float, repeats: int) -> Row:
    """Return the repeated values of one measurement at one size."""
    overrides: dict[str, Any] = {over: value if over == "days" else int(value)}
    varied = replace(size, **overrides)
    return Row(value, tuple(MEASURES[measure][1](varied) for _ in range(repeats)))


@click.command(help=__doc__)
@click.option(
    "--measure",
    "measures",
    type=click.Choice(list(MEASURES)),
    multiple=True,
    help="Measurement to run; all except churn by default.",
)
@click.option(
    "--over",
    type=click.Choice(["workers", "dispatchers", "teams", "classes", "days"]),
    default="workers",
    show_default=True,
    help="The parameter that varies.",
)
@click.option("--sizes", default=SIZES, show_default=True, help="The values of that parameter.")
@click.option(
    "--workers", default=23_000, show_default=True, help="Number of workers where it does not vary."
)
@click.option("--dispatchers", default=230, show_default=True)
@click.option("--teams", default=0, show_default=True)
@click.option("--classes", default=3, show_default=True)
@click.option("--whole", is_flag=True, help="Let dispatchers know all workers, for comparison with a subset.")
@click.option("--repeats", default=3, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write the series to a file.")
@click.option("--plots", type=click.Path(path_type=Path), help="Write plots of the series to a folder.")
def main(
    measures: tuple[str, ...],
    over: str,
    sizes: str,
    workers: int,
    dispatchers: int,
    teams: int,
    classes: int,
    whole: bool,
    repeats: int,
    json_path: Path | None,
    plots: Path | None,
) -> None:
    """Measure the cost of one dispatcher as the fleet grows."""
    if whole:
        know_all_workers()
    base = Size(workers, dispatchers, teams, classes)
    values = [float(value) for value in sizes.split(",")]
    selected = measures or tuple(name for name in MEASURES if name != "churn")
    series = []
    console = Console()
    with Progress(console=console, transient=True) as progress:
        task = progress.add_task("measuring", total=len(selected) * len(values))
        for measure in selected:
            rows = []
            for value in values:
                progress.update(task, description=f"{measure} at {value:g} {over}")
                rows.append(measure_repeatedly(measure, over, base, value, repeats))
                progress.advance(task)
            series.append(Series(measure, MEASURES[measure][0], over, rows))
    show(series, console)
    if json_path is not None:
        save(series, json_path)
    if plots is not None:
        plot(series, plots)
