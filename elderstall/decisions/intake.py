"""Intake of jobs: weight and tier, and whether each is forwarded, polled for, queued or rejected."""

from __future__ import annotations

from elderstall.decisions.answers import Answers
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.forwarding import Forwarder
from elderstall.decisions.load_shedding import LoadShedding
from elderstall.decisions.placement import Placement
from elderstall.decisions.polling import LoadPoller, PolledPlacement
from elderstall.decisions.queue import JobQueue
from elderstall.decisions.records import Job
from elderstall.decisions.solver import Solver
from elderstall.decisions.urgency import Urgency
from elderstall.interface import JobArrived
from elderstall.limits.shares import QuotaTracker

FULL_FLEET = "full fleet"  # reason of a rejection, for the figures


class Intake:
    """Admits jobs, and decides how each continues."""

    def __init__(
        self,
        context: DecisionContext,
        estimates: WorkEstimates,
        quotas: QuotaTracker,
        shedding: LoadShedding,
        solver: Solver,
        answers: Answers,
        urgency: Urgency,
        poller: LoadPoller,
        polled_placement: PolledPlacement,
        placement: Placement,
        forwarder: Forwarder,
        queue: JobQueue,
    ) -> None:
        self.context = context
        self.estimates = estimates
        self.quotas = quotas
        self.shedding = shedding
        self.solver = solver
        self.answers = answers
        self.urgency = urgency
        self.poller = poller
        self.polled_placement = polled_placement
        self.placement = placement
        self.forwarder = forwarder
        self.queue = queue

    def arrived(self, event: JobArrived) -> None:
        """Handle the arrival of a job."""
        job = self._create_job(event)
        self.answers.open[job.id] = job
        self.solver.record_arrival(job)
        self.place(job)

    def _create_job(self, event: JobArrived) -> Job:
        """Create a job with its weight, tier and expected work."""
        context = self.context
        job_class = context.mode.classes[event.job_class]
        over_quota = 1.0 - self.quotas.count_job(context.now, event.tenant)
        over_quota_factor = context.settings.over_quota_weight
        weight = job_class.priority_weight * (1.0 - over_quota * (1.0 - over_quota_factor))
        tier = context.mode.tier_of(
            job_class.priority_weight * (over_quota_factor if over_quota > 0.5 else 1.0)
        )
        work = event.work_hint if event.work_hint else self.estimates.mean[job_class.name]
        deadline = context.now + event.time_left
        return Job(event.job, job_class, weight, tier, event.slots, work, event.key, context.now, deadline)

    def place(self, job: Job) -> None:
        """Send the job if a worker accepts it, otherwise queue it; one out of time is answered."""
        must_queue = self.urgency.is_out_of_time(job) or self.queue.has_jobs_before(job)
        if self.context.mode.polls_before_placing and not must_queue and job.ran_on is None:
            if not job.attempts and self._is_shed(job):
                self.poller.poll_next_owned()
                self.answers.finish(job, FULL_FLEET)
                return
            if self.polled_placement.poll_for(job):
                return
        if not must_queue and (worker := self.placement.choose(job)) is not None:
            self.forwarder.send(job, worker)
        else:
            self.queue.enqueue(job)

    def _is_shed(self, job: Job) -> bool:
        """Return whether the job is rejected at random because of the fleet's load.

        In a saturated fleet workers' queues would otherwise delay all jobs, those of more weight too.
        """
        return self.context.rng.random() < self.shedding.rejection_probability(job.weight)
