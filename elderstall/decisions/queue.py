"""Queue of jobs that wait for capacity, in buckets by priority weight; late ones come last."""

from __future__ import annotations

from collections.abc import Callable

from elderstall.decisions.answers import Answers
from elderstall.decisions.context import TIMER_REVIEW_QUEUE, DecisionContext
from elderstall.decisions.eligibility import Eligibility
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.forwarding import Forwarder
from elderstall.decisions.in_flight import InFlight
from elderstall.decisions.placement import Placement
from elderstall.decisions.records import Job, Worker
from elderstall.decisions.urgency import Urgency

MAX_OFFERED_JOBS = 8  # of a bucket, tried on a freed slot: the first may need more slots

Requirement = tuple[str | None, int]  # kind of worker and slots that a job needs


class JobQueue:
    """Owns the queued jobs."""

    def __init__(
        self,
        context: DecisionContext,
        estimates: WorkEstimates,
        eligibility: Eligibility,
        placement: Placement,
        forwarder: Forwarder,
        in_flight: InFlight,
        answers: Answers,
        urgency: Urgency,
        on_enqueued: Callable[[], None],
    ) -> None:
        self.context = context
        self.estimates = estimates
        self.eligibility = eligibility
        self.placement = placement
        self.forwarder = forwarder
        self.in_flight = in_flight
        self.answers = answers
        self.urgency = urgency
        self.on_enqueued = on_enqueued
        self._review_scheduled = False
        self.reset()

    def reset(self) -> None:
        """Reset to empty buckets, one per tier and one for late jobs.

        Jobs that were sent or answered stay in their bucket until it is reviewed, or offered with them in
        front.
        """
        self.buckets: list[list[Job]] = [[] for _ in range(self.context.mode.tiers + 1)]

    def __len__(self) -> int:
        """Return the number of jobs in the buckets, with those that are no longer queued."""
        return sum(map(len, self.buckets))

    def queued_jobs(self) -> list[Job]:
        """Return the queued jobs, in order."""
        return [job for jobs in self.buckets for job in jobs if job.queued]

    def enqueue(self, job: Job) -> None:
        """Queue a job that no worker accepts now, or answer it at once if it is out of time."""
        if self.urgency.is_out_of_time(job):
            self.answers.finish(job)
            return
        job.queued = True
        self.buckets[self._bucket_of(job)].append(job)
        self._schedule_review()
        self.on_enqueued()

    def has_jobs_before(self, job: Job) -> bool:
        """Return whether the buckets up to the job's own hold any job, even one that is no longer queued."""
        return any(self.buckets[: self._bucket_of(job) + 1])

    def _bucket_of(self, job: Job) -> int:
        """Return the index of a job's bucket, by its tier's weight, per slot-time unless weighted by work."""
        mode = self.context.mode
        slot_time = job.work * job.slots / self.estimates.typical
        weight = mode.tier_edges[job.tier] / (1.0 if self.context.settings.weight_by_work else slot_time)
        return next((n for n, edge in enumerate(mode.tier_edges[:-1]) if weight >= edge), mode.tiers - 1)

    def review(self) -> None:
        """Send queued jobs to workers with capacity, highest weight first, and answer those out of time."""
        no_capacity: set[Requirement] = set()
        for n, jobs in enumerate(self.buckets):
            if jobs:
                self.buckets[n] = self._review_bucket(jobs, no_capacity)
        self._schedule_review()

    def _review_bucket(self, jobs: list[Job], no_capacity: set[Requirement]) -> list[Job]:
        """Review one bucket, and return the jobs that stay in it."""
        late = self.buckets[-1]
        is_saturated = self.in_flight.is_saturated(late=jobs is late)
        remaining: list[Job] = []
        for job in jobs:
            if not job.queued:
                continue
            requirement = (job.cls.kind, job.slots)
            if self.urgency.is_out_of_time(job):
                self.answers.finish(job)
            elif (
                not is_saturated
                and (requirement not in no_capacity or job.ran_on is not None)
                and (worker := self.placement.choose(job)) is not None
            ):
                self.forwarder.send(job, worker)
            elif jobs is not late and self.context.now >= job.arrived + self.urgency.max_wait(job):
                late.append(job)  # fresh jobs go first, or all jobs of the queue would end late
            else:
                no_capacity.add(requirement)
                remaining.append(job)
        return remaining

    def offer(self, worker: Worker) -> None:
        """Offer the freed slots of a worker to queued jobs, highest weight first."""
        late = self.buckets[-1]
        for jobs in self.buckets:
            if jobs and not self.in_flight.is_saturated(late=jobs is late):
                self._offer_to(jobs[:MAX_OFFERED_JOBS], worker)
            while jobs and not jobs[0].queued:
                jobs.pop(0)

    def _offer_to(self, jobs: list[Job], worker: Worker) -> None:
        """Send the worker those of the jobs that it accepts."""
        if self.context.settings.fetch_price:  # jobs whose data the worker has cached go first in a bucket
            jobs.sort(key=lambda job: job.key not in worker.cached_keys)
        for job in jobs:
            is_eligible = job.queued and self.eligibility.accepts_repeat(worker, job)
            if is_eligible and not self.urgency.is_out_of_time(job):
                self.forwarder.send(job, worker)

    def timer_fired(self) -> None:
        """Run the scheduled review."""
        self._review_scheduled = False
        self.review()

    def _schedule_review(self) -> None:
        """Schedule a review, if any job is queued and none is scheduled."""
        if not self._review_scheduled and any(self.buckets):
            self._review_scheduled = True
            self.context.set_timer(TIMER_REVIEW_QUEUE, self.context.mode.review_interval)
