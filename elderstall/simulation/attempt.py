"""A simulated attempt, the connection that carries it, and the interfaces that both use.

They follow the rules of ``net/upstream/``: an attempt is abandoned when its worker does not confirm the job
in time, and a job that was not written has not run.
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
    """The auditor's methods that the transport calls."""

    def check_attempt(self, attempt: SimulatedAttempt) -> None:
        """Check that the rules permit this attempt."""

    def record_abandoned(self, attempt: SimulatedAttempt) -> None:
        """Record that a dispatcher has cancelled an attempt; the worker may not have confirmed it yet."""


class UpstreamTally(Protocol):
    """The counts of attempts, connections and polls sent to workers."""

    attempts: int
    connections: int
    probes: int


class UpstreamContext(Protocol):
    """The parts of the simulation that the transport uses."""

    scenario: Scenario
    loop: VirtualTime

    @property
    def worker_hosts(self) -> Mapping[str, UpstreamWorkerHost]:
        """The worker hosts by name."""

    @property
    def audit(self) -> UpstreamAudit:
        """The auditor."""

    @property
    def tally(self) -> UpstreamTally:
        """The counts."""

    def reaches(self, upstream: AttemptTransport, worker_host: UpstreamWorkerHost) -> bool:
        """Return whether messages between them are delivered at present."""


class LinkContext(Protocol):
    """The parts of the simulation that a connection uses."""

    loop: VirtualTime


class UpstreamWorkerHost(Protocol):
    """A worker host, as the transport, its connections and attempts use it."""

    spec: Worker
    kind: Kind
    model: CardWorker
    links: set[Link]
    silent_faults: int

    @property
    def world(self) -> LinkContext:
        """The simulation that this belongs to."""

    @property
    def name(self) -> str:
        """Return its name in the endpoint list."""

    def delay(self) -> float:
        """Return a random one-way network delay, ms."""

    def process_events(self, events: list[WorkerEvent]) -> None:
        """Handle the events that the worker model reports."""

    def connect(self, attempt: SimulatedAttempt) -> None:
        """Handle a new connection: accept it, refuse it or leave it unanswered."""

    def receive(self, attempt: SimulatedAttempt, link: Link) -> None:
        """Handle a job whose last byte has arrived."""

    def cancel(self, attempt: SimulatedAttempt) -> None:
        """Handle the cancellation of an attempt."""

    def report(self) -> tuple[float, ...]:
        """Return the newest load report whose delay has passed; empty if there is none."""


class UpstreamDispatcherHost(Protocol):
    """The dispatcher host, as the transport uses it."""

    name: str
    rank: int

    @property
    def process(self) -> UpstreamDispatcherProcess | None:
        """Return the process that runs there, if any."""


class UpstreamDispatcherProcess(Protocol):
    """The dispatcher process, as the transport uses it."""

    alive: bool
    engine: Engine
    deadlines: Deadlines

    @property
    def world(self) -> UpstreamContext:
        """The simulation that this belongs to."""

    @property
    def dispatcher_host(self) -> UpstreamDispatcherHost:
        """Return the host that it runs on."""

    def audit_ended(self, attempt: SimulatedAttempt, ending: Ending) -> None:
        """Report the ending of an attempt, as this process knows it, to the auditor."""


class AttemptTransport(Protocol):
    """The transport of attempts, as connections and attempts use it."""

    process: UpstreamDispatcherProcess
    loop: VirtualTime
    network: Network
    connection_count: int
    opening_count: int

    def new_link(self, worker_host: UpstreamWorkerHost) -> Link:
        """Return a new connection to a worker host."""

    def take_idle_link(self, worker_host: UpstreamWorkerHost) -> Link | None:
        """Remove and return the newest idle connection, if there is one."""

    def keep_idle(self, link: Link) -> None:
        """Return a connection to its pool until its idle timeout ends."""

    def remove_from_pool(self, link: Link) -> None:
        """Remove a closed connection from its pool."""

    def drop_idle_to(self, worker_host: UpstreamWorkerHost) -> None:
        """Close the idle connections to a worker host."""

    def called_back(self, attempt: SimulatedAttempt, outcome: Outcome) -> None:
        """Handle the ending that a worker reports."""

    def progress_reported(self, attempt: SimulatedAttempt, share: float, started: bool = False) -> None:
        """Handle a start or progress that a worker reports."""


class Link:
    """One connection between a dispatcher and a worker host."""

    def __init__(self, upstream: AttemptTransport, worker_host: UpstreamWorkerHost, number: int) -> None:
        self.upstream = upstream
        self.worker_host = worker_host
        self.number = number
        self.open = True
        self.unreachable = False
        self.idle_since: float | None = None
        self.attempt: SimulatedAttempt | None = None

    def close(self) -> None:
        """Close the connection at both ends at once."""
        if self.open:
            self.open = False
            self.upstream.connection_count -= 1
            self.worker_host.links.discard(self)
            self.worker_host.model.connections = len(self.worker_host.links)
            self.upstream.remove_from_pool(self)

    def reset(self) -> None:
        """Close the connection from the worker's side; its attempt learns of it after the network delay."""
        attempt = self.attempt
        self.close()
        if attempt is not None:
            self.worker_host.world.loop.after(self.worker_host.delay(), attempt.link_lost)


