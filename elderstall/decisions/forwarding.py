"""Starts attempts."""

from __future__ import annotations

from elderstall.decisions.context import DecisionContext
from elderstall.decisions.in_flight import InFlight
from elderstall.decisions.pools import Pools
from elderstall.decisions.records import Attempt, Job, Worker
from elderstall.decisions.slow_start import SlowStart
from elderstall.interface import Effect, SendAttempt

SURELY_LATE = 1.5  # times its hinted work: a job given up then would not have been in time, as hints err


class Forwarder:
    """Sends a job to the worker chosen, and books what that takes."""

    def __init__(
        self, context: DecisionContext, pools: Pools, in_flight: InFlight, slow_start: SlowStart
    ) -> None:
        self.context, self.pools = context, pools
        self.in_flight, self.slow_start = in_flight, slow_start

    def send(self, job: Job, worker: Worker) -> None:
        """Start an attempt."""
        settings = self.context.settings
        attempt = Attempt(job, job.attempts, worker, self.context.now)
        job.attempts += 1
        job.in_flight += 1
        job.queued = False
        if not job.poll_rounds:  # else it took its turn when it was polled
            self.pools.advance_virtual_time(worker, job.work * job.slots)
        worker.slots_in_flight += job.slots
        if self.context.mode.polls_for_queued:
            worker.free_slots -= job.slots
        self.pools.moved(worker)
        if settings.fetch_price and job.key is not None:
            worker.cached_keys.append(job.key)
        self.in_flight.add(attempt)
        self.slow_start.record(worker, job)
        time_out = max(settings.tick, self._ends(job) - self.context.now)
        self.context.add_action(SendAttempt(job.id, worker.name, time_out))

    def _ends(self, job: Job) -> float:
        """Say when an attempt is given up, ms."""
        job_class = job.cls
        polls = self.context.mode.polls_before_placing
        if polls and not job_class.late_share and job_class.effect is Effect.NOT_IDEMPOTENT:
            # Guards queues against jobs that can earn nothing any more; harmless ones would only come again.
            wanted = job.arrived + job_class.latency_objective + job_class.stretch * job.work * SURELY_LATE
            return min(job.deadline, wanted)
        return job.deadline
