"""The command: which measurements, over what, how often."""

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


def measured(measure: str, over: str, size: Size, value: float, repeats: int) -> Row:
    """Repeat one measurement at one size."""
    changed: dict[str, Any] = {over: value if over == "days" else int(value)}
    at = replace(size, **changed)
    return Row(value, tuple(MEASURES[measure][1](at) for _ in range(repeats)))


@click.command(help=__doc__)
@click.option(
    "--measure", "measures", type=click.Choice(list(MEASURES)), multiple=True, help="Which; all by default."
)
@click.option(
    "--over",
    type=click.Choice(["workers", "dispatchers", "teams", "classes", "days"]),
    default="workers",
    show_default=True,
    help="What varies.",
)
@click.option("--sizes", default=SIZES, show_default=True, help="The values that it takes.")
@click.option("--workers", default=23_000, show_default=True, help="Where they do not vary.")
@click.option("--dispatchers", default=230, show_default=True)
@click.option("--teams", default=0, show_default=True)
@click.option("--classes", default=3, show_default=True)
@click.option(
    "--whole", is_flag=True, help="Have dispatchers know all workers: what a subset is compared with."
)
@click.option("--repeats", default=3, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write the series to a file.")
@click.option("--plots", type=click.Path(path_type=Path), help="Draw them into a folder.")
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
    """Measure what one dispatcher costs as the fleet grows."""
    if whole:
        know_all_workers()
    base = Size(workers, dispatchers, teams, classes)
    values = [float(value) for value in sizes.split(",")]
    chosen = measures or tuple(name for name in MEASURES if name != "churn")
    series = []
    console = Console()
    with Progress(console=console, transient=True) as progress:
        task = progress.add_task("measuring", total=len(chosen) * len(values))
        for measure in chosen:
            rows = []
            for value in values:
                progress.update(task, description=f"{measure} at {value:g} {over}")
                rows.append(measured(measure, over, base, value, repeats))
                progress.advance(task)
            series.append(Series(measure, MEASURES[measure][0], over, rows))
    show(series, console)
    if json_path is not None:
        save(series, json_path)
    if plots is not None:
        plot(series, plots)
