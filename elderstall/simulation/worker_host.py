"""Simulated worker hosts: they run the worker model, receive jobs and call dispatchers back."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from elderstall.interface import Ending, WorkerState
from elderstall.messages import Outcome
from elderstall.simulation.loop import Call
from elderstall.simulation.scenario import Kind, Scenario, Worker
from elderstall.simulation.worker import CardWorker, ColdLoadLimit, Task, WorkerEvent, WorkerEventKind

if TYPE_CHECKING:
    from elderstall.simulation.attempt import (
        AttemptTransport,
        Link,
        SimulatedAttempt,
        UpstreamDispatcherProcess,
    )
    from elderstall.simulation.draws import Draws
    from elderstall.simulation.loop import VirtualTime

MAX_CALL_BACK_ATTEMPTS = 10  # including the first, as in the workers' protocol
CALL_BACK_INTERVAL_MS = 300.0  # from a failed attempt of a call-back to the next; network delay is added
PROCESS_DEATH_NOTICE_MS = 50.0  # from a process's death until its host reports the lost tasks
# The ending that a dispatcher is notified of. LOST is handled before the look-up; nobody is notified of tasks
# that were dropped or stopped.
ENDINGS = {
    WorkerEventKind.DONE: Ending.SERVED,
    WorkerEventKind.FAILED: Ending.ERROR,
    WorkerEventKind.RETURNED: Ending.FULL,
    WorkerEventKind.LOST: Ending.BROKEN,
}


class RunAudit(Protocol):
    """The auditor's methods that worker hosts call."""

    def started(self, attempt: SimulatedAttempt) -> None:
        """Record that an attempt has started to run."""

    def is_informed(self, process: UpstreamDispatcherProcess, worker_host: WorkerHost) -> bool:
        """Return whether a dispatcher had been notified of the worker's latest start."""

    def cold_worker_overloaded(self, worker_host: WorkerHost) -> None:
        """Handle the crash of a cold worker that was sent too much work.

        The auditor records a violation if most of the work came from dispatchers notified of its start.
        """


class CoreTimeTally(Protocol):
    """The tally's methods that worker hosts call."""

    def core_time(self, task: Task) -> None:
        """Count the core time of a finished task."""


class ListNotices(Protocol):
    """The endpoint list's methods that worker hosts call."""

    def changed(self, worker_host: WorkerHost, notice: float) -> None:
        """Update a worker host's entry after a delay of ``notice`` ms."""


class WorkerHostContext(Protocol):
    """The parts of the simulation that a worker host uses."""

    scenario: Scenario
    loop: VirtualTime
    draws: Draws

    @property
    def audit(self) -> RunAudit:
        """The auditor."""

    @property
    def tally(self) -> CoreTimeTally:
        """The counts."""

    @property
    def listing(self) -> ListNotices:
        """The list."""

    def reaches(self, upstream: AttemptTransport, worker_host: WorkerHost) -> bool:
        """Return whether messages between them are delivered at present."""


