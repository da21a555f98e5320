"""The auditor: it checks a simulation run against the rules, independently of the engine.

1. A try that a dispatcher has accepted is answered once, by its deadline, while the dispatcher lives.
2. A job that may have run is repeated only as its class permits, with one attempt at a time; a job that is
   not idempotent runs once.
3. A worker is sent nothing once the grace after the notice of its draining or end has passed.
4. No cold worker is overloaded by dispatchers that had been notified of its start.

Its input comes from the network, the workers and the clients, never from the dispatchers' own figures.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from elderstall.interface import (
    NEVER_RAN,
    DeduplicationScope,
    Effect,
    Ending,
    Endpoint,
    JobClass,
    ListScope,
    WorkerState,
)
from elderstall.messages import Answer, Rejected, Served
from elderstall.simulation.scenario import EPOCH, Rules

if TYPE_CHECKING:
    from elderstall.simulation.attempt import SimulatedAttempt, UpstreamDispatcherProcess, UpstreamWorkerHost
    from elderstall.simulation.dispatcher_host import Process
    from elderstall.simulation.loop import VirtualTime
    from elderstall.simulation.requests import Request, Try
    from elderstall.simulation.worker_host import WorkerHost

# Rule 4 is broken if at least this fraction of the work that overloaded a cold worker came from dispatchers
# that had been notified of its start.
MIN_INFORMED_FRACTION = 2 / 3
MAX_KEPT_VIOLATIONS = 200  # kept with their history; further ones are only counted


@dataclass(frozen=True)
class RuleViolation:
    """One rule violation, with the history of the request concerned."""

    rule: int
    at: float
    what: str
    request: int | None
    history: tuple[str, ...] = ()


@dataclass(slots=True)
class AttemptRecord:
    """The auditor's record of an attempt."""

    worker: str
    zone: str
    cell: int
    at: float
    number: int
    outstanding: bool = True
    proven_unrun: bool = False  # the dispatcher knows that it never ran


@dataclass(slots=True)
class TryRecord:
    """The auditor's record of an unanswered try."""

    deadline: float
    request: Request
    attempts: list[AttemptRecord] = field(default_factory=list)


def history_lines(request: Request) -> list[str]:
    """Return a request's history as lines of text."""
    return [f"{at / 1000:10.4f} s  {text}" for at, text in request.history]


