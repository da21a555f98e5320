"""What a configuration costs as teams and classes grow: its bytes, reading it, taking it, figures told.

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
from benchmarks.scale.hollow import HollowDispatcher, settings_of
from benchmarks.scale.measures import cpu_ms
from elderstall.config import config_of
from elderstall.net.console import figures_text

WORKERS = 1_000
REPEATS = 5


@dataclass(frozen=True, slots=True)
class Cost:
    """What one configuration costs."""

    teams: int
    size: int  # bytes
    reading: float  # ms
    taking: float  # ms, by the core and module with 1,000 workers
    figures: int  # bytes


def raw_of(teams: int, classes: int) -> dict[str, Any]:
    """Write a platform's object."""
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


def cost_of(teams: int, classes: int) -> Cost:
    """Measure one size."""
    text = json.dumps(raw_of(teams, classes))
    settings = settings_of(230, teams, classes)
    dispatcher = HollowDispatcher(settings, entries(WORKERS))
    reading = min(cpu_ms(lambda: config_of(json.loads(text), {})) for _ in range(REPEATS))
    taking = min(
        cpu_ms(lambda: dispatcher.engine.change_settings(settings, 8.0, 1_000)) for _ in range(REPEATS)
    )
    return Cost(teams, len(text), reading, taking, len(figures_text(dispatcher.engine.figures())))


@click.command(help=__doc__)
@click.option("--teams", default="0,100,1000", show_default=True)
@click.option("--classes", default=3, show_default=True)
def main(teams: str, classes: int) -> None:
    """Measure some sizes."""
    table = Table("teams", "bytes", "read, ms", "taken, ms", "figures, bytes")
    for cost in (cost_of(int(n), classes) for n in teams.split(",")):
        table.add_row(
            f"{cost.teams}", f"{cost.size}", f"{cost.reading:.2f}", f"{cost.taking:.2f}", f"{cost.figures}"
        )
    Console().print(table)


if __name__ == "__main__":
    main()
