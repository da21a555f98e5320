"""The faults of a scenario, applied to worker hosts, the endpoint list, load and dispatchers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from elderstall.simulation.reading import select
from elderstall.simulation.scenario import Fault, Scenario

if TYPE_CHECKING:
    from collections import Counter

    from elderstall.simulation.clients import Clients
    from elderstall.simulation.dispatcher_host import DispatcherHost
    from elderstall.simulation.draws import Draws
    from elderstall.simulation.listing import ListService
    from elderstall.simulation.loop import VirtualTime
    from elderstall.simulation.worker_host import WorkerHost

RAMP_STEPS = 10  # steps of each of a slowdown's two ramps, at its start and at its end


class FaultContext(Protocol):
    """The parts of the simulation that faults change."""

    scenario: Scenario
    loop: VirtualTime
    draws: Draws
    listing: ListService
    clients: Clients
    dispatcher_hosts: list[DispatcherHost]
    worker_hosts: dict[str, WorkerHost]
    absent: set[str]
    cut: Counter[tuple[int, str]]
    struck: dict[int, list[str]]


class Faults:
    """All faults of a scenario."""

    def __init__(self, world: FaultContext) -> None:
        self.world = world
        self.loop = world.loop
        self.handlers: dict[str, Callable[[Fault, int], None]] = {
            "slow": self.slow,
            "pause": self.pause,
            "fail": self.fail,
            "vanish": self.vanish,
            "reset": self.reset,
            "restart": self.restart,
            "drain": self.drain,
            "cold": self.cold,
            "burst": self.burst,
            "heavy-tail": self.heavy_tail,
            "list-down": self.list_down,
            "cut-off": self.cut_off,
            "dispatcher-restart": self.dispatcher_restart,
        }

    def begin(self) -> None:
        """Schedule all faults."""
        for number, fault in enumerate(self.world.scenario.faults):
            self.handlers[fault.kind](fault, number)

    # ---- the affected workers and dispatchers ----

    def choose_workers(self, fault: Fault, number: int) -> list[WorkerHost]:
        """Return the workers that a fault names, or a random fraction of them; without either, all."""
        worker_hosts = self.world.worker_hosts
        if fault.workers:
            chosen = [name for pattern in fault.workers for name in select(pattern, worker_hosts)]
        else:
            chosen = self.draw_fraction(
                list(worker_hosts), 1.0 if fault.share is None else fault.share, number
            )
        chosen = list(dict.fromkeys(chosen))
        self.world.struck.setdefault(number, []).extend(chosen)
        return [worker_hosts[name] for name in chosen]

    def draw_fraction(self, names: list[str], share: float, number: int) -> list[str]:
        """Return a random fraction of the names: at least one, but none for a share of 0.

        The names are the same in each run with the same seed.
        """
        order = self.world.draws.generator("trouble", str(number)).permutation(len(names))
        return [names[index] for index in order[: max(1, round(share * len(names)))]] if share > 0 else []

    def choose_dispatchers(self, fault: Fault, number: int) -> list[DispatcherHost]:
        """Return the dispatchers that a fault names, or a random fraction of them; without either, all."""
        dispatcher_hosts = {
            dispatcher_host.name: dispatcher_host for dispatcher_host in self.world.dispatcher_hosts
        }
        if fault.dispatchers:
            chosen = [name for pattern in fault.dispatchers for name in select(pattern, dispatcher_hosts)]
        else:
            chosen = self.draw_fraction(
                list(dispatcher_hosts), 1.0 if fault.share is None else fault.share, number
            )
        self.world.struck.setdefault(number, []).extend(chosen)
        return [dispatcher_hosts[name] for name in chosen]

    def schedule_each(
        self,
        fault: Fault,
        number: int,
        begin: Callable[[WorkerHost], None],
        end: Callable[[WorkerHost], None] | None = None,
    ) -> None:
        """Schedule a fault's begin at each worker, ``fault.apart`` ms after the one before, and its end."""
        for index, worker_host in enumerate(self.choose_workers(fault, number)):
            at = fault.at + index * fault.apart
            self.loop.at(at, begin, worker_host)
            if end is not None:
                self.loop.at(at + fault.length, end, worker_host)

    # ---- workers ----

    def slow(self, fault: Fault, number: int) -> None:
        """Slow workers down; a ramp is applied in RAMP_STEPS steps."""
        steps = RAMP_STEPS if fault.ramp > 0 else 1
        factors = [1 + (fault.factor - 1) * (index + 1) / steps for index in range(steps)]
        changes: list[tuple[float, float | None, float | None]] = []
        for index, factor in enumerate(factors):
            before = factors[index - 1] if index else None
            changes.append((fault.at + fault.ramp * index / steps, before, factor))
            changes.append((fault.ends - fault.ramp * index / steps, factor, before))
        for worker_host in self.choose_workers(fault, number):
            for at, old, new in changes:
                self.loop.at(at, worker_host.change_slowdown, old, new)

    def pause(self, fault: Fault, number: int) -> None:
        """Pause workers."""
        self.schedule_each(fault, number, lambda host: host.pause(True), lambda host: host.pause(False))

    def fail(self, fault: Fault, number: int) -> None:
        """Fail jobs with the fault's chance."""
        entry = (fault.chance, fault.after)
        self.schedule_each(
            fault, number, lambda host: host.failing.append(entry), lambda host: host.failing.remove(entry)
        )

    def reset(self, fault: Fault, number: int) -> None:
        """Reset connections with the fault's chance as a job arrives at the worker."""
        self.schedule_each(
            fault,
            number,
            lambda host: host.resetting.append(fault.chance),
            lambda host: host.resetting.remove(fault.chance),
        )

    def vanish(self, fault: Fault, number: int) -> None:
        """Crash workers without any message to others; a new process starts at the end."""
        notice = self.world.scenario.listing.silent_notice

        def begin_fault(worker_host: WorkerHost) -> None:
            worker_host.silent_faults += 1
            worker_host.die()
            self.world.listing.changed(worker_host, notice)

        def end_fault(worker_host: WorkerHost) -> None:
            worker_host.silent_faults -= 1
            if not worker_host.silent_faults and not worker_host.model.up:
                worker_host.start()

        self.schedule_each(fault, number, begin_fault, end_fault)

    def restart(self, fault: Fault, number: int) -> None:
        """Crash worker processes, and start cold ones at the end."""

        def begin_fault(worker_host: WorkerHost) -> None:
            worker_host.die()
            self.world.listing.changed(worker_host, self.world.scenario.listing.notice)

        self.schedule_each(fault, number, begin_fault, lambda host: self.restart_if_down(host, fault))

    def restart_if_down(self, worker_host: WorkerHost, fault: Fault) -> None:
        """Start a worker host's process, unless it runs or the host is silent."""
        if not worker_host.model.up and not worker_host.silent_faults:
            worker_host.start(fault.cold_share)

    def drain(self, fault: Fault, number: int) -> None:
        """Drain workers, and replace each with a new process after the fault's length."""

        def end_fault(worker_host: WorkerHost) -> None:
            if worker_host.model.draining:
                worker_host.die()
                worker_host.start(fault.cold_share)

        self.schedule_each(fault, number, lambda host: host.drain(), end_fault)

    def cold(self, fault: Fault, number: int) -> None:
        """Keep workers out of service until the fault begins, then start them cold."""
        for index, worker_host in enumerate(self.choose_workers(fault, number)):
            self.world.absent.add(worker_host.name)
            self.loop.at(fault.at + index * fault.apart, self.restart_if_down, worker_host, fault)

    def cut_off(self, fault: Fault, number: int) -> None:
        """Drop all messages between the workers and the dispatchers."""
        worker_hosts = self.choose_workers(fault, number)
        ranks = [
            host.rank
            for host in (
                self.choose_dispatchers(fault, number) if fault.dispatchers else self.world.dispatcher_hosts
            )
        ]
        pairs = [(rank, worker_host.name) for worker_host in worker_hosts for rank in ranks]
        self.loop.at(fault.at, self.world.cut.update, pairs)
        self.loop.at(fault.ends, self.world.cut.subtract, pairs)

    # ---- load, list, dispatchers ----

    def burst(self, fault: Fault, number: int) -> None:
        """Add arrivals at all dispatchers."""
        self.world.clients.add_arrivals(
            self.world.dispatcher_hosts, fault.factor, fault.ramp, fault.at, fault.length, f"burst {number}"
        )

    def heavy_tail(self, fault: Fault, number: int) -> None:
        """Multiply the work of one class's jobs by a factor, with the fault's chance."""
        tails = self.world.clients.tails[fault.job_class]
        entry = (fault.chance, fault.factor)
        self.loop.at(fault.at, tails.append, entry)
        self.loop.at(fault.ends, tails.remove, entry)

    def list_down(self, fault: Fault, number: int) -> None:
        """Make the endpoint list unavailable."""
        self.loop.at(fault.at, self.world.listing.down, True)
        self.loop.at(fault.ends, self.world.listing.down, False)

    def dispatcher_restart(self, fault: Fault, number: int) -> None:
        """Restart dispatchers, with a drain (``planned``) or by killing them."""
        for index, dispatcher_host in enumerate(self.choose_dispatchers(fault, number)):
            at = fault.at + index * fault.apart
            if fault.planned:
                self.loop.at(at, dispatcher_host.restart_planned, fault.length)
            else:
                self.loop.at(at, dispatcher_host.kill, None, fault.length)
