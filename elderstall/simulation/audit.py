"""The auditor: it watches from outside, shares nothing with the core, and holds the scenario to the rules.

1. What a dispatcher has taken is answered once and finally, in time, while the dispatcher lives.
2. What may have run goes again only as its class allows, never in two copies; nothing unsafe runs twice.
3. Nothing new goes to a worker later than the grace after the dispatcher heard that it drains or is gone.
4. No cold worker is pushed over by dispatchers that had been notified of its start.

It is fed by the network, the workers and the clients, never by the dispatchers' own account of themselves.
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
    from elderstall.simulation.attempt import SimulatedAttempt, TargetHost, UpstreamOwner
    from elderstall.simulation.dispatcher_host import Process
    from elderstall.simulation.loop import VirtualTime
    from elderstall.simulation.requests import Request, Try
    from elderstall.simulation.worker_host import WorkerHost

TO_BLAME = 2 / 3  # of the work that pushed a worker over came from dispatchers notified of its start: rule 4
KEPT = 200  # broken rules that are kept with their history; further ones are counted


@dataclass(frozen=True)
class Broken:
    """A broken rule."""

    rule: int
    at: float
    what: str
    request: int | None
    history: tuple[str, ...] = ()


@dataclass(slots=True)
class Sent:
    """What the auditor holds of an attempt."""

    worker: str
    zone: str
    cell: int
    at: float
    number: int
    out: bool = True
    proven: bool = False  # that it never ran, as the dispatcher knows


@dataclass(slots=True)
class Watched:
    """What it holds of a try that is open."""

    deadline: float
    request: Request
    sent: list[Sent] = field(default_factory=list)


def lines_of(request: Request) -> list[str]:
    """Give a request's history as lines."""
    return [f"{at / 1000:10.4f} s  {text}" for at, text in request.history]


