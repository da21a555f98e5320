"""Final answers of jobs: rejected with a time to come back, or failed; and the table of open jobs."""

from __future__ import annotations

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.load_shedding import LoadShedding
from elderstall.decisions.records import Job
from elderstall.interface import DeduplicationScope, Effect, FailJob, RejectJob

RETRY_AFTER_LEAST = 200.0  # ms: less only adds to what is overloaded
RETRY_AFTER_MOST = 2_000.0  # ms: more is not heeded


class Answers:
    """Owns the jobs that are owed an answer."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        capacity: CapacityModel,
        shedding: LoadShedding,
    ) -> None:
        self.context, self.endpoints = context, endpoints
        self.capacity, self.shedding = capacity, shedding
        self.open: dict[int, Job] = {}
        self.awaiting_reports: dict[int, Job] = {}  # open jobs that wait for polled workers' reports

    def finish(self, job: Job, why: str = "") -> None:
        """Give the final answer: a rejection where trying again is harmless, else a failure."""
        self.close(job)
        if self._harmless(job):
            self.context.add_action(RejectJob(job.id, self.retry_after(), why))
        else:
            self.context.add_action(FailJob(job.id))

    def close(self, job: Job) -> None:
        """Mark a job as answered; its attempts may still be in flight."""
        job.answered, job.queued = True, False
        self.awaiting_reports.pop(job.id, None)
        self.open.pop(job.id, None)

    def abandoned(self, job_id: int) -> None:
        """Take that nothing is owed for a job any more."""
        if job_id in self.open:
            self.close(self.open[job_id])

    @staticmethod
    def _harmless(job: Job) -> bool:
        """Say whether a client may be told to try again."""
        job_class = job.cls
        if job_class.effect is Effect.IDEMPOTENT:
            return True
        if job.ran_on is None and job.in_flight == 0:
            return True
        return job_class.effect is Effect.IDEMPOTENCY_KEY and job_class.scope is DeduplicationScope.ALL

    def retry_after(self) -> float:
        """Give the time, ms, in which our part of the fleet works off what we owe.

        Guards against clients that come back at once and keep a full fleet full; no answer waits for it.
        """
        if self.context.mode.polls_before_placing:
            # All dispatchers see the same fleet, of which our own jobs tell too little.
            span = RETRY_AFTER_MOST - RETRY_AFTER_LEAST
            return RETRY_AFTER_LEAST + span * min(1.0, self.shedding.level)
        own_capacity = self.endpoints.total_capacity * self.capacity.fleet_fraction
        owed = sum(job.work * job.slots for job in self.open.values())
        return min(max(owed / max(own_capacity, 1e-9), RETRY_AFTER_LEAST), RETRY_AFTER_MOST)
