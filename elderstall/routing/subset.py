"""Deterministic subsetting: the workers of a large fleet that one dispatcher uses, without coordination.

Every worker has a fixed position on a ring, from the hash of its name, and every dispatcher a fixed point,
from its rank. A dispatcher uses about `subset_size` workers, those that follow its point. The points of all
ranks are evenly spaced (multiples of an irrational number), so every worker is in nearly the same number of
subsets.
Adding or removing a worker changes one entry at each dispatcher whose arc contains it, and none elsewhere;
adding or removing a dispatcher moves no other dispatcher's point. Each kind of worker has its own ring, so
that no kind is missing from a subset; where crossing zones has a price, workers are also taken from a ring
of the home zone. Minimums of a kind and of the home zone may make a subset larger than `subset_size`.

Where workers are polled, a dispatcher owns the workers at the beginning of its arcs: it is the first to use
them.

Alternatives are compared in docs/design/bounded-view.md. No I/O, no clock, no randomness.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from elderstall.hashing import stable_hash

MIN_SUBSET_SIZE = 1_024  # workers; a fleet of up to this size is never divided into subsets
MIN_DISPATCHERS_PER_WORKER = 8  # on average; evens out unequal traffic of dispatchers that share a worker
SIZE_TOLERANCE_FRACTION = 1 / 8  # smaller deviations change no size and remove no members: no flapping
MIN_MANY_WORKERS = MIN_SUBSET_SIZE * (1 + SIZE_TOLERANCE_FRACTION)  # workers, above which a fleet is large
MIN_WORKERS_PER_KIND = 64  # from each kind's ring, and from the home zone's where crossing zones has a price
KIND_MINIMUMS_DIVISOR = 4  # resizing reserves at most 1/4 of a subset for the minimums of all kinds together
LAST_PREFERENCE_POSITION = 0.999  # just below 1: the last preference position on an arc
MAX_WIDENING_FACTOR = 2.0  # of an arc's length, while workers in it are unreachable
RING_POSITIONS = 2**32
POINT_STEP = math.sqrt(2) - 1  # of the ring, between the points of consecutive ranks: evenly spaced


def subset_size(workers: int, dispatchers: int) -> int:
    """Return the subset size.

    Each worker is then in at least `MIN_DISPATCHERS_PER_WORKER` subsets on average.
    """
    return max(MIN_SUBSET_SIZE, math.ceil(MIN_DISPATCHERS_PER_WORKER * workers / dispatchers))


def worker_position(name: str) -> int:
    """Return a worker's position on the ring, the same in every process.

    The name is hashed twice. Reserved workers and pools are chosen by the first hash, so an arc of a ring
    ordered by it would lie entirely inside or entirely outside the reserved workers.
    """
    return stable_hash(str(stable_hash(name)))


def dispatcher_point(rank: int) -> int:
    """Return a dispatcher's point on the ring."""
    return int(rank * POINT_STEP % 1 * RING_POSITIONS)


def ring_distance(name: str, rank: int) -> float:
    """Return the distance from a dispatcher's point to a worker, as a fraction of the whole ring."""
    return (worker_position(name) - dispatcher_point(rank)) % RING_POSITIONS / RING_POSITIONS


class KindAndZone(NamedTuple):
    """The kind and the zone of a worker."""

    kind: str
    zone: str | None


class Ring:
    """Workers sorted by their positions."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        ordered = sorted((worker_position(name), name) for name in names)
        self.positions = array("L", (position for position, _ in ordered))
        self.names = [name for _, name in ordered]

    def __len__(self) -> int:
        return len(self.names)

    def _find(self, name: str) -> tuple[int, int, bool]:
        """Return a name's position, its index in the order, and whether it is present."""
        position = worker_position(name)
        index = bisect_left(self.positions, position)
        while index < len(self.names) and self.positions[index] == position and self.names[index] < name:
            index += 1
        return position, index, index < len(self.names) and self.names[index] == name

    def add(self, name: str) -> bool:
        """Add a worker to the ring; return whether it was absent."""
        position, index, present = self._find(name)
        if not present:
            self.positions.insert(index, position)
            self.names.insert(index, name)
        return not present

    def remove(self, name: str) -> bool:
        """Remove a worker from the ring; return whether it was present."""
        _, index, present = self._find(name)
        if present:
            del self.positions[index]
            del self.names[index]
        return present

    def after(self, start: int) -> Iterator[str]:
        """Yield all workers once, starting from a position."""
        index = bisect_left(self.positions, start)
        yield from self.names[index:]
        yield from self.names[:index]


