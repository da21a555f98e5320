"""Comparison of subsetting methods: evenness of load, and entries moved by a change of the fleet.

    python -m benchmarks.scale.subsets [--workers 23000] [--dispatchers 230,2300] [--size 1024]

Each method is a minimal implementation with numpy; ``ring`` is the method of ``routing/subset.py``.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click
import numpy as np
from rich.console import Console
from rich.table import Table

from elderstall.routing.subset import POINT_STEP

Numbers = np.ndarray[Any, Any]
SubsettingMethod = Callable[[Numbers, int, int, int], Numbers]  # ids, rank, dispatchers, size -> subset
SAMPLED_DISPATCHERS = 60  # dispatchers for which moved entries are counted
TRAFFIC_RATIO = 6.0  # traffic of the busiest dispatcher divided by that of the least busy one


def hash_ids(ids: Numbers, salt: int) -> Numbers:
    """Return hashes of numbers, equal on every machine (the finalizer of splitmix64)."""
    hashes = ids.astype(np.uint64) + np.uint64((salt * 0x9E3779B97F4A7C15) % 2**64)
    hashes = (hashes ^ (hashes >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    hashes = (hashes ^ (hashes >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return np.asarray(hashes ^ (hashes >> np.uint64(31)))


def ring(ids: Numbers, rank: int, dispatchers: int, size: int) -> Numbers:
    """Return the workers that follow the dispatcher's point on a ring of worker hashes."""
    positions = hash_ids(ids, 1)
    order = np.argsort(positions)
    start = np.searchsorted(positions[order], np.uint64(int(rank * POINT_STEP % 1 * 2**64)))
    return np.asarray(ids[order[(start + np.arange(size)) % len(ids)]])


def aperture(ids: Numbers, rank: int, dispatchers: int, size: int) -> Numbers:
    """Return a range of the ordered list that starts at rank / dispatchers (deterministic aperture)."""
    order = np.argsort(hash_ids(ids, 1))
    start = rank * len(ids) // dispatchers
    return np.asarray(ids[order[(start + np.arange(size)) % len(ids)]])


def rendezvous(ids: Numbers, rank: int, dispatchers: int, size: int) -> Numbers:
    """Return the workers that rank first by a hash specific to the dispatcher."""
    return np.asarray(ids[np.argpartition(hash_ids(ids, rank + 2), size)[:size]])


def shuffled_groups(ids: Numbers, rank: int, dispatchers: int, size: int) -> Numbers:
    """Return a slice of the workers; each group of dispatchers divides all workers, shuffled by group."""
    slices = max(1, len(ids) // size)
    group, position = divmod(rank, slices)
    order = np.argsort(hash_ids(ids, group + 2))
    start = position * len(ids) // slices
    return np.asarray(ids[order[(start + np.arange(size)) % len(ids)]])


METHODS: dict[str, SubsettingMethod] = {
    "ring": ring,
    "deterministic aperture": aperture,
    "rendezvous hashing": rendezvous,
    "lots of one order each": shuffled_groups,
}


def mean_moved(
    method: SubsettingMethod, before: tuple[Numbers, int], after: tuple[Numbers, int], size: int
) -> float:
    """Return the mean number of entries that a change adds to a dispatcher's subset, over a sample."""
    counts = []
    for rank in range(0, before[1], max(1, before[1] // SAMPLED_DISPATCHERS)):
        old = method(before[0], rank, before[1], size)
        new = method(after[0], rank, after[1], size)
        counts.append(len(np.setdiff1d(new, old, assume_unique=True)))
    return float(np.mean(counts))


def compare(method: SubsettingMethod, workers: int, dispatchers: int, size: int) -> dict[str, float]:
    """Return the evenness and the moved entries of one method at one size."""
    ids = np.arange(workers)
    traffic = TRAFFIC_RATIO ** (np.arange(dispatchers) * 0.618034 % 1)
    holders = np.zeros(workers)
    load = np.zeros(workers)
    for rank in range(dispatchers):
        subset = method(ids, rank, dispatchers, size)
        holders[subset] += 1
        load[subset] += traffic[rank]
    remaining = np.delete(ids, workers // 3)
    return {
        "holders, mean": holders.mean(),
        "smallest over mean": holders.min() / holders.mean(),
        "largest over mean": holders.max() / holders.mean(),
        "load, largest over mean": load.max() / load.mean(),
        "moved by a worker, over all": dispatchers
        * mean_moved(method, (ids, dispatchers), (remaining, dispatchers), size),
        "moved by a dispatcher, each": mean_moved(method, (ids, dispatchers), (ids, dispatchers + 1), size),
    }


@click.command(help=__doc__)
@click.option("--workers", default=23_000, show_default=True)
@click.option("--dispatchers", default="230,2300", show_default=True)
@click.option("--size", default=1_024, show_default=True)
def main(workers: int, dispatchers: str, size: int) -> None:
    """Print a table that compares all methods."""
    console = Console(width=150)
    for count in (int(n) for n in dispatchers.split(",")):
        results = {name: compare(method, workers, count, size) for name, method in METHODS.items()}
        table = Table(
            "way", *next(iter(results.values())), title=f"{workers} workers, {count} dispatchers, {size}"
        )
        for name, figures in results.items():
            table.add_row(name, *(f"{value:.3g}" for value in figures.values()))
        console.print(table)


if __name__ == "__main__":
    main()
