"""What goes wrong in a scenario: the script's faults, carried out on worker hosts, list and load."""

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

RAMP_STEPS = 10  # a slow-down comes and goes in so many steps


class FaultSurroundings(Protocol):
    """What faults strike, and what carries them out."""

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
    """All of a scenario."""

    def __init__(self, world: FaultSurroundings) -> None:
        self.world, self.loop = world, world.loop
        self.acts: dict[str, Callable[[Fault, int], None]] = {
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
        """Plan all of them."""
        for n, fault in enumerate(self.world.scenario.faults):
            self.acts[fault.kind](fault, n)

    # ---- whom it strikes ----

    def struck(self, t: Fault, n: int) -> list[WorkerHost]:
        """Choose the workers: by name, or a share drawn; without either all."""
        worker_hosts = self.world.worker_hosts
        if t.workers:
            chosen = [name for word in t.workers for name in select(word, worker_hosts)]
        else:
            chosen = self.drawn(list(worker_hosts), 1.0 if t.share is None else t.share, n)
        chosen = list(dict.fromkeys(chosen))
        self.world.struck.setdefault(n, []).extend(chosen)
        return [worker_hosts[name] for name in chosen]

    def drawn(self, names: list[str], share: float, n: int) -> list[str]:
        """Draw a share of them, one at least, in an order of its own; alike for the same seed."""
        order = self.world.draws.generator("trouble", str(n)).permutation(len(names))
        return [names[k] for k in order[: max(1, round(share * len(names)))]] if share > 0 else []

    def struck_dispatchers(self, t: Fault, n: int) -> list[DispatcherHost]:
        """Choose the dispatchers."""
        dispatcher_hosts = {
            dispatcher_host.name: dispatcher_host for dispatcher_host in self.world.dispatcher_hosts
        }
        if t.dispatchers:
            chosen = [name for word in t.dispatchers for name in select(word, dispatcher_hosts)]
        else:
            chosen = self.drawn(list(dispatcher_hosts), 1.0 if t.share is None else t.share, n)
        self.world.struck.setdefault(n, []).extend(chosen)
        return [dispatcher_hosts[name] for name in chosen]

    def each(
        self,
        t: Fault,
        n: int,
        act: Callable[[WorkerHost], None],
        undo: Callable[[WorkerHost], None] | None = None,
    ) -> None:
        """Strike one after the other, and let each go after the fault's length."""
        for k, worker_host in enumerate(self.struck(t, n)):
            at = t.at + k * t.apart
            self.loop.at(at, act, worker_host)
            if undo is not None:
                self.loop.at(at + t.length, undo, worker_host)

    # ---- workers ----

    def slow(self, t: Fault, n: int) -> None:
        """Run slower; with a ramp in steps."""
        steps = RAMP_STEPS if t.ramp > 0 else 1
        factors = [1 + (t.factor - 1) * (k + 1) / steps for k in range(steps)]
        changes: list[tuple[float, float | None, float | None]] = []
        for k, factor in enumerate(factors):
            before = factors[k - 1] if k else None
            changes.append((t.at + t.ramp * k / steps, before, factor))
            changes.append((t.ends - t.ramp * k / steps, factor, before))
        for worker_host in self.struck(t, n):
            for at, old, new in changes:
                self.loop.at(at, worker_host.slow_by, old, new)

    def pause(self, t: Fault, n: int) -> None:
        """Stand still."""
        self.each(t, n, lambda m: m.pause(True), lambda m: m.pause(False))

    def fail(self, t: Fault, n: int) -> None:
        """Fail a share of the jobs."""
        entry = (t.chance, t.after)
        self.each(t, n, lambda m: m.failing.append(entry), lambda m: m.failing.remove(entry))

    def reset(self, t: Fault, n: int) -> None:
        """Reset a share of the connections as a job is written to them."""
        self.each(t, n, lambda m: m.resetting.append(t.chance), lambda m: m.resetting.remove(t.chance))

    def vanish(self, t: Fault, n: int) -> None:
        """Say nothing more, and lose all; come back as a new process."""
        notice = self.world.scenario.listing.silent_notice

        def go(m: WorkerHost) -> None:
            m.silent += 1
            m.die()
            self.world.listing.changed(m, notice)

        def back(m: WorkerHost) -> None:
            m.silent -= 1
            if not m.silent and not m.model.up:
                m.start()

        self.each(t, n, go, back)

    def restart(self, t: Fault, n: int) -> None:
        """Lose the process, and start it anew, cold."""

        def go(m: WorkerHost) -> None:
            m.die()
            self.world.listing.changed(m, self.world.scenario.listing.notice)

        self.each(t, n, go, lambda m: self.back(m, t))

    def back(self, m: WorkerHost, t: Fault) -> None:
        """Start a worker host's process anew, unless something else has already."""
        if not m.model.up and not m.silent:
            m.start(t.cold_share)

    def drain(self, t: Fault, n: int) -> None:
        """Drain, end once nothing is left or the time is up, and come back as a new process."""

        def back(m: WorkerHost) -> None:
            if m.model.draining:
                m.die()
                m.start(t.cold_share)

        self.each(t, n, lambda m: m.drain(), back)

    def cold(self, t: Fault, n: int) -> None:
        """Come into service only then, cold."""
        for k, worker_host in enumerate(self.struck(t, n)):
            self.world.absent.add(worker_host.name)
            self.loop.at(t.at + k * t.apart, self.back, worker_host, t)

    def cut_off(self, t: Fault, n: int) -> None:
        """Cut the paths between workers and dispatchers: nothing said there arrives."""
        worker_hosts = self.struck(t, n)
        ranks = [
            s.rank for s in (self.struck_dispatchers(t, n) if t.dispatchers else self.world.dispatcher_hosts)
        ]
        pairs = [(rank, worker_host.name) for worker_host in worker_hosts for rank in ranks]
        self.loop.at(t.at, self.world.cut.update, pairs)
        self.loop.at(t.ends, self.world.cut.subtract, pairs)

    # ---- load, list, dispatchers ----

    def burst(self, t: Fault, n: int) -> None:
        """Have more requests come."""
        self.world.clients.rush(self.world.dispatcher_hosts, t.factor, t.ramp, t.at, t.length, f"burst {n}")

    def heavy_tail(self, t: Fault, n: int) -> None:
        """Have a share of one class cost more."""
        tails, entry = self.world.clients.tails[t.job_class], (t.chance, t.factor)
        self.loop.at(t.at, tails.append, entry)
        self.loop.at(t.ends, tails.remove, entry)

    def list_down(self, t: Fault, n: int) -> None:
        """Take the list out of reach."""
        self.loop.at(t.at, self.world.listing.down, True)
        self.loop.at(t.ends, self.world.listing.down, False)

    def dispatcher_restart(self, t: Fault, n: int) -> None:
        """Restart dispatchers, as planned or by killing them."""
        for k, dispatcher_host in enumerate(self.struck_dispatchers(t, n)):
            at = t.at + k * t.apart
            if t.planned:
                self.loop.at(at, dispatcher_host.leave, t.length)
            else:
                self.loop.at(at, dispatcher_host.kill, None, t.length)
