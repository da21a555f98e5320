"""State of a job that is handed over to the peer process of an upgrade, with its codec.

The keys of the message are fixed, as the two processes may run different versions. Times are encoded by the
shared clock. A key that an earlier version does not send gets its default.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from elderstall.clocks import SharedClock
from elderstall.engine.jobs import Attempt, CancelBeforeSend, Job
from elderstall.interface import DeduplicationScope, Effect, JobClass
from elderstall.messages import Client, JobRequest

CLOCK_TOLERANCE_MS = 500.0  # a larger difference of an earlier version's readings is a clock step
# With the answer slack, below the 500 ms (CLOCK_TOLERANCE_MS) after which a job of unknown deadline is lost.
UNKNOWN_DEADLINE_BUDGET_MS = 400.0


@dataclass(slots=True, frozen=True)
class AttemptTransfer:
    """Attempt in flight of a transferred job. Times are readings of this process's clock, ms."""

    worker: str
    sent_at: float
    ends_at: float


@dataclass(slots=True, frozen=True)
class JobTransfer:
    """State of a transferred job. Times are readings of this process's clock, ms."""

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
    may_call_back: tuple[str, ...]
    returned_by: tuple[str, ...]
    cancel_before_send: CancelBeforeSend | None
    attempt: AttemptTransfer | None

    @classmethod
    def from_job(cls, job: Job) -> JobTransfer:
        """Return the state of a job and of its attempt in flight."""
        request = job.request
        attempt = job.attempt
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
            may_call_back=tuple(sorted(job.may_call_back)),
            returned_by=tuple(sorted(job.returned_by)),
            cancel_before_send=job.cancel_before_send,
            attempt=in_flight,
        )

    @property
    def is_retry_safe(self) -> bool:
        """Whether a retry by the client is harmless."""
        if self.cls.effect is Effect.IDEMPOTENT:
            return True
        if self.cls.effect is Effect.IDEMPOTENCY_KEY and self.cls.scope is DeduplicationScope.ALL:
            return True
        return not self.may_have_run and self.attempt is None

    def to_job(self, original: object, client: Client) -> Job:
        """Return the job; ``original`` is the client's request in the listener's form."""
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
        if self.may_have_run:  # an earlier version does not send the time: assume the earliest
            job.ran_at = self.ran_at or self.arrived
        job.may_call_back = set(self.may_call_back)
        job.returned_by = set(self.returned_by)
        job.cancel_before_send = self.cancel_before_send
        return job

    def to_attempt(self, job: Job) -> Attempt | None:
        """Return the attempt in flight, or None."""
        if self.attempt is None:
            return None
        sent_at = self.attempt.sent_at
        ends_at = self.attempt.ends_at
        return Attempt(job, self.attempts - 1, self.attempt.worker, sent_at, ends_at)

    def encode(self, clock: SharedClock) -> dict[str, Any]:
        """Return the state as plain data for a message.

        Keys that differ from the fields: ``cid`` is ``request_id``, ``hint`` is ``work_hint``, ``sent`` is
        ``attempts``, ``ran`` is ``may_have_run``, ``unsure`` is ``may_call_back``, ``back`` is
        ``returned_by``, and ``to_tell`` and ``to_confirm`` are the fields of ``cancel_before_send``.
        """
        attempt = self.attempt
        cancel = self.cancel_before_send
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
            "unsure": list(self.may_call_back),
            "back": list(self.returned_by),
            "to_tell": None if cancel is None else cancel.worker,
            "to_confirm": cancel is not None and cancel.confirmation_required,
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
        """Return the state of a message; raises KeyError, TypeError or ValueError if it is malformed."""
        clock = SharedClock.of_message(message, local_offset)
        arrived = clock.decode_reading(message["arrived"])
        deadline = clock.decode_reading(message["deadline"])
        ran_at = None if message.get("ran_at") is None else clock.decode_reading(message["ran_at"])
        cancel = None
        if (worker_to_tell := message.get("to_tell")) is not None:
            # An earlier version does not send what it knows: the safe case is assumed.
            cancel = CancelBeforeSend(worker_to_tell, message.get("to_confirm", True))
        attempt = None
        if message["attempt"] is not None:
            worker, sent_at, ends_at = message["attempt"]
            attempt = AttemptTransfer(worker, clock.decode_reading(sent_at), clock.decode_reading(ends_at))
        in_step = arrived <= now + CLOCK_TOLERANCE_MS and now <= deadline + CLOCK_TOLERANCE_MS
        if not clock.has_sender_offset and not in_step:
            # The sender is of an earlier version and the wall clock was stepped: its readings are meaningless
            # here, and the deadline may be near. A short budget ensures that the job is answered in time.
            arrived = now + UNKNOWN_DEADLINE_BUDGET_MS - (deadline - arrived)
            deadline = now + UNKNOWN_DEADLINE_BUDGET_MS
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
            may_call_back=tuple(message["unsure"]),
            returned_by=tuple(message.get("back", ())),
            cancel_before_send=cancel,
            attempt=attempt,
        )


# Message key of each field of a job class, in order.
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
    """Return a job class as plain data."""
    values = {key: getattr(job_class, name) for key, name in CLASS_KEYS.items()}
    return {**values, "effect": job_class.effect.value, "scope": job_class.scope.value}


def decode_class(message: dict[str, Any]) -> JobClass:
    """Return the job class of plain data."""
    values = {CLASS_KEYS[key]: value for key, value in message.items()}
    values["effect"] = Effect(message["effect"])
    values["scope"] = DeduplicationScope(message["scope"])
    return JobClass(**values)
