"""Learns about workers from starts and ends of attempts, and decides how their jobs continue."""

from __future__ import annotations

from elderstall.decisions.answers import Answers
from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.in_flight import InFlight
from elderstall.decisions.intake import Intake
from elderstall.decisions.pools import Pools
from elderstall.decisions.queue import JobQueue
from elderstall.decisions.records import MIN_BACKOFF_MS, Attempt, Job
from elderstall.interface import NEVER_RAN, AttemptEnded, AttemptProgressed, Effect, Ending

PROBATION_JOBS = 4  # served in a row: a worker that fails half of its jobs passes 1 time in 16
REPORTED_SLOTS_FACTOR = 0.9  # of the reported free slots, as reports are noisy
MAX_LATE_START_BACKOFF_FACTOR = 0.5  # of the job's work: maximum backoff after a late start
TIMEOUT_BACKOFF_FACTOR = 2.0  # of a timed-out attempt's duration: minimum backoff of its worker
BRIEF_ATTEMPT_MS = 100.0  # a worker may silently drop an attempt with so little time left; that is no fault
# Upper bound of the minimum backoff where workers are polled: a job cancelled as late shows little.
MAX_CANCELLED_BACKOFF_MS = 500.0

ENDINGS_WITHOUT_WORKER_FAULT = frozenset({Ending.NEVER_SENT, Ending.CANCELLED, Ending.STALE_CONNECTION})


class Outcomes:
    """Handles progress and ends of attempts."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        capacity: CapacityModel,
        pools: Pools,
        in_flight: InFlight,
        answers: Answers,
        intake: Intake,
        queue: JobQueue,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.capacity = capacity
        self.pools = pools
        self.in_flight = in_flight
        self.answers = answers
        self.intake = intake
        self.queue = queue

    def progressed(self, event: AttemptProgressed) -> None:
        """Handle the start of an attempt.

        A prompt start shows a free slot, and the slot limit grows to try for more; a late one shows that
        there was none.
        """
        attempt = self.in_flight.record_start((event.job, event.number)) if event.started else None
        if attempt is None:
            return
        worker = attempt.worker
        delay = self.context.now - attempt.sent_at
        if self.in_flight.record_start_delay(worker, delay):
            # Grows by the job's slots, or jobs of several slots would never fit beside those of one.
            grown_limit = min(worker.slot_limit + attempt.job.slots, int(worker.slots))
            worker.slot_limit = max(grown_limit, worker.slots_in_flight + 1)
        else:
            worker.slot_limit = max(1, worker.slots_running)
            backoff = min(delay, MAX_LATE_START_BACKOFF_FACTOR * attempt.job.work)
            worker.backoff_until = max(worker.backoff_until, self.context.now + backoff)
        self.pools.update_rotation(worker)
        self.queue.offer(worker)

    def ended(self, event: AttemptEnded) -> None:
        """Handle the end of an attempt."""
        attempt = self.in_flight.remove((event.job, event.number))
        if attempt is None:
            return
        self._record_report(attempt, event.report)
        self._learn(attempt, event.ending)
        self.pools.update_rotation(attempt.worker)
        job = attempt.job
        if event.ending not in NEVER_RAN and job.ran_on is None:
            job.ran_at = attempt.sent_at
            job.ran_on = attempt.worker
        if event.final:
            self.answers.close(job)
        elif not job.answered and job.in_flight == 0:
            self._retry_or_answer(job, event.ending)
        self.queue.offer(attempt.worker)

    def _record_report(self, attempt: Attempt, report: tuple[float, ...]) -> None:
        """Record the load report that came with a response."""
        field = self.context.settings.report_free_slots
        if not report or field is None:
            return
        worker = attempt.worker
        self.capacity.kinds[worker.kind].assumed_slots = 1.0
        worker.reported_at = self.context.now
        worker.free_slots = report[field]
        self.capacity.record_slots(worker, int(report[field] * REPORTED_SLOTS_FACTOR))

    def _learn(self, attempt: Attempt, ending: Ending) -> None:
        """Update a worker's state by how its attempt ended."""
        if ending is Ending.SERVED:
            self._served(attempt)
        elif ending in (Ending.ERROR, Ending.BROKEN):
            self._failed(attempt)
        elif ending not in ENDINGS_WITHOUT_WORKER_FAULT:
            self._unavailable(attempt, ending)

    def _served(self, attempt: Attempt) -> None:
        """Count the served job for a worker's probation and speed; its backoff ends with the probation."""
        worker = attempt.worker
        worker.probation = max(0, worker.probation - 1)
        if not worker.probation:
            worker.backoff = 0.0
            self.endpoints.on_probation.pop(worker.name, None)
        started_at = attempt.sent_at if attempt.started_at is None else attempt.started_at
        self.endpoints.record_run(attempt, self.context.now - started_at)

    def _failed(self, attempt: Attempt) -> None:
        """Put a worker on probation: one that fails jobs fast seems idle and would attract further jobs."""
        worker = attempt.worker
        worker.probation = PROBATION_JOBS
        worker.grow_backoff(MIN_BACKOFF_MS)
        self.endpoints.on_probation[worker.name] = worker
        worker.backoff_until = max(worker.backoff_until, self.context.now + worker.backoff)

    def _unavailable(self, attempt: Attempt, ending: Ending) -> None:
        """Back off from a worker that is full, unreachable or too slow."""
        worker = attempt.worker
        now = self.context.now
        timed_out = ending is Ending.TIMED_OUT
        min_backoff = TIMEOUT_BACKOFF_FACTOR * (now - attempt.sent_at) if timed_out else MIN_BACKOFF_MS
        if self.context.mode.polls_before_placing:
            min_backoff = min(min_backoff, MAX_CANCELLED_BACKOFF_MS)
        if timed_out and now - attempt.sent_at < BRIEF_ATTEMPT_MS:
            worker.backoff = max(min_backoff, worker.backoff)
        else:
            worker.grow_backoff(min_backoff)
        worker.backoff_until = now + worker.backoff
        worker.slot_limit = max(1, worker.slots_in_flight)

    def _retry_or_answer(self, job: Job, ending: Ending) -> None:
        """Retry a job whose attempt has ended, or answer it."""
        settings = self.context.settings
        is_exhausted = job.attempts >= settings.max_attempts
        is_out_of_time = self.context.now >= job.deadline - 2 * settings.tick
        # A retry could have a second effect.
        may_have_run = job.ran_on is not None and job.cls.effect is Effect.NOT_IDEMPOTENT
        if is_exhausted or is_out_of_time or may_have_run or ending is Ending.TIMED_OUT:
            self.answers.finish(job)
        else:
            self.intake.place(job)
