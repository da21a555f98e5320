"""Speed of the simulation, and the time spent in the decisions, by the size of the fleet.

    python -m benchmarks.speed [--sizes 10,100,1000,4000] [--jobs 40000] [--hour] [--profile] [--json FILE]

A fleet of N workers has N / 10 dispatchers (at least 4) and receives 3 jobs per second per worker, but at
most three quarters of its capacity. All figures are of one process on one core; compare them as ratios within
one run.
"""

from __future__ import annotations

import argparse
import cProfile
import json
import pstats
import resource
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any

from elderstall.atomic_file import write_text_atomically
from elderstall.decisions import Dispatcher
from elderstall.simulation.reading import find, read, with_parts
from elderstall.simulation.scenario import Dispatchers, Scenario, TenantLoad, Traffic, Worker
from elderstall.simulation.world import World

decisions_s = 0.0  # time spent in the decisions


def timed_handle(handle: Any) -> Any:
    """Return a handler that adds its running time to ``decisions_s``."""

    def timed(self: Any, now: float, event: Any) -> Any:
        global decisions_s
        before = time.perf_counter()
        try:
            return handle(self, now, event)
        finally:
            decisions_s += time.perf_counter() - before

    return timed


def scenario_of(
    workers: int, jobs: int, dispatchers: int | None = None, seconds: float | None = None
) -> Scenario:
    """Return a fault-free scenario under high load with a fleet of the given size."""
    base, _ = read(find("calm"))
    dispatcher_count = dispatchers or max(4, workers // 10)
    rate = 3.0 * workers
    length = 1000 * (seconds or max(5.0, jobs / rate))
    fast_workers = round(0.6 * workers)
    fleet = tuple(
        Worker(f"w{n}", "fast-2c" if n < fast_workers else "slow-2c", "bog-1", n // 4) for n in range(workers)
    )
    scenario = with_parts(
        base,
        name=f"{workers} workers",
        workers=fleet,
        length=length,
        faults=(),
        dispatchers=Dispatchers((1.0,) * dispatcher_count),
    )
    capacity = scenario.capacity * 1000 / scenario.mean_work
    scenario = with_parts(scenario, load=Traffic(min(rate, 0.75 * capacity)))
    scale = scenario.load.rate / sum(t.quota for t in scenario.tenants)
    return with_parts(
        scenario, tenants=tuple(TenantLoad(t.name, t.share, t.quota * scale) for t in scenario.tenants)
    )


def measure(scenario: Scenario, profile: bool = False) -> dict[str, Any]:
    """Run a scenario; return the time and memory that it used."""
    global decisions_s
    world = World(scenario, 1)
    profiler = cProfile.Profile() if profile else None
    decisions_s = 0.0
    wall = time.perf_counter()
    cpu = time.process_time()
    if profiler is not None:
        profiler.enable()
    figures = world.play()
    if profiler is not None:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(32)
    wall = time.perf_counter() - wall
    cpu = time.process_time() - cpu
    jobs = max(1, figures["requests"])
    return {
        "workers": len(scenario.workers),
        "dispatchers": len(scenario.dispatchers.weights),
        "rate": round(scenario.load.rate, 1),
        "jobs": jobs,
        "night_s": round(world.loop.now / 1000, 1),
        "wall_s": round(wall, 2),
        "us_a_job": round(1e6 * cpu / jobs, 1),
        "module_us_a_job": round(1e6 * decisions_s / jobs, 1),
        "calls_a_job": round(world.loop.calls_made / jobs, 2),
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
        "service": figures["service"]["whole"],
        "broken": figures["rules"]["broken"],
    }


def bytes_a_job(scenario: Scenario) -> float:
    """Return the memory that remains allocated per job between half-time and the end of the run."""
    tracemalloc.start()
    world = World(scenario, 1)
    world.begin()
    world.loop.run(scenario.length / 2)
    half_bytes = tracemalloc.get_traced_memory()[0]
    half_jobs = world.tally.requests
    world.loop.run(scenario.length)
    end_bytes = tracemalloc.get_traced_memory()[0]
    end_jobs = world.tally.requests
    tracemalloc.stop()
    return (end_bytes - half_bytes) / max(1, end_jobs - half_jobs)


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="10,30,100,300,1000,4000")
    parser.add_argument("--jobs", type=int, default=30_000)
    parser.add_argument("--seconds", type=float)
    parser.add_argument("--dispatchers", type=int)
    parser.add_argument("--hour", action="store_true", help="10 workers for a simulated hour")
    parser.add_argument("--memory", action="store_true", help="also the memory that a job leaves allocated")
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    Dispatcher.handle = timed_handle(Dispatcher.handle)  # type: ignore[method-assign]
    rows = []
    sizes = [10] if args.hour else [int(n) for n in args.sizes.split(",")]
    for n in sizes:
        seconds = 3_600.0 if args.hour else args.seconds
        scenario = scenario_of(n, args.jobs, args.dispatchers, seconds)
        row = measure(scenario, args.profile)
        if args.memory:
            row["bytes_left_a_job"] = round(bytes_a_job(scenario_of(n, args.jobs // 4, args.dispatchers)), 1)
        rows.append(row)
        print(json.dumps(row), flush=True)
    if args.json:
        write_text_atomically(args.json, json.dumps(rows, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