class RingArc:
    """The workers that one dispatcher uses from a ring: the ``length`` workers after its point."""

    def __init__(self, ring: Ring, start: int, length: int) -> None:
        self.ring = ring
        self.start = start
        self.length = length
        self.members: frozenset[str] = frozenset()
        self.last_distance = 0  # from the start to the last member
        self.extra_members = 0  # members beyond the length, added for unreachable ones

    def is_affected_by(self, name: str) -> bool:
        """Return whether adding or removing a worker can change the members."""
        is_short = len(self.members) < self.length
        return (
            is_short
            or name in self.members
            or (worker_position(name) - self.start) % RING_POSITIONS <= self.last_distance
        )

    def recompute(
        self,
        is_unreachable: Callable[[str], bool],
        is_answering: Callable[[str], bool] = lambda name: True,
    ) -> None:
        """Recompute the members, with one additional answering member for each unreachable one."""
        members: list[str] = []
        missing = 0
        max_members = int(MAX_WIDENING_FACTOR * self.length)
        for count, name in enumerate(self.ring.after(self.start)):
            if count < self.length:
                missing += is_unreachable(name)
            elif not missing or len(members) >= max_members:
                break
            elif not is_answering(name):
                continue
            else:
                missing -= 1
            members.append(name)
        self.members = frozenset(members)
        self.extra_members = max(0, len(members) - self.length)
        self.last_distance = (worker_position(members[-1]) - self.start) % RING_POSITIONS if members else 0


