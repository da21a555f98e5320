"""Workers in order of virtual time, so that the next one is found without a scan of all workers.

The structure makes no decisions: ``pools.Pools`` determines each worker's group. An outdated entry may
offer a worker that doesn't accept the job, but never leaves one out that does.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from heapq import merge
from operator import is_

from elderstall.decisions.records import Worker

# Groups: within this dispatcher's slot share of a worker; beyond it; outside the preferred fraction.
WITHIN_SHARE = 0
BEYOND_SHARE = 1
NOT_PREFERRED = 2
Entry = tuple[float, int, str, Worker]  # virtual time, unique position in the pool, name
RotationKey = tuple[int | None, float]  # group and virtual time


@dataclass(slots=True)
class Rotation:
    """One pool's workers in groups, each in ascending order of virtual time; full workers are in no group.

    A worker's entry is determined by its position in the pool and by ``Worker.rotation_key``.
    """

    groups: tuple[list[Entry], ...] = field(default_factory=lambda: ([], [], []))
    positions: dict[str, int] = field(default_factory=dict)
    pool: list[Worker] = field(default_factory=list)

    def fill(self, workers: list[Worker], grouped: dict[str, int | None]) -> None:
        """Rebuild from a pool's workers in pool order, each in its group or in none."""
        self.pool = workers[:]
        self.positions = {worker.name: position for position, worker in enumerate(workers)}
        for group in self.groups:
            group.clear()
        for position, worker in enumerate(workers):
            if (worker_group := grouped[worker.name]) is not None:
                self.groups[worker_group].append((worker.virtual_time, position, worker.name, worker))
        for group in self.groups:
            group.sort()

    def move(self, worker: Worker, old: RotationKey | None, new: RotationKey) -> None:
        """Move one worker from its old entry to its new one, with O(log n) comparisons."""
        position = self.positions.get(worker.name)
        if position is None:
            return
        if old is not None and old[0] is not None:
            entries = self.groups[old[0]]
            del entries[bisect_left(entries, (old[1], position, worker.name, worker))]
        if new[0] is not None:
            insort(self.groups[new[0]], (new[1], position, worker.name, worker))

    def __iter__(self) -> Iterator[list[Entry]]:
        return iter(self.groups)


class Rotations:
    """The rotations of all pools; a worker that serves every tier is in each."""

    def __init__(self, pools: list[list[Worker]], group_of: Callable[[Worker], int | None]) -> None:
        self.pools = pools
        self.group_of = group_of
        self.rotations = [Rotation() for _ in pools]

    def __getitem__(self, pool: int) -> Rotation:
        return self.rotations[pool]

    def in_order(self, group: int, first_pool: int) -> Iterator[Worker]:
        """Yield a group's workers of all pools in rotation order, after the next one of ``first_pool``."""
        first = self.rotations[first_pool].groups[group][:1]
        yield from (entry[-1] for entry in first)
        for entry in merge(*(rotation.groups[group] for rotation in self.rotations)):
            if entry not in first:
                yield entry[-1]

    def move(self, worker: Worker) -> None:
        """Update a worker's entries after its group or virtual time may have changed."""
        old = worker.rotation_key
        new = (self.group_of(worker), worker.virtual_time)
        if old != new:
            worker.rotation_key = new
            for rotation in self.rotations:
                rotation.move(worker, old, new)

    def regroup(self, workers: Iterable[Worker]) -> None:
        """Update the entries of many workers, without a change of which pools they are in."""
        for worker in workers:
            self.move(worker)

    def fill(self) -> None:
        """Update all entries after the pools or any workers may have changed."""
        is_changed = [
            not has_same_workers(rotation.pool, pool)
            for rotation, pool in zip(self.rotations, self.pools, strict=True)
        ]
        self.regroup(worker for pool in self.pools for worker in pool)
        if not any(is_changed):
            return
        grouped = {
            worker.name: worker.rotation_key[0]
            for pool in self.pools
            for worker in pool
            if worker.rotation_key is not None
        }
        for rotation, pool, changed in zip(self.rotations, self.pools, is_changed, strict=True):
            if changed:
                rotation.fill(pool, grouped)


def has_same_workers(old: list[Worker], new: list[Worker]) -> bool:
    """Return whether two pools hold the same workers, compared by identity, as equality is slow."""
    return len(old) == len(new) and all(map(is_, old, new))
