"""How long a job can wait."""

from __future__ import annotations

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.records import Job

USUAL_PART = 0.5  # most jobs of a heavy-tailed class are about half its mean


class Urgency:
    """What time and settings leave of a job's wait."""

    def __init__(self, context: DecisionContext, capacity: CapacityModel) -> None:
        self.context, self.capacity = context, capacity

    def patience(self, job: Job) -> float:
        """Give the time, ms from arrival, after which a queued job of usual length would end late."""
        stretch = job.cls.stretch - self.capacity.ms_per_unit
        return job.cls.latency_objective + stretch * job.work * USUAL_PART

    def out_of_time(self, job: Job) -> bool:
        """Say whether a queued job can earn nothing any more."""
        limit = job.cls.deadline if job.cls.late_share else self.patience(job)
        # Guards its one answer until the next review, and against work for a client that has gone.
        until_review = self.context.mode.review_interval
        latest = job.deadline - until_review - 2 * self.context.settings.tick - job.work
        return self.context.now >= min(latest, job.arrived + limit)
