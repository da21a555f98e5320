"""Simulated dispatchers: the real engine and decisions on virtual time."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, Protocol

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine, TooManyJobsError
from elderstall.interface import Ending, Endpoint, ListScope
from elderstall.log import Log
from elderstall.messages import JobRequest
from elderstall.simulation.attempt import SimulatedAttempt, UpstreamAudit, UpstreamContext
from elderstall.simulation.scenario import EPOCH
from elderstall.simulation.upstream import SimulatedUpstream

if TYPE_CHECKING:
    from elderstall.simulation.draws import Draws
    from elderstall.simulation.requests import Try

RESTART_KILL_TIMEOUT_MS = 1_700.0  # for open jobs, after the drain time of a planned restart


class CountingLog(Log):
    """A log that counts lines by code and keeps the text of bugs and rule violations."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.codes: Counter[str] = Counter()
        self.kept: deque[str] = deque(maxlen=100)

    def write(self, code: str, text: str) -> None:
        """Count a line by its code, and keep its text if it shows a bug."""
        self.codes[code] += 1
        if code in ("bug", "rule", "guard"):
            self.kept.append(f"{code} {text}")


class DispatcherAudit(UpstreamAudit, Protocol):
    """The auditor's methods that dispatchers and their transport call."""

    def notified(self, process: Process, scope: ListScope, entries: tuple[Endpoint, ...]) -> None:
        """Record a list update that a dispatcher received."""

    def record_ending(self, attempt: SimulatedAttempt, ending: Ending) -> None:
        """Record how an attempt ended, as its dispatcher knows."""


class ListCalls(Protocol):
    """The endpoint list's methods that dispatchers call."""

    def follow(self, process: Process) -> None:
        """Handle a list call."""

    def forget(self, process: Process) -> None:
        """End the watch of a process that has ended."""


class DispatcherContext(UpstreamContext, Protocol):
    """The parts of the simulation that a dispatcher host uses."""

    draws: Draws
    log: CountingLog

    @property
    def audit(self) -> DispatcherAudit:
        """The auditor."""

    @property
    def listing(self) -> ListCalls:
        """The list."""


class Process:
    """One dispatcher process, from its start to its end."""

    def __init__(self, dispatcher_host: DispatcherHost, seed: int) -> None:
        self.dispatcher_host = dispatcher_host
        self.world = dispatcher_host.world
        world = self.world
        self.deadlines = Deadlines(world.loop, world.loop.seconds, EPOCH + world.loop.now)
        self.deadlines.on_error = lambda error: world.log.failure("deadline", error)
        self.alive = True
        self.leaving = False  # no longer accepts jobs, before a planned restart
        self.upstream = SimulatedUpstream(self)
        rules = world.scenario.rules
        self.engine = Engine(
            world.scenario.settings(dispatcher_host.rank),
            seed,
            self.deadlines,
            self.upstream,
            world.log,
            rules.slack,
            rules.max_open,
        )
        self.engine.endpoints.request_changes = lambda: world.listing.follow(self)
        self.version = 0  # of the endpoint list in the last update
        self.tries: dict[str, Try] = {}
        self.answered: deque[str] = deque()  # ids of tries whose records can be removed

    def begin(self) -> None:
        """Start with the endpoint list that this dispatcher last had."""
        self.version, entries = self.dispatcher_host.last_list
        self.world.audit.notified(self, ListScope.WHOLE, entries)
        self.upstream.listed(entries, whole=True)
        self.engine.start(entries)

    def notified(self, scope: ListScope, entries: tuple[Endpoint, ...], version: int) -> None:
        """Handle an update of the endpoint list."""
        if not self.alive:
            return
        if scope not in (ListScope.FAILED, ListScope.SILENT):
            self.version = version
            self.world.audit.notified(self, scope, entries)
            self.upstream.listed(entries, whole=scope is ListScope.WHOLE)
        self.engine.endpoints.handle_list_update(scope, entries)

    def accept(self, client_try: Try, budget: float) -> bool:
        """Accept a client's try; return False if there are too many jobs."""
        while self.answered:
            request_id = self.answered.popleft()
            self.upstream.ended(request_id)
            self.tries.pop(request_id, None)
        request = client_try.request
        load = request.load
        job_request = JobRequest(
            client_try.request_id,
            load.cls.name,
            budget,
            client_try,
            request.tenant,
            None,
            request.hint,
            request.slots,
            request.safe,
        )
        self.tries[client_try.request_id] = client_try
        try:
            client_try.engine_job_id = self.engine.accept(job_request, client_try)
        except TooManyJobsError:
            self.tries.pop(client_try.request_id, None)
            return False
        return True

    def audit_ended(self, attempt: SimulatedAttempt, ending: Ending) -> None:
        """Report the ending of an attempt, as this process knows it, to the auditor."""
        if self.alive:
            self.world.audit.record_ending(attempt, ending)

    def die(self) -> None:
        """End at once: no more messages are sent or handled, and clients' connections are reset."""
        if not self.alive:
            return
        self.alive = False
        self.world.listing.forget(self)
        self.upstream.close()
        heap = self.deadlines.heap
        self.deadlines.heap = []
        for _, _, deadline in heap:
            deadline.cancel()
        if self.deadlines.reactor_call is not None:
            self.deadlines.reactor_call.stop()
        for request_id in set(self.answered):
            self.tries.pop(request_id, None)
        for client_try in list(self.tries.values()):
            client_try.lost()


class DispatcherHost:
    """A dispatcher host: its name, and its present process if any."""

    def __init__(self, world: DispatcherContext, rank: int, weight: float) -> None:
        self.world = world
        self.rank = rank
        self.weight = weight
        self.name = f"n{rank + 1}"
        self.process: Process | None = None
        self.last_list: tuple[int, tuple[Endpoint, ...]] = (0, ())
        self.process_count = 0
        self.process_started_at = 0.0

    def start(self) -> None:
        """Start a new process with its own random seed."""
        self.process_count += 1
        self.process_started_at = self.world.loop.now
        self.process = Process(self, self.world.draws.number("module", self.name, str(self.process_count)))
        self.process.begin()

    @property
    def accepts_jobs(self) -> bool:
        """Return whether a process runs there that accepts new jobs."""
        return self.process is not None and not self.process.leaving

    def restart_planned(self, restart_delay: float) -> None:
        """Restart as planned: accept jobs for the drain time, then end once all are answered."""
        process = self.process
        if process is not None:
            self.world.loop.after(
                self.world.scenario.dispatchers.drain_for, self.stop_accepting, process, restart_delay
            )

    def stop_accepting(self, process: Process, restart_delay: float) -> None:
        """Stop accepting jobs; the process ends when idle, or is killed after a timeout."""
        if process.alive:
            process.leaving = True

            def kill_when_idle() -> None:
                self.world.loop.after(0.0, self.kill, process, restart_delay)

            process.engine.answers.on_idle = kill_when_idle
            self.world.loop.after(RESTART_KILL_TIMEOUT_MS, self.kill, process, restart_delay)
            if not len(process.engine.jobs):
                self.kill(process, restart_delay)

    def kill(self, process: Process | None, restart_delay: float) -> None:
        """Kill a process now, and start the next one after ``restart_delay`` ms."""
        process = process or self.process
        if process is None or not process.alive:
            return
        self.last_list = process.version, tuple(process.engine.view.entries.values())
        self.process = None
        process.die()
        self.world.loop.after(restart_delay, self.start)
