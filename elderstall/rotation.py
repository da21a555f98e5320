"""Workers in the order of their turns, so that the next one is found without a look at all of them.

The structure decides nothing: what makes a worker near, far or full is told by ``choice.py``. An entry may
be out of date only towards being offered in vain, never towards being left out.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from heapq import merge

from elderstall.records import Worker

NEAR, FAR = 0, 1  # groups: within our own part of a worker, and past it
Entry = tuple[float, int, str, Worker]  # turn, place in the pool, its name; places are unique


@dataclass(slots=True)
class Rotation:
    """One pool: two groups in ascending order of turn; full workers stand in neither."""

    groups: tuple[list[Entry], list[Entry]] = field(default_factory=lambda: ([], []))
    places: dict[str, int] = field(default_factory=dict)
    kept: dict[str, tuple[int, Entry]] = field(default_factory=dict)

    def fill(self, workers: Iterable[Worker], grouped: dict[str, int | None]) -> None:
        """Start anew with a pool's workers, in its order, each in its group or in none."""
        self.places, self.kept = {}, {}
        for group in self.groups:
            group.clear()
        for place, w in enumerate(workers):
            self.places[w.name] = place
            if (group_of := grouped[w.name]) is not None:
                entry = (w.turn, place, w.name, w)
                self.kept[w.name] = group_of, entry
                self.groups[group_of].append(entry)
        for group in self.groups:
            group.sort()

    def move(self, w: Worker, group: int | None) -> None:
        """Put one worker where it belongs now: O(log n) comparisons."""
        place = self.places.get(w.name)
        if place is None:
            return
        old = self.kept.pop(w.name, None)
        if old is not None:
            entries = self.groups[old[0]]
            del entries[bisect_left(entries, old[1])]
        if group is not None:
            entry = (w.turn, place, w.name, w)
            self.kept[w.name] = group, entry
            insort(self.groups[group], entry)

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
        filed = self.group(w), w.turn
        if filed != w.filed:
            w.filed = filed
            for rotation in self.of:
                rotation.move(w, filed[0])

    def settle(self, workers: Iterable[Worker]) -> None:
        """Note that our part of many workers may have changed, with the pools as they were."""
        for w in workers:
            self.move(w)

    def fill(self) -> None:
        """Note that the pools, or all workers, may have changed."""
        grouped: dict[str, int | None] = {}
        for pool in self.pools:
            for w in pool:
                grouped[w.name] = group = self.group(w)
                w.filed = group, w.turn
        for rotation, pool in zip(self.of, self.pools, strict=True):
            rotation.fill(pool, grouped)
