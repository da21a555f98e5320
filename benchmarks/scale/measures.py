"""Measurements of one dispatcher: each returns a value for one size; the caller repeats and fits them."""

from __future__ import annotations

import gc
import json
import random
import resource
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from multiprocessing import get_context
from pathlib import Path

from benchmarks.scale.fleets import EPOCH, entries, list_text, replacements
from benchmarks.scale.hollow import DispatcherHarness, settings_of
from elderstall.interface import WorkerState
from elderstall.net.discovery import parse_list
from elderstall.routing import subset

IDLE_MS = 60_000.0
CHANGES = 20  # changes per measurement, of which the mean is returned
JOBS = 2_000
RATE = 50.0  # jobs/s, about 11,000 jobs/s over 230 dispatchers


@dataclass(frozen=True, slots=True)
class Size:
    """The size of the fleet and the load that one dispatcher handles."""

    workers: int
    dispatchers: int = 230
    teams: int = 0
    classes: int = 3
    running: int = 0  # jobs in progress
    days: float = 1.0


def know_all_workers() -> None:
    """Disable subsets, so that every dispatcher of this process knows all workers."""
    subset.MIN_SUBSET_SIZE = 10**9


def dispatcher_of(size: Size) -> DispatcherHarness:
    """Start a dispatcher with the whole fleet in its endpoint list."""
    return DispatcherHarness(settings_of(size.dispatchers, size.teams, size.classes), entries(size.workers))


def cpu_ms(action: Callable[[], object]) -> float:
    """Return the CPU time of a call, ms."""
    gc.collect()
    before = time.process_time()
    action()
    return 1000 * (time.process_time() - before)


def list_bytes(size: Size) -> float:
    """Return the size of a whole list on the wire, bytes."""
    return float(len(list_text(size.workers)))


def read_list(size: Size) -> float:
    """Return the CPU time to parse a whole list, ms."""
    text = list_text(size.workers)
    return cpu_ms(lambda: parse_list(json.loads(text), live=False))


def take_list(size: Size) -> float:
    """Return the CPU time for the engine and the decisions to start with a whole list, ms."""
    listed = entries(size.workers)
    return cpu_ms(lambda: DispatcherHarness(settings_of(size.dispatchers), listed))


def held(size: Size) -> float:
    """Return the memory that a dispatcher allocates for a fleet, including its entries, MB."""
    gc.collect()
    tracemalloc.start()
    try:
        dispatcher = dispatcher_of(size)
        gc.collect()
        amount = tracemalloc.get_traced_memory()[0] / 1e6
        assert dispatcher.engine.view.entries
        return amount
    finally:
        tracemalloc.stop()


def idle_minute(size: Size) -> float:
    """Return the CPU time of a minute without jobs or changes, ms."""
    dispatcher = dispatcher_of(size)
    dispatcher.idle(IDLE_MS)
    return cpu_ms(lambda: dispatcher.idle(IDLE_MS))


def restart_workers(dispatcher: DispatcherHarness, names: list[str]) -> float:
    """Return the mean CPU time of one restart of a worker, ms."""
    listed = dispatcher.engine.view.entries
    changes = [replace(listed[name], started=EPOCH + n) for n, name in enumerate(names[:CHANGES])]

    def apply_changes() -> None:
        for change in changes:
            dispatcher.change(change)

    return cpu_ms(apply_changes) / max(1, len(changes))


def change_inside(size: Size) -> float:
    """Return the CPU time of a change of a worker that the decisions know, ms."""
    dispatcher = dispatcher_of(size)
    return restart_workers(dispatcher, dispatcher.members)


def change_outside(size: Size) -> float:
    """Return the CPU time of a change of a worker that the decisions do not know, ms; 0 if they know all."""
    dispatcher = dispatcher_of(size)
    return restart_workers(dispatcher, dispatcher.outside()) if dispatcher.outside() else 0.0


def job(size: Size) -> float:
    """Return the CPU time of a job from its arrival to its answer, us."""
    dispatcher = dispatcher_of(size)
    dispatcher.load(JOBS // 4, RATE)
    return 1000 * cpu_ms(lambda: dispatcher.load(JOBS, RATE)) / JOBS


def zone_lost(size: Size) -> float:
    """Return the CPU time to process the loss of a zone whose workers are removed one by one, ms."""
    dispatcher = dispatcher_of(size)
    lost = [entry for entry in dispatcher.engine.view.entries.values() if entry.zone == "region-1-1"]

    def apply_changes() -> None:
        for entry in lost:
            dispatcher.change(replace(entry, state=WorkerState.GONE))

    return cpu_ms(apply_changes)


def churned(size: Size, rng: random.Random | None = None) -> DispatcherHarness:
    """Return a dispatcher after days of churn, in which workers drain, end and are replaced by new names."""
    dispatcher = dispatcher_of(size)
    for at, change in replacements(size.workers, size.days, rng or random.Random(3)):
        dispatcher.loop.now = at - EPOCH  # timers are skipped here; idle_minute measures their cost
        dispatcher.change(change)
    return dispatcher


def resident_after_churn(size: Size) -> float:
    """Return the resident memory of this process after days of churn, MB."""
    dispatcher = churned(size)
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    assert dispatcher.engine.view.entries
    return pages * resource.getpagesize() / 1e6


def churn(size: Size) -> float:
    """Return ``resident_after_churn`` measured in a new process, MB."""
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        return pool.submit(resident_after_churn, size).result()


MEASURES: dict[str, tuple[str, Callable[[Size], float]]] = {
    "list-bytes": ("bytes", list_bytes),
    "read-list": ("ms", read_list),
    "take-list": ("ms", take_list),
    "held": ("MB", held),
    "idle-minute": ("ms", idle_minute),
    "change-inside": ("ms", change_inside),
    "change-outside": ("ms", change_outside),
    "job": ("us", job),
    "zone-lost": ("ms", zone_lost),
    "churn": ("MB", churn),
}
