"""Limits on how long a job can wait."""

from __future__ import annotations

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.records import Job

TYPICAL_WORK_FRACTION = 0.5  # of the mean: most jobs of a heavy-tailed class have about half of it


class Urgency:
    """Computes the waiting time that a job's deadline and latency objective allow."""

    def __init__(self, context: DecisionContext, capacity: CapacityModel) -> None:
        self.context = context
        self.capacity = capacity

    def max_wait(self, job: Job) -> float:
        """Return the time, ms from arrival, after which a queued job of typical work would end late."""
        spare_stretch = job.cls.stretch - self.capacity.ms_per_unit
        return job.cls.latency_objective + spare_stretch * job.work * TYPICAL_WORK_FRACTION

    def is_out_of_time(self, job: Job) -> bool:
        """Return whether a queued job can no longer be completed in useful time."""
        limit = job.cls.deadline if job.cls.late_share else self.max_wait(job)
        # Leaves time to answer the job at the next review, and avoids work for disconnected clients.
        until_review = self.context.mode.review_interval
        latest = job.deadline - until_review - 2 * self.context.settings.tick - job.work
        return self.context.now >= min(latest, job.arrived + limit)
