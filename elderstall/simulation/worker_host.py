"""Worker hosts in the emulated network: they host the model, hear requests and call dispatchers back."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from elderstall.interface import Ending, WorkerState
from elderstall.messages import Outcome
from elderstall.simulation.loop import Call
from elderstall.simulation.scenario import Kind, Scenario, Worker
from elderstall.simulation.worker import CardWorker, Push, Task, WorkerEvent, WorkerEventKind

if TYPE_CHECKING:
    from elderstall.simulation.attempt import AttemptCarrier, Link, SimulatedAttempt, UpstreamOwner
    from elderstall.simulation.draws import Draws
    from elderstall.simulation.loop import VirtualTime

CALL_TRIES = 10  # of a call-back, as the protocol has it
CALL_AGAIN = 300.0  # ms between them
LOST_NOTICE = 50.0  # ms until the worker host's agent reports a process that died
ENDINGS = {
    WorkerEventKind.DONE: Ending.SERVED,
    WorkerEventKind.FAILED: Ending.ERROR,
    WorkerEventKind.RETURNED: Ending.FULL,
    WorkerEventKind.LOST: Ending.BROKEN,
}


class RunAudit(Protocol):
    """The auditor, as worker hosts report to it."""

    def started(self, attempt: SimulatedAttempt) -> None:
        """Note that an attempt has begun to run."""

    def informed(self, process: UpstreamOwner, worker_host: WorkerHost) -> bool:
        """Say whether a dispatcher knew of a worker's present start."""

    def fell(self, worker_host: WorkerHost) -> None:
        """Note that a cold worker was pushed over."""


class CoreTimeTally(Protocol):
    """The tally, as worker hosts report to it."""

    def core_time(self, task: Task) -> None:
        """Book the core time of a task that is over."""


class ListNotices(Protocol):
    """The list, as worker hosts report to it."""

    def changed(self, m: WorkerHost, notice: float) -> None:
        """Learn of a worker host's state a while later."""


class WorkerSurroundings(Protocol):
    """What a worker host needs of the scenario that it is part of."""

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

    def reaches(self, upstream: AttemptCarrier, worker_host: WorkerHost) -> bool:
        """Say whether anything said between them arrives now."""