class Auditor:
    """Tracks unanswered tries and records rule violations."""

    def __init__(self, loop: VirtualTime, rules: Rules) -> None:
        self.loop = loop
        self.rules = rules
        self.broken: list[RuleViolation] = []
        self.count = 0
        self.open_tries: dict[str, TryRecord] = {}
        self.states: dict[int, dict[str, tuple[bool, float]]] = {}  # by process id and worker: up, since when
        self.starts: dict[int, dict[str, float | None]] = {}
        self.received_count = self.answered_count = self.dispatcher_ended_count = self.client_left_count = 0

    # ---- history ----

    def note(self, request: Request, text: str) -> None:
        """Add a line to a request's history."""
        request.history.append((self.loop.now, text))

    def record_violation(self, rule: int, what: str, request: Request | None = None) -> None:
        """Record a rule violation; past MAX_KEPT_VIOLATIONS it is only counted."""
        self.count += 1
        if len(self.broken) < MAX_KEPT_VIOLATIONS:
            history = tuple(history_lines(request)) if request is not None else ()
            number = request.number if request is not None else None
            self.broken.append(RuleViolation(rule, self.loop.now, what, number, history))

    # ---- the list ----

    def notified(self, process: Process, scope: ListScope, entries: tuple[Endpoint, ...]) -> None:
        """Record which workers a dispatcher was notified of, and when their state changed."""
        now = self.loop.now
        key = id(process)
        states = self.states.setdefault(key, {})
        starts = self.starts.setdefault(key, {})
        if scope is ListScope.WHOLE:
            named = {entry.worker for entry in entries}
            for name, (up, _) in list(states.items()):
                if name not in named and up:
                    states[name] = False, now
        for entry in entries:
            up = entry.state is WorkerState.UP
            old = states.get(entry.worker)
            if old is None or old[0] != up:
                states[entry.worker] = up, now
            if up:
                starts[entry.worker] = entry.started

    def is_informed(self, process: UpstreamDispatcherProcess, worker_host: WorkerHost) -> bool:
        """Return whether a dispatcher had been notified of a worker's latest start."""
        if worker_host.model.started is None:
            return True
        return self.starts.get(id(process), {}).get(worker_host.name) == EPOCH + worker_host.model.started

    def cold_worker_overloaded(self, worker_host: WorkerHost) -> None:
        """Record a violation if a cold worker was overloaded mostly by dispatchers that knew of its start."""
        if worker_host.model.informed_fraction >= MIN_INFORMED_FRACTION:
            age = self.loop.now - (worker_host.model.started or 0.0)
            self.record_violation(
                4,
                f"{worker_host.name} was pushed over {age:.0f} ms after its start; "
                f"{worker_host.model.informed_fraction:.0%} of the work came from dispatchers told of it",
            )

    # ---- a try ----

    def record_received(self, client_try: Try) -> None:
        """Record that a try has reached a dispatcher, which may still reject it."""
        self.received_count += 1
        self.open_tries[client_try.request_id] = TryRecord(client_try.deadline, client_try.request)
        dispatcher_host = client_try.process.dispatcher_host.name if client_try.process is not None else "?"
        load = client_try.request.load
        self.note(
            client_try.request,
            f"try {client_try.number} of {load.cls.name} at {dispatcher_host}, "
            f"{client_try.deadline - self.loop.now:.0f} ms left",
        )

    def check_attempt(self, attempt: SimulatedAttempt) -> None:
        """Check that the rules permit this attempt; called before it is sent, even if nothing can be sent."""
        client_try = attempt.client_try
        request = attempt.job
        worker = attempt.worker_host.name
        self.note(request, f"attempt {attempt.number} sent to {worker}")
        try_record = self.open_tries.get(client_try.request_id)
        if try_record is None:
            self.record_violation(1, f"attempt for {client_try.request_id}, which is answered", request)
            return
        if any(record.outstanding for record in try_record.attempts):
            self.record_violation(2, f"second copy of {client_try.request_id} at {worker}", request)
        cls = request.load.cls
        now = self.loop.now
        for earlier in try_record.attempts:
            if earlier.proven_unrun or cls.effect is Effect.IDEMPOTENT:
                continue
            if cls.effect is Effect.NOT_IDEMPOTENT:
                self.record_violation(
                    2,
                    f"{client_try.request_id} of {cls.name} sent to {worker}, "
                    f"but it may have run at {earlier.worker}",
                    request,
                )
            elif now - earlier.at > cls.deduplication_window or not self.shares_deduplication(
                cls, earlier, attempt.worker_host
            ):
                self.record_violation(
                    2,
                    f"{client_try.request_id} of {cls.name} sent to {worker}, where a repeat is not dropped",
                    request,
                )
        if len(try_record.attempts) >= self.rules.max_attempts:
            self.record_violation(
                2, f"attempt {len(try_record.attempts) + 1} of {client_try.request_id}", request
            )
        # A worker that was never listed counts as gone for longer than any grace.
        up, since = self.states.get(id(attempt.upstream.process), {}).get(worker, (False, -1e18))
        if not up and now - since > self.rules.drain_grace:
            self.record_violation(
                3,
                f"{client_try.request_id} sent to {worker}, "
                f"told draining or gone {now - since:.0f} ms before",
                request,
            )
        spec = attempt.worker_host.spec
        try_record.attempts.append(AttemptRecord(worker, spec.zone, spec.cell, now, attempt.number))

    @staticmethod
    def shares_deduplication(
        job_class: JobClass, earlier: AttemptRecord, worker_host: UpstreamWorkerHost
    ) -> bool:
        """Return whether a worker host drops a repeat of an earlier attempt."""
        spec = worker_host.spec
        if job_class.scope is DeduplicationScope.ALL:
            return True
        return earlier.zone == spec.zone and (
            job_class.scope is DeduplicationScope.ZONE or earlier.cell == spec.cell
        )

    def started(self, attempt: SimulatedAttempt) -> None:
        """Record the start of an attempt, and check that a request that is not idempotent runs only once."""
        request = attempt.job
        request.runs += 1
        self.note(
            request,
            f"attempt {attempt.number} of try {attempt.client_try.number} runs at {attempt.worker_host.name}",
        )
        if request.runs > 1 and request.load.cls.effect is Effect.NOT_IDEMPOTENT:
            self.record_violation(
                2,
                f"request {request.number} of {request.load.cls.name} has run {request.runs} times",
                request,
            )

    def record_ending(self, attempt: SimulatedAttempt, ending: Ending) -> None:
        """Record how an attempt ended, as its dispatcher knows."""
        self.note(attempt.job, f"attempt {attempt.number} at {attempt.worker_host.name}: {ending.value}")
        attempt_record = self.find_record(attempt)
        if attempt_record is not None and attempt_record.outstanding:
            attempt_record.outstanding = False
            attempt_record.proven_unrun = ending in NEVER_RAN

    def record_abandoned(self, attempt: SimulatedAttempt) -> None:
        """Record that a dispatcher has cancelled an attempt; the worker may not have confirmed it yet."""
        self.note(attempt.job, f"attempt {attempt.number} at {attempt.worker_host.name}: given up")
        attempt_record = self.find_record(attempt)
        if attempt_record is not None and attempt_record.outstanding:
            attempt_record.outstanding = False
            attempt_record.proven_unrun = not attempt.written

    def find_record(self, attempt: SimulatedAttempt) -> AttemptRecord | None:
        """Return the record of an attempt, or None once its try is answered."""
        try_record = self.open_tries.get(attempt.client_try.request_id)
        if try_record is None:
            return None
        return next((record for record in try_record.attempts if record.number == attempt.number), None)

    def check_answer(self, client_try: Try, answer: Answer) -> None:
        """Check a final answer against the rules."""
        request = client_try.request
        now = self.loop.now
        kind = type(answer).__name__.lower()
        advice = f", come back in {answer.retry_after:.0f} ms" if isinstance(answer, Rejected) else ""
        self.note(request, f"try {client_try.number} {kind}{advice}")
        try_record = self.open_tries.pop(client_try.request_id, None)
        if try_record is None:
            if not client_try.over:
                self.record_violation(1, f"second answer to {client_try.request_id}", request)
            return
        self.answered_count += 1
        if (late := now - client_try.deadline) > self.rules.slack:
            self.record_violation(
                1, f"{client_try.request_id} answered {late:.0f} ms past its deadline", request
            )
        if isinstance(answer, Rejected) and request.load.cls.effect is not Effect.IDEMPOTENT:
            possibly_run = [r.worker for r in try_record.attempts if r.outstanding or not r.proven_unrun]
            if possibly_run and not (
                request.load.cls.effect is Effect.IDEMPOTENCY_KEY
                and request.load.cls.scope is DeduplicationScope.ALL
            ):
                self.record_violation(
                    2,
                    f"{client_try.request_id} of {request.load.cls.name} refused, but it may have run at "
                    f"{', '.join(possibly_run)}",
                    request,
                )
        if isinstance(answer, Served) and client_try.served_by is None:
            self.record_violation(1, f"{client_try.request_id} served with what no worker made", request)

    def record_client_left(self, client_try: Try) -> None:
        """Record that a client has left; its try needs no answer."""
        self.client_left_count += 1
        self.note(client_try.request, f"try {client_try.number}: the client has left")
        self.open_tries.pop(client_try.request_id, None)

    def record_dispatcher_ended(self, client_try: Try) -> None:
        """Record that a dispatcher ended before it answered a try; rule 1 no longer applies."""
        self.dispatcher_ended_count += 1
        self.note(client_try.request, f"try {client_try.number}: the dispatcher is gone")
        self.open_tries.pop(client_try.request_id, None)

    def close(self) -> None:
        """Check at the end of the simulation run that no try past its deadline is unanswered."""
        for request_id, try_record in self.open_tries.items():
            if self.loop.now > try_record.deadline + self.rules.slack:
                self.record_violation(1, f"{request_id} was never answered", try_record.request)
