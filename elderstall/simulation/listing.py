"""The list of workers: a service that learns late, notifies in rounds, is called or watched, fails."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from elderstall.interface import Endpoint, ListScope, WorkerState
from elderstall.simulation.scenario import Listing

if TYPE_CHECKING:
    from elderstall.simulation.dispatcher_host import Process
    from elderstall.simulation.loop import VirtualTime
    from elderstall.simulation.worker_host import WorkerHost


class ListSurroundings(Protocol):
    """What the list needs of the scenario that it is part of."""

    loop: VirtualTime
    epoch: float


class ListService:
    """What discovery is: entries with versions, calls in turn, watches."""

    def __init__(self, world: ListSurroundings, spec: Listing, uniform: Iterator[float]) -> None:
        self.world, self.spec, self.uniform = world, spec, uniform
        self.entries: dict[str, Endpoint] = {}
        self.log: list[tuple[int, Endpoint]] = []
        self.version = 1
        self.watching: dict[Process, float] = {}  # and when the next round notifies it
        self.pending: set[Process] = set()  # a round is on its way
        self.free_at = 0.0  # when all calls so far are worked off
        self.outages = 0

    def begin(self, worker_hosts: list[WorkerHost]) -> None:
        """Know the fleet as it is."""
        for m in worker_hosts:
            if m.model.up:
                self.entries[m.name] = self.entry(m, WorkerState.UP)

    def entry(self, m: WorkerHost, state: WorkerState) -> Endpoint:
        """Write a worker host's line."""
        started = None if m.model.started is None else self.world.epoch + m.model.started
        return Endpoint(m.name, m.kind.name, m.spec.zone, m.spec.cell, started, state)

    # ---- learning ----

    def changed(self, m: WorkerHost, notice: float) -> None:
        """Learn of a worker host's state a while later, if it still holds then."""
        self.world.loop.after(notice, self.learn, m)

    def learn(self, m: WorkerHost) -> None:
        """Look at a worker host, and publish what is new."""
        state = WorkerState.GONE if m.silent_faults else m.state()
        old = self.entries.get(m.name)
        if old is None and state is WorkerState.GONE:
            return
        new = self.entry(m, state)
        if new == old:
            return
        if state is WorkerState.GONE:
            self.entries.pop(m.name, None)
        else:
            self.entries[m.name] = new
        self.version += 1
        self.log.append((self.version, new))
        for process in list(self.watching):
            self.round(process)

    # ---- telling ----

    def round(self, process: Process) -> None:
        """Have a watch notified in the service's next round, with a spread."""
        if self.outages or process in self.pending:
            return
        self.pending.add(process)
        period = self.spec.period
        wait = period - self.world.loop.now % period + next(self.uniform) * self.spec.spread
        self.world.loop.after(wait, self.deliver, process)

    def deliver(self, process: Process) -> None:
        """Send all that has changed since the last time."""
        self.pending.discard(process)
        if process in self.watching and not self.outages:
            self.notify(process)

    def notify(self, process: Process) -> None:
        """Write the changes, or the whole list to one that holds none."""
        if process.version == 0:
            process.notified(ListScope.WHOLE, tuple(self.entries.values()), self.version)
            return
        newest: dict[str, Endpoint] = {}
        for version, entry in reversed(self.log):
            if version <= process.version:
                break
            newest.setdefault(entry.worker, entry)
        process.notified(ListScope.CHANGES, tuple(reversed(newest.values())), self.version)

    def follow(self, process: Process) -> None:
        """Take a call: in turn, and too late is a failure."""
        loop = self.world.loop
        if self.outages:
            loop.after(next(self.uniform) * self.spec.spread + 1.0, self.fail, process)
            return
        self.free_at = max(self.free_at, loop.now) + len(self.entries) * 1000 / self.spec.lines_per_second
        if self.free_at - loop.now > self.spec.timeout:
            self.free_at -= len(self.entries) * 1000 / self.spec.lines_per_second
            loop.after(self.spec.timeout, self.fail, process)
        else:
            loop.at(self.free_at, self.answer, process)

    def answer(self, process: Process) -> None:
        """Answer a call; from then on the process is notified of changes."""
        if self.outages:
            self.fail(process)
        elif process.alive:
            self.watching[process] = self.world.loop.now
            self.notify(process)

    def fail(self, process: Process) -> None:
        """Fail a call, or a watch."""
        self.watching.pop(process, None)
        process.notified(ListScope.FAILED, (), process.version)

    def forget(self, process: Process) -> None:
        """End the watch of a process that is gone."""
        self.watching.pop(process, None)

    def down(self, on: bool) -> None:
        """Go down, which ends every watch, or come back; overlapping outages last until the last ends."""
        self.outages += 1 if on else -1
        if on:
            for process in list(self.watching):
                self.fail(process)
