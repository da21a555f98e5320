"""Jobs that wait for capacity: in buckets by the weight that a slot's time earns, and then the late ones."""

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

OFFER_DEPTH = 8  # queued jobs a bucket tried on a slot that has come free: the first may need more

Need = tuple[str | None, int]  # kind of worker and slots that a job needs


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
        self.context, self.estimates, self.eligibility = context, estimates, eligibility
        self.placement, self.forwarder, self.in_flight = placement, forwarder, in_flight
        self.answers, self.urgency, self.on_enqueued = answers, urgency, on_enqueued
        self._review_due = False
        self.reset()

    def reset(self) -> None:
        """Start anew with empty buckets, one a tier and one for late jobs."""
        self.buckets: list[list[Job]] = [[] for _ in range(self.context.mode.tiers + 1)]

    def __len__(self) -> int:
        return sum(map(len, self.buckets))

    def queued_jobs(self) -> list[Job]:
        """Give the queued jobs, in order."""
        return [job for jobs in self.buckets for job in jobs if job.queued]

    def enqueue(self, job: Job) -> None:
        """Queue a job while no worker accepts it; one whose time is too short is answered at once."""
        if self.urgency.out_of_time(job):
            self.answers.finish(job)
            return
        job.queued = True
        self.buckets[self._bucket(job)].append(job)
        self._review_soon()
        self.on_enqueued()

    def goes_before(self, job: Job) -> bool:
        """Say whether any queued job goes before a new one."""
        return any(self.buckets[: self._bucket(job) + 1])

    def _bucket(self, job: Job) -> int:
        """Say in which bucket a job waits: by the weight that a slot's time earns."""
        mode = self.context.mode
        slot_time = job.work * job.slots / self.estimates.typical
        weight = mode.tier_edges[job.tier] / (1.0 if self.context.settings.weight_by_work else slot_time)
        return next((n for n, edge in enumerate(mode.tier_edges[:-1]) if weight >= edge), mode.tiers - 1)

    def review(self) -> None:
        """Give queued jobs what capacity there is, more weight first, and answer those out of time."""
        no_capacity: set[Need] = set()
        for n, jobs in enumerate(self.buckets):
            if jobs:
                self.buckets[n] = self._review_bucket(jobs, no_capacity)
        self._review_soon()

    def _review_bucket(self, jobs: list[Job], no_capacity: set[Need]) -> list[Job]:
        """Review one bucket; gives the jobs that stay in it."""
        late = self.buckets[-1]
        saturated = self.in_flight.is_saturated(late=jobs is late)
        staying: list[Job] = []
        for job in jobs:
            if not job.queued:
                continue
            need = (job.cls.kind, job.slots)
            if self.urgency.out_of_time(job):
                self.answers.finish(job)
            elif (
                not saturated
                and (need not in no_capacity or job.ran_on is not None)
                and (worker := self.placement.choose(job)) is not None
            ):
                self.forwarder.send(job, worker)
            elif jobs is not late and self.context.now >= job.arrived + self.urgency.patience(job):
                late.append(job)  # guards against a queue in which all end late: fresh jobs go first
            else:
                no_capacity.add(need)
                staying.append(job)
        return staying

    def offer(self, worker: Worker) -> None:
        """Offer the slots that have come free on a worker to queued jobs, more weight first."""
        late = self.buckets[-1]
        for jobs in self.buckets:
            if jobs and not self.in_flight.is_saturated(late=jobs is late):
                self._offer_to(jobs[:OFFER_DEPTH], worker)
            while jobs and not jobs[0].queued:
                jobs.pop(0)

    def _offer_to(self, jobs: list[Job], worker: Worker) -> None:
        if self.context.settings.fetch_price:  # of equals, those whose data is cached there go first
            jobs.sort(key=lambda job: job.key not in worker.cached_keys)
        for job in jobs:
            eligible = job.queued and self.eligibility.accepts_repeat(worker, job)
            if eligible and not self.urgency.out_of_time(job):
                self.forwarder.send(job, worker)

    def timer_fired(self) -> None:
        """Review the queue, as planned."""
        self._review_due = False
        self.review()

    def _review_soon(self) -> None:
        """Plan a review, if any job is queued and none is planned."""
        if not self._review_due and any(self.buckets):
            self._review_due = True
            self.context.set_timer(TIMER_REVIEW_QUEUE, self.context.mode.review_interval)
