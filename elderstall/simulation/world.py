"""One scenario, played: everything that is in it, and the loop that moves it."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from elderstall.simulation.attempt import AttemptCarrier, TargetHost
from elderstall.simulation.audit import Auditor
from elderstall.simulation.clients import Clients
from elderstall.simulation.dispatcher_host import CountingLog, DispatcherHost
from elderstall.simulation.draws import Draws
from elderstall.simulation.faults import Faults
from elderstall.simulation.figures import BIN, Tally, figures_of
from elderstall.simulation.listing import ListService
from elderstall.simulation.loop import VirtualTime
from elderstall.simulation.requests import Request
from elderstall.simulation.scenario import EPOCH, Scenario
from elderstall.simulation.worker_host import WorkerHost

COLLECT = 50_000, 10, 10  # allocations between looks for cycles, by generation
STEP = 250.0  # ms of the scenario between looks at its progress


class World:
    """The network, and who is on it."""

    def __init__(self, scenario: Scenario, seed: int | None = None, explain: int | None = None) -> None:
        self.scenario = scenario
        self.seed = scenario.seed if seed is None else seed
        self.loop, self.draws, self.log = VirtualTime(), Draws(self.seed), CountingLog()
        self.epoch = EPOCH
        self.tally = Tally(scenario)
        self.audit = Auditor(self.loop, scenario.rules)
        self.explain = explain  # the number of a request that is kept
        self.explained: Request | None = None
        self.cut: Counter[tuple[int, str]] = Counter()  # paths on which nothing arrives, by fault
        self.struck: dict[int, list[str]] = {}
        self.absent: set[str] = set()  # not in service at the start
        kinds = {kind.name: kind for kind in scenario.kinds}
        self.worker_hosts: dict[str, WorkerHost] = {}
        for spec in scenario.workers:
            kind = kinds[spec.kind]
            drawn = next(self.draws.spread(kind.speed_spread, "speed", spec.name)) * kind.speed
            self.worker_hosts[spec.name] = WorkerHost(self, spec, kind, spec.speed or drawn)
        self.listing = ListService(self, scenario.listing, self.draws.uniform("list"))
        self.clients = Clients(self)
        self.dispatcher_hosts = [
            DispatcherHost(self, rank, weight) for rank, weight in enumerate(scenario.dispatchers.weights)
        ]

    def reaches(self, upstream: AttemptCarrier, worker_host: TargetHost) -> bool:
        """Say whether anything said between a dispatcher and a worker host arrives now."""
        if worker_host.silent:
            return False
        return not self.cut or self.cut[upstream.process.dispatcher_host.rank, worker_host.name] <= 0

    # ---- playing ----

    def begin(self) -> None:
        """Set everything up."""
        Faults(self).begin()
        for name in sorted(self.absent):
            self.worker_hosts[name].model.die(0.0)
        self.listing.begin(list(self.worker_hosts.values()))
        starts = self.draws.uniform("start")
        for dispatcher_host in self.dispatcher_hosts:
            dispatcher_host.known = self.listing.version, tuple(self.listing.entries.values())
            dispatcher_host.start()
            if not self.scenario.listing.must_ask and dispatcher_host.process is not None:
                # Notified without a call: after a moment of its own, as processes do not start in step.
                self.loop.after(
                    next(starts) * self.scenario.dispatchers.start_spread,
                    self.listing.follow,
                    dispatcher_host.process,
                )
        self.clients.begin(self.dispatcher_hosts)
        self.loop.at(BIN, self.sample, dict.fromkeys(self.worker_hosts, 0.0))

    def sample(self, before: dict[str, float]) -> None:
        """Note each worker's load over the last second."""
        busy = []
        for name, worker_host in self.worker_hosts.items():
            worker_host.poke(worker_host.model.advance(self.loop.now))
            book = worker_host.model.ledger
            used = book.busy + book.overhead
            busy.append((used - before[name]) / (worker_host.kind.cores * BIN))
            before[name] = used
        self.tally.sample(busy, self.loop.now)
        if self.loop.now < self.scenario.length:
            self.loop.at(self.loop.now + BIN, self.sample, before)

    def play(self, progress: Callable[[float], None] | None = None) -> dict[str, Any]:
        """Play to the end, and give the figures; ``progress`` gets the share that is done."""
        with few_collections():
            return self._play(progress)

    def _play(self, progress: Callable[[float], None] | None) -> dict[str, Any]:
        self.begin()
        end = self.scenario.length + self.scenario.tail
        while self.loop.now < end:
            self.loop.run(min(end, self.loop.now + STEP))
            if self.loop.now >= self.scenario.length and not self.clients.open:
                break
            if progress is not None:
                progress(self.loop.now / end)
        self.audit.close()
        for request in list(self.clients.open.values()):
            self.clients.close(request, "lost", self.loop.now)
        for worker_host in self.worker_hosts.values():
            worker_host.model.advance(self.loop.now)
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


def play(scenario: Scenario, seed: int | None = None) -> dict[str, Any]:
    """Play a scenario and give its figures."""
    return World(scenario, seed).play()
