"""Which workers of a large fleet one dispatcher works with: deterministic, with no talk among dispatchers.

Every worker has a fixed position on a ring, by the hash of its name, and every dispatcher a fixed point,
by its rank. A dispatcher takes the workers that follow its point, as many as `subset_size` says. The
points of all ranks lie evenly (multiples of an irrational number), so each worker is held by nearly as
many dispatchers as any other. A worker that comes or goes moves one entry at each dispatcher whose arc
it lies in, and none elsewhere; a dispatcher that comes or goes moves no other one's point. Each kind of
worker has a ring of its own, so that none is missing; where crossing zones has a price, one of the own
zone is taken from as well.

Weighed against others in docs/design/bounded-view.md. No I/O, no clock, no randomness.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from elderstall.hashing import stable_hash

MIN_SUBSET_SIZE = 1_024  # workers: up to so many a dispatcher knows all, as its standing limits ask
REPLICAS = 8  # dispatchers that hold each worker at least, so that unequal traffic evens out over them
SLACK = 1 / 8  # of a size: it changes, and members leave, only beyond it, so that nothing flaps
MIN_LARGE_FLEET = MIN_SUBSET_SIZE * (1 + SLACK)  # workers, from which a fleet is a large one
MIN_WORKERS_PER_KIND = 64  # and of the own zone where that counts: some for each tier's pool
KINDS_PART = 4  # one part in so many of a subset, at most, is taken so that no kind is missing
LAST_PREFERENCE_POSITION = 0.999  # in line for a worker, of 1
WIDEN_MOST = 2.0  # times its length that an arc has at most while workers in it are out of reach
RING = 2**32  # positions
POINT_STEP = math.sqrt(2) - 1  # of the ring, from one rank's point to the next: their multiples lie evenly


def subset_size(workers: int, dispatchers: int) -> int:
    """Give how many workers each of some dispatchers is to hold: `REPLICAS` holders for each, at least."""
    return max(MIN_SUBSET_SIZE, math.ceil(REPLICAS * workers / dispatchers))


def position(name: str) -> int:
    """Give a worker's position on the ring, alike in every process.

    Hashed twice: the reserved workers and the pools cut by the first hash, so a stretch of a ring of it would
    lie in the lane as a whole, or outside it.
    """
    return stable_hash(str(stable_hash(name)))


def point(rank: int) -> int:
    """Give a dispatcher's point on the ring."""
    return int(rank * POINT_STEP % 1 * RING)


def distance(name: str, rank: int) -> float:
    """Give how far a worker lies from a dispatcher's point along the whole ring, from 0 to 1."""
    return (position(name) - point(rank)) % RING / RING


class Place(NamedTuple):
    """Where a worker belongs."""

    kind: str
    zone: str | None


class Ring:
    """Workers in the order of their positions."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        ordered = sorted((position(name), name) for name in names)
        self.positions = array("L", (at for at, _ in ordered))
        self.names = [name for _, name in ordered]

    def __len__(self) -> int:
        return len(self.names)

    def _find(self, name: str) -> tuple[int, int, bool]:
        """Give a name's position, its place in the order, and whether it is there."""
        at = position(name)
        place = bisect_left(self.positions, at)
        while place < len(self.names) and self.positions[place] == at and self.names[place] < name:
            place += 1
        return at, place, place < len(self.names) and self.names[place] == name

    def add(self, name: str) -> bool:
        """Put a worker on the ring; say whether it was not there."""
        at, place, there = self._find(name)
        if not there:
            self.positions.insert(place, at)
            self.names.insert(place, name)
        return not there

    def remove(self, name: str) -> bool:
        """Take a worker off the ring; say whether it was there."""
        _, place, there = self._find(name)
        if there:
            del self.positions[place]
            del self.names[place]
        return there

    def after(self, start: int) -> Iterator[str]:
        """Give all workers once, from a point on."""
        place = bisect_left(self.positions, start)
        yield from self.names[place:]
        yield from self.names[:place]


class Arc:
    """The workers that one dispatcher takes from a ring: ``length`` of those that follow its point."""

    def __init__(self, ring: Ring, start: int, length: int) -> None:
        self.ring, self.start, self.length = ring, start, length
        self.members: frozenset[str] = frozenset()
        self.last = 0  # position of the last member, as a distance from the start
        self.unreached = 0  # members in lost zones, for which further ones were taken

    def covers(self, name: str) -> bool:
        """Say whether a worker that comes or goes can change the members."""
        short = len(self.members) < self.length
        return short or name in self.members or (position(name) - self.start) % RING <= self.last

    def cut(self, lost: Callable[[str], bool], answering: Callable[[str], bool] = lambda name: True) -> None:
        """Work the members out anew; for each that is ``lost`` one more is taken that is ``answering``."""
        taken: list[str] = []
        missing = 0
        most = int(WIDEN_MOST * self.length)
        for count, name in enumerate(self.ring.after(self.start)):
            if count < self.length:
                missing += lost(name)
            elif not missing or len(taken) >= most:
                break
            elif not answering(name):
                continue
            else:
                missing -= 1
            taken.append(name)
        self.members = frozenset(taken)
        self.unreached = max(0, len(taken) - self.length)
        self.last = (position(taken[-1]) - self.start) % RING if taken else 0


