"""Polls workers for load reports, and places the jobs that wait for them."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, islice

from elderstall.decisions.answers import Answers
from elderstall.decisions.capacity import MIN_FREE_SLOTS
from elderstall.decisions.context import TIMER_POLL_TIMEOUT, DecisionContext
from elderstall.decisions.eligibility import Eligibility
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.forwarding import Forwarder
from elderstall.decisions.load_shedding import LoadShedding
from elderstall.decisions.placement import Placement, long_job_times
from elderstall.decisions.pools import Pools
from elderstall.decisions.queue import JobQueue
from elderstall.decisions.records import MIN_BACKOFF_MS, Job, Worker
from elderstall.decisions.urgency import Urgency
from elderstall.interface import Ending, LoadPolled, PollLoad

# Workers polled before a job goes to one of them: two are often both full, a fourth gains nothing.
WORKERS_PER_POLL = 3
MAX_POLL_ROUNDS = 3  # per job, each of other workers, while all polled ones are full
POLL_TIMEOUT_MS = 30.0  # a report takes a round trip; a silent worker must not make a job late
REPORT_FRESH_MS = 150.0  # for which a report is used for further jobs
FULL_REPORT_MS = 300.0  # after which a full worker is polled again: earlier its report would hardly differ
# Workers with attempts in flight that are polled when a job is queued, as some have capacity.
WORKERS_POLLED_FOR_QUEUED = 3


class LoadPoller:
    """Polls workers for load reports, and records the reports."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        pools: Pools,
        estimates: WorkEstimates,
        shedding: LoadShedding,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.pools = pools
        self.estimates = estimates
        self.shedding = shedding

    def poll(self, workers: Iterable[Worker]) -> None:
        """Poll those workers that have neither a fresh report nor a pending poll.

        The virtual time of all given workers advances, or full ones would remain first in rotation order.
        """
        for worker in workers:
            self.pools.advance_virtual_time(worker, self.estimates.typical / WORKERS_PER_POLL)
            self.pools.update_rotation(worker)
            if not worker.poll_pending and self.context.now - worker.reported_at > REPORT_FRESH_MS:
                worker.poll_pending = True
                self.context.add_action(PollLoad(worker.name))

    def poll_next_owned(self) -> None:
        """Poll the next owned worker, to learn how full the fleet is."""
        now = self.context.now
        ready = (worker for worker in self.pools.owned_in_rotation_order(0) if worker.backoff_until < now)
        self.poll(list(islice(ready, 1)))

    def poll_for_queued(self) -> None:
        """Poll workers with attempts of this dispatcher in flight, those with the oldest reports first."""
        if not self.context.mode.polls_for_queued:
            return
        now = self.context.now
        candidates = (
            worker
            for worker in self.endpoints.fleet
            if worker.slots_in_flight and not worker.poll_pending and worker.backoff_until < now
        )
        self.poll(sorted(candidates, key=lambda worker: worker.reported_at)[:WORKERS_POLLED_FOR_QUEUED])

    def record(self, event: LoadPolled) -> Worker:
        """Record a load report, or that none arrived, and return the worker."""
        worker = self.endpoints.workers[event.worker]
        worker.poll_pending = False
        field = self.context.settings.report_free_slots
        now = self.context.now
        if event.report and field is not None:
            worker.reported_at = now
            worker.free_slots = event.report[field]
            self.shedding.record(now, full=worker.free_slots < MIN_FREE_SLOTS)
        elif event.ending not in (Ending.SERVED, Ending.FULL, Ending.NEVER_SENT):
            worker.grow_backoff(MIN_BACKOFF_MS)
            worker.backoff_until = max(worker.backoff_until, now + worker.backoff)
        self.pools.update_rotation(worker)
        return worker


class PolledPlacement:
    """Places jobs by load reports: this dispatcher's own jobs show too little of a worker's load."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        pools: Pools,
        poller: LoadPoller,
        eligibility: Eligibility,
        placement: Placement,
        forwarder: Forwarder,
        queue: JobQueue,
        answers: Answers,
        urgency: Urgency,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.pools = pools
        self.poller = poller
        self.eligibility = eligibility
        self.placement = placement
        self.forwarder = forwarder
        self.queue = queue
        self.answers = answers
        self.urgency = urgency

    def poll_for(self, job: Job) -> bool:
        """Poll the next owned workers for a job, and return whether there were any to poll."""
        pool = self.pools.draw_pool(job)
        job.polled_before = job.polled_before + job.polled
        job.polled = []
        job.poll_rounds += 1
        reserved = self.endpoints.reserved.record_and_offer(job, self.context.rng)
        for worker in chain(reserved, self.pools.owned_in_rotation_order(pool)):
            if self._is_worth_polling(worker, job):
                job.polled.append(worker)
                if len(job.polled) == WORKERS_PER_POLL:
                    break
        if not job.polled:
            return False
        self.answers.awaiting_reports[job.id] = job
        job.polled_at = self.context.now
        self.poller.poll(job.polled)
        if any(worker.poll_pending for worker in job.polled):
            self.context.set_timer(TIMER_POLL_TIMEOUT, POLL_TIMEOUT_MS)
        else:
            self._place_polled(job)
        return True

    def _is_worth_polling(self, worker: Worker, job: Job) -> bool:
        """Return whether a report may show something new and the worker may get the job."""
        is_known_full = (
            worker.free_slots < MIN_FREE_SLOTS and self.context.now - worker.reported_at < FULL_REPORT_MS
        )
        if is_known_full or worker in job.polled_before + job.polled:
            return False
        return self.eligibility.accepts(worker, job)

    def report_received(self, worker: Worker) -> None:
        """Place the jobs that waited only for this worker's report."""
        for job in [job for job in self.answers.awaiting_reports.values() if worker in job.polled]:
            if not any(polled.poll_pending for polled in job.polled):
                self._place_polled(job)

    def place_timed_out(self, now: float) -> None:
        """Place the jobs whose polls have timed out."""
        waiting = self.answers.awaiting_reports.values()
        for job in [job for job in waiting if now >= job.polled_at + POLL_TIMEOUT_MS]:
            self._place_polled(job)

    def _place_polled(self, job: Job) -> None:
        """Send a job to the best of the polled workers, or through the pools if none accepts it."""
        del self.answers.awaiting_reports[job.id]
        best = self._best_polled(job)
        is_full = best is None or best.free_slots < MIN_FREE_SLOTS
        if is_full and job.poll_rounds < MAX_POLL_ROUNDS and self.poll_for(job):
            return
        if best is None and not self.urgency.is_out_of_time(job):
            best = self.placement.choose(job)
        if best is not None:
            self.forwarder.send(job, best)
        else:
            self.queue.enqueue(job)

    def _best_polled(self, job: Job) -> Worker | None:
        """Return the best polled worker that accepts the job, by free slots, fresh report and speed."""
        run_time, objective = long_job_times(job)
        accepting = [worker for worker in job.polled if self.eligibility.accepts(worker, job)]
        return min(
            accepting,
            default=None,
            key=lambda worker: (
                worker.free_slots < MIN_FREE_SLOTS,
                worker.reported_at < job.polled_at - REPORT_FRESH_MS,
                run_time > objective * worker.speed,
                -worker.free_slots,
                -worker.speed,
            ),
        )
