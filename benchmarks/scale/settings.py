"""Cost of a configuration by the number of teams and classes: its size, parsing, applying, and the figures.

python -m benchmarks.scale.settings [--teams 0,100,1000] [--classes 3]
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from benchmarks.scale.fleets import entries
from benchmarks.scale.hollow import DispatcherHarness, settings_of
from benchmarks.scale.measures import cpu_ms
from elderstall.config import parse_config
from elderstall.net.console import figures_text

WORKERS = 1_000
REPEATS = 5


@dataclass(frozen=True, slots=True)
class Cost:
    """Sizes and times of one configuration."""

    teams: int
    config_bytes: int
    parsing_ms: float
    applying_ms: float  # by the engine and the decisions with 1,000 workers
    figures_bytes: int


def config_object(teams: int, classes: int) -> dict[str, Any]:
    """Return the configuration of a dispatcher as parsed JSON."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "known": {"index": 0, "snapshot": True, "endpoints": []},
        "settings": {
            "classes": [
                {"name": f"class-{n}", "points": 1 + n % 7, "aim": 400, "deadline": 5000, "effect": "safe"}
                for n in range(classes)
            ],
            "projects": [{"name": f"team-{n}", "portion": 1, "quota_per_s": 11.0} for n in range(teams)],
            "balancers": 230,
            "discovery": "subscribe",
            "tick": 2.0,
            "limits": {"max_attempts": 5},
        },
    }


def measure_cost(teams: int, classes: int) -> Cost:
    """Return the cost of a configuration with so many teams and classes."""
    text = json.dumps(config_object(teams, classes))
    settings = settings_of(230, teams, classes)
    dispatcher = DispatcherHarness(settings, entries(WORKERS))
    parsing_ms = min(cpu_ms(lambda: parse_config(json.loads(text), {})) for _ in range(REPEATS))
    applying_ms = min(
        cpu_ms(lambda: dispatcher.engine.change_settings(settings, 8.0, 1_000)) for _ in range(REPEATS)
    )
    return Cost(teams, len(text), parsing_ms, applying_ms, len(figures_text(dispatcher.engine.figures())))


@click.command(help=__doc__)
@click.option("--teams", default="0,100,1000", show_default=True)
@click.option("--classes", default=3, show_default=True)
def main(teams: str, classes: int) -> None:
    """Print a table of the cost by the number of teams."""
    table = Table("teams", "bytes", "read, ms", "taken, ms", "figures, bytes")
    for cost in (measure_cost(int(n), classes) for n in teams.split(",")):
        table.add_row(
            f"{cost.teams}",
            f"{cost.config_bytes}",
            f"{cost.parsing_ms:.2f}",
            f"{cost.applying_ms:.2f}",
            f"{cost.figures_bytes}",
        )
    Console().print(table)


if __name__ == "__main__":
    main()
