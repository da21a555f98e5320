"""What starts and ends of attempts say of their workers, and how their jobs go on."""

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

PROBATION_JOBS = 4  # served in a row: one that fails half of its jobs would pass by chance in one of 16 rows
REPORT_TRUST = 0.9  # of reported free slots are believed, for reports are noisy
LATE_BACKOFF = 0.5  # jobs: time at most that a worker is left alone after starting our job late
TIMED_OUT_TIMES = 2.0  # times the length of a timed-out attempt that its worker is left alone at least
BRIEF = 100.0  # ms: a worker may drop what has so little time left without a word; that is no fault of it
GIVEN_UP_BACKOFF = 500.0  # ms a worker is left alone for a job given up as late: that says little

NOT_THE_WORKERS_FAULT = frozenset({Ending.NEVER_SENT, Ending.CANCELLED, Ending.STALE_CONNECTION})


class Outcomes:
    """Takes what becomes of attempts."""

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
        self.context, self.endpoints, self.capacity = context, endpoints, capacity
        self.pools, self.in_flight = pools, in_flight
        self.answers, self.intake, self.queue = answers, intake, queue

    def noted(self, event: AttemptProgressed) -> None:
        """Take a start: prompt, it shows a free slot and tries for one more; late, that there was none."""
        attempt = self.in_flight.started((event.job, event.number)) if event.started else None
        if attempt is None:
            return
        worker, delay = attempt.worker, self.context.now - attempt.sent_at
        if self.in_flight.saw_delay(worker, delay):
            # Grows by the job's own slots, or jobs of many slots would never fit among those of one.
            grown = min(worker.slot_limit + attempt.job.slots, int(worker.slots))
            worker.slot_limit = max(grown, worker.slots_in_flight + 1)
        else:
            worker.slot_limit = max(1, worker.slots_running)
            backoff = min(delay, LATE_BACKOFF * attempt.job.work)
            worker.backoff_until = max(worker.backoff_until, self.context.now + backoff)
        self.pools.moved(worker)
        self.queue.offer(worker)

    def ended(self, event: AttemptEnded) -> None:
        """Take the end of an attempt."""
        attempt = self.in_flight.remove((event.job, event.number))
        if attempt is None:
            return
        self._take_report(attempt, event.report)
        self._learn(attempt, event.ending)
        self.pools.moved(attempt.worker)
        job = attempt.job
        if event.ending not in NEVER_RAN and job.ran_on is None:
            job.ran_at, job.ran_on = attempt.sent_at, attempt.worker
        if event.final:
            self.answers.close(job)
        elif not job.answered and job.in_flight == 0:
            self._go_on(job, event.ending)
        self.queue.offer(attempt.worker)

    def _take_report(self, attempt: Attempt, report: tuple[float, ...]) -> None:
        """Take the load report that came with an answer."""
        field = self.context.settings.report_free_slots
        if not report or field is None:
            return
        worker = attempt.worker
        self.capacity.kinds[worker.kind].assumed_slots = 1.0
        worker.reported_at, worker.free_slots = self.context.now, report[field]
        self.capacity.saw_slots(worker, int(report[field] * REPORT_TRUST))

    def _learn(self, attempt: Attempt, ending: Ending) -> None:
        """Learn of a worker from how its attempt ended."""
        if ending is Ending.SERVED:
            self._served(attempt)
        elif ending in (Ending.ERROR, Ending.BROKEN):
            self._failed(attempt)
        elif ending not in NOT_THE_WORKERS_FAULT:
            self._unavailable(attempt, ending)

    def _served(self, attempt: Attempt) -> None:
        worker = attempt.worker
        worker.probation = max(0, worker.probation - 1)
        if not worker.probation:
            worker.backoff = 0.0
            self.endpoints.on_probation.pop(worker.name, None)
        since = attempt.sent_at if attempt.started_at is None else attempt.started_at
        self.endpoints.record_run(attempt, self.context.now - since)

    def _failed(self, attempt: Attempt) -> None:
        """Put a worker on probation: one that fails jobs fast looks idle and would draw those that follow."""
        worker = attempt.worker
        worker.probation = PROBATION_JOBS
        worker.grow_backoff(MIN_BACKOFF_MS)
        self.endpoints.on_probation[worker.name] = worker
        worker.backoff_until = max(worker.backoff_until, self.context.now + worker.backoff)

    def _unavailable(self, attempt: Attempt, ending: Ending) -> None:
        """Leave a worker alone that is full, out of reach or too slow."""
        worker, now = attempt.worker, self.context.now
        timed_out = ending is Ending.TIMED_OUT
        least = TIMED_OUT_TIMES * (now - attempt.sent_at) if timed_out else MIN_BACKOFF_MS
        if self.context.mode.polls_before_placing:
            least = min(least, GIVEN_UP_BACKOFF)
        if timed_out and now - attempt.sent_at < BRIEF:
            worker.backoff = max(least, worker.backoff)
        else:
            worker.grow_backoff(least)
        worker.backoff_until = now + worker.backoff
        worker.slot_limit = max(1, worker.slots_in_flight)

    def _go_on(self, job: Job, ending: Ending) -> None:
        """Retry a job whose attempt has ended, or answer it."""
        settings = self.context.settings
        spent = job.attempts >= settings.max_attempts
        no_time = self.context.now >= job.deadline - 2 * settings.tick
        # Guards against a second effect.
        unsure = job.ran_on is not None and job.cls.effect is Effect.NOT_IDEMPOTENT
        if spent or no_time or unsure or ending is Ending.TIMED_OUT:
            self.answers.finish(job)
        else:
            self.intake.place(job)
