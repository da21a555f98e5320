"""Dispatchers in the emulated network: the real core and module on virtual time, with what surrounds them."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, Protocol

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine, TooManyJobsError
from elderstall.interface import Ending, Endpoint, ListScope
from elderstall.log import Log
from elderstall.messages import JobRequest
from elderstall.simulation.attempt import SimulatedAttempt, UpstreamAudit, UpstreamSurroundings
from elderstall.simulation.scenario import EPOCH
from elderstall.simulation.upstream import SimulatedUpstream

if TYPE_CHECKING:
    from elderstall.simulation.draws import Draws
    from elderstall.simulation.requests import Try

KILLED_AFTER = 1_700.0  # ms after a planned restart has stopped taking jobs until it is killed


class CountingLog(Log):
    """A log that only counts by code; bugs and broken rules are kept, as they should never be."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.codes: Counter[str] = Counter()
        self.kept: deque[str] = deque(maxlen=100)

    def write(self, code: str, text: str) -> None:
        """Count a line."""
        self.codes[code] += 1
        if code in ("bug", "rule", "guard"):
            self.kept.append(f"{code} {text}")


class DispatcherAudit(UpstreamAudit, Protocol):
    """The auditor, as dispatchers and what carries their attempts report to it."""

    def notified(self, process: Process, scope: ListScope, entries: tuple[Endpoint, ...]) -> None:
        """Note what a dispatcher was notified of."""

    def ended(self, attempt: SimulatedAttempt, ending: Ending) -> None:
        """Note how an attempt ended, as its dispatcher knows."""


class ListCalls(Protocol):
    """The list, as dispatchers call it."""

    def follow(self, process: Process) -> None:
        """Take a call."""

    def forget(self, process: Process) -> None:
        """End the watch of a process that is gone."""


class DispatcherSurroundings(UpstreamSurroundings, Protocol):
    """What a dispatcher host needs of the scenario that it is part of."""

    draws: Draws
    log: CountingLog

    @property
    def audit(self) -> DispatcherAudit:
        """The auditor."""

    @property
    def listing(self) -> ListCalls:
        """The list."""


class Process:
    """One life of a dispatcher."""

    def __init__(self, dispatcher_host: DispatcherHost, seed: int) -> None:
        self.dispatcher_host, self.world = dispatcher_host, dispatcher_host.world
        world = self.world
        self.deadlines = Deadlines(world.loop, world.loop.seconds, EPOCH + world.loop.now)
        self.deadlines.on_error = lambda error: world.log.failure("deadline", error)
        self.alive, self.leaving = True, False
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
        self.version = 0  # of the list as it was last notified of
        self.tries: dict[str, Try] = {}
        self.answered: deque[str] = deque()  # whose attempts can be forgotten

    def begin(self) -> None:
        """Start with the list as this dispatcher last held it."""
        self.version, entries = self.dispatcher_host.known
        self.world.audit.notified(self, ListScope.WHOLE, entries)
        self.upstream.listed(entries, whole=True)
        self.engine.start(entries)

    def notified(self, scope: ListScope, entries: tuple[Endpoint, ...], version: int) -> None:
        """Take news of the list."""
        if not self.alive:
            return
        if scope not in (ListScope.FAILED, ListScope.SILENT):
            self.version = version
            self.world.audit.notified(self, scope, entries)
            self.upstream.listed(entries, whole=scope is ListScope.WHOLE)
        self.engine.endpoints.take(scope, entries)

    def take(self, tried: Try, budget: float) -> bool:
        """Take a client's try on; says no where there is no room."""
        while self.answered:
            request_id = self.answered.popleft()
            self.upstream.ended(request_id)
            self.tries.pop(request_id, None)
        request = tried.request
        load = request.load
        ask = JobRequest(
            tried.request_id,
            load.cls.name,
            budget,
            tried,
            request.tenant,
            None,
            request.hint,
            request.slots,
            request.safe,
        )
        self.tries[tried.request_id] = tried
        try:
            tried.job = self.engine.accept(ask, tried)
        except TooManyJobsError:
            self.tries.pop(tried.request_id, None)
            return False
        return True

    def audit_ended(self, attempt: SimulatedAttempt, ending: Ending) -> None:
        """Report to the auditor what this process has learned of an attempt."""
        if self.alive:
            self.world.audit.ended(attempt, ending)

    def die(self) -> None:
        """End at once; nothing of it is heard any more, and its clients see their connections reset."""
        if not self.alive:
            return
        self.alive = False
        self.world.listing.forget(self)
        self.upstream.close()
        heap, self.deadlines.heap = self.deadlines.heap, []
        for _, _, deadline in heap:
            deadline.cancel()
        if self.deadlines.reactor_call is not None:
            self.deadlines.reactor_call.stop()
        for request_id in set(self.answered):
            self.tries.pop(request_id, None)
        for tried in list(self.tries.values()):
            tried.lost()


class DispatcherHost:
    """A dispatcher's place: its name and address, whoever serves there."""

    def __init__(self, world: DispatcherSurroundings, rank: int, weight: float) -> None:
        self.world, self.rank, self.weight = world, rank, weight
        self.name = f"n{rank + 1}"
        self.process: Process | None = None
        self.known: tuple[int, tuple[Endpoint, ...]] = (0, ())
        self.lives = 0
        self.since = 0.0  # when its present process began

    def start(self) -> None:
        """Start a process."""
        self.lives += 1
        self.since = self.world.loop.now
        self.process = Process(self, self.world.draws.number("module", self.name, str(self.lives)))
        self.process.begin()

    @property
    def open(self) -> bool:
        """Whether clients find somebody who takes jobs."""
        return self.process is not None and not self.process.leaving

    def leave(self, back_in: float) -> None:
        """Restart as planned: serve on for a while, then take nothing new, and end once all is answered."""
        process = self.process
        if process is not None:
            self.world.loop.after(
                self.world.scenario.dispatchers.drain_for, self.stop_taking, process, back_in
            )

    def stop_taking(self, process: Process, back_in: float) -> None:
        """Take nothing new."""
        if process.alive:
            process.leaving = True

            def empty() -> None:
                self.world.loop.after(0.0, self.kill, process, back_in)

            process.engine.answers.on_idle = empty
            self.world.loop.after(KILLED_AFTER, self.kill, process, back_in)
            if not len(process.engine.jobs):
                self.kill(process, back_in)

    def kill(self, process: Process | None, back_in: float) -> None:
        """End a process now, and start the next one a while later."""
        process = process or self.process
        if process is None or not process.alive:
            return
        self.known = process.version, tuple(process.engine.view.entries.values())
        self.process = None
        process.die()
        self.world.loop.after(back_in, self.start)
