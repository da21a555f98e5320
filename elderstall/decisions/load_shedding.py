"""How full the fleet is, by workers' load reports, and which jobs are rejected for it.

No dispatcher of many knows the queues, but whether a worker polled in its turn is full says nearly the same
to all. The least weight is rejected first, yet each level within the quotas keeps a part; when nearly all
workers are full, all are rejected alike.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

SEEN_FOR = 1_500.0  # ms after which what was seen counts for a third: a burst lasts some seconds
SAMPLE_WEIGHT_LEAST = 0.1  # weight of one report however soon it comes, so that a few decide nothing
CALM = 0.75  # of the workers may be full: then, with queues of a few, nearly all still end in time
KEPT = 1 / 3  # of a level's jobs are admitted while those of more weight are served in full
NEARLY_FULL = 0.98  # of the workers full: rejecting the least weight has not been enough
REJECTED_MOST = 0.8  # of all jobs are rejected then: work offered at five times what the fleet does


class LoadShedding:
    """The share of workers that are full, and which priority weight is rejected for it."""

    def __init__(self) -> None:
        self.full = 0.0  # share of the workers polled, 0 to 1
        self.sampled_at = math.inf  # ms, when one last reported
        self.level_cuts: list[float] = []  # least weight of levels from 1 on; level 0 is over quota

    def adopt(self, weights: Iterable[float]) -> None:
        """Take the weights of the classes: each is a level, cut half way, by ratio, to the one below."""
        levels = sorted(set(weights))
        self.level_cuts = [
            weight / 2 if not n else math.sqrt(weight * levels[n - 1]) for n, weight in enumerate(levels)
        ]

    def record(self, now: float, *, full: bool) -> None:
        """Take one load report of a worker that was polled in its turn."""
        weight = max(SAMPLE_WEIGHT_LEAST, 1 - math.exp((self.sampled_at - now) / SEEN_FOR))
        self.full += weight * (full - self.full)
        self.sampled_at = now

    @property
    def level(self) -> float:
        """Give how many levels within the quotas are rejected, the last in part; nothing winds up."""
        return max(1, len(self.level_cuts) - 1) * max(0.0, (self.full - CALM) / (1 - CALM))

    def rejection_probability(self, weight: float) -> float:
        """Give the chance with which a job of a weight is rejected; the most weight only when nearly full."""
        job_level = bisect_right(self.level_cuts, weight)
        everything = REJECTED_MOST * max(0.0, (self.full - NEARLY_FULL) / (1 - NEARLY_FULL))
        return max(self._least_first(job_level), everything)

    def _least_first(self, job_level: int) -> float:
        """Give the chance of rejection by a job's level alone."""
        if job_level == len(self.level_cuts):
            return 0.0
        if not job_level:
            return min(1.0, 2 * self.level)
        return min(1.0 - KEPT, max(0.0, self.level - job_level + 1))
