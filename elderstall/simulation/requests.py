"""A client's request and its tries, with the interfaces of dispatchers and auditor that they use."""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

from elderstall.engine import Engine
from elderstall.interface import Effect
from elderstall.messages import Answer
from elderstall.simulation.loop import VirtualTime
from elderstall.simulation.scenario import ClassLoad
from elderstall.simulation.worker import Task


class ClientDispatcherProcess(Protocol):
    """A dispatcher process, as clients use it."""

    alive: bool
    leaving: bool
    answered: deque[str]
    engine: Engine

    @property
    def dispatcher_host(self) -> ClientDispatcherHost:
        """Return the host that it runs on."""

    def accept(self, client_try: Try, budget: float) -> bool:
        """Accept a client's try; return False if there are too many jobs."""


class ClientDispatcherHost(Protocol):
    """A dispatcher host, as clients use it."""

    name: str
    rank: int
    weight: float
    process_count: int
    process_started_at: float

    @property
    def process(self) -> ClientDispatcherProcess | None:
        """Return the process that runs there, if any."""


class ServedAttempt(Protocol):
    """The attempt that served a request, as the tally uses it."""

    task: Task | None


class TryAudit(Protocol):
    """The auditor's methods that a try calls."""

    def check_answer(self, client_try: Try, answer: Answer) -> None:
        """Check a final answer against the rules."""

    def record_dispatcher_ended(self, client_try: Try) -> None:
        """Record that a dispatcher ended before it answered a try."""


class TryClients(Protocol):
    """The clients' methods that a try calls."""

    def handle_answer(self, client_try: Try, answer: Answer) -> None:
        """Handle the answer: close the request or schedule a retry."""

    def unreachable(self, client_try: Try, *, accepted: bool) -> None:
        """Handle a dispatcher that is absent, or that ended after it had accepted the try (``accepted``)."""


class TryContext(Protocol):
    """The parts of the simulation that a try uses."""

    loop: VirtualTime

    @property
    def audit(self) -> TryAudit:
        """The auditor."""

    @property
    def clients(self) -> TryClients:
        """The clients."""


class Request:
    """One request of a client, over all its tries."""

    __slots__ = (
        "arrived_at",
        "current",
        "deadline",
        "dispatcher_host",
        "ended",
        "hint",
        "history",
        "honours_advice",
        "leaves_at",
        "load",
        "number",
        "priority_weight",
        "retries",
        "runs",
        "saved",
        "slots",
        "tenant",
        "tries",
        "within_quota",
        "work",
    )

    def __init__(self, number: int, load: ClassLoad, arrived_at: float) -> None:
        self.number = number
        self.load = load
        self.arrived_at = arrived_at
        self.deadline = arrived_at + load.cls.deadline
        self.tenant: str | None = None
        self.work = self.priority_weight = 0.0
        self.hint: float | None = None
        self.slots = 1
        self.within_quota = self.honours_advice = True
        self.dispatcher_host: ClientDispatcherHost | None = None
        self.tries = self.runs = 0
        self.retries = 0
        self.leaves_at = math.inf
        self.saved = 0.0  # fraction of its work that lost attempts have saved
        self.ended: str | None = None  # its ending, None while open
        self.current: Try | None = None
        self.history: list[tuple[float, str]] = []

    @property
    def safe(self) -> bool:
        """Return whether the request is idempotent, so that it may be repeated."""
        return self.load.cls.effect is Effect.IDEMPOTENT

    @property
    def latency_objective_at(self) -> float:
        """Return the time on the simulation's clock at which the latency objective ends."""
        cls = self.load.cls
        return self.arrived_at + min(cls.latency_objective + cls.stretch * self.work, cls.deadline)


class Try:
    """One try of a request at a dispatcher; implements ``messages.Client`` for the engine."""

    __slots__ = (
        "attempts",
        "deadline",
        "engine_job_id",
        "has_drawn_reconnect",
        "number",
        "over",
        "process",
        "request",
        "request_id",
        "sent_at",
        "served_by",
        "world",
    )

    def __init__(self, world: TryContext, request: Request, number: int) -> None:
        self.world = world
        self.request = request
        self.number = number
        self.request_id = f"{request.number}.{number}"
        self.process: ClientDispatcherProcess | None = None
        self.sent_at = world.loop.now
        self.deadline = request.deadline  # on the loop's clock
        self.engine_job_id = 0
        self.attempts = 0
        self.over = self.has_drawn_reconnect = False
        self.served_by: ServedAttempt | None = None

    def answered(self, answer: Answer) -> None:
        """Handle the final answer; see ``messages.Client``."""
        self.world.audit.check_answer(self, answer)
        if self.process is not None:
            self.process.answered.append(self.request_id)
        if not self.over:
            self.over = True
            self.world.clients.handle_answer(self, answer)

    def progressed(self, share: float, text: str) -> None:
        """Ignore the progress of an attempt; see ``messages.Client``."""

    def is_connected(self) -> bool:
        """Return whether the client still waits; see ``messages.Client``."""
        return not self.over

    def lost(self) -> None:
        """Handle the connection's reset when the dispatcher has ended."""
        if not self.over:
            self.over = True
            self.world.audit.record_dispatcher_ended(self)
            self.world.clients.unreachable(self, accepted=True)
