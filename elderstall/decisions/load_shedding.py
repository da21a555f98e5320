"""Fraction of workers that are full, by their load reports, and rejection of jobs by it.

Where dispatchers are many, none knows the workers' queues, but the fraction of full ones among the polled
workers is nearly the same for all dispatchers. Jobs of the lowest weight are rejected first, yet a
fraction of each level within the quotas is still admitted. When nearly all workers are full, jobs are
rejected regardless of weight.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

SAMPLE_DECAY_MS = 1_500.0  # samples decay to 1/e in it, as a burst lasts a few seconds
MIN_SAMPLE_WEIGHT = 0.1  # of one report, however soon it follows the last: a few change little
SHEDDING_START_FRACTION = 0.75  # of workers full: up to it queues are short and nearly all jobs end in time
MIN_ADMITTED_FRACTION = 1 / 3  # of a level's jobs, while all jobs of more weight are admitted
NEARLY_FULL_FRACTION = 0.98  # of workers full: rejecting the lowest weights was not enough
MAX_REJECTED_FRACTION = 0.8  # of all jobs, when all are full: enough at five times the fleet's capacity


class LoadShedding:
    """Tracks the fraction of full workers, and rejects jobs by priority weight."""

    def __init__(self) -> None:
        self.full = 0.0  # fraction of the polled workers, 0 to 1
        self.sampled_at = math.inf  # ms; time of the last report; inf gives the first one the minimum weight
        self.level_bounds: list[float] = []  # minimum weight of each level from 1 on; level 0 is over quota

    def set_weights(self, weights: Iterable[float]) -> None:
        """Set the levels: one per weight, bounded by the geometric mean with the next lower weight."""
        levels = sorted(set(weights))
        self.level_bounds = [
            weight / 2 if not n else math.sqrt(weight * levels[n - 1]) for n, weight in enumerate(levels)
        ]

    def record(self, now: float, *, full: bool) -> None:
        """Record the load report of a polled worker."""
        weight = max(MIN_SAMPLE_WEIGHT, 1 - math.exp((self.sampled_at - now) / SAMPLE_DECAY_MS))
        self.full += weight * (full - self.full)
        self.sampled_at = now

    @property
    def rejected_levels(self) -> float:
        """Return how many levels within the quotas are rejected, the last in part.

        It follows from the current fraction alone and doesn't accumulate.
        """
        return max(1, len(self.level_bounds) - 1) * max(
            0.0, (self.full - SHEDDING_START_FRACTION) / (1 - SHEDDING_START_FRACTION)
        )

    def rejection_probability(self, weight: float) -> float:
        """Return the probability of rejecting a job; the highest weight only when nearly all are full."""
        job_level = bisect_right(self.level_bounds, weight)
        regardless_of_weight = MAX_REJECTED_FRACTION * max(
            0.0, (self.full - NEARLY_FULL_FRACTION) / (1 - NEARLY_FULL_FRACTION)
        )
        return max(self._rejection_by_level(job_level), regardless_of_weight)

    def _rejection_by_level(self, job_level: int) -> float:
        """Return the probability of rejection by a job's level alone."""
        if job_level == len(self.level_bounds):
            return 0.0
        if not job_level:
            return min(1.0, 2 * self.rejected_levels)
        return min(1.0 - MIN_ADMITTED_FRACTION, max(0.0, self.rejected_levels - job_level + 1))
