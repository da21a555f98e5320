"""Plays with many dispatchers in the emulator: load of workers, service, recovery, broken rules.

    python -m benchmarks.scale.play --workers 4000 --dispatchers 40 [--whole] [--fault zone|regions]

Jobs are ten times fewer and twice as long as the target's, so that one worker host plays them.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click
import numpy as np

from benchmarks.scale.fleets import REGIONS, ZONES, name_of, zone_of
from benchmarks.scale.measures import know_all_workers
from elderstall.atomic_file import write_text_atomically
from elderstall.interface import Effect, JobClass
from elderstall.simulation.scenario import (
    ClassLoad,
    Clients,
    Dispatchers,
    Fault,
    Kind,
    Listing,
    Reports,
    Rules,
    Scenario,
    Traffic,
    Worker,
)
from elderstall.simulation.world import World

WORK = 20_000.0  # ms, mean: at the target tasks run 8.7 s
BUSY = 0.43  # of the fleet's slots, at the rate that follows
WARM = 1.5  # times the mean work, before anything is counted
KIND = Kind("box", cores=2, slots=2, queue=4, cold_for=6_000.0, connections=600)
CLASSES = (
    ClassLoad(JobClass("batch", 2.0, 10_000.0, 120_000.0, stretch=1.5), 6.0, WORK, 0.5),
    ClassLoad(
        JobClass("train", 5.0, 10_000.0, 120_000.0, Effect.NOT_IDEMPOTENT, stretch=1.5), 3.0, WORK, 0.5
    ),
    ClassLoad(
        JobClass("urgent", 10.0, 4_500.0, 60_000.0, Effect.NOT_IDEMPOTENT, stretch=1.2), 1.0, WORK / 2, 0.5
    ),
)


def scenario_of(workers: int, dispatchers: int, seconds: float, unequal: float, fault: str) -> Scenario:
    """Describe a play; the busiest dispatcher gets up to ``unequal`` times what the idlest does."""
    fleet = tuple(Worker(name_of(n), KIND.name, zone_of(n), n // 4, 1.0) for n in range(workers))
    weights = tuple(unequal ** (n * 0.618034 % 1) for n in range(dispatchers))
    rate = BUSY * workers * KIND.slots * 1000 / (WORK * 0.95)
    length = seconds * 1000
    return Scenario(
        f"{workers} workers, {dispatchers} dispatchers",
        length,
        Traffic(rate),
        (KIND,),
        fleet,
        CLASSES,
        faults=faults_of(fault, workers, dispatchers, length),
        dispatchers=Dispatchers(weights),
        reports=Reports(asked=True),
        clients=Clients(retries=0.0, impatient=0.0),
        tail=60_000.0,
        listing=Listing(lines_per_second=1e7),
        rules=Rules(cold_for=6_000.0, cpu_per_second=0.0, cpu_per_job=0.0),
    )


def faults_of(fault: str, workers: int, dispatchers: int, length: float) -> tuple[Fault, ...]:
    """Lose one zone for a third of the play, or cut every region off from the others for a third."""
    at, lasts = length / 2, length / 3
    if fault == "zone":
        lost = tuple(name_of(n) for n in range(workers) if n % ZONES == 1)
        return (Fault("vanish", at, lasts, workers=lost),)
    if fault == "regions":
        return tuple(
            Fault(
                "cut-off",
                at,
                lasts,
                workers=tuple(name_of(n) for n in range(workers) if n % ZONES % REGIONS != region),
                dispatchers=tuple(
                    f"n{rank + 1}" for rank in range(dispatchers) if rank % ZONES % REGIONS == region
                ),
            )
            for region in range(REGIONS)
        )
    return ()


def loads(world: World) -> np.ndarray[Any, Any]:
    """Give the time that each worker has been busy so far, ms."""
    return np.array([worker_host.model.ledger.busy for worker_host in world.worker_hosts.values()])


def recovery(windows: list[dict[str, Any]], at: float, ends: float) -> dict[str, Any]:
    """Say how deep service of jobs fell, by when they came, and when it was back within 0.02 of the usual.

    Jobs that come less than twice the mean work before the fault still run in it: they are not the usual.
    """
    told = [w for w in windows if w["service"] is not None]
    before = [w["service"] for w in told if w["from_s"] + 5 <= at - 2 * WORK / 1000]
    usual = float(np.mean(before)) if before else 1.0
    after = [w for w in told if w["from_s"] + 5 > at - 2 * WORK / 1000]
    low = [w["from_s"] + 5 for w in after if w["service"] < usual - 0.02]
    return {
        "usual": round(usual, 4),
        "lowest": min((w["service"] for w in after), default=None),
        "back_after_its_end_s": round(max(low) - ends, 1) if low else 0.0,
    }


def play(scenario: Scenario) -> dict[str, Any]:
    """Play, and give what is asked of it."""
    world = World(scenario, 1)
    marked: list[np.ndarray[Any, Any]] = []
    world.loop.at(WARM * WORK, lambda: marked.append(loads(world)))
    started = time.process_time()
    figures = world.play()
    busy = loads(world) - (marked[0] if marked else 0.0)
    views = [
        dispatcher_host.process.engine.view
        for dispatcher_host in world.dispatcher_hosts
        if dispatcher_host.process is not None
    ]
    held = [len(view.members) if view.subset is not None else len(view.entries) for view in views]
    fault = min((t.at for t in scenario.faults), default=None)
    ends = max((t.ends for t in scenario.faults), default=0.0)
    return {
        "workers": len(scenario.workers),
        "dispatchers": len(views),
        "in_view": int(np.median(held)),
        "requests": figures["requests"],
        "service": figures["service"],
        "broken": figures["rules"]["broken"],
        "rules": figures["rules"]["first"][:3],
        "probes": figures["probes"],
        "connections": figures["connections"],
        "endings": figures["endings"],
        "load_largest_over_mean": round(float(busy.max() / busy.mean()), 3),
        "load_p99_over_mean": round(float(np.quantile(busy, 0.99) / busy.mean()), 3),
        "idle_workers": int((busy == 0).sum()),
        "recovery": None if fault is None else recovery(figures["windows"], fault / 1000, ends / 1000),
        "widened": sum(0 if view.subset is None else view.subset.widened for view in views),
        "entered": sum(view.counts.entered for view in views),
        "left": sum(view.counts.left for view in views),
        "cpu_s": round(time.process_time() - started, 1),
    }


@click.command(help=__doc__)
@click.option("--workers", default=4_000, show_default=True)
@click.option("--dispatchers", default=40, show_default=True)
@click.option("--seconds", default=90.0, show_default=True)
@click.option(
    "--unequal", default=6.0, show_default=True, help="Traffic of the busiest dispatcher over the idlest's."
)
@click.option(
    "--trouble", "fault", type=click.Choice(["none", "zone", "regions"]), default="none", show_default=True
)
@click.option("--whole", is_flag=True, help="Have dispatchers know all workers.")
@click.option("--json", "json_path", type=click.Path(path_type=Path))
def main(
    workers: int,
    dispatchers: int,
    seconds: float,
    unequal: float,
    fault: str,
    whole: bool,
    json_path: Path | None,
) -> None:
    """Play one size."""
    if whole:
        know_all_workers()
    result = play(scenario_of(workers, dispatchers, seconds, unequal, fault))
    click.echo(json.dumps(result, indent=1))
    if json_path is not None:
        write_text_atomically(json_path, json.dumps(result))


if __name__ == "__main__":
    main()