class Subset:
    """The arcs of one dispatcher over the rings of all kinds, and of its own zone where that counts."""

    def __init__(self, rank: int, dispatchers: int, home_zone: str | None) -> None:
        self.start, self.dispatchers, self.home_zone = point(rank), dispatchers, home_zone
        self.kinds: dict[str, Arc] = {}
        self.home: Arc | None = None
        self.sized_for = 0  # workers on the rings when lengths were last worked out
        self.size = 0
        self.lost_zones: frozenset[str | None] = frozenset()
        self.answering_zones: frozenset[str | None] = frozenset()
        self.places: dict[str, Place] = {}  # of the workers on the rings
        self.known_places: dict[Place, Place] = {}  # one of each, so that workers share them

    def __len__(self) -> int:
        return len(self.places)

    def _place(self, name: str, kind: str, zone: str | None) -> Place:
        """Note a worker's kind and zone."""
        place = Place(kind, zone)
        self.places[name] = place = self.known_places.setdefault(place, place)
        return place

    @property
    def widened(self) -> int:
        """How many workers are taken beyond the usual, for others that are out of reach."""
        return sum(arc.unreached for arc in self.arcs())

    def arcs(self) -> list[Arc]:
        """Give all arcs."""
        return [*self.kinds.values(), *([self.home] if self.home is not None else [])]

    def fill(self, workers: Iterable[tuple[str, str, str | None]]) -> None:
        """Start anew with workers that are up, each as its name, kind and zone."""
        by_kind: dict[str, list[str]] = {}
        self.places = {}
        for name, kind, zone in workers:
            by_kind.setdefault(kind, []).append(name)
            self._place(name, kind, zone)
        self.kinds = {kind: Arc(Ring(names), self.start, 0) for kind, names in by_kind.items()}
        if self.home_zone is not None:
            own = Ring(name for name, place in self.places.items() if place.zone == self.home_zone)
            self.home = Arc(own, self.start, 0)
        self.resize()

    def resize(self) -> None:
        """Work out how long each arc is to be, and cut all of them."""
        self.sized_for = len(self.places)
        self.size = subset_size(self.sized_for, self.dispatchers)
        least = min(MIN_WORKERS_PER_KIND, self.size // (KINDS_PART * max(1, len(self.kinds))))
        for arc in self.kinds.values():
            share = math.ceil(self.size * len(arc.ring) / max(1, self.sized_for))
            arc.length = max(min(len(arc.ring), least), share)
        if self.home is not None:
            self.home.length = min(len(self.home.ring), MIN_WORKERS_PER_KIND)
        self.cut(self.arcs())

    def cut(self, arcs: Iterable[Arc]) -> None:
        """Work arcs out anew."""
        for arc in arcs:
            arc.cut(self.is_lost, self.is_answering)

    def is_lost(self, name: str) -> bool:
        """Say whether a worker's zone is out of reach."""
        return bool(self.lost_zones) and self.places[name].zone in self.lost_zones

    def is_answering(self, name: str) -> bool:
        """Say whether a worker's zone has answered since others were lost."""
        return self.places[name].zone in self.answering_zones

    def _arcs_of(self, place: Place) -> list[Arc]:
        """Give the arcs on whose rings a worker of a kind and zone stands."""
        arcs = [self.kinds[place.kind]]
        if self.home is not None and place.zone == self.home_zone:
            arcs.append(self.home)
        return arcs

    def add(self, name: str, kind: str, zone: str | None) -> bool:
        """Take a worker that is up; say whether members may have changed."""
        if kind not in self.kinds:
            self.kinds[kind] = Arc(Ring(), self.start, MIN_WORKERS_PER_KIND)
        arcs = self._arcs_of(self._place(name, kind, zone))
        return self._changed(name, [arc for arc in arcs if arc.ring.add(name)])

    def remove(self, name: str) -> bool:
        """Leave out a worker that is not up any more; say whether members may have changed."""
        arcs = self._arcs_of(self.places.pop(name))
        return self._changed(name, [arc for arc in arcs if arc.ring.remove(name)])

    def _changed(self, name: str, arcs: list[Arc]) -> bool:
        """Cut the arcs that a worker's coming or going touches, or all where the fleet's size has changed."""
        if abs(len(self.places) - self.sized_for) > SLACK * self.sized_for:
            self.resize()
            return True
        touched = [arc for arc in arcs if arc.covers(name)]
        self.cut(touched)
        return bool(touched)

    def lose(self, zones: frozenset[str | None], answering: frozenset[str | None]) -> None:
        """Take the zones that are out of reach now: arcs reach past their workers, to those that answer.

        Others may be cut off too, and not yet found to be: taken in, they would leave again.
        """
        self.lost_zones, self.answering_zones = zones, answering
        self.cut(self.arcs())

    def preference_position(self, name: str) -> float:
        """Give where the dispatcher stands in line for a worker, from 0 to 1: how far along its arc it lies.

        So those that a dispatcher counts as its own, the first part of its arc, are as evenly spread as all.
        """
        arc = self.kinds[self.places[name].kind]
        span = RING * max(1, arc.length) / max(1, len(arc.ring))
        along = (position(name) - self.start) % RING / span
        if 1.0 <= along < 1.0 + SLACK:
            return LAST_PREFERENCE_POSITION  # the arc's end: stretches of the ring are not equally full
        return along % 1  # past it are those taken for others, out of reach

    def wanted(self) -> set[str]:
        """Give the whole subset."""
        return set().union(*(arc.members for arc in self.arcs()))
