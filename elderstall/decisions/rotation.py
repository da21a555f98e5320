"""Workers in the order of their turns, so that the next one is found without a look at all of them.

The structure decides nothing: ``pools.Pools`` says what makes a worker near, far or full. An entry may
be out of date only towards being offered in vain, never towards being left out.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from heapq import merge
from operator import is_

from elderstall.decisions.records import Worker

NEAR, FAR, REST = range(3)  # groups: our own part of a worker, past it, beyond our stretch of the fleet
Entry = tuple[float, int, str, Worker]  # turn, place in the pool, its name; places are unique
RotationKey = tuple[int | None, float]  # group and turn


@dataclass(slots=True)
class Rotation:
    """One pool: groups in ascending order of turn; full workers stand in none.

    Where a worker stands follows from its place in the pool and from ``Worker.rotation_key``.
    """

    groups: tuple[list[Entry], ...] = field(default_factory=lambda: ([], [], []))
    places: dict[str, int] = field(default_factory=dict)
    pool: list[Worker] = field(default_factory=list)

    def fill(self, workers: list[Worker], grouped: dict[str, int | None]) -> None:
        """Start anew with a pool's workers, in its order, each in its group or in none."""
        self.pool = workers[:]
        self.places = {w.name: place for place, w in enumerate(workers)}
        for group in self.groups:
            group.clear()
        for place, w in enumerate(workers):
            if (group_of := grouped[w.name]) is not None:
                self.groups[group_of].append((w.virtual_time, place, w.name, w))
        for group in self.groups:
            group.sort()

    def move(self, w: Worker, old: RotationKey | None, new: RotationKey) -> None:
        """Put one worker where it belongs now: O(log n) comparisons."""
        place = self.places.get(w.name)
        if place is None:
            return
        if old is not None and old[0] is not None:
            entries = self.groups[old[0]]
            del entries[bisect_left(entries, (old[1], place, w.name, w))]
        if new[0] is not None:
            insort(self.groups[new[0]], (new[1], place, w.name, w))

    def __iter__(self) -> Iterator[list[Entry]]:
        return iter(self.groups)


class Rotations:
    """Those of all pools; a worker that serves every tier stands in each."""

    def __init__(self, pools: list[list[Worker]], group: Callable[[Worker], int | None]) -> None:
        self.pools, self.group = pools, group
        self.of = [Rotation() for _ in pools]

    def __getitem__(self, pool: int) -> Rotation:
        return self.of[pool]

    def turns(self, group: int, first_of: int) -> Iterator[Worker]:
        """Give a group's workers of all pools in the order of their turns, but the next of one pool first."""
        first = self.of[first_of].groups[group][:1]
        yield from (entry[-1] for entry in first)
        for entry in merge(*(rotation.groups[group] for rotation in self.of)):
            if entry not in first:
                yield entry[-1]

    def move(self, w: Worker) -> None:
        """Note that a worker's turn, or what it has of ours, has changed."""
        old, new = w.rotation_key, (self.group(w), w.virtual_time)
        if old != new:
            w.rotation_key = new
            for rotation in self.of:
                rotation.move(w, old, new)

    def settle(self, workers: Iterable[Worker]) -> None:
        """Note that our part of many workers may have changed, with the pools as they were."""
        for w in workers:
            self.move(w)

    def fill(self) -> None:
        """Note that the pools, or all workers, may have changed."""
        other = [not same(rotation.pool, pool) for rotation, pool in zip(self.of, self.pools, strict=True)]
        self.settle(w for pool in self.pools for w in pool)
        if not any(other):
            return
        grouped = {
            w.name: w.rotation_key[0] for pool in self.pools for w in pool if w.rotation_key is not None
        }
        for rotation, pool, changed in zip(self.of, self.pools, other, strict=True):
            if changed:
                rotation.fill(pool, grouped)


def same(old: list[Worker], new: list[Worker]) -> bool:
    """Say whether two pools are of the same workers, one by one: to compare what they hold takes long."""
    return len(old) == len(new) and all(map(is_, old, new))