class SimulatedAttempt:
    """One attempt that the engine sent, and its state on the network."""

    def __init__(
        self,
        upstream: AttemptTransport,
        worker_host: UpstreamWorkerHost,
        job_request: JobRequest,
        number: int,
        ends: float,
        on_progress: Callable[[float, str], None],
    ) -> None:
        self.upstream = upstream
        self.worker_host = worker_host
        self.job_request = job_request
        self.number = number
        self.ends = ends  # the deadline on the loop's clock, ms
        self.on_progress = on_progress
        # Fires with the outcome, or None if the worker accepted the job.
        self.done: Deferred[Outcome | None] = Deferred(self.abandon)
        self.link: Link | None = None
        self.written = self.over = False
        self.idle_before_ms = 0.0  # time that its connection was idle before this attempt
        self.written_at = 0.0
        self.timers: list[Call] = []
        self.task: Task | None = None

    @property
    def client_try(self) -> Try:
        """Return the client's try that this attempt belongs to."""
        return self.job_request.original  # type: ignore[return-value]

    @property
    def job(self) -> Request:
        """Return the client's request that this attempt belongs to."""
        return self.client_try.request

    def finish(self, outcome: Outcome | None) -> None:
        """Report the outcome to the engine; later calls do nothing."""
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
        """Start on the newest idle connection, or open a new one.

        At the limit on connections the attempt ends as unreachable. Polls open connections past that limit.
        """
        upstream = self.upstream
        loop = self.upstream.loop
        network = self.upstream.network
        timeout_factor = (
            REPEATABLE_ACCEPT_TIMEOUT_FACTOR if self.job_request.repeatable else ACCEPT_TIMEOUT_FACTOR
        )
        link = upstream.take_idle_link(self.worker_host)
        if link is None:
            if upstream.connection_count + upstream.opening_count >= network.worker_connections:
                self.finish(Outcome(Ending.UNREACHABLE))
                return
            upstream.opening_count += 1
            self.timers.append(loop.after(network.connect_timeout, self.refused))
        # The limit on the worker's confirmation runs from the start, as it does on sockets.
        self.timers.append(loop.after(network.connect_timeout * timeout_factor, self.accept_timed_out))
        if link is not None:
            self.idle_before_ms = loop.now - (link.idle_since or loop.now)
            self.write(link)
        else:
            loop.after(self.worker_host.delay(), self.worker_host.connect, self)

    def refused(self) -> None:
        """Handle a connection that was refused or timed out."""
        if not self.over and self.link is None:
            self.upstream.opening_count -= 1
            self.finish(Outcome(Ending.UNREACHABLE, worker_unreachable=True))

    def connected(self, link: Link) -> None:
        """Handle the opened connection: write the job on it, or close it if the attempt is over."""
        if self.over:
            link.close()
            return
        self.upstream.opening_count -= 1
        self.timers[0].stop()
        if not link.open:
            self.finish(Outcome(Ending.UNREACHABLE))
        else:
            self.write(link)

    def write(self, link: Link) -> None:
        """Write the job; the worker may run it once the last byte is written."""
        self.link = link
        self.written = True
        self.written_at = self.upstream.loop.now
        link.attempt = self
        self.upstream.process.engine.count_written()
        self.upstream.process.world.tally.attempts += 1
        self.upstream.loop.after(self.worker_host.delay(), self.worker_host.receive, self, link)

    # ---- endings ----

    def answered(self, outcome: Outcome | None) -> None:
        """Handle the worker's answer on the connection."""
        link = self.link
        self.link = None
        if link is not None and link.attempt is self:
            link.attempt = None
            if self.over:
                link.close()
            else:
                self.upstream.keep_idle(link)
        self.finish(outcome)

    def link_lost(self) -> None:
        """Handle the loss of the connection."""
        link = self.link
        self.link = None
        if link is not None:
            link.attempt = None
            link.close()
        self.finish(Outcome(self.ending()))

    def ending(self) -> Ending:
        """Return the ending for a lost connection: unreachable, stale or broken."""
        if not self.written:
            return Ending.UNREACHABLE
        broke_soon = self.upstream.loop.now - self.written_at <= STALE_CONNECTION_WINDOW_MS
        return Ending.STALE_CONNECTION if broke_soon and self.idle_before_ms > 0 else Ending.BROKEN

    def accept_timed_out(self) -> None:
        """Abandon an attempt not confirmed in time; the worker's idle connections may be lost too."""
        if not self.over:
            self.upstream.drop_idle_to(self.worker_host)
            ending = Ending.BROKEN if self.written else Ending.UNREACHABLE
            self.close_link()
            self.finish(Outcome(ending))

    def abandon(self, _: object) -> None:
        """Close the connection of an attempt that the engine has cancelled."""
        if not self.over:
            self.over = True
            for timer in self.timers:
                timer.stop()
            self.upstream.process.world.audit.record_abandoned(self)
            self.close_link()

    def close_link(self) -> None:
        """Close the attempt's connection, which cancels a written job at a reachable worker host.

        Without a connection, an attempt that was not written is only removed from the count of connections
        being opened; one whose connection is back in the pool, or lost, is left as it is.
        """
        if self.link is None:
            if not self.written:
                self.upstream.opening_count -= 1
            return
        link = self.link
        self.link = None
        link.attempt = None
        link.close()
        worker_host = self.worker_host
        if self.upstream.process.world.reaches(self.upstream, worker_host):
            self.upstream.loop.after(worker_host.delay(), worker_host.cancel, self)