class Auditor:
    """Keeps what is known of open tries, and what rules were broken."""

    def __init__(self, loop: VirtualTime, rules: Rules) -> None:
        self.loop, self.rules = loop, rules
        self.broken: list[Broken] = []
        self.count = 0
        self.watched: dict[str, Watched] = {}
        self.states: dict[int, dict[str, tuple[bool, float]]] = {}  # a process's list: up, known since
        self.starts: dict[int, dict[str, float | None]] = {}
        self.taken_count = self.answered_count = self.dropped_count = self.left_count = 0

    # ---- history ----

    def note(self, request: Request, text: str) -> None:
        """Add a line to a request's history, which lives as long as the request."""
        request.history.append((self.loop.now, text))

    def breaks(self, rule: int, what: str, request: Request | None = None) -> None:
        """Note a broken rule."""
        self.count += 1
        if len(self.broken) < KEPT:
            history = tuple(lines_of(request)) if request is not None else ()
            number = request.number if request is not None else None
            self.broken.append(Broken(rule, self.loop.now, what, number, history))

    # ---- the list ----

    def notified(self, process: Process, scope: ListScope, entries: tuple[Endpoint, ...]) -> None:
        """Note what a dispatcher was notified of about the workers, and when."""
        now, key = self.loop.now, id(process)
        states = self.states.setdefault(key, {})
        starts = self.starts.setdefault(key, {})
        if scope is ListScope.WHOLE:
            named = {e.worker for e in entries}
            for name, (up, _) in list(states.items()):
                if name not in named and up:
                    states[name] = False, now
        for e in entries:
            up = e.state is WorkerState.UP
            old = states.get(e.worker)
            if old is None or old[0] != up:
                states[e.worker] = up, now
            if up:
                starts[e.worker] = e.started

    def informed(self, process: UpstreamOwner, worker_host: WorkerHost) -> bool:
        """Say whether a dispatcher had been notified of a worker's present start."""
        if worker_host.model.started is None:
            return True
        return self.starts.get(id(process), {}).get(worker_host.name) == EPOCH + worker_host.model.started

    def fell(self, worker_host: WorkerHost) -> None:
        """Note that a cold worker was pushed over; who is to blame hangs on what they knew."""
        if worker_host.model.blame >= TO_BLAME:
            age = self.loop.now - (worker_host.model.started or 0.0)
            self.breaks(
                4,
                f"{worker_host.name} was pushed over {age:.0f} ms after its start; "
                f"{worker_host.model.blame:.0%} of the work came from dispatchers told of it",
            )

    # ---- a try ----

    def taken(self, tried: Try) -> None:
        """Note that a dispatcher has a client's try."""
        self.taken_count += 1
        self.watched[tried.request_id] = Watched(tried.deadline, tried.request)
        dispatcher_host = tried.process.dispatcher_host.name if tried.process is not None else "?"
        load = tried.request.load
        self.note(
            tried.request,
            f"try {tried.number} of {load.cls.name} at {dispatcher_host}, "
            f"{tried.deadline - self.loop.now:.0f} ms left",
        )

    def sent(self, attempt: SimulatedAttempt) -> None:
        """Check a send."""
        tried, request, worker = attempt.tried, attempt.job, attempt.worker_host.name
        self.note(request, f"attempt {attempt.number} sent to {worker}")
        watched = self.watched.get(tried.request_id)
        if watched is None:
            self.breaks(1, f"attempt for {tried.request_id}, which is answered", request)
            return
        if any(s.out for s in watched.sent):
            self.breaks(2, f"second copy of {tried.request_id} at {worker}", request)
        cls, now = request.load.cls, self.loop.now
        for earlier in watched.sent:
            if earlier.proven or cls.effect is Effect.IDEMPOTENT:
                continue
            if cls.effect is Effect.NOT_IDEMPOTENT:
                self.breaks(
                    2,
                    f"{tried.request_id} of {cls.name} sent to {worker}, "
                    f"but it may have run at {earlier.worker}",
                    request,
                )
            elif now - earlier.at > cls.deduplication_window or not self.same_group(
                cls, earlier, attempt.worker_host
            ):
                self.breaks(
                    2,
                    f"{tried.request_id} of {cls.name} sent to {worker}, where a repeat is not dropped",
                    request,
                )
        if len(watched.sent) >= self.rules.max_attempts:
            self.breaks(2, f"attempt {len(watched.sent) + 1} of {tried.request_id}", request)
        up, since = self.states.get(id(attempt.upstream.process), {}).get(worker, (False, -1e18))
        if not up and now - since > self.rules.drain_grace:
            self.breaks(
                3,
                f"{tried.request_id} sent to {worker}, told draining or gone {now - since:.0f} ms before",
                request,
            )
        spec = attempt.worker_host.spec
        watched.sent.append(Sent(worker, spec.zone, spec.cell, now, attempt.number))

    @staticmethod
    def same_group(job_class: JobClass, earlier: Sent, worker_host: TargetHost) -> bool:
        """Say whether a repeat at a worker host is dropped after an earlier attempt."""
        spec = worker_host.spec
        if job_class.scope is DeduplicationScope.ALL:
            return True
        return earlier.zone == spec.zone and (
            job_class.scope is DeduplicationScope.ZONE or earlier.cell == spec.cell
        )

    def started(self, attempt: SimulatedAttempt) -> None:
        """Note that an attempt has begun to run: for what must never run twice, the truth."""
        request = attempt.job
        request.runs += 1
        self.note(
            request,
            f"attempt {attempt.number} of try {attempt.tried.number} runs at {attempt.worker_host.name}",
        )
        if request.runs > 1 and request.load.cls.effect is Effect.NOT_IDEMPOTENT:
            self.breaks(
                2,
                f"request {request.number} of {request.load.cls.name} has run {request.runs} times",
                request,
            )

    def ended(self, attempt: SimulatedAttempt, ending: Ending) -> None:
        """Note how an attempt ended, as its dispatcher knows."""
        self.note(attempt.job, f"attempt {attempt.number} at {attempt.worker_host.name}: {ending.value}")
        sent = self.find(attempt)
        if sent is not None and sent.out:
            sent.out, sent.proven = False, ending in NEVER_RAN

    def given_up(self, attempt: SimulatedAttempt) -> None:
        """Note that a dispatcher no longer waits for an attempt."""
        self.note(attempt.job, f"attempt {attempt.number} at {attempt.worker_host.name}: given up")
        sent = self.find(attempt)
        if sent is not None and sent.out:
            sent.out, sent.proven = False, not attempt.written

    def find(self, attempt: SimulatedAttempt) -> Sent | None:
        """Find what is held of an attempt."""
        watched = self.watched.get(attempt.tried.request_id)
        if watched is None:
            return None
        return next((s for s in watched.sent if s.number == attempt.number), None)

    def answered(self, tried: Try, answer: Answer) -> None:
        """Check a final answer."""
        request, now = tried.request, self.loop.now
        kind = type(answer).__name__.lower()
        advice = f", come back in {answer.retry_after:.0f} ms" if isinstance(answer, Rejected) else ""
        self.note(request, f"try {tried.number} {kind}{advice}")
        watched = self.watched.pop(tried.request_id, None)
        if watched is None:
            if not tried.over:
                self.breaks(1, f"second answer to {tried.request_id}", request)
            return
        self.answered_count += 1
        if (late := now - tried.deadline) > self.rules.slack:
            self.breaks(1, f"{tried.request_id} answered {late:.0f} ms past its deadline", request)
        if isinstance(answer, Rejected) and request.load.cls.effect is not Effect.IDEMPOTENT:
            unsure = [s.worker for s in watched.sent if s.out or not s.proven]
            if unsure and not (
                request.load.cls.effect is Effect.IDEMPOTENCY_KEY
                and request.load.cls.scope is DeduplicationScope.ALL
            ):
                self.breaks(
                    2,
                    f"{tried.request_id} of {request.load.cls.name} refused, but it may have run at "
                    f"{', '.join(unsure)}",
                    request,
                )
        if isinstance(answer, Served) and tried.served_by is None:
            self.breaks(1, f"{tried.request_id} served with what no worker made", request)

    def left(self, tried: Try) -> None:
        """Note that a client has left: nothing is owed."""
        self.left_count += 1
        self.note(tried.request, f"try {tried.number}: the client has left")
        self.watched.pop(tried.request_id, None)

    def dropped(self, tried: Try) -> None:
        """Note that a dispatcher died with a try in it: the rules bind the living."""
        self.dropped_count += 1
        self.note(tried.request, f"try {tried.number}: the dispatcher is gone")
        self.watched.pop(tried.request_id, None)

    def close(self) -> None:
        """Check at the scenario's end that nothing is owed."""
        for request_id, watched in self.watched.items():
            if self.loop.now > watched.deadline + self.rules.slack:
                self.breaks(1, f"{request_id} was never answered", watched.request)