class Subset:
    """The arcs of one dispatcher: one per kind, and one for its home zone where crossing has a price."""

    def __init__(self, rank: int, dispatchers: int, home_zone: str | None) -> None:
        self.start = dispatcher_point(rank)
        self.dispatchers = dispatchers
        self.home_zone = home_zone
        self.arcs_by_kind: dict[str, RingArc] = {}
        self.home_arc: RingArc | None = None
        self.sized_for = 0  # workers on the rings when lengths were last computed
        self.size = 0
        self.unreachable_zones: frozenset[str | None] = frozenset()
        self.answering_zones: frozenset[str | None] = frozenset()
        self.kinds_and_zones: dict[str, KindAndZone] = {}  # by worker on the rings
        self.shared_kinds_and_zones: dict[KindAndZone, KindAndZone] = {}  # saves memory

    def __len__(self) -> int:
        return len(self.kinds_and_zones)

    def _record_kind_and_zone(self, name: str, kind: str, zone: str | None) -> KindAndZone:
        """Record a worker's kind and zone."""
        kind_and_zone = KindAndZone(kind, zone)
        self.kinds_and_zones[name] = kind_and_zone = self.shared_kinds_and_zones.setdefault(
            kind_and_zone, kind_and_zone
        )
        return kind_and_zone

    @property
    def widened(self) -> int:
        """Number of additional workers used in place of unreachable ones."""
        return sum(arc.extra_members for arc in self.arcs())

    def arcs(self) -> list[RingArc]:
        """Return all arcs."""
        return [*self.arcs_by_kind.values(), *([self.home_arc] if self.home_arc is not None else [])]

    def fill(self, workers: Iterable[tuple[str, str, str | None]]) -> None:
        """Rebuild all rings from workers that are up, each given as name, kind and zone."""
        by_kind: dict[str, list[str]] = {}
        self.kinds_and_zones = {}
        for name, kind, zone in workers:
            by_kind.setdefault(kind, []).append(name)
            self._record_kind_and_zone(name, kind, zone)
        self.arcs_by_kind = {kind: RingArc(Ring(names), self.start, 0) for kind, names in by_kind.items()}
        if self.home_zone is not None:
            home_ring = Ring(
                name
                for name, kind_and_zone in self.kinds_and_zones.items()
                if kind_and_zone.zone == self.home_zone
            )
            self.home_arc = RingArc(home_ring, self.start, 0)
        self.resize()

    def resize(self) -> None:
        """Recompute the length and the members of every arc."""
        self.sized_for = len(self.kinds_and_zones)
        self.size = subset_size(self.sized_for, self.dispatchers)
        min_length = min(
            MIN_WORKERS_PER_KIND, self.size // (KIND_MINIMUMS_DIVISOR * max(1, len(self.arcs_by_kind)))
        )
        for arc in self.arcs_by_kind.values():
            share = math.ceil(self.size * len(arc.ring) / max(1, self.sized_for))
            arc.length = max(min(len(arc.ring), min_length), share)
        if self.home_arc is not None:
            self.home_arc.length = min(len(self.home_arc.ring), MIN_WORKERS_PER_KIND)
        self.recompute(self.arcs())

    def recompute(self, arcs: Iterable[RingArc]) -> None:
        """Recompute the members of arcs."""
        for arc in arcs:
            arc.recompute(self.is_unreachable, self.is_answering)

    def is_unreachable(self, name: str) -> bool:
        """Return whether a worker's zone is unreachable."""
        return bool(self.unreachable_zones) and self.kinds_and_zones[name].zone in self.unreachable_zones

    def is_answering(self, name: str) -> bool:
        """Return whether a worker's zone has answered since others became unreachable."""
        return self.kinds_and_zones[name].zone in self.answering_zones

    def _arcs_of(self, kind_and_zone: KindAndZone) -> list[RingArc]:
        """Return the arcs whose rings hold workers of this kind and zone."""
        arcs = [self.arcs_by_kind[kind_and_zone.kind]]
        if self.home_arc is not None and kind_and_zone.zone == self.home_zone:
            arcs.append(self.home_arc)
        return arcs

    def add(self, name: str, kind: str, zone: str | None) -> bool:
        """Add a worker that is up; return whether members may have changed.

        A new kind's arc may hold up to `MIN_WORKERS_PER_KIND` workers until the next resize.
        """
        if kind not in self.arcs_by_kind:
            self.arcs_by_kind[kind] = RingArc(Ring(), self.start, MIN_WORKERS_PER_KIND)
        arcs = self._arcs_of(self._record_kind_and_zone(name, kind, zone))
        return self._changed(name, [arc for arc in arcs if arc.ring.add(name)])

    def remove(self, name: str) -> bool:
        """Remove a worker that is no longer up; return whether members may have changed."""
        arcs = self._arcs_of(self.kinds_and_zones.pop(name))
        return self._changed(name, [arc for arc in arcs if arc.ring.remove(name)])

    def _changed(self, name: str, arcs: list[RingArc]) -> bool:
        """Recompute the arcs that a worker affects, or all arcs where the fleet size has changed."""
        if abs(len(self.kinds_and_zones) - self.sized_for) > SIZE_TOLERANCE_FRACTION * self.sized_for:
            self.resize()
            return True
        affected = [arc for arc in arcs if arc.is_affected_by(name)]
        self.recompute(affected)
        return bool(affected)

    def update_reach(self, unreachable: frozenset[str | None], answering: frozenset[str | None]) -> None:
        """Set the unreachable zones: arcs are extended by workers of zones that answer.

        Other zones may be unreachable too without having been detected yet; their workers would be added only
        to be removed again.
        """
        self.unreachable_zones = unreachable
        self.answering_zones = answering
        self.recompute(self.arcs())

    def preference_position(self, name: str) -> float:
        """Return this dispatcher's preference position for a worker: its distance along the arc, 0 to 1.

        The workers that a dispatcher owns, at the beginning of its arc, are therefore as evenly distributed
        among the dispatchers as all members.
        """
        arc = self.arcs_by_kind[self.kinds_and_zones[name].kind]
        span = RING_POSITIONS * max(1, arc.length) / max(1, len(arc.ring))
        along = (worker_position(name) - self.start) % RING_POSITIONS / span
        if 1.0 <= along < 1.0 + SIZE_TOLERANCE_FRACTION:
            return LAST_PREFERENCE_POSITION  # near the end: workers are not quite evenly spaced
        return along % 1  # workers beyond the arc stand in for unreachable ones

    def wanted(self) -> set[str]:
        """Return the names of all workers in the subset."""
        return set().union(*(arc.members for arc in self.arcs()))
