"""Which workers may get a job now."""

from __future__ import annotations

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.in_flight import InFlight
from elderstall.decisions.records import Job, Worker
from elderstall.decisions.slow_start import SlowStart
from elderstall.decisions.urgency import Urgency
from elderstall.interface import DeduplicationScope, Effect

MAX_FAULTY_FRACTION = 0.6  # of the workers; if more are on probation, the jobs are taken to be at fault
DEDUPLICATION_WINDOW_FRACTION = 0.95  # of a class's window, after which a repeat may no longer be dropped
# Of its maximum wait, for which a job waits for a worker that isn't on probation.
PROBATION_WAIT_FRACTION = 0.5


class Eligibility:
    """Checks a worker against all rules that forbid sending it a job."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        capacity: CapacityModel,
        in_flight: InFlight,
        slow_start: SlowStart,
        urgency: Urgency,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.capacity = capacity
        self.in_flight = in_flight
        self.slow_start = slow_start
        self.urgency = urgency

    def accepts(self, worker: Worker, job: Job) -> bool:
        """Return whether a worker has capacity for a job, as far as is known, and no rule forbids it."""
        if not worker.up or worker.backoff_until > self.context.now:
            return False
        used = worker.slots_in_flight
        if used and used + job.slots > self.capacity.max_slots_in_flight(worker):
            return False
        if worker.probation and not self._is_allowed_on_probation(worker, job):
            return False
        if self.in_flight.has_overdue_start(worker):
            return False
        is_suitable = job.cls.kind in (None, worker.kind) and not self.endpoints.reserved.excludes(
            worker, job
        )
        return is_suitable and self.slow_start.admits(worker, job)

    def accepts_repeat(self, worker: Worker, job: Job) -> bool:
        """Return whether a worker accepts a job, also if that may have run already."""
        return self._may_repeat(worker, job) and self.accepts(worker, job)

    def _may_repeat(self, worker: Worker, job: Job) -> bool:
        """Return whether a repeat of the job would be dropped at the worker, if the job may have run.

        Elsewhere it could have a second effect.
        """
        first = job.ran_on
        job_class = job.cls
        if first is None or job_class.effect is not Effect.IDEMPOTENCY_KEY:
            return True
        window = DEDUPLICATION_WINDOW_FRACTION * job_class.deduplication_window
        if job.ran_at is None or self.context.now - job.ran_at >= window:
            return False
        if job_class.scope is not DeduplicationScope.ALL and worker.zone != first.zone:
            return False
        return job_class.scope is not DeduplicationScope.CELL or worker.cell == first.cell

    def _is_allowed_on_probation(self, worker: Worker, job: Job) -> bool:
        """Return whether a worker on probation may get the job.

        It may fail a job that must not be repeated. Such a job goes there only when it would otherwise be
        late, or when it may have run already.
        """
        faulty = sum(other.up for other in self.endpoints.on_probation.values())
        if faulty > MAX_FAULTY_FRACTION * self.endpoints.up_count:
            return True
        if not worker.slots_in_flight and job.cls.effect is Effect.IDEMPOTENT:
            return True
        if worker.slots_in_flight:
            return False
        waited = self.context.now - job.arrived
        can_wait = waited < PROBATION_WAIT_FRACTION * self.urgency.max_wait(job)
        return not can_wait or job.ran_on is not None
