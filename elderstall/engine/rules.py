"""The rules that every attempt must satisfy, whatever the decisions request."""

from __future__ import annotations

from enum import Enum

from elderstall.clocks import MAX_PROCESS_PAUSE_MS
from elderstall.deadlines import Deadlines
from elderstall.engine.jobs import Job
from elderstall.interface import DeduplicationScope, Effect, SendAttempt, Settings
from elderstall.routing.view import FleetView

DRAIN_SEND_FRACTION = 0.75  # of the time in which sending to a draining worker has to stop


class Violation(Enum):
    """Rule that forbids an attempt; the values appear in the log."""

    ATTEMPT_IN_FLIGHT = "another attempt is in flight"
    TOO_MANY_ATTEMPTS = "the maximum of attempts is reached"
    UNKNOWN_WORKER = "the worker is unknown"
    MAY_HAVE_RUN = "it may have run and is not idempotent"
    WORKER_DRAINING = "the worker is draining or gone"
    NOT_DEDUPLICATED = "its deduplication window has passed"
    CLIENT_DISCONNECTED = "its client has disconnected"
    DEADLINE_PASSED = "its deadline has passed"


class Rules:
    """Checks attempts against the rules of ``Violation``, and whether a rejection is safe."""

    def __init__(self, settings: Settings, deadlines: Deadlines, view: FleetView) -> None:
        self.settings = settings
        self.deadlines = deadlines
        self.view = view

    def find_violation(self, job: Job, send: SendAttempt) -> Violation | None:
        """Return the rule that forbids an attempt which is about to start, or None."""
        if job.attempt is not None:
            return Violation.ATTEMPT_IN_FLIGHT
        if job.attempts > self.settings.max_attempts:  # this one is counted
            return Violation.TOO_MANY_ATTEMPTS
        if not self.view.is_known(send.worker):
            return Violation.UNKNOWN_WORKER
        if job.may_have_run and job.cls.effect is Effect.NOT_IDEMPOTENT:
            return Violation.MAY_HAVE_RUN
        return self.find_current_violation(job, send.worker)

    def find_current_violation(self, job: Job, worker: str) -> Violation | None:
        """Return the time-dependent rule that forbids an attempt, or None; holds up to its first byte."""
        now = self.deadlines.now()
        if not self.view.may_send(worker, now, self._drain_grace):
            return Violation.WORKER_DRAINING
        if (
            job.cls.effect is Effect.IDEMPOTENCY_KEY
            and now - job.ran_at >= job.cls.deduplication_window - MAX_PROCESS_PAUSE_MS
        ):
            return Violation.NOT_DEDUPLICATED
        if not job.client.is_connected():
            return Violation.CLIENT_DISCONNECTED
        return None if now < job.deadline else Violation.DEADLINE_PASSED

    @property
    def _drain_grace(self) -> float:
        """Time in ms for which a worker listed as draining may still be sent attempts."""
        allowed = self.settings.stop_sending_within
        return max(0.0, min(DRAIN_SEND_FRACTION * allowed, allowed - MAX_PROCESS_PAUSE_MS))

    @staticmethod
    def is_retry_safe(job: Job) -> bool:
        """Return whether a retry by the client is harmless."""
        if job.cls.effect is Effect.IDEMPOTENT:
            return True
        if job.cls.effect is Effect.IDEMPOTENCY_KEY and job.cls.scope is DeduplicationScope.ALL:
            return True
        return not job.may_have_run and job.attempt is None