class WorkerHost:
    """One simulated worker host: its model, connections, faults and load reports."""

    def __init__(self, world: WorkerHostContext, spec: Worker, kind: Kind, speed: float) -> None:
        self.world = world
        self.spec = spec
        self.kind = kind
        rules = world.scenario.rules
        reports = world.scenario.reports
        self.model = CardWorker(
            kind,
            speed,
            world.loop.now,
            ColdLoadLimit(rules.push_multiple, rules.push_window),
            reports.checkpoint,
            reports.progress,
        )
        self.timer: Call | None = None
        self.links: set[Link] = set()
        self.silent_faults = 0  # active faults in which it sends and receives nothing
        self.pause_faults = 0
        self.slowdown_factors: list[float] = []
        self.failing: list[tuple[float, float]] = []  # probability, fraction of the work done at the failure
        self.resetting: list[float] = []  # probabilities of a reset
        self.paused_handshakes: list[Callable[[], None]] = []  # run when the process resumes
        draws = world.draws
        self.noise = {
            c.cls.name: draws.lognormal_factors(c.noise, "noise", spec.name, c.cls.name)
            for c in world.scenario.classes
        }
        self.uniform_draws = draws.uniform("luck", spec.name)
        self.delay_factors = draws.lognormal_factors(world.scenario.network.jitter, "hops", spec.name)
        self.report_noise = draws.lognormal_factors(reports.noise, "reports", spec.name)
        self.snapshots: deque[tuple[float, tuple[float, ...]]] = deque()
        self.finished_since_snapshot = 0
        self.last_busy = 0.0
        if reports.fields:
            world.loop.after(next(self.uniform_draws) * reports.period, self.snapshot)

    @property
    def name(self) -> str:
        """Return its name in the endpoint list."""
        return self.spec.name

    def delay(self) -> float:
        """Return a random one-way network delay, ms."""
        return self.world.scenario.network.delay * next(self.delay_factors)

    # ---- events of the model ----

    def process_events(self, events: list[WorkerEvent]) -> None:
        """Handle the model's events, and set the timer to the model's next event."""
        for event in events:
            self.handle_event(event)
        due = self.model.due()
        if self.timer is not None:
            if self.timer.when == due and self.timer.active():
                return
            self.timer.stop()
            self.timer = None
        if due < float("inf"):
            self.timer = self.world.loop.at(due, self.wake)

    def wake(self) -> None:
        """Advance the model when its next event is due."""
        self.timer = None
        self.process_events(self.model.advance(self.world.loop.now))

    def handle_event(self, event: WorkerEvent) -> None:
        """Handle one event of the model: reply, call back or count it."""
        attempt: SimulatedAttempt = event.task.owner  # type: ignore[assignment]
        world = self.world
        kind = event.kind
        if kind is WorkerEventKind.TAKEN:
            self.reply(attempt, None)
        elif kind is WorkerEventKind.FULL:
            self.reply(attempt, Outcome(Ending.FULL, report=self.report()))
        elif kind is WorkerEventKind.STARTED:
            world.audit.started(attempt)
            if world.scenario.reports.starts_told:
                self.call_back(attempt, lambda a: a.upstream.progress_reported(a, 0.0, started=True))
        elif kind is WorkerEventKind.PROGRESS:
            self.call_back(attempt, lambda a, share=event.share: a.upstream.progress_reported(a, share))  # type: ignore[misc]
        else:
            world.tally.core_time(event.task)
            if event.task.began is not None and kind is not WorkerEventKind.DONE:
                attempt.job.saved = max(attempt.job.saved, event.task.saved)
            if kind is WorkerEventKind.LOST:
                self.lost(attempt)
            elif (ending := ENDINGS.get(kind)) is not None:
                self.finished_since_snapshot += 1
                outcome = Outcome(ending, b"" if kind is not WorkerEventKind.DONE else b"done", self.report())
                self.call_back(attempt, lambda a: a.upstream.called_back(a, outcome))

    def lost(self, attempt: SimulatedAttempt) -> None:
        """Report a task lost with its process; a silent worker host reports nothing."""
        if not self.silent_faults:
            outcome = Outcome(Ending.BROKEN)
            self.world.loop.after(
                PROCESS_DEATH_NOTICE_MS, self.call_back, attempt, lambda a: a.upstream.called_back(a, outcome)
            )

    def reply(self, attempt: SimulatedAttempt, outcome: Outcome | None) -> None:
        """Answer on the connection; ``None`` means that the job was accepted."""
        if self.world.reaches(attempt.upstream, self):
            self.world.loop.after(self.delay(), attempt.answered, outcome)

    def call_back(
        self,
        attempt: SimulatedAttempt,
        deliver: Callable[[SimulatedAttempt], None],
        attempts_left: int = MAX_CALL_BACK_ATTEMPTS,
    ) -> None:
        """Call the dispatcher, with up to MAX_CALL_BACK_ATTEMPTS attempts."""
        self.world.loop.after(self.delay(), self.called, attempt, deliver, attempts_left)

    def called(
        self, attempt: SimulatedAttempt, deliver: Callable[[SimulatedAttempt], None], attempts_left: int
    ) -> None:
        """Deliver a call-back, or schedule the next attempt.

        It is delivered if any process runs at the dispatcher host; a call-back to a process that has ended
        then has no effect.
        """
        if (
            self.world.reaches(attempt.upstream, self)
            and attempt.upstream.process.dispatcher_host.process is not None
        ):
            deliver(attempt)
        elif attempts_left > 1:
            self.world.loop.after(CALL_BACK_INTERVAL_MS, self.call_back, attempt, deliver, attempts_left - 1)

    # ---- messages from dispatchers ----

    def connect(self, attempt: SimulatedAttempt) -> None:
        """Handle a new connection: accept it, refuse it or leave it unanswered."""
        if not self.world.reaches(attempt.upstream, self):
            return
        if not self.model.up:
            self.world.loop.after(self.delay(), attempt.refused)
            return
        if len(self.links) >= self.kind.connections:
            return  # the accept queue is full: the caller waits until its timeout
        if self.model.paused:
            self.paused_handshakes.append(lambda: self.connect(attempt))
            return
        link = attempt.upstream.new_link(self)
        self.links.add(link)
        self.model.connections = len(self.links)
        self.process_events(self.model.charge(self.world.loop.now, self.kind.connection_work))
        # The network delay before this call was the first half of a round trip.
        round_trips = max(0.0, self.world.scenario.network.handshake_trips - 0.5)
        self.world.loop.after(self.model.backlog() + 2 * round_trips * self.delay(), attempt.connected, link)

    def receive(self, attempt: SimulatedAttempt, link: Link) -> None:
        """Handle a job whose last byte has arrived."""
        world = self.world
        if not world.reaches(attempt.upstream, self):
            return
        if not link.open or link.unreachable or not self.model.up:  # no process reads it
            world.loop.after(self.delay(), attempt.link_lost)
            return
        probability = 1.0  # that no active fault resets the connection
        for reset_probability in self.resetting:
            probability *= 1 - reset_probability
        if probability < 1.0 and next(self.uniform_draws) > probability:
            link.close()
            world.loop.after(self.delay(), attempt.link_lost)
            if next(self.uniform_draws) < 0.5:
                return  # the worker had not read the job; otherwise it runs the job, and its reports are sent
        job = attempt.job
        probability = self.kind.errors  # that the job fails
        failure_fraction = 0.5
        for fault_probability, fault_fraction in self.failing:
            probability, failure_fraction = (
                max(probability, fault_probability),
                fault_fraction if fault_probability > probability else failure_fraction,
            )
        fails_at = failure_fraction if probability > 0 and next(self.uniform_draws) < probability else None
        work = job.work * next(self.noise[job.load.cls.name])
        task = Task(
            attempt,
            work,
            job.slots,
            attempt.ends,
            job.safe,
            fails_at,
            min(0.99, job.saved),  # a repeat always has some work left
            world.audit.is_informed(attempt.upstream.process, self),
            attempt,
        )
        attempt.task = task
        self.process_events(self.model.offer(world.loop.now, task))
        if self.model.overloaded:
            self.crash_on_overload()

    def cancel(self, attempt: SimulatedAttempt) -> None:
        """Handle the cancellation of an attempt."""
        if self.model.up:
            self.process_events(self.model.cancel(self.world.loop.now, attempt))

    # ---- reports ----

    def snapshot(self) -> None:
        """Record a load report, to be sent once its delay has passed.

        Cancelled tasks that have not reached the head of ``running`` are counted there but not in
        ``held``, so ``queue`` can be too low, or negative.
        """
        world = self.world
        reports = self.world.scenario.reports
        ledger = self.model.ledger
        self.process_events(self.model.advance(world.loop.now))
        busy = ledger.busy + ledger.overhead
        util = (busy - self.last_busy) / (self.kind.cores * reports.period)
        values = {
            "qps": self.finished_since_snapshot * 1000 / reports.period,
            "util": util,
            "x0": float(self.model.free_slots),
            "inflight": float(self.model.held),
            "queue": float(self.model.held - len(self.model.running)),
        }
        self.finished_since_snapshot = 0
        self.last_busy = busy
        self.snapshots.append(
            (
                world.loop.now + reports.delay,
                tuple(values.get(name, 0.0) * next(self.report_noise) for name in reports.fields),
            )
        )
        if len(self.snapshots) > 2 + reports.delay / reports.period:
            self.snapshots.popleft()
        world.loop.after(reports.period, self.snapshot)

    def report(self) -> tuple[float, ...]:
        """Return the newest load report whose delay has passed; empty if there is none."""
        now = self.world.loop.now
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now:
            self.snapshots.popleft()
        return self.snapshots[0][1] if self.snapshots and self.snapshots[0][0] <= now else ()

    # ---- faults ----

    def state(self) -> WorkerState:
        """Return the present state, which the endpoint list shows after a delay."""
        if not self.model.up:
            return WorkerState.GONE
        return WorkerState.DRAINING if self.model.draining else WorkerState.UP

    def drop_links(self) -> None:
        """Reset every connection; a silent worker host leaves them open and unreachable."""
        for link in sorted(self.links, key=lambda link: link.number):
            if self.silent_faults:
                link.unreachable = True
            else:
                link.reset()
        self.links.clear()
        self.model.connections = 0

    def die(self) -> None:
        """Crash the process."""
        if self.model.up:
            self.process_events(self.model.die(self.world.loop.now))
            self.drop_links()
            self.paused_handshakes.clear()

    def crash_on_overload(self) -> None:
        """Handle a crash by overload while cold: notify the auditor, reset connections, update the list.

        The model is down already, and stays down. This is not called for a crash in the model's
        ``resume``, by jobs received in a pause.
        """
        self.model.overloaded = False
        self.world.audit.cold_worker_overloaded(self)
        self.drop_links()
        self.world.listing.changed(self, self.world.scenario.listing.notice)

    def start(self, cold_share: float | None = None) -> None:
        """Start a new, cold process."""
        self.model.start(self.world.loop.now, cold_share)
        self.model.slowdown = 1.0
        for factor in self.slowdown_factors:
            self.model.slowdown *= factor
        self.world.listing.changed(self, self.world.scenario.listing.add)
        self.process_events([])

    def change_slowdown(self, old: float | None, new: float | None) -> None:
        """Replace, add or remove one slowdown factor."""
        if old is not None:
            self.slowdown_factors.remove(old)
        if new is not None:
            self.slowdown_factors.append(new)
        factor = 1.0
        for slowdown in self.slowdown_factors:
            factor *= slowdown
        self.process_events(self.model.set_slowdown(self.world.loop.now, factor))

    def pause(self, paused: bool) -> None:
        """Pause or resume the process; overlapping pauses end with the last of them."""
        self.pause_faults += 1 if paused else -1
        if paused and self.pause_faults == 1:
            self.process_events(self.model.pause(self.world.loop.now))
        elif not paused and self.pause_faults == 0:
            self.process_events(self.model.resume(self.world.loop.now))
            paused_handshakes = self.paused_handshakes
            self.paused_handshakes = []
            for handshake in paused_handshakes:
                handshake()

    def drain(self) -> None:
        """Drain the process, and show that in the endpoint list."""
        if self.model.up and not self.model.draining:
            self.process_events(self.model.drain(self.world.loop.now))
            self.world.listing.changed(self, 0.0)
