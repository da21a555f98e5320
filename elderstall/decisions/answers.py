"""Final answers of jobs, rejected with a retry delay or failed, and the table of open jobs."""

from __future__ import annotations

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.load_shedding import LoadShedding
from elderstall.decisions.records import Job
from elderstall.interface import DeduplicationScope, Effect, FailJob, RejectJob

MIN_RETRY_AFTER_MS = 200.0  # an earlier retry only adds to the overload
MAX_RETRY_AFTER_MS = 2_000.0  # longer delays are not heeded by clients


class Answers:
    """Owns the jobs that still need an answer."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        capacity: CapacityModel,
        shedding: LoadShedding,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.capacity = capacity
        self.shedding = shedding
        self.open: dict[int, Job] = {}
        self.awaiting_reports: dict[int, Job] = {}  # open jobs that wait for polled workers' reports

    def finish(self, job: Job, reason: str = "") -> None:
        """Send the final answer: a rejection where a retry by the client is harmless, else a failure."""
        self.close(job)
        if self._is_retry_harmless(job):
            self.context.add_action(RejectJob(job.id, self.retry_after(), reason))
        else:
            self.context.add_action(FailJob(job.id))

    def close(self, job: Job) -> None:
        """Mark a job as answered; its attempts may still be in flight."""
        job.answered = True
        job.queued = False
        self.awaiting_reports.pop(job.id, None)
        self.open.pop(job.id, None)

    def release(self, job_id: int) -> None:
        """Close a job that needs no answer any more, if it is open."""
        if job_id in self.open:
            self.close(self.open[job_id])

    @staticmethod
    def _is_retry_harmless(job: Job) -> bool:
        """Return whether a retry by the client is harmless."""
        job_class = job.cls
        if job_class.effect is Effect.IDEMPOTENT:
            return True
        if job.ran_on is None and job.in_flight == 0:
            return True
        return job_class.effect is Effect.IDEMPOTENCY_KEY and job_class.scope is DeduplicationScope.ALL

    def retry_after(self) -> float:
        """Return the delay, ms, after which a client may retry.

        It is the time in which this dispatcher's fraction of the fleet completes its open jobs. Where workers
        are polled before placing, it follows from the fraction of full workers instead. Clients that retried
        at once would keep a saturated fleet saturated. The answer itself isn't delayed.
        """
        if self.context.mode.polls_before_placing:
            # All dispatchers share the fleet; the open jobs of this one show too little of its load.
            span = MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS
            return MIN_RETRY_AFTER_MS + span * min(1.0, self.shedding.rejected_levels)
        fleet_share_capacity = self.endpoints.total_capacity * self.capacity.fleet_fraction
        open_work = sum(job.work * job.slots for job in self.open.values())
        return min(max(open_work / max(fleet_share_capacity, 1e-9), MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
