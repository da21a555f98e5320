"""The simulated discovery service: detects changes late, notifies watches in rounds, can fail."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from elderstall.interface import Endpoint, ListScope, WorkerState
from elderstall.simulation.scenario import Listing

if TYPE_CHECKING:
    from elderstall.simulation.dispatcher_host import Process
    from elderstall.simulation.loop import VirtualTime
    from elderstall.simulation.worker_host import WorkerHost


class ListContext(Protocol):
    """The attributes of a simulation that the list uses."""

    loop: VirtualTime
    epoch: float


class ListService:
    """The endpoint list: versioned entries, calls that are served one after the other, and watches."""

    def __init__(self, world: ListContext, spec: Listing, uniform: Iterator[float]) -> None:
        self.world = world
        self.spec = spec
        self.uniform = uniform
        self.entries: dict[str, Endpoint] = {}
        self.log: list[tuple[int, Endpoint]] = []
        self.version = 1
        self.watch_started_at: dict[Process, float] = {}  # by watching process; ms
        self.pending: set[Process] = set()  # processes with a notification scheduled
        self.busy_until = 0.0  # ms; when all calls so far have been served
        self.outages = 0

    def begin(self, worker_hosts: list[WorkerHost]) -> None:
        """List the workers that are up at the start."""
        for worker_host in worker_hosts:
            if worker_host.model.up:
                self.entries[worker_host.name] = self.entry(worker_host, WorkerState.UP)

    def entry(self, worker_host: WorkerHost, state: WorkerState) -> Endpoint:
        """Return the endpoint of a worker host."""
        started = None if worker_host.model.started is None else self.world.epoch + worker_host.model.started
        return Endpoint(
            worker_host.name,
            worker_host.kind.name,
            worker_host.spec.zone,
            worker_host.spec.cell,
            started,
            state,
        )

    # ---- changes of workers ----

    def changed(self, worker_host: WorkerHost, notice: float) -> None:
        """Publish, after a delay in ms, the state that a worker host has when the delay ends."""
        self.world.loop.after(notice, self.publish_state, worker_host)

    def publish_state(self, worker_host: WorkerHost) -> None:
        """Publish a worker host's state if it differs from the list."""
        state = WorkerState.GONE if worker_host.silent_faults else worker_host.state()
        previous = self.entries.get(worker_host.name)
        if previous is None and state is WorkerState.GONE:
            return
        current = self.entry(worker_host, state)
        if current == previous:
            return
        if state is WorkerState.GONE:
            self.entries.pop(worker_host.name, None)
        else:
            self.entries[worker_host.name] = current
        self.version += 1
        self.log.append((self.version, current))
        for process in list(self.watch_started_at):
            self.schedule_notification(process)

    # ---- watches and calls ----

    def schedule_notification(self, process: Process) -> None:
        """Schedule a watch's notification for the next period of the service, plus a random spread."""
        if self.outages or process in self.pending:
            return
        self.pending.add(process)
        period = self.spec.period
        wait = period - self.world.loop.now % period + next(self.uniform) * self.spec.spread
        self.world.loop.after(wait, self.send_notification, process)

    def send_notification(self, process: Process) -> None:
        """Notify a watch of all changes since the last notification."""
        self.pending.discard(process)
        if process in self.watch_started_at and not self.outages:
            self.notify(process)

    def notify(self, process: Process) -> None:
        """Notify a process of the changes since its version, or of the whole list if it has none."""
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
        """Handle a call: calls are served in turn, and one that would take longer than the timeout fails."""
        loop = self.world.loop
        if self.outages:
            loop.after(next(self.uniform) * self.spec.spread + 1.0, self.fail_call, process)
            return
        self.busy_until = (
            max(self.busy_until, loop.now) + len(self.entries) * 1000 / self.spec.lines_per_second
        )
        if self.busy_until - loop.now > self.spec.timeout:
            self.busy_until -= len(self.entries) * 1000 / self.spec.lines_per_second
            loop.after(self.spec.timeout, self.fail_call, process)
        else:
            loop.at(self.busy_until, self.answer_call, process)

    def answer_call(self, process: Process) -> None:
        """Answer a call; from then on the process is notified of changes."""
        if self.outages:
            self.fail_call(process)
        elif process.alive:
            self.watch_started_at[process] = self.world.loop.now
            self.notify(process)

    def fail_call(self, process: Process) -> None:
        """Make a call or a watch fail."""
        self.watch_started_at.pop(process, None)
        process.notified(ListScope.FAILED, (), process.version)

    def forget(self, process: Process) -> None:
        """End the watch of a process that has disconnected."""
        self.watch_started_at.pop(process, None)

    def down(self, is_down: bool) -> None:
        """Begin an outage, which ends every watch, or end one; overlapping ones last until the last ends."""
        self.outages += 1 if is_down else -1
        if is_down:
            for process in list(self.watch_started_at):
                self.fail_call(process)
