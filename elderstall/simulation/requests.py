"""A client's request and its tries: what dispatchers, workers and the auditor know of them."""

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


class ServingProcess(Protocol):
    """A dispatcher's process, as clients see it."""

    alive: bool
    leaving: bool
    answered: deque[str]
    engine: Engine

    @property
    def dispatcher_host(self) -> ServingHost:
        """Where it runs."""

    def take(self, tried: Try, budget: float) -> bool:
        """Take a client's try on; says no where there is no room."""


class ServingHost(Protocol):
    """A dispatcher's host, as clients see it."""

    name: str
    rank: int
    weight: float
    lives: int
    since: float

    @property
    def process(self) -> ServingProcess | None:
        """Give the process that serves there, if any."""


class ServedAttempt(Protocol):
    """The attempt that served a request."""

    task: Task | None


class TryAudit(Protocol):
    """The auditor, as a try reports to it."""

    def answered(self, tried: Try, answer: Answer) -> None:
        """Check a final answer."""

    def dropped(self, tried: Try) -> None:
        """Note that a dispatcher died with a try in it."""


class TryOwner(Protocol):
    """The client whose try it is."""

    def heard(self, tried: Try, answer: Answer) -> None:
        """Hear the answer."""

    def unreachable(self, tried: Try, *, taken: bool) -> None:
        """Find nobody, or lose the dispatcher."""


class TrySurroundings(Protocol):
    """What a try needs of the scenario that it is part of."""

    loop: VirtualTime

    @property
    def audit(self) -> TryAudit:
        """The auditor."""

    @property
    def clients(self) -> TryOwner:
        """The clients."""


class Request:
    """What a client wants, whatever the number of its tries."""

    __slots__ = (
        "arrived_at",
        "current",
        "deadline",
        "dispatcher_host",
        "ended",
        "heeds",
        "hint",
        "history",
        "in_share",
        "leaves",
        "load",
        "number",
        "priority_weight",
        "retries",
        "runs",
        "saved",
        "slots",
        "tenant",
        "tries",
        "work",
    )

    def __init__(self, number: int, load: ClassLoad, arrived_at: float) -> None:
        self.number, self.load, self.arrived_at = number, load, arrived_at
        self.deadline = arrived_at + load.cls.deadline
        self.tenant: str | None = None
        self.work = self.priority_weight = 0.0
        self.hint: float | None = None
        self.slots = 1
        self.in_share = self.heeds = True
        self.dispatcher_host: ServingHost | None = None
        self.tries = self.runs = 0
        self.retries = 0
        self.leaves = math.inf
        self.saved = 0.0  # share of its work that was saved by workers that were lost
        self.ended: str | None = None  # how, once it has
        self.current: Try | None = None
        self.history: list[tuple[float, str]] = []

    @property
    def safe(self) -> bool:
        """Whether running it twice does no harm."""
        return self.load.cls.effect is Effect.IDEMPOTENT

    @property
    def latency_objective_at(self) -> float:
        """The latency objective as a time: a reading of the scenario's clock."""
        cls = self.load.cls
        return self.arrived_at + min(cls.latency_objective + cls.stretch * self.work, cls.deadline)


class Try:
    """One try of a request at a dispatcher: the core's client."""

    __slots__ = (
        "attempts",
        "deadline",
        "job",
        "joined",
        "number",
        "over",
        "process",
        "request",
        "request_id",
        "sent",
        "served_by",
        "world",
    )

    def __init__(self, world: TrySurroundings, request: Request, number: int) -> None:
        self.world, self.request, self.number = world, request, number
        self.request_id = f"{request.number}.{number}"
        self.process: ServingProcess | None = None
        self.sent, self.deadline = world.loop.now, request.deadline
        self.job = 0
        self.attempts = 0
        self.over = self.joined = False
        self.served_by: ServedAttempt | None = None

    def answered(self, answer: Answer) -> None:
        """Take the one final answer; see ``messages.Client``."""
        self.world.audit.answered(self, answer)
        if self.process is not None:
            self.process.answered.append(self.request_id)
        if not self.over:
            self.over = True
            self.world.clients.heard(self, answer)

    def progressed(self, share: float, text: str) -> None:
        """Take news of a running attempt; see ``messages.Client``."""

    def is_connected(self) -> bool:
        """Say whether it waits; leaving is noticed at once here. See ``messages.Client``."""
        return not self.over

    def lost(self) -> None:
        """See the connection reset: the dispatcher is gone."""
        if not self.over:
            self.over = True
            self.world.audit.dropped(self)
            self.world.clients.unreachable(self, taken=True)
