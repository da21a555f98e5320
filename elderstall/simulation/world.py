"""One simulation run of a scenario: its components and its event loop."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from elderstall.simulation.attempt import AttemptTransport, UpstreamWorkerHost
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

GC_THRESHOLDS = 50_000, 10, 10  # of the cyclic garbage collector, by generation; see gc.set_threshold
# Simulated time between calls of ``progress``, and between checks whether the run can end early.
PROGRESS_STEP_MS = 250.0


class World:
    """The simulated network with its workers, dispatchers, clients and endpoint list."""

    def __init__(self, scenario: Scenario, seed: int | None = None, explain: int | None = None) -> None:
        self.scenario = scenario
        self.seed = scenario.seed if seed is None else seed
        self.loop = VirtualTime()
        self.draws = Draws(self.seed)
        self.log = CountingLog()
        self.epoch = EPOCH
        self.tally = Tally(scenario)
        self.audit = Auditor(self.loop, scenario.rules)
        self.explain = explain  # number of the request to keep for ``explained``
        self.explained: Request | None = None
        self.cut: Counter[tuple[int, str]] = Counter()  # faults that cut a path, by rank and worker
        self.struck: dict[int, list[str]] = {}  # affected workers and dispatchers, by number of the fault
        self.absent: set[str] = set()  # names of workers not in service at the start
        kinds = {kind.name: kind for kind in scenario.kinds}
        self.worker_hosts: dict[str, WorkerHost] = {}
        for spec in scenario.workers:
            kind = kinds[spec.kind]
            drawn = next(self.draws.lognormal_factors(kind.speed_spread, "speed", spec.name)) * kind.speed
            self.worker_hosts[spec.name] = WorkerHost(self, spec, kind, spec.speed or drawn)
        self.listing = ListService(self, scenario.listing, self.draws.uniform("list"))
        self.clients = Clients(self)
        self.dispatcher_hosts = [
            DispatcherHost(self, rank, weight) for rank, weight in enumerate(scenario.dispatchers.weights)
        ]

    def reaches(self, upstream: AttemptTransport, worker_host: UpstreamWorkerHost) -> bool:
        """Return whether messages between a dispatcher and a worker host are delivered at present."""
        if worker_host.silent_faults:
            return False
        return not self.cut or self.cut[upstream.process.dispatcher_host.rank, worker_host.name] <= 0

    # ---- running ----

    def begin(self) -> None:
        """Start every component of the simulation."""
        Faults(self).begin()
        for name in sorted(self.absent):
            self.worker_hosts[name].model.die(0.0)
        self.listing.begin(list(self.worker_hosts.values()))
        starts = self.draws.uniform("start")
        for dispatcher_host in self.dispatcher_hosts:
            dispatcher_host.last_list = self.listing.version, tuple(self.listing.entries.values())
            dispatcher_host.start()
            if not self.scenario.listing.must_ask and dispatcher_host.process is not None:
                # Notified without a list call, after a random delay, so that not all are notified at once.
                self.loop.after(
                    next(starts) * self.scenario.dispatchers.start_spread,
                    self.listing.follow,
                    dispatcher_host.process,
                )
        self.clients.begin(self.dispatcher_hosts)
        self.loop.at(BIN, self.sample, dict.fromkeys(self.worker_hosts, 0.0))

    def sample(self, before: dict[str, float]) -> None:
        """Record each worker's load over the last bin."""
        busy = []
        for name, worker_host in self.worker_hosts.items():
            worker_host.process_events(worker_host.model.advance(self.loop.now))
            ledger = worker_host.model.ledger
            used = ledger.busy + ledger.overhead
            busy.append((used - before[name]) / (worker_host.kind.cores * BIN))
            before[name] = used
        self.tally.sample(busy, self.loop.now)
        if self.loop.now < self.scenario.length:
            self.loop.at(self.loop.now + BIN, self.sample, before)

    def play(self, progress: Callable[[float], None] | None = None) -> dict[str, Any]:
        """Run to the end and return the figures; ``progress`` is called with the fraction done."""
        with infrequent_garbage_collection():
            return self._play(progress)

    def _play(self, progress: Callable[[float], None] | None) -> dict[str, Any]:
        self.begin()
        end = self.scenario.length + self.scenario.tail
        while self.loop.now < end:
            self.loop.run(min(end, self.loop.now + PROGRESS_STEP_MS))
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
def infrequent_garbage_collection() -> Iterator[None]:
    """Run the cyclic garbage collector less often; a large fleet has millions of long-lived objects."""
    before = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        yield
    finally:
        gc.set_threshold(*before)
        gc.unfreeze()


def play(scenario: Scenario, seed: int | None = None) -> dict[str, Any]:
    """Run a scenario and return its figures."""
    return World(scenario, seed).play()
