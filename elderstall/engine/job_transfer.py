"""A job on its way to the other process of an upgrade: its state as a record, with one codec.

The message's keys are fixed, as processes of two versions meet there. Times are sent as the shared clock
writes them; a key that an earlier version does not send has its default.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from elderstall.clocks import SharedClock
from elderstall.engine.jobs import Attempt, Job
from elderstall.interface import DeduplicationScope, Effect, JobClass
from elderstall.messages import Client, JobRequest

CLOCK_SLACK = 500.0  # ms by which readings of a process of an earlier version may be off with no step
LEFT_UNKNOWN = 400.0  # ms left to a job whose deadline is not known; it is lost 500 ms past that


@dataclass(slots=True, frozen=True)
class AttemptTransfer:
    """An attempt in flight. Times are readings of this process's clock, ms."""

    worker: str
    sent_at: float
    ends_at: float


@dataclass(slots=True, frozen=True)
class JobTransfer:
    """A job that one process exports and another imports. Times are readings of this process's clock, ms."""

    request_id: str
    cls: JobClass
    tenant: str | None
    key: str | None
    work_hint: float | None
    slots: int
    arrived: float
    deadline: float
    attempts: int
    may_have_run: bool
    ran_at: float | None
    may_still_speak: tuple[str, ...]
    handed_back: tuple[str, ...]
    cancel_first: str | None
    attempt: AttemptTransfer | None

    @classmethod
    def of(cls, job: Job) -> JobTransfer:
        """Describe a job."""
        request, attempt = job.request, job.attempt
        in_flight = (
            None if attempt is None else AttemptTransfer(attempt.worker, attempt.sent_at, attempt.ends_at)
        )
        return cls(
            request_id=request.request_id,
            cls=job.cls,
            tenant=request.tenant,
            key=request.key,
            work_hint=request.work_hint,
            slots=request.slots,
            arrived=job.arrived,
            deadline=job.deadline,
            attempts=job.attempts,
            may_have_run=job.may_have_run,
            ran_at=job.ran_at if job.may_have_run else None,
            may_still_speak=tuple(sorted(job.may_still_speak)),
            handed_back=tuple(sorted(job.handed_back)),
            cancel_first=job.cancel_first,
            attempt=in_flight,
        )

    @property
    def harmless_to_reject(self) -> bool:
        """Whether its client may be promised that trying again does no harm."""
        if self.cls.effect is Effect.IDEMPOTENT:
            return True
        if self.cls.effect is Effect.IDEMPOTENCY_KEY and self.cls.scope is DeduplicationScope.ALL:
            return True
        return not self.may_have_run and self.attempt is None

    def to_job(self, original: object, client: Client) -> Job:
        """Make a job of it; ``original`` is the client's request as its front keeps it."""
        request = JobRequest(
            self.request_id,
            self.cls.name,
            self.deadline - self.arrived,
            original,
            self.tenant,
            self.key,
            self.work_hint,
            self.slots,
            self.cls.effect is Effect.IDEMPOTENT,
        )
        job = Job(request, client, self.cls, self.arrived, self.deadline, attempts=self.attempts)
        job.may_have_run = self.may_have_run
        if self.may_have_run:  # a process of an earlier version does not say when: at the earliest
            job.ran_at = self.ran_at or self.arrived
        job.may_still_speak, job.handed_back = set(self.may_still_speak), set(self.handed_back)
        job.cancel_first = self.cancel_first
        return job

    def to_attempt(self, job: Job) -> Attempt | None:
        """Make an attempt of the one that is in flight."""
        if self.attempt is None:
            return None
        sent_at, ends_at = self.attempt.sent_at, self.attempt.ends_at
        return Attempt(job, self.attempts - 1, self.attempt.worker, sent_at, ends_at)

    def encode(self, clock: SharedClock) -> dict[str, Any]:
        """Write it as plain data for a message."""
        attempt = self.attempt
        return {
            "cid": self.request_id,
            "cls": encode_class(self.cls),
            "tenant": self.tenant,
            "key": self.key,
            "hint": self.work_hint,
            "slots": self.slots,
            "sent": self.attempts,
            "clock": clock.encode(),
            "arrived": clock.encode_reading(self.arrived),
            "deadline": clock.encode_reading(self.deadline),
            "ran": self.may_have_run,
            "ran_at": None if self.ran_at is None else clock.encode_reading(self.ran_at),
            "unsure": list(self.may_still_speak),
            "back": list(self.handed_back),
            "to_tell": self.cancel_first,
            "attempt": None
            if attempt is None
            else [
                attempt.worker,
                clock.encode_reading(attempt.sent_at),
                clock.encode_reading(attempt.ends_at),
            ],
        }

    @classmethod
    def decode(cls, message: dict[str, Any], local_offset: float, now: float) -> JobTransfer:
        """Read it from a message; raises KeyError, TypeError or ValueError where that is malformed."""
        clock = SharedClock.of_message(message, local_offset)
        arrived, deadline = (
            clock.decode_reading(message["arrived"]),
            clock.decode_reading(message["deadline"]),
        )
        ran_at = None if message.get("ran_at") is None else clock.decode_reading(message["ran_at"])
        attempt = None
        if message["attempt"] is not None:
            worker, sent_at, ends_at = message["attempt"]
            attempt = AttemptTransfer(worker, clock.decode_reading(sent_at), clock.decode_reading(ends_at))
        in_step = arrived <= now + CLOCK_SLACK and now <= deadline + CLOCK_SLACK
        if not clock.has_sender_offset and not in_step:
            # Guards its one answer where a process of an earlier version has run through a step of the wall
            # clock: its readings say nothing here, and its client may wait for only a moment longer.
            arrived, deadline = now + LEFT_UNKNOWN - (deadline - arrived), now + LEFT_UNKNOWN
            ran_at = None
            attempt = None if attempt is None else AttemptTransfer(attempt.worker, arrived, deadline)
        return cls(
            request_id=message["cid"],
            cls=decode_class(message["cls"]),
            tenant=message["tenant"],
            key=message["key"],
            work_hint=message["hint"],
            slots=message["slots"],
            arrived=arrived,
            deadline=deadline,
            attempts=message["sent"],
            may_have_run=message["ran"],
            ran_at=ran_at,
            may_still_speak=tuple(message["unsure"]),
            handed_back=tuple(message.get("back", ())),
            cancel_first=message.get("to_tell"),
            attempt=attempt,
        )


# The names of a class's fields in messages, in order.
CLASS_KEYS = {
    "name": "name",
    "worth": "priority_weight",
    "aim": "latency_objective",
    "deadline": "deadline",
    "effect": "effect",
    "scope": "scope",
    "memory_span": "deduplication_window",
    "stretch": "stretch",
    "late_share": "late_share",
    "kind": "kind",
    "streamed": "streamed",
}


def encode_class(job_class: JobClass) -> dict[str, Any]:
    """Write a class as plain data."""
    values = {key: getattr(job_class, name) for key, name in CLASS_KEYS.items()}
    return {**values, "effect": job_class.effect.value, "scope": job_class.scope.value}


def decode_class(message: dict[str, Any]) -> JobClass:
    """Read a class."""
    values = {CLASS_KEYS[key]: value for key, value in message.items()}
    values["effect"], values["scope"] = Effect(message["effect"]), DeduplicationScope(message["scope"])
    return JobClass(**values)
