"""The workers that the endpoint list has named, in pool order, and those on probation."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from operator import attrgetter

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import ASSUMED_SLOTS, DecisionContext
from elderstall.decisions.queue_model import TIER_WEIGHTS
from elderstall.decisions.records import Attempt, Worker
from elderstall.decisions.reserved_workers import ReservedWorkers
from elderstall.interface import Endpoint, EndpointListUpdate, ListScope, WorkerState

HASH_ORDER = attrgetter("hash_order")  # of workers
GOLDEN_RATIO = 0.6180339887  # its multiples fall evenly on any stretch of workers or dispatchers


def in_pool_order(kinds: list[list[Worker]]) -> list[Worker]:
    """Mix the workers of kinds, so that any stretch has its part of each."""
    if len(kinds) == 1:
        return kinds[0]
    places = sorted(
        ((n + 0.5) / len(workers), *worker.hash_order, worker)
        for workers in kinds
        for n, worker in enumerate(workers)
    )
    return [place[-1] for place in places]


class Endpoints:
    """All known workers. Those that are up are cut into pools by kind, or serve every tier."""

    def __init__(self, context: DecisionContext, capacity: CapacityModel, reserved: ReservedWorkers) -> None:
        self.context, self.capacity, self.reserved = context, capacity, reserved
        self.workers: dict[str, Worker] = {}
        self.pooled: list[Worker] = []  # up, of kinds large enough to be cut into pools, in pool order
        self.shared: list[Worker] = []  # up, of kinds too small for that: they serve every tier
        self.on_probation: dict[str, Worker] = {}  # must serve some jobs before they have others again
        self.total_capacity = 0.0  # of those that are up, ms of work a ms
        self.up_count = 0
        self.mean_jobs_per_core = 0.0  # by the endpoint list's weights
        self.virtual_time = 0.0  # virtual ms of the rotation
        self._hash_ordered: list[Worker] = []  # all that are known, by hash but for the newest
        self._largest_weight: defaultdict[str, float] = defaultdict(float)  # by kind
        self._to_forget: set[str] = set()

    @property
    def fleet(self) -> list[Worker]:
        """All that are up, in order."""
        return self.pooled + self.shared

    @property
    def largest_weight(self) -> dict[str, float]:
        """The largest weight that the list gave a worker of each kind."""
        return self._largest_weight

    def apply(self, event: EndpointListUpdate) -> bool:
        """Take a watch event; a worker missing from a whole list is gone. Says whether any came or went."""
        whole = event.scope is ListScope.WHOLE
        before = self._states(self.workers if whole else [entry.worker for entry in event.entries])
        if whole:
            for worker in self.workers.values():
                worker.up = False
        count = len(self.workers)
        for entry in event.entries:
            self._apply_entry(entry)
        jobs_per_core = sum(worker.jobs_per_core for worker in self.pooled)
        self.mean_jobs_per_core = jobs_per_core / max(1, len(self.pooled))
        # Most lists bring new weights alone.
        return count != len(self.workers) or before != self._states(before)

    def _states(self, names: Iterable[str]) -> dict[str, tuple[bool, float | None]]:
        """Give whether some workers are up, and their starts."""
        known = (worker for name in names if (worker := self.workers.get(name)) is not None)
        return {worker.name: (worker.up, worker.started) for worker in known}

    def _apply_entry(self, entry: Endpoint) -> None:
        up = entry.state is WorkerState.UP
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = Worker.from_endpoint(entry)
            self._hash_ordered.append(worker)
            if self.context.mode.large_fleet:  # or all dispatchers would start with the same workers
                spread = self.capacity.estimates.typical / ASSUMED_SLOTS
                worker.virtual_time = self.virtual_time + self.context.rng.random() * spread
        elif up and entry.started not in (None, worker.started):
            worker.restart(entry.started, self.context.now)
        worker.up, worker.listed_preference_position = up, entry.preference_position
        self.workers[entry.worker] = worker
        largest = max(self._largest_weight[entry.kind], entry.weight)
        self._largest_weight[entry.kind] = largest
        worker.jobs_per_core = largest / entry.weight - 1

    def rebuild(self) -> None:
        """Put the workers that are up in pool order, by stable hash within each kind."""
        by_kind = self._by_kind()
        small = [workers for workers in by_kind.values() if len(workers) < len(TIER_WEIGHTS)]
        self.shared = [worker for workers in small for worker in workers]
        self.pooled = in_pool_order([kind for kind in by_kind.values() if len(kind) >= len(TIER_WEIGHTS)])
        self.capacity.count_workers(len(self.pooled) + len(self.shared))
        for n, worker in enumerate(self.fleet):
            evenly = (self.context.settings.rank - n) * GOLDEN_RATIO % 1
            worker.preference_position = (
                evenly if worker.listed_preference_position is None else worker.listed_preference_position
            )
            worker.fleet_index = n
        self.refresh()

    def _by_kind(self) -> dict[str, list[Worker]]:
        """Give the workers that are up by kind, each kind by hash."""
        known = self.workers
        ordered = [
            worker for worker in self._hash_ordered if known.get(worker.name) is worker
        ]  # not forgotten
        ordered.sort(key=HASH_ORDER)  # as few are out of place, one comparison each
        self._hash_ordered = ordered
        by_kind: dict[str, list[Worker]] = {}
        for worker in ordered:
            if worker.up:
                by_kind.setdefault(worker.kind, []).append(worker)
        return by_kind

    def refresh(self) -> None:
        """Work out all that are up anew, and what they come to."""
        fleet = self.fleet
        self.capacity.refresh(fleet)
        self.reserved.fill(fleet if self.context.mode.polls_before_placing else ())
        self.total_capacity, self.up_count = sum(worker.capacity for worker in fleet), len(fleet)
        self.on_probation = {worker.name: worker for worker in fleet if worker.probation}

    def record_run(self, attempt: Attempt, run_time: float) -> None:
        """Take the running time of a served job."""
        worker = attempt.worker
        before = worker.capacity
        self.capacity.record_run(attempt, run_time)
        self.total_capacity += worker.capacity - before if worker.up else 0.0

    def unavailable(self, now: float) -> set[str]:
        """Name the workers that get no new jobs now, or only those of their probation."""
        return {
            worker.name
            for worker in self.workers.values()
            if not worker.up or worker.backoff_until > now or worker.probation
        }

    def probation_candidates(self) -> Iterator[Worker]:
        """Give the workers on probation that are up, in order."""
        for worker in sorted(self.on_probation.values(), key=lambda worker: worker.fleet_index):
            if worker.up:
                yield worker

    def forget(self, names: Iterable[str]) -> None:
        """Forget workers that are gone for good, once no poll and no attempt of theirs is out."""
        self._to_forget.update(names)
        for name in sorted(self._to_forget):
            worker = self.workers.get(name)
            if worker is None or worker.up:
                self._to_forget.discard(name)
            elif not (worker.slots_in_flight or worker.poll_pending):
                self._to_forget.discard(name)
                del self.workers[name]
                self.on_probation.pop(name, None)
