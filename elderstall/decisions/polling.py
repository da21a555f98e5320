"""Polls workers for load reports, and places the jobs that wait for them."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, islice

from elderstall.decisions.answers import Answers
from elderstall.decisions.capacity import FREE_LEAST
from elderstall.decisions.context import TIMER_POLL_TIMEOUT, DecisionContext
from elderstall.decisions.eligibility import Eligibility
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.forwarding import Forwarder
from elderstall.decisions.load_shedding import LoadShedding
from elderstall.decisions.placement import Placement, long_run
from elderstall.decisions.pools import Pools
from elderstall.decisions.queue import JobQueue
from elderstall.decisions.records import MIN_BACKOFF_MS, Job, Worker
from elderstall.decisions.urgency import Urgency
from elderstall.interface import Ending, LoadPolled, PollLoad

POLLED_AT_ONCE = 3  # workers polled before a job goes to one: two are often both full, four gain nothing
POLL_ROUNDS = 3  # times that a job polls, each time others, while all are full
POLL_TIMEOUT = 30.0  # ms for their reports, which take two trips: a silent one must not make a job late
REPORT_FRESH_FOR = 150.0  # ms for which a report stands for jobs that follow at once
FULL_FOR = 300.0  # ms after which a full worker is polled again: its report is hardly a new one before
POLLED_FOR_QUEUED = 3  # workers with attempts of ours polled when a job is queued: some have capacity


class LoadPoller:
    """Asks workers for load reports, and takes them."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        pools: Pools,
        estimates: WorkEstimates,
        shedding: LoadShedding,
    ) -> None:
        self.context, self.endpoints, self.pools = context, endpoints, pools
        self.estimates, self.shedding = estimates, shedding

    def poll(self, workers: Iterable[Worker]) -> None:
        """Poll workers that have not reported just now; a poll is a turn, or full ones would stay first."""
        for worker in workers:
            self.pools.advance_virtual_time(worker, self.estimates.typical / POLLED_AT_ONCE)
            self.pools.moved(worker)
            if not worker.poll_pending and self.context.now - worker.reported_at > REPORT_FRESH_FOR:
                worker.poll_pending = True
                self.context.add_action(PollLoad(worker.name))

    def poll_next_own(self) -> None:
        """Poll the next of our own workers, to learn how full the fleet is."""
        now = self.context.now
        ready = (worker for worker in self.pools.owned_in_rotation_order(0) if worker.backoff_until < now)
        self.poll(list(islice(ready, 1)))

    def poll_for_queued(self) -> None:
        """Poll workers with attempts of ours, those that reported longest ago first."""
        if not self.context.mode.polls_for_queued:
            return
        now = self.context.now
        candidates = (
            worker
            for worker in self.endpoints.fleet
            if worker.slots_in_flight and not worker.poll_pending and worker.backoff_until < now
        )
        self.poll(sorted(candidates, key=lambda worker: worker.reported_at)[:POLLED_FOR_QUEUED])

    def record(self, event: LoadPolled) -> Worker:
        """Take a load report, or that none came; gives the worker."""
        worker = self.endpoints.workers[event.worker]
        worker.poll_pending = False
        field, now = self.context.settings.report_free_slots, self.context.now
        if event.report and field is not None:
            worker.reported_at, worker.free_slots = now, event.report[field]
            self.shedding.record(now, full=worker.free_slots < FREE_LEAST)
        elif event.ending not in (Ending.SERVED, Ending.FULL, Ending.NEVER_SENT):
            worker.grow_backoff(MIN_BACKOFF_MS)
            worker.backoff_until = max(worker.backoff_until, now + worker.backoff)
        self.pools.moved(worker)
        return worker


class PolledPlacement:
    """Places jobs by the reports of workers polled for them: what we see by ourselves is too little."""

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
        self.context, self.endpoints, self.pools, self.poller = context, endpoints, pools, poller
        self.eligibility, self.placement, self.forwarder = eligibility, placement, forwarder
        self.queue, self.answers, self.urgency = queue, answers, urgency

    def poll_for(self, job: Job) -> bool:
        """Poll the next of our own workers for a job; says no if there is none to poll."""
        pool = self.pools.draw_pool(job)
        job.polled_before, job.polled = job.polled_before + job.polled, []
        job.poll_rounds += 1
        reserved = self.endpoints.reserved.candidates(job, self.context.rng)
        for worker in chain(reserved, self.pools.owned_in_rotation_order(pool)):
            if self._worth_polling(worker, job):
                job.polled.append(worker)
                if len(job.polled) == POLLED_AT_ONCE:
                    break
        if not job.polled:
            return False
        self.answers.awaiting_reports[job.id] = job
        job.polled_at = self.context.now
        self.poller.poll(job.polled)
        if any(worker.poll_pending for worker in job.polled):
            self.context.set_timer(TIMER_POLL_TIMEOUT, POLL_TIMEOUT)
        else:
            self._decide(job)
        return True

    def _worth_polling(self, worker: Worker, job: Job) -> bool:
        """Say whether a report may tell what is not known yet, and the worker may get the job."""
        known_full = worker.free_slots < FREE_LEAST and self.context.now - worker.reported_at < FULL_FOR
        if known_full or worker in job.polled_before + job.polled:
            return False
        return self.eligibility.accepts(worker, job)

    def reported(self, worker: Worker) -> None:
        """Place the jobs that waited for this worker's report alone."""
        for job in [job for job in self.answers.awaiting_reports.values() if worker in job.polled]:
            if not any(polled.poll_pending for polled in job.polled):
                self._decide(job)

    def timed_out(self, now: float) -> None:
        """Place the jobs that have waited for long enough."""
        waiting = self.answers.awaiting_reports.values()
        for job in [job for job in waiting if now >= job.polled_at + POLL_TIMEOUT]:
            self._decide(job)

    def _decide(self, job: Job) -> None:
        """Send a job to the best of the polled workers; if none accepts it, go the ordinary path."""
        del self.answers.awaiting_reports[job.id]
        best = self._best_polled(job)
        full = best is None or best.free_slots < FREE_LEAST
        if full and job.poll_rounds < POLL_ROUNDS and self.poll_for(job):
            return
        if best is None and not self.urgency.out_of_time(job):
            best = self.placement.choose(job)
        if best is not None:
            self.forwarder.send(job, best)
        else:
            self.queue.enqueue(job)

    def _best_polled(self, job: Job) -> Worker | None:
        run, wanted = long_run(job)
        accepting = [worker for worker in job.polled if self.eligibility.accepts(worker, job)]
        return min(
            accepting,
            default=None,
            key=lambda worker: (
                worker.free_slots < FREE_LEAST,
                worker.reported_at < job.polled_at - REPORT_FRESH_FOR,
                run > wanted * worker.speed,
                -worker.free_slots,
                -worker.speed,
            ),
        )
