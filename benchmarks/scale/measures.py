"""The measurements of one hollow dispatcher: a figure for one size each; the caller repeats and fits."""

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
from benchmarks.scale.hollow import HollowDispatcher, settings_of
from elderstall.interface import WorkerState
from elderstall.net.discovery import parse_list
from elderstall.routing import subset

IDLE = 60_000.0  # ms
CHANGES = 20  # of each kind, of which the mean is taken
JOBS, RATE = 2_000, 50.0  # jobs, and how many a second: 11,000 over 230 dispatchers


@dataclass(frozen=True, slots=True)
class Size:
    """What a dispatcher meets."""

    workers: int
    dispatchers: int = 230
    teams: int = 0
    classes: int = 3
    running: int = 0  # tasks running at once
    days: float = 1.0


def know_all_workers() -> None:
    """Have every dispatcher of this process know all workers, whatever the fleet's size."""
    subset.MIN_SUBSET_SIZE = 10**9


def dispatcher_of(size: Size) -> HollowDispatcher:
    """Start one with the whole fleet listed."""
    return HollowDispatcher(settings_of(size.dispatchers, size.teams, size.classes), entries(size.workers))


def cpu_ms(act: Callable[[], object]) -> float:
    """Give the processor time of a call, ms."""
    gc.collect()
    before = time.process_time()
    act()
    return 1000 * (time.process_time() - before)


def list_bytes(size: Size) -> float:
    """Give the bytes of a whole list on the wire."""
    return float(len(list_text(size.workers)))


def read_list(size: Size) -> float:
    """Give the time to read a whole list from its bytes, ms."""
    text = list_text(size.workers)
    return cpu_ms(lambda: parse_list(json.loads(text), live=False))


def take_list(size: Size) -> float:
    """Give the time for the core and module to start with a whole list, ms."""
    listed = entries(size.workers)
    return cpu_ms(lambda: HollowDispatcher(settings_of(size.dispatchers), listed))


def held(size: Size) -> float:
    """Give what a dispatcher holds of a fleet, entries included, MB."""
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
    """Give the processor time of a minute without jobs or changes, ms."""
    dispatcher = dispatcher_of(size)
    dispatcher.idle(IDLE)
    return cpu_ms(lambda: dispatcher.idle(IDLE))


def restarts(dispatcher: HollowDispatcher, names: list[str]) -> float:
    """Give the mean time of one worker's change, ms."""
    listed = dispatcher.engine.view.entries
    changes = [replace(listed[name], started=EPOCH + n) for n, name in enumerate(names[:CHANGES])]

    def tell() -> None:
        for change in changes:
            dispatcher.change(change)

    return cpu_ms(tell) / max(1, len(changes))


def change_inside(size: Size) -> float:
    """Give the time of a change of a worker that the module knows, ms."""
    dispatcher = dispatcher_of(size)
    return restarts(dispatcher, dispatcher.members)


def change_outside(size: Size) -> float:
    """Give the time of a change of one that it does not know, ms; 0 where it knows all."""
    dispatcher = dispatcher_of(size)
    return restarts(dispatcher, dispatcher.outside()) if dispatcher.outside() else 0.0


def job(size: Size) -> float:
    """Give the processor time of a job, from its taking to its answer, us."""
    dispatcher = dispatcher_of(size)
    dispatcher.load(JOBS // 4, RATE)
    return 1000 * cpu_ms(lambda: dispatcher.load(JOBS, RATE)) / JOBS


def zone_lost(size: Size) -> float:
    """Give the time to take the loss of a zone, its workers told one by one, ms."""
    dispatcher = dispatcher_of(size)
    lost = [entry for entry in dispatcher.engine.view.entries.values() if entry.zone == "region-1-1"]

    def tell() -> None:
        for entry in lost:
            dispatcher.change(replace(entry, state=WorkerState.GONE))

    return cpu_ms(tell)


def churned(size: Size, rng: random.Random | None = None) -> HollowDispatcher:
    """Play days of churn: workers drain, go and are replaced under new names."""
    dispatcher = dispatcher_of(size)
    for at, change in replacements(size.workers, size.days, rng or random.Random(3)):
        dispatcher.loop.now = at - EPOCH  # the module's timers of a day are measured by idle_minute
        dispatcher.change(change)
    return dispatcher


def resident_after_churn(size: Size) -> float:
    """Give the resident memory of this process after days of churn, MB."""
    dispatcher = churned(size)
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    assert dispatcher.engine.view.entries
    return pages * resource.getpagesize() / 1e6


def churn(size: Size) -> float:
    """Give the same of a process of its own."""
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
