"""One attempt in memory and the connection that it goes over, and what both need of their surroundings.

They follow the rules of ``net/upstream/``: a job is given up when its worker does not say it has it, and
what was not written has not run.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from twisted.internet.defer import Deferred

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine
from elderstall.interface import Ending
from elderstall.messages import JobRequest, Outcome
from elderstall.net.upstream.job_exchange import ACCEPT_TIMEOUT_FACTOR, REPEATABLE_ACCEPT_TIMEOUT_FACTOR
from elderstall.net.upstream.keep_alive import STALE_CONNECTION_WINDOW_MS
from elderstall.simulation.loop import Call, VirtualTime
from elderstall.simulation.requests import Request, Try
from elderstall.simulation.scenario import Kind, Network, Scenario, Worker
from elderstall.simulation.worker import CardWorker, Task, WorkerEvent


class UpstreamAudit(Protocol):
    """The auditor, as what carries attempts reports to it."""

    def sent(self, attempt: SimulatedAttempt) -> None:
        """Check a send."""

    def given_up(self, attempt: SimulatedAttempt) -> None:
        """Note that a dispatcher no longer waits for an attempt."""


class UpstreamTally(Protocol):
    """The counts of what goes to workers."""

    attempts: int
    connections: int
    probes: int


class UpstreamSurroundings(Protocol):
    """What carries attempts needs this of the scenario that it is part of."""

    scenario: Scenario
    loop: VirtualTime

    @property
    def worker_hosts(self) -> Mapping[str, TargetHost]:
        """The worker hosts by name."""

    @property
    def audit(self) -> UpstreamAudit:
        """The auditor."""

    @property
    def tally(self) -> UpstreamTally:
        """The counts."""

    def reaches(self, upstream: AttemptCarrier, worker_host: TargetHost) -> bool:
        """Say whether anything said between them arrives now."""


class TargetSurroundings(Protocol):
    """What connections need of the scenario that a worker host is part of."""

    loop: VirtualTime


class TargetHost(Protocol):
    """A worker host, as connections and attempts see it."""

    spec: Worker
    kind: Kind
    model: CardWorker
    links: set[Link]
    silent: int

    @property
    def world(self) -> TargetSurroundings:
        """The scenario that it is part of."""

    @property
    def name(self) -> str:
        """Its name on the list."""

    def delay(self) -> float:
        """Draw the time of one way to or from it, ms."""

    def poke(self, happenings: list[WorkerEvent]) -> None:
        """Pass on what has happened."""

    def connect(self, attempt: SimulatedAttempt) -> None:
        """Take, refuse or not hear a new connection."""

    def receive(self, attempt: SimulatedAttempt, link: Link) -> None:
        """Hear a job's last byte."""

    def cancel(self, attempt: SimulatedAttempt) -> None:
        """Hear that an attempt is given up."""

    def report(self) -> tuple[float, ...]:
        """Give the newest report that is old enough to be sent."""


class OwnerHost(Protocol):
    """The host of the process whose attempts are carried."""

    name: str
    rank: int

    @property
    def process(self) -> UpstreamOwner | None:
        """Give the process that serves there, if any."""


class UpstreamOwner(Protocol):
    """The dispatcher's process whose attempts are carried."""

    alive: bool
    engine: Engine
    deadlines: Deadlines

    @property
    def world(self) -> UpstreamSurroundings:
        """The scenario that it is part of."""

    @property
    def dispatcher_host(self) -> OwnerHost:
        """Where it runs."""

    def audit_ended(self, attempt: SimulatedAttempt, ending: Ending) -> None:
        """Report to the auditor what this process has learned of an attempt."""


class AttemptCarrier(Protocol):
    """What carries attempts, as its connections and attempts see it."""

    process: UpstreamOwner
    loop: VirtualTime
    network: Network
    count: int
    opening: int

    def link_to(self, worker_host: TargetHost) -> Link:
        """Make a connection."""

    def free_link(self, worker_host: TargetHost) -> Link | None:
        """Take the newest free connection that may be used."""

    def rest(self, link: Link) -> None:
        """Keep a connection that is free for a while."""

    def forget(self, link: Link) -> None:
        """Take a connection that has ended off its pool."""

    def doubt(self, worker_host: TargetHost) -> None:
        """Drop the free connections to a worker host."""

    def called_back(self, attempt: SimulatedAttempt, outcome: Outcome) -> None:
        """Take the end that a worker reports."""

    def noted(self, attempt: SimulatedAttempt, share: float, started: bool = False) -> None:
        """Take a start or progress."""


class Link:
    """One connection between a dispatcher and a worker host."""

    def __init__(self, upstream: AttemptCarrier, worker_host: TargetHost, number: int) -> None:
        self.upstream, self.worker_host, self.number = upstream, worker_host, number
        self.open, self.deaf = True, False
        self.rested: float | None = None
        self.attempt: SimulatedAttempt | None = None

    def close(self) -> None:
        """End it from the dispatcher's side, or for both."""
        if self.open:
            self.open = False
            self.upstream.count -= 1
            self.worker_host.links.discard(self)
            self.worker_host.model.connections = len(self.worker_host.links)
            self.upstream.forget(self)

    def reset(self) -> None:
        """End it from the worker host's side; whoever waits on it hears of that a moment later."""
        attempt = self.attempt
        self.close()
        if attempt is not None:
            self.worker_host.world.loop.after(self.worker_host.delay(), attempt.broke)


