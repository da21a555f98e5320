"""Takes jobs in: their weight and tier, and whether they are forwarded, polled for, queued or rejected."""

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

FULL_FLEET = "full fleet"  # why a job was rejected, for the figures


class Intake:
    """Admits jobs, and finds the way of each."""

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
        self.context, self.estimates, self.quotas = context, estimates, quotas
        self.shedding, self.solver, self.answers, self.urgency = shedding, solver, answers, urgency
        self.poller, self.polled_placement = poller, polled_placement
        self.placement, self.forwarder, self.queue = placement, forwarder, queue

    def arrived(self, event: JobArrived) -> None:
        """Take a job on."""
        job = self._job_of(event)
        self.answers.open[job.id] = job
        self.solver.record_arrival(job)
        self.place(job)

    def _job_of(self, event: JobArrived) -> Job:
        """Work out a job's weight, tier and expected work."""
        context = self.context
        job_class = context.mode.classes[event.job_class]
        over_quota = 1.0 - self.quotas.within(context.now, event.tenant)
        lowered = context.settings.over_quota_weight
        weight = job_class.priority_weight * (1.0 - over_quota * (1.0 - lowered))
        tier = context.mode.tier_of(job_class.priority_weight * (lowered if over_quota > 0.5 else 1.0))
        work = event.work_hint if event.work_hint else self.estimates.mean[job_class.name]
        deadline = context.now + event.time_left
        return Job(event.job, job_class, weight, tier, event.slots, work, event.key, context.now, deadline)

    def place(self, job: Job) -> None:
        """Send the job if a worker accepts it, else queue it; one that has no time left is answered."""
        must_queue = self.urgency.out_of_time(job) or self.queue.goes_before(job)
        if self.context.mode.polls_before_placing and not must_queue and job.ran_on is None:
            if not job.attempts and self._sheds(job):
                self.poller.poll_next_own()
                self.answers.finish(job, FULL_FLEET)
                return
            if self.polled_placement.poll_for(job):
                return
        if not must_queue and (worker := self.placement.choose(job)) is not None:
            self.forwarder.send(job, worker)
        else:
            self.queue.enqueue(job)

    def _sheds(self, job: Job) -> bool:
        """Guard what has more weight from the queues that a full fleet's workers would fill for all."""
        return self.context.rng.random() < self.shedding.rejection_probability(job.weight)
