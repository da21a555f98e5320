"""How full the fleet is, by what workers answer, and what is turned away for it.

No dispatcher of many knows the queues, but whether a worker asked in its turn is full says nearly the same to
all. The least worth goes first, yet each level within the shares keeps a part; at the brim all go alike.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

SEEN_FOR = 1_500.0  # ms after which what was seen counts for a third: a burst lasts some seconds
SEEN_LEAST = 0.1  # weight of one answer however soon it comes, so that a few decide nothing
CALM = 0.75  # of the workers may be full: then, with queues of a few, nearly all still end in time
KEPT = 1 / 3  # of a level's jobs are taken while more worth is served in full
BRIM = 0.98  # of the workers full: turning the least worth away has not been enough
ALL_MOST = 0.8  # of all jobs are turned away then: work offered at five times what the fleet does


class Pressure:
    """The share of workers that are full, and which worth is turned away for it."""

    def __init__(self) -> None:
        self.full, self.at = 0.0, math.inf  # share of the workers asked; when one last answered, ms
        self.cuts = list[float]()  # least worth of each level from 1 on; level 0 is work beyond the shares

    def adopt(self, worths: Iterable[float]) -> None:
        """Take the worths of the classes: each is a level, cut half way, by ratio, to the one below."""
        levels = sorted(set(worths))
        self.cuts = [w / 2 if not n else math.sqrt(w * levels[n - 1]) for n, w in enumerate(levels)]

    def saw(self, now: float, full: bool) -> None:
        """Take one answer of a worker that was asked in its turn."""
        weight = max(SEEN_LEAST, 1 - math.exp((self.at - now) / SEEN_FOR))
        self.full, self.at = self.full + weight * (full - self.full), now

    @property
    def now(self) -> float:
        """Give the levels within the shares that are turned away, the last in part; nothing winds up."""
        return max(1, len(self.cuts) - 1) * max(0.0, (self.full - CALM) / (1 - CALM))

    def refuses(self, worth: float) -> float:
        """Give the chance with which a job of a worth is turned away; the most worth only at the brim."""
        level = bisect_right(self.cuts, worth)
        top, beyond = level == len(self.cuts), min(1.0, 2 * self.now)
        least_first = 0.0 if top else min(1.0 - KEPT, max(0.0, self.now - level + 1)) if level else beyond
        return max(least_first, ALL_MOST * max(0.0, (self.full - BRIM) / (1 - BRIM)))