class SimulatedAttempt:
    """One attempt on its way: what the core sent, and how it goes."""

    def __init__(
        self,
        upstream: AttemptCarrier,
        worker_host: TargetHost,
        ask: JobRequest,
        number: int,
        ends: float,
        note: Callable[[float, str], None],
    ) -> None:
        self.upstream, self.worker_host, self.ask, self.number, self.ends, self.note = (
            upstream,
            worker_host,
            ask,
            number,
            ends,
            note,
        )
        self.done: Deferred[Outcome | None] = Deferred(self.give_up)
        self.link: Link | None = None
        self.written = self.over = False
        self.unused = 0.0  # ms that its connection was free before
        self.wrote_at = 0.0
        self.timers: list[Call] = []
        self.task: Task | None = None

    @property
    def tried(self) -> Try:
        """The client's try whose attempt this is."""
        return self.ask.original  # type: ignore[return-value]

    @property
    def job(self) -> Request:
        """The request behind it."""
        return self.tried.request

    def finish(self, outcome: Outcome | None) -> None:
        """Report to the core, once."""
        if self.over:
            return
        self.over = True
        for timer in self.timers:
            timer.stop()
        if outcome is not None:
            self.upstream.process.audit_ended(self, outcome.ending)
        self.done.callback(outcome)

    # ---- connecting ----

    def begin(self) -> None:
        """Go over the newest free connection, or a new one."""
        upstream, loop, network = self.upstream, self.upstream.loop, self.upstream.network
        wait = REPEATABLE_ACCEPT_TIMEOUT_FACTOR if self.ask.repeatable else ACCEPT_TIMEOUT_FACTOR
        link = upstream.free_link(self.worker_host)
        if link is None:
            if upstream.count + upstream.opening >= network.worker_connections:
                self.finish(Outcome(Ending.UNREACHABLE))
                return
            upstream.opening += 1
            self.timers.append(loop.after(network.connect_timeout, self.refused))
        # The limit on the worker's word runs from the start, as it does on sockets.
        self.timers.append(loop.after(network.connect_timeout * wait, self.silent))
        if link is not None:
            self.unused = loop.now - (link.rested or loop.now)
            self.write(link)
        else:
            loop.after(self.worker_host.delay(), self.worker_host.connect, self)

    def refused(self) -> None:
        """Note that no connection came up."""
        if not self.over and self.link is None:
            self.upstream.opening -= 1
            self.finish(Outcome(Ending.UNREACHABLE, worker_unreachable=True))

    def up(self, link: Link) -> None:
        """Take the connection that came up, unless nobody waits for it any more."""
        if self.over:
            link.close()
            return
        self.upstream.opening -= 1
        self.timers[0].stop()
        if not link.open:
            self.finish(Outcome(Ending.UNREACHABLE))
        else:
            self.write(link)

    def write(self, link: Link) -> None:
        """Write the job; from its last byte on it may run."""
        self.link, self.written, self.wrote_at = link, True, self.upstream.loop.now
        link.attempt = self
        self.upstream.process.engine.count_written()
        self.upstream.process.world.tally.attempts += 1
        self.upstream.loop.after(self.worker_host.delay(), self.worker_host.receive, self, link)

    # ---- how it ends ----

    def answered(self, outcome: Outcome | None) -> None:
        """Hear the answer on the connection."""
        link, self.link = self.link, None
        if link is not None and link.attempt is self:
            link.attempt = None
            if self.over:
                link.close()
            else:
                self.upstream.rest(link)
        self.finish(outcome)

    def broke(self) -> None:
        """Hear that the connection is gone."""
        link, self.link = self.link, None
        if link is not None:
            link.attempt = None
            link.close()
        self.finish(Outcome(self.ending()))

    def ending(self) -> Ending:
        """Name a break: whether it ran, and whether a kept connection had gone before it."""
        if not self.written:
            return Ending.UNREACHABLE
        quick = self.upstream.loop.now - self.wrote_at <= STALE_CONNECTION_WINDOW_MS
        return Ending.STALE_CONNECTION if quick and self.unused > 0 else Ending.BROKEN

    def silent(self) -> None:
        """Give a worker up that does not say it has the job; free connections there may be as dead."""
        if not self.over:
            self.upstream.doubt(self.worker_host)
            ending = Ending.BROKEN if self.written else Ending.UNREACHABLE
            self.leave()
            self.finish(Outcome(ending))

    def give_up(self, _: object) -> None:
        """Close the connection, as the core has cancelled the attempt."""
        if not self.over:
            self.over = True
            for timer in self.timers:
                timer.stop()
            self.upstream.process.world.audit.given_up(self)
            self.leave()

    def leave(self) -> None:
        """Close what carries the attempt; the worker host hears of that."""
        if self.link is None:
            if not self.written:
                self.upstream.opening -= 1
            return
        link, self.link = self.link, None
        link.attempt = None
        link.close()
        worker_host = self.worker_host
        if self.upstream.process.world.reaches(self.upstream, worker_host):
            self.upstream.loop.after(worker_host.delay(), worker_host.cancel, self)
