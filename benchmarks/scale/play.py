"""Simulation runs with many dispatchers: load of workers, service, recovery, broken rules.

    python -m benchmarks.scale.play --workers 4000 --dispatchers 40 [--whole] [--trouble zone|regions]

The load has a tenth of the target fleet's jobs, each twice as long, so that one machine can simulate it.
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

MEAN_WORK_MS = 20_000.0  # jobs of the target fleet run 8.7 s
BUSY_FRACTION = 0.43  # of the fleet's slots; sets the arrival rate
WARM_UP_FACTOR = 1.5  # duration of the uncounted warm-up, in mean work
KIND = Kind("box", cores=2, slots=2, queue=4, cold_for=6_000.0, connections=600)
CLASSES = (
    ClassLoad(JobClass("batch", 2.0, 10_000.0, 120_000.0, stretch=1.5), 6.0, MEAN_WORK_MS, 0.5),
    ClassLoad(
        JobClass("train", 5.0, 10_000.0, 120_000.0, Effect.NOT_IDEMPOTENT, stretch=1.5),
        3.0,
        MEAN_WORK_MS,
        0.5,
    ),
    ClassLoad(
        JobClass("urgent", 10.0, 4_500.0, 60_000.0, Effect.NOT_IDEMPOTENT, stretch=1.2),
        1.0,
        MEAN_WORK_MS / 2,
        0.5,
    ),
)


def scenario_of(workers: int, dispatchers: int, seconds: float, unequal: float, fault: str) -> Scenario:
    """Return a scenario; the busiest dispatcher gets up to ``unequal`` times the least traffic."""
    fleet = tuple(Worker(name_of(n), KIND.name, zone_of(n), n // 4, 1.0) for n in range(workers))
    weights = tuple(unequal ** (n * 0.618034 % 1) for n in range(dispatchers))
    rate = BUSY_FRACTION * workers * KIND.slots * 1000 / (MEAN_WORK_MS * 0.95)
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
    """Return faults for a third of the run: the loss of a zone, or a partition between all regions."""
    start_ms = length / 2
    duration_ms = length / 3
    if fault == "zone":
        lost = tuple(name_of(n) for n in range(workers) if n % ZONES == 1)
        return (Fault("vanish", start_ms, duration_ms, workers=lost),)
    if fault == "regions":
        return tuple(
            Fault(
                "cut-off",
                start_ms,
                duration_ms,
                workers=tuple(name_of(n) for n in range(workers) if n % ZONES % REGIONS != region),
                dispatchers=tuple(
                    f"n{rank + 1}" for rank in range(dispatchers) if rank % ZONES % REGIONS == region
                ),
            )
            for region in range(REGIONS)
        )
    return ()


def busy_times(world: World) -> np.ndarray[Any, Any]:
    """Return the time that each worker has been busy so far, ms."""
    return np.array([worker_host.model.ledger.busy for worker_host in world.worker_hosts.values()])


def recovery(windows: list[dict[str, Any]], start_s: float, end_s: float) -> dict[str, Any]:
    """Return the lowest service by arrival time, and when it was within 0.02 of the usual level again.

    Jobs that arrive less than twice the mean work before the fault still run during it, so the usual level
    leaves them out.
    """
    known = [w for w in windows if w["service"] is not None]
    before = [w["service"] for w in known if w["from_s"] + 5 <= start_s - 2 * MEAN_WORK_MS / 1000]
    usual = float(np.mean(before)) if before else 1.0
    after = [w for w in known if w["from_s"] + 5 > start_s - 2 * MEAN_WORK_MS / 1000]
    low = [w["from_s"] + 5 for w in after if w["service"] < usual - 0.02]
    return {
        "usual": round(usual, 4),
        "lowest": min((w["service"] for w in after), default=None),
        "back_after_its_end_s": round(max(low) - end_s, 1) if low else 0.0,
    }


def play(scenario: Scenario) -> dict[str, Any]:
    """Run a scenario; return its measured values."""
    world = World(scenario, 1)
    warm_up_busy: list[np.ndarray[Any, Any]] = []
    world.loop.at(WARM_UP_FACTOR * MEAN_WORK_MS, lambda: warm_up_busy.append(busy_times(world)))
    started = time.process_time()
    figures = world.play()
    busy = busy_times(world) - (warm_up_busy[0] if warm_up_busy else 0.0)
    views = [
        dispatcher_host.process.engine.view
        for dispatcher_host in world.dispatcher_hosts
        if dispatcher_host.process is not None
    ]
    known_workers = [len(view.members) if view.subset is not None else len(view.entries) for view in views]
    fault_start = min((fault.at for fault in scenario.faults), default=None)
    fault_end = max((fault.ends for fault in scenario.faults), default=0.0)
    return {
        "workers": len(scenario.workers),
        "dispatchers": len(views),
        "in_view": int(np.median(known_workers)),
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
        "recovery": None
        if fault_start is None
        else recovery(figures["windows"], fault_start / 1000, fault_end / 1000),
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
    "--unequal",
    default=6.0,
    show_default=True,
    help="Traffic of the busiest dispatcher divided by that of the least busy one.",
)
@click.option(
    "--trouble", "fault", type=click.Choice(["none", "zone", "regions"]), default="none", show_default=True
)
@click.option("--whole", is_flag=True, help="Let dispatchers know all workers.")
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
    """Run one size and print its measured values."""
    if whole:
        know_all_workers()
    result = play(scenario_of(workers, dispatchers, seconds, unequal, fault))
    click.echo(json.dumps(result, indent=1))
    if json_path is not None:
        write_text_atomically(json_path, json.dumps(result))


if __name__ == "__main__":
    main()