class WorkerHost:
    """One worker host."""

    def __init__(self, world: WorkerSurroundings, spec: Worker, kind: Kind, speed: float) -> None:
        self.world, self.spec, self.kind = world, spec, kind
        rules, reports = world.scenario.rules, world.scenario.reports
        self.model = CardWorker(
            kind,
            speed,
            world.loop.now,
            Push(rules.push_multiple, rules.push_window),
            reports.checkpoint,
            reports.progress,
        )
        self.timer: Call | None = None
        self.links: set[Link] = set()
        self.silent = 0  # faults that keep it from being heard
        self.pauses = 0
        self.slows: list[float] = []
        self.failing: list[tuple[float, float]] = []  # chance, share of the work after which
        self.resetting: list[float] = []
        self.frozen: list[Callable[[], None]] = []  # handshakes that wait for the process to go on
        draws = world.draws
        self.noise = {
            c.cls.name: draws.spread(c.noise, "noise", spec.name, c.cls.name) for c in world.scenario.classes
        }
        self.luck = draws.uniform("luck", spec.name)
        self.hop = draws.spread(world.scenario.network.jitter, "hops", spec.name)
        self.report_noise = draws.spread(reports.noise, "reports", spec.name)
        self.snapshots: deque[tuple[float, tuple[float, ...]]] = deque()
        self.finished = 0
        self.busy_seen = 0.0
        if reports.fields:
            world.loop.after(next(self.luck) * reports.period, self.snapshot)

    @property
    def name(self) -> str:
        """Its name on the list."""
        return self.spec.name

    def delay(self) -> float:
        """Draw the time of one way to or from it, ms."""
        return self.world.scenario.network.delay * next(self.hop)

    # ---- the model in time ----

    def poke(self, happenings: list[WorkerEvent]) -> None:
        """Pass on what has happened, and wake when something happens next."""
        for happening in happenings:
            self.happened(happening)
        due = self.model.due()
        if self.timer is not None:
            if self.timer.when == due and self.timer.active():
                return
            self.timer.stop()
            self.timer = None
        if due < float("inf"):
            self.timer = self.world.loop.at(due, self.wake)

    def wake(self) -> None:
        """Take what happens by itself."""
        self.timer = None
        self.poke(self.model.advance(self.world.loop.now))

    def happened(self, h: WorkerEvent) -> None:
        """Pass one happening on to whoever it concerns."""
        attempt: SimulatedAttempt = h.task.owner  # type: ignore[assignment]
        world, what = self.world, h.what
        if what is WorkerEventKind.TAKEN:
            self.reply(attempt, None)
        elif what is WorkerEventKind.FULL:
            self.reply(attempt, Outcome(Ending.FULL, report=self.report()))
        elif what is WorkerEventKind.STARTED:
            world.audit.started(attempt)
            if world.scenario.reports.starts_told:
                self.call_back(attempt, lambda e: e.upstream.noted(e, 0.0, started=True))
        elif what is WorkerEventKind.PROGRESS:
            self.call_back(attempt, lambda e, share=h.share: e.upstream.noted(e, share))  # type: ignore[misc]
        else:
            world.tally.core_time(h.task)
            if h.task.began is not None and what is not WorkerEventKind.DONE:
                attempt.job.saved = max(attempt.job.saved, h.task.saved)
            if what is WorkerEventKind.LOST:
                self.lost(attempt)
            elif (ending := ENDINGS.get(what)) is not None:
                self.finished += 1
                outcome = Outcome(ending, b"" if what is not WorkerEventKind.DONE else b"done", self.report())
                self.call_back(attempt, lambda e: e.upstream.called_back(e, outcome))

    def lost(self, attempt: SimulatedAttempt) -> None:
        """Report a task that died with its process, where the worker host itself lives on."""
        if not self.silent:
            outcome = Outcome(Ending.BROKEN)
            self.world.loop.after(
                LOST_NOTICE, self.call_back, attempt, lambda e: e.upstream.called_back(e, outcome)
            )

    def reply(self, attempt: SimulatedAttempt, outcome: Outcome | None) -> None:
        """Answer on the connection: taken, or not."""
        if self.world.reaches(attempt.upstream, self):
            self.world.loop.after(self.delay(), attempt.answered, outcome)

    def call_back(
        self, attempt: SimulatedAttempt, act: Callable[[SimulatedAttempt], None], tries: int = CALL_TRIES
    ) -> None:
        """Call the dispatcher until it answers, ten times at most."""
        self.world.loop.after(self.delay(), self.called, attempt, act, tries)

    def called(self, attempt: SimulatedAttempt, act: Callable[[SimulatedAttempt], None], tries: int) -> None:
        """Deliver a call, or try again later."""
        if (
            self.world.reaches(attempt.upstream, self)
            and attempt.upstream.process.dispatcher_host.process is not None
        ):
            act(attempt)
        elif tries > 1:
            self.world.loop.after(CALL_AGAIN, self.call_back, attempt, act, tries - 1)

    # ---- what comes in ----

    def connect(self, attempt: SimulatedAttempt) -> None:
        """Take, refuse or not hear a new connection."""
        if not self.world.reaches(attempt.upstream, self):
            return
        if not self.model.up:
            self.world.loop.after(self.delay(), attempt.refused)
            return
        if len(self.links) >= self.kind.connections:
            return  # it holds all it accepts: the caller waits until its time is up
        if self.model.paused:
            self.frozen.append(lambda: self.connect(attempt))
            return
        link = attempt.upstream.link_to(self)
        self.links.add(link)
        self.model.connections = len(self.links)
        self.poke(self.model.charge(self.world.loop.now, self.kind.connection_work))
        trips = max(0.0, self.world.scenario.network.handshake_trips - 0.5)
        self.world.loop.after(self.model.backlog() + 2 * trips * self.delay(), attempt.up, link)

    def receive(self, attempt: SimulatedAttempt, link: Link) -> None:
        """Hear a job's last byte."""
        world = self.world
        if not world.reaches(attempt.upstream, self):
            return
        if not link.open or link.deaf or not self.model.up:  # nobody reads it
            world.loop.after(self.delay(), attempt.broke)
            return
        chance = 1.0
        for part in self.resetting:
            chance *= 1 - part
        if chance < 1.0 and next(self.luck) > chance:
            link.close()
            world.loop.after(self.delay(), attempt.broke)
            if next(self.luck) < 0.5:
                return  # it had not read the job yet; else it runs, and nobody hears of it
        job = attempt.job
        chance, after = self.kind.errors, 0.5
        for part, share in self.failing:
            chance, after = max(chance, part), share if part > chance else after
        fails = after if chance > 0 and next(self.luck) < chance else None
        work = job.work * next(self.noise[job.load.cls.name])
        task = Task(
            attempt,
            work,
            job.slots,
            attempt.ends,
            job.safe,
            fails,
            min(0.99, job.saved),
            world.audit.informed(attempt.upstream.process, self),
            attempt,
        )
        attempt.task = task
        self.poke(self.model.offer(world.loop.now, task))
        if self.model.fallen:
            self.fell()

    def cancel(self, attempt: SimulatedAttempt) -> None:
        """Hear that an attempt is given up."""
        if self.model.up:
            self.poke(self.model.cancel(self.world.loop.now, attempt))

    # ---- reports ----

    def snapshot(self) -> None:
        """Measure what reports say for the next while."""
        world, reports = self.world, self.world.scenario.reports
        book = self.model.ledger
        self.poke(self.model.advance(world.loop.now))
        busy = book.busy + book.overhead
        util = (busy - self.busy_seen) / (self.kind.cores * reports.period)
        values = {
            "qps": self.finished * 1000 / reports.period,
            "util": util,
            "x0": float(self.model.free_slots),
            "inflight": float(self.model.held),
            "queue": float(self.model.held - len(self.model.running)),
        }
        self.finished, self.busy_seen = 0, busy
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
        """Give the newest report that is old enough to be sent."""
        now = self.world.loop.now
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now:
            self.snapshots.popleft()
        return self.snapshots[0][1] if self.snapshots and self.snapshots[0][0] <= now else ()

    # ---- faults ----

    def state(self) -> WorkerState:
        """Say what the list would show if it were not late."""
        if not self.model.up:
            return WorkerState.GONE
        return WorkerState.DRAINING if self.model.draining else WorkerState.UP

    def drop_links(self) -> None:
        """Reset every connection, as a process that dies does; a silent worker host resets none."""
        for link in sorted(self.links, key=lambda link: link.number):
            if self.silent:
                link.deaf = True
            else:
                link.reset()
        self.links.clear()
        self.model.connections = 0

    def die(self) -> None:
        """Lose the process."""
        if self.model.up:
            self.poke(self.model.die(self.world.loop.now))
            self.drop_links()
            self.frozen.clear()

    def fell(self) -> None:
        """Stay down after a fall: the rule's case."""
        self.model.fallen = False
        self.world.audit.fell(self)
        self.drop_links()
        self.world.listing.changed(self, self.world.scenario.listing.notice)

    def start(self, cold_share: float | None = None) -> None:
        """Start a new process, cold."""
        self.model.start(self.world.loop.now, cold_share)
        self.model.slow = 1.0
        for factor in self.slows:
            self.model.slow *= factor
        self.world.listing.changed(self, self.world.scenario.listing.add)
        self.poke([])

    def slow_by(self, old: float | None, new: float | None) -> None:
        """Change one of the factors by which it runs slower."""
        if old is not None:
            self.slows.remove(old)
        if new is not None:
            self.slows.append(new)
        factor = 1.0
        for part in self.slows:
            factor *= part
        self.poke(self.model.slowed(self.world.loop.now, factor))

    def pause(self, on: bool) -> None:
        """Stand still, or go on; overlapping pauses last until the last ends."""
        self.pauses += 1 if on else -1
        if on and self.pauses == 1:
            self.poke(self.model.pause(self.world.loop.now))
        elif not on and self.pauses == 0:
            self.poke(self.model.resume(self.world.loop.now))
            frozen, self.frozen = self.frozen, []
            for act in frozen:
                act()

    def drain(self) -> None:
        """Want nothing new, and say so on the list."""
        if self.model.up and not self.model.draining:
            self.poke(self.model.drain(self.world.loop.now))
            self.world.listing.changed(self, 0.0)
