"""The attempts in flight, those not started yet, and what their start delays show of the fleet's load."""

from __future__ import annotations

from collections import defaultdict

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.records import Attempt, Worker

# Of this dispatcher's slots, that may wait in workers' queues: it keeps slots busy between notifications.
MAX_QUEUED_FRACTION = 0.5
STUCK_AFTER_FACTOR = 2.0  # of a typical job's time, after which an overdue start shows a stuck worker
# Overdue attempts that may be ascribed to stuck workers, as a fraction of the number of workers that are
# up; if there are more, the fleet is saturated instead.
MAX_STUCK_FRACTION = 0.15

AttemptKey = tuple[int, int]  # job id and attempt number


class InFlight:
    """The table of attempts in flight."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        capacity: CapacityModel,
        estimates: WorkEstimates,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.capacity = capacity
        self.estimates = estimates
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.unstarted: dict[AttemptKey, Attempt] = {}  # not known to have started; oldest first
        self.slots_running = 0  # of started attempts
        # Delay from send to start by zone, ms. The minimum is taken, as other jobs may have met a queue.
        # Half the connect timeout is assumed until a start is seen.
        initial_start_delay = context.settings.connect_timeout / 2
        self.min_start_delay: defaultdict[str | None, float] = defaultdict(lambda: initial_start_delay)

    def add(self, attempt: Attempt) -> None:
        """Add a new attempt."""
        key = attempt.job.id, attempt.number
        self.attempts[key] = attempt
        if self.context.settings.notifies_start:
            attempt.worker.unstarted[key] = self.unstarted[key] = attempt

    def add_inherited(self, attempt: Attempt) -> None:
        """Add an attempt that the predecessor has sent; whether it runs is not known."""
        self.attempts[attempt.job.id, attempt.number] = attempt

    def record_start(self, key: AttemptKey) -> Attempt | None:
        """Record an attempt's start and return it, or None if it is not known or had started before."""
        attempt = self.attempts.get(key)
        if attempt is None or key not in self.unstarted:
            return None
        del attempt.worker.unstarted[key], self.unstarted[key]
        attempt.started_at = self.context.now
        self.capacity.record_start(attempt.worker, attempt.job.slots)
        attempt.worker.slots_running += attempt.job.slots
        self.slots_running += attempt.job.slots
        return attempt

    def remove(self, key: AttemptKey) -> Attempt | None:
        """Remove an attempt that has ended and return it, or None if it is not known."""
        attempt = self.attempts.pop(key, None)
        if attempt is None:
            return None
        job = attempt.job
        worker = attempt.worker
        worker.slots_in_flight -= job.slots
        job.in_flight -= 1
        worker.unstarted.pop(key, None)
        self.unstarted.pop(key, None)
        if attempt.started_at is not None:
            self.capacity.record_end(attempt)
            worker.slots_running -= job.slots
            self.slots_running -= job.slots
        return attempt

    def record_start_delay(self, worker: Worker, delay: float) -> bool:
        """Record a delay, ms, from send to start, and return whether the start was prompt."""
        self.min_start_delay[worker.zone] = min(self.min_start_delay[worker.zone], delay)
        return delay <= self.min_start_delay[worker.zone] + self.context.mode.prompt_slack

    def has_overdue_start(self, worker: Worker) -> bool:
        """Return whether an attempt of this dispatcher on the worker should have started by now."""
        overdue = self.context.now - self.min_start_delay[worker.zone] - self.context.mode.prompt_slack
        return any(attempt.sent_at < overdue for attempt in worker.unstarted.values())

    def is_saturated(self, *, late: bool = False) -> bool:
        """Return whether so many starts are overdue that further jobs would only fill workers' queues.

        For late jobs a single overdue start is the bound. A few attempts that are overdue for long are left
        out, as their workers are stuck rather than full.
        """
        allowed = (
            1 if late else MAX_QUEUED_FRACTION * (self.capacity.total_slot_share + self.slots_running) + 1
        )
        stuck = MAX_STUCK_FRACTION * self.endpoints.up_count
        for attempt in self.unstarted.values():  # oldest first
            age = self.context.now - attempt.sent_at
            usual_delay = self.min_start_delay[attempt.worker.zone] + self.context.mode.prompt_slack
            if allowed <= 0 or age <= usual_delay:
                break
            if stuck > 0 and age > STUCK_AFTER_FACTOR * self.estimates.typical:
                stuck -= 1
            else:
                allowed -= attempt.job.slots
        return allowed <= 0
