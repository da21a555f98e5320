"""Starts attempts and accounts for them."""

from __future__ import annotations

from elderstall.decisions.context import DecisionContext
from elderstall.decisions.in_flight import InFlight
from elderstall.decisions.pools import Pools
from elderstall.decisions.records import Attempt, Job, Worker
from elderstall.decisions.slow_start import SlowStart
from elderstall.interface import Effect, SendAttempt

LATE_WORK_FACTOR = 1.5  # of the hinted work, as hints err: a job cancelled then would have been late anyway


class Forwarder:
    """Sends a job to the chosen worker, and accounts for the capacity that it uses."""

    def __init__(
        self, context: DecisionContext, pools: Pools, in_flight: InFlight, slow_start: SlowStart
    ) -> None:
        self.context = context
        self.pools = pools
        self.in_flight = in_flight
        self.slow_start = slow_start

    def send(self, job: Job, worker: Worker) -> None:
        """Start an attempt."""
        settings = self.context.settings
        attempt = Attempt(job, job.attempts, worker, self.context.now)
        job.attempts += 1
        job.in_flight += 1
        job.queued = False
        if not job.poll_rounds:  # otherwise virtual time advanced when it was polled
            self.pools.advance_virtual_time(worker, job.work * job.slots)
        worker.slots_in_flight += job.slots
        if self.context.mode.polls_for_queued:
            worker.free_slots -= job.slots
        self.pools.update_rotation(worker)
        if settings.fetch_price and job.key is not None:
            worker.cached_keys.append(job.key)
        self.in_flight.add(attempt)
        self.slow_start.record(worker, job)
        timeout = max(settings.tick, self._attempt_deadline(job) - self.context.now)
        self.context.add_action(SendAttempt(job.id, worker.name, timeout))

    def _attempt_deadline(self, job: Job) -> float:
        """Return the time, ms, at which an attempt is cancelled."""
        job_class = job.cls
        polls = self.context.mode.polls_before_placing
        if polls and not job_class.late_share and job_class.effect is Effect.NOT_IDEMPOTENT:
            # A job that is too late to be worth anything is cancelled to keep it from workers' queues. One
            # that may be repeated isn't, as the client would only send it again.
            latest_useful = (
                job.arrived + job_class.latency_objective + job_class.stretch * job.work * LATE_WORK_FACTOR
            )
            return min(job.deadline, latest_useful)
        return job.deadline
