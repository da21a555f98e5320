"""The attempts in flight, those of them that have not started, and what their delays say of the fleet."""

from __future__ import annotations

from collections import defaultdict

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.records import Attempt, Worker

QUEUED_PART = 0.5  # of a dispatcher's slots may wait in workers' queues: it keeps slots busy between notes
STUCK_AFTER = 2.0  # typical jobs' time after which an overdue start speaks of a stuck worker
STUCK_MOST = 0.15  # of the workers may be taken for stuck; were it more, the fleet is full

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
        self.context, self.endpoints = context, endpoints
        self.capacity, self.estimates = capacity, estimates
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.unstarted: dict[AttemptKey, Attempt] = {}  # not known to have started; oldest first
        self.slots_running = 0  # of started attempts
        # Least delay from send to start by zone, ms, as a first job may find a queue; at first a guess.
        first_guess = context.settings.connect_timeout / 2
        self.least_delay: defaultdict[str | None, float] = defaultdict(lambda: first_guess)

    def add(self, attempt: Attempt) -> None:
        """Take a new attempt."""
        key = attempt.job.id, attempt.number
        self.attempts[key] = attempt
        if self.context.settings.notifies_start:
            attempt.worker.unstarted[key] = self.unstarted[key] = attempt

    def adopt(self, attempt: Attempt) -> None:
        """Take an attempt that a former process has started; whether it runs is not known."""
        self.attempts[attempt.job.id, attempt.number] = attempt

    def started(self, key: AttemptKey) -> Attempt | None:
        """Note an attempt's start; gives it, or None where it is not known or had started before."""
        attempt = self.attempts.get(key)
        if attempt is None or key not in self.unstarted:
            return None
        del attempt.worker.unstarted[key], self.unstarted[key]
        attempt.started_at = self.context.now
        self.capacity.saw_start(attempt.worker, attempt.job.slots)
        attempt.worker.slots_running += attempt.job.slots
        self.slots_running += attempt.job.slots
        return attempt

    def remove(self, key: AttemptKey) -> Attempt | None:
        """Take an attempt off that has ended; gives it, or None where it is not known."""
        attempt = self.attempts.pop(key, None)
        if attempt is None:
            return None
        job, worker = attempt.job, attempt.worker
        worker.slots_in_flight -= job.slots
        job.in_flight -= 1
        worker.unstarted.pop(key, None)
        self.unstarted.pop(key, None)
        if attempt.started_at is not None:
            self.capacity.saw_end(attempt)
            worker.slots_running -= job.slots
            self.slots_running -= job.slots
        return attempt

    def saw_delay(self, worker: Worker, delay: float) -> bool:
        """Take the delay, ms, from send to start; says whether the start was prompt."""
        self.least_delay[worker.zone] = min(self.least_delay[worker.zone], delay)
        return delay <= self.least_delay[worker.zone] + self.context.mode.prompt_slack

    def has_overdue_start(self, worker: Worker) -> bool:
        """Say whether an attempt of ours on the worker should have started by now."""
        overdue = self.context.now - self.least_delay[worker.zone] - self.context.mode.prompt_slack
        return any(attempt.sent_at < overdue for attempt in worker.unstarted.values())

    def is_saturated(self, *, late: bool = False) -> bool:
        """Guard against queues that a burst fills: bound overdue starts, to one for late jobs."""
        allowed = 1 if late else QUEUED_PART * (self.capacity.total_slot_share + self.slots_running) + 1
        stuck = STUCK_MOST * self.endpoints.up_count
        for attempt in self.unstarted.values():  # oldest first
            age = self.context.now - attempt.sent_at
            usual = self.least_delay[attempt.worker.zone] + self.context.mode.prompt_slack
            if allowed <= 0 or age <= usual:
                break
            if stuck > 0 and age > STUCK_AFTER * self.estimates.typical:
                stuck -= 1
            else:
                allowed -= attempt.job.slots
        return allowed <= 0
