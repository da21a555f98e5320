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

FAULTY_MOST = 0.6  # of the workers may be held faulty; were it more, the jobs are at fault
DEDUPLICATION_PART = 0.95  # of a class's memory span: after it a repeat may not be dropped any more
PROBATION_PART = 0.5  # of its patience a job waits for a worker that is not on probation


class Eligibility:
    """Checks a worker against all that forbids or advises against sending it a job."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        capacity: CapacityModel,
        in_flight: InFlight,
        slow_start: SlowStart,
        urgency: Urgency,
    ) -> None:
        self.context, self.endpoints, self.capacity = context, endpoints, capacity
        self.in_flight, self.slow_start, self.urgency = in_flight, slow_start, urgency

    def accepts(self, worker: Worker, job: Job) -> bool:
        """Say whether a worker has capacity for a job, as far as we know, and nothing forbids it."""
        if not worker.up or worker.backoff_until > self.context.now:
            return False
        used = worker.slots_in_flight
        if used and used + job.slots > self.capacity.open_slots(worker):
            return False
        if worker.probation and not self._probation_allows(worker, job):
            return False
        if self.in_flight.has_overdue_start(worker):
            return False
        suits = job.cls.kind in (None, worker.kind) and not self.endpoints.reserved.excludes(worker, job)
        return suits and self.slow_start.admits(worker, job)

    def accepts_repeat(self, worker: Worker, job: Job) -> bool:
        """Say whether a worker accepts a job that may have run."""
        return self._may_repeat(worker, job) and self.accepts(worker, job)

    def _may_repeat(self, worker: Worker, job: Job) -> bool:
        """Guard against a second effect: a job that may have run goes only where its repeat is dropped."""
        first, job_class = job.ran_on, job.cls
        if first is None or job_class.effect is not Effect.IDEMPOTENCY_KEY:
            return True
        in_time = DEDUPLICATION_PART * job_class.deduplication_window
        if job.ran_at is None or self.context.now - job.ran_at >= in_time:
            return False
        if job_class.scope is not DeduplicationScope.ALL and worker.zone != first.zone:
            return False
        return job_class.scope is not DeduplicationScope.CELL or worker.cell == first.cell

    def _probation_allows(self, worker: Worker, job: Job) -> bool:
        """Guard jobs that may not be repeated against a worker that fails them; late, it is a chance."""
        faulty = sum(other.up for other in self.endpoints.on_probation.values())
        if faulty > FAULTY_MOST * self.endpoints.up_count:
            return True
        if not worker.slots_in_flight and job.cls.effect is Effect.IDEMPOTENT:
            return True
        if worker.slots_in_flight:
            return False
        waited = self.context.now - job.arrived
        patient = waited < PROBATION_PART * self.urgency.patience(job)
        return not patient or job.ran_on is not None
