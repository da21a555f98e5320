"""The rules that hold whatever the decisions ask for, each as a named check."""

from __future__ import annotations

from enum import Enum

from elderstall.deadlines import Deadlines
from elderstall.engine.jobs import Job
from elderstall.interface import DeduplicationScope, Effect, SendAttempt, Settings
from elderstall.routing.view import FleetView

DRAIN_PART = 0.75  # of the time that the rule on draining workers allows; after that nothing is sent
HELD_UP = 150.0  # ms for which the process may be held up between reading its clock and writing


class Violation(Enum):
    """Why an attempt is not sent."""

    ATTEMPT_IN_FLIGHT = "an attempt is out"
    TOO_MANY_ATTEMPTS = "too many attempts"
    UNKNOWN_WORKER = "unknown worker"
    MAY_HAVE_RUN = "may have run"
    WORKER_DRAINING = "worker told draining or gone"
    NOT_DEDUPLICATED = "its repeat would not be dropped any more"
    CLIENT_LEFT = "its client has left"
    NO_TIME = "no time left"


class Rules:
    """Checks attempts and rejections against the rules."""

    def __init__(self, settings: Settings, deadlines: Deadlines, view: FleetView) -> None:
        self.settings, self.deadlines, self.view = settings, deadlines, view

    def forbids(self, job: Job, send: SendAttempt) -> Violation | None:
        """Name the rule that forbids an attempt which is about to begin."""
        if job.attempt is not None:
            return Violation.ATTEMPT_IN_FLIGHT
        if job.attempts > self.settings.max_attempts:  # this one is counted
            return Violation.TOO_MANY_ATTEMPTS
        if not self.view.is_known(send.worker):
            return Violation.UNKNOWN_WORKER
        if job.may_have_run and job.cls.effect is Effect.NOT_IDEMPOTENT:
            return Violation.MAY_HAVE_RUN
        return self.forbids_by_now(job, send.worker)

    def forbids_by_now(self, job: Job, worker: str) -> Violation | None:
        """Name the rule that time has brought against an attempt, up to its first byte."""
        now = self.deadlines.now()
        if not self.view.may_send(worker, now, self._drain_grace):
            return Violation.WORKER_DRAINING
        if (
            job.cls.effect is Effect.IDEMPOTENCY_KEY
            and now - job.ran_at >= job.cls.deduplication_window - HELD_UP
        ):
            return Violation.NOT_DEDUPLICATED
        if not job.client.is_connected():
            return Violation.CLIENT_LEFT
        return None if now < job.deadline else Violation.NO_TIME

    @property
    def _drain_grace(self) -> float:
        """How long a worker that is notified as draining may still be sent attempts, ms."""
        allowed = self.settings.stop_sending_within
        return max(0.0, min(DRAIN_PART * allowed, allowed - HELD_UP))

    @staticmethod
    def harmless_to_reject(job: Job) -> bool:
        """Say whether a client may be promised that trying again does no harm."""
        if job.cls.effect is Effect.IDEMPOTENT:
            return True
        if job.cls.effect is Effect.IDEMPOTENCY_KEY and job.cls.scope is DeduplicationScope.ALL:
            return True
        return not job.may_have_run and job.attempt is None
