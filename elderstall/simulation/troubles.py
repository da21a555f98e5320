"""What goes wrong in a night: the script's troubles, carried out on machines, list and load."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from elderstall.simulation.reading import select
from elderstall.simulation.script import Trouble

if TYPE_CHECKING:
    from elderstall.simulation.machine import Machine
    from elderstall.simulation.station import Station
    from elderstall.simulation.world import World

RAMP_STEPS = 10  # a slow-down comes and goes in so many steps


class Troubles:
    """All of a night."""

    def __init__(self, world: World) -> None:
        self.world, self.loop = world, world.loop
        self.acts: dict[str, Callable[[Trouble, int], None]] = {
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
        for n, trouble in enumerate(self.world.night.troubles):
            self.acts[trouble.kind](trouble, n)

    # ---- whom it strikes ----

    def struck(self, t: Trouble, n: int) -> list[Machine]:
        """Choose the workers: by name, or a share drawn; without either all."""
        machines = self.world.machines
        if t.workers:
            chosen = [name for word in t.workers for name in select(word, machines)]
        else:
            chosen = self.drawn(list(machines), 1.0 if t.share is None else t.share, n)
        chosen = list(dict.fromkeys(chosen))
        self.world.struck.setdefault(n, []).extend(chosen)
        return [machines[name] for name in chosen]

    def drawn(self, names: list[str], share: float, n: int) -> list[str]:
        """Draw a share of them, one at least, in an order of its own; alike for the same seed."""
        order = self.world.draws.generator("trouble", str(n)).permutation(len(names))
        return [names[k] for k in order[: max(1, round(share * len(names)))]] if share > 0 else []

    def posts(self, t: Trouble, n: int) -> list[Station]:
        """Choose the dispatchers."""
        stations = {station.name: station for station in self.world.stations}
        if t.dispatchers:
            chosen = [name for word in t.dispatchers for name in select(word, stations)]
        else:
            chosen = self.drawn(list(stations), 1.0 if t.share is None else t.share, n)
        self.world.struck.setdefault(n, []).extend(chosen)
        return [stations[name] for name in chosen]

    def each(
        self,
        t: Trouble,
        n: int,
        act: Callable[[Machine], None],
        undo: Callable[[Machine], None] | None = None,
    ) -> None:
        """Strike one after the other, and let each go after the trouble's length."""
        for k, machine in enumerate(self.struck(t, n)):
            at = t.at + k * t.apart
            self.loop.at(at, act, machine)
            if undo is not None:
                self.loop.at(at + t.length, undo, machine)

    # ---- workers ----

    def slow(self, t: Trouble, n: int) -> None:
        """Run slower; with a ramp in steps."""
        steps = RAMP_STEPS if t.ramp > 0 else 1
        factors = [1 + (t.factor - 1) * (k + 1) / steps for k in range(steps)]
        changes: list[tuple[float, float | None, float | None]] = []
        for k, factor in enumerate(factors):
            before = factors[k - 1] if k else None
            changes.append((t.at + t.ramp * k / steps, before, factor))
            changes.append((t.ends - t.ramp * k / steps, factor, before))
        for machine in self.struck(t, n):
            for at, old, new in changes:
                self.loop.at(at, machine.slow_by, old, new)

    def pause(self, t: Trouble, n: int) -> None:
        """Stand still."""
        self.each(t, n, lambda m: m.pause(True), lambda m: m.pause(False))

    def fail(self, t: Trouble, n: int) -> None:
        """Fail a share of the jobs."""
        entry = (t.chance, t.after)
        self.each(t, n, lambda m: m.failing.append(entry), lambda m: m.failing.remove(entry))

    def reset(self, t: Trouble, n: int) -> None:
        """Reset a share of the connections as a job is written to them."""
        self.each(t, n, lambda m: m.resetting.append(t.chance), lambda m: m.resetting.remove(t.chance))

    def vanish(self, t: Trouble, n: int) -> None:
        """Say nothing more, and lose all; come back as a new process."""
        notice = self.world.night.listing.silent_notice

        def go(m: Machine) -> None:
            m.silent += 1
            m.die()
            self.world.listing.changed(m, notice)

        def back(m: Machine) -> None:
            m.silent -= 1
            if not m.silent and not m.model.up:
                m.start()

        self.each(t, n, go, back)

    def restart(self, t: Trouble, n: int) -> None:
        """Lose the process, and start it anew, cold."""

        def go(m: Machine) -> None:
            m.die()
            self.world.listing.changed(m, self.world.night.listing.notice)

        self.each(t, n, go, lambda m: self.back(m, t))

    def back(self, m: Machine, t: Trouble) -> None:
        """Start a machine's process anew, unless something else has already."""
        if not m.model.up and not m.silent:
            m.start(t.cold_share)

    def drain(self, t: Trouble, n: int) -> None:
        """Drain, end once nothing is left or the time is up, and come back as a new process."""

        def back(m: Machine) -> None:
            if m.model.draining:
                m.die()
                m.start(t.cold_share)

        self.each(t, n, lambda m: m.drain(), back)

    def cold(self, t: Trouble, n: int) -> None:
        """Come into service only then, cold."""
        for k, machine in enumerate(self.struck(t, n)):
            self.world.absent.add(machine.name)
            self.loop.at(t.at + k * t.apart, self.back, machine, t)

    def cut_off(self, t: Trouble, n: int) -> None:
        """Cut the paths between workers and dispatchers: nothing said there arrives."""
        machines = self.struck(t, n)
        ranks = [s.rank for s in (self.posts(t, n) if t.dispatchers else self.world.stations)]
        pairs = [(rank, machine.name) for machine in machines for rank in ranks]
        self.loop.at(t.at, self.world.cut.update, pairs)
        self.loop.at(t.ends, self.world.cut.subtract, pairs)

    # ---- load, list, dispatchers ----

    def burst(self, t: Trouble, n: int) -> None:
        """Have more requests come."""
        self.world.clients.rush(self.world.stations, t.factor, t.ramp, t.at, t.length, f"burst {n}")

    def heavy_tail(self, t: Trouble, n: int) -> None:
        """Have a share of one class cost more."""
        tails, entry = self.world.clients.tails[t.job_class], (t.chance, t.factor)
        self.loop.at(t.at, tails.append, entry)
        self.loop.at(t.ends, tails.remove, entry)

    def list_down(self, t: Trouble, n: int) -> None:
        """Take the list out of reach."""
        self.loop.at(t.at, self.world.listing.down, True)
        self.loop.at(t.ends, self.world.listing.down, False)

    def dispatcher_restart(self, t: Trouble, n: int) -> None:
        """Restart dispatchers, as planned or by killing them."""
        for k, station in enumerate(self.posts(t, n)):
            at = t.at + k * t.apart
            if t.planned:
                self.loop.at(at, station.leave, t.length)
            else:
                self.loop.at(at, station.kill, None, t.length)
