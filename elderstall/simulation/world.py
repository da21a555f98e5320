"""One night, played: everything that is in it, and the loop that moves it."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from elderstall.simulation.audit import Auditor
from elderstall.simulation.clients import Clients, Request
from elderstall.simulation.draws import Draws
from elderstall.simulation.figures import BIN, Tally, figures_of
from elderstall.simulation.listing import ListService
from elderstall.simulation.loop import VirtualTime
from elderstall.simulation.machine import Machine
from elderstall.simulation.script import EPOCH, Night
from elderstall.simulation.station import Station
from elderstall.simulation.station import Tally as CountingLog
from elderstall.simulation.troubles import Troubles
from elderstall.simulation.wire import Wire

COLLECT = 50_000, 10, 10  # allocations between looks for cycles, by generation
STEP = 250.0  # ms of the night between looks at its progress


class World:
    """The network, and who is on it."""

    def __init__(self, night: Night, seed: int | None = None, explain: int | None = None) -> None:
        self.night = night
        self.seed = night.seed if seed is None else seed
        self.loop, self.draws, self.log = VirtualTime(), Draws(self.seed), CountingLog()
        self.epoch = EPOCH
        self.tally = Tally(night)
        self.audit = Auditor(self.loop, night.rules)
        self.explain = explain  # the number of a request that is kept
        self.explained: Request | None = None
        self.cut: Counter[tuple[int, str]] = Counter()  # paths on which nothing arrives, by trouble
        self.struck: dict[int, list[str]] = {}
        self.absent: set[str] = set()  # not in service at the start
        kinds = {kind.name: kind for kind in night.kinds}
        self.machines: dict[str, Machine] = {}
        for spec in night.workers:
            kind = kinds[spec.kind]
            drawn = next(self.draws.spread(kind.speed_spread, "speed", spec.name)) * kind.speed
            self.machines[spec.name] = Machine(self, spec, kind, spec.speed or drawn)
        self.listing = ListService(self, night.listing, self.draws.uniform("list"))
        self.clients = Clients(self)
        self.stations = [Station(self, rank, weight) for rank, weight in enumerate(night.dispatchers.weights)]

    def reaches(self, wire: Wire, machine: Machine) -> bool:
        """Say whether anything said between a dispatcher and a machine arrives now."""
        if machine.silent:
            return False
        return not self.cut or self.cut[wire.process.station.rank, machine.name] <= 0

    # ---- playing ----

    def begin(self) -> None:
        """Set everything up."""
        Troubles(self).begin()
        for name in sorted(self.absent):
            self.machines[name].model.die(0.0)
        self.listing.begin(list(self.machines.values()))
        starts = self.draws.uniform("start")
        for station in self.stations:
            station.known = self.listing.version, tuple(self.listing.entries.values())
            station.start()
            if not self.night.listing.must_ask and station.process is not None:
                # Told unasked: after a moment of its own, as processes do not start in step.
                self.loop.after(
                    next(starts) * self.night.dispatchers.start_spread, self.listing.follow, station.process
                )
        self.clients.begin(self.stations)
        self.loop.at(BIN, self.sample, dict.fromkeys(self.machines, 0.0))

    def sample(self, before: dict[str, float]) -> None:
        """Note each worker's load over the last second."""
        busy = []
        for name, machine in self.machines.items():
            machine.poke(machine.model.advance(self.loop.now))
            book = machine.model.ledger
            used = book.busy + book.overhead
            busy.append((used - before[name]) / (machine.kind.cores * BIN))
            before[name] = used
        self.tally.sample(busy, self.loop.now)
        if self.loop.now < self.night.length:
            self.loop.at(self.loop.now + BIN, self.sample, before)

    def play(self, progress: Callable[[float], None] | None = None) -> dict[str, Any]:
        """Play to the end, and give the figures; ``progress`` is told the share that is done."""
        with few_collections():
            return self._play(progress)

    def _play(self, progress: Callable[[float], None] | None) -> dict[str, Any]:
        self.begin()
        end = self.night.length + self.night.tail
        while self.loop.now < end:
            self.loop.run(min(end, self.loop.now + STEP))
            if self.loop.now >= self.night.length and not self.clients.open:
                break
            if progress is not None:
                progress(self.loop.now / end)
        self.audit.close()
        for request in list(self.clients.open.values()):
            self.clients.close(request, "lost", self.loop.now)
        for machine in self.machines.values():
            machine.model.advance(self.loop.now)
        return figures_of(self)


@contextmanager
def few_collections() -> Iterator[None]:
    """Have Python look for cycles less often: a large fleet is millions of objects that live on."""
    before = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT)
    try:
        yield
    finally:
        gc.set_threshold(*before)
        gc.unfreeze()


def play(night: Night, seed: int | None = None) -> dict[str, Any]:
    """Play a night and give its figures."""
    return World(night, seed).play()
