"""The workers of the endpoint list in pool order, and those on probation."""

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

get_hash_order = attrgetter("hash_order")  # sort key of workers
# Its multiples, modulo 1, are spread evenly for any number of workers or dispatchers.
GOLDEN_RATIO = 0.6180339887


def in_pool_order(kinds: list[list[Worker]]) -> list[Worker]:
    """Return the workers of all kinds interleaved, so that any range holds each kind in proportion."""
    if len(kinds) == 1:
        return kinds[0]
    positions = sorted(
        ((n + 0.5) / len(workers), *worker.hash_order, worker)
        for workers in kinds
        for n, worker in enumerate(workers)
    )
    return [position[-1] for position in positions]


class Endpoints:
    """All known workers. Those that are up are divided into pools, or serve every tier if of a small kind."""

    def __init__(self, context: DecisionContext, capacity: CapacityModel, reserved: ReservedWorkers) -> None:
        self.context = context
        self.capacity = capacity
        self.reserved = reserved
        self.workers: dict[str, Worker] = {}
        self.pooled: list[Worker] = []  # up, of kinds large enough to be divided into pools, in pool order
        self.shared: list[Worker] = []  # up, of kinds too small for that: they serve every tier
        self.on_probation: dict[str, Worker] = {}  # must serve some jobs before they leave it
        self.total_capacity = 0.0  # of those that are up, ms of work a ms
        self.up_count = 0
        self.mean_jobs_per_core = 0.0  # derived from the weights in the endpoint list
        self.virtual_time = 0.0  # ms; virtual time of the rotation
        self._hash_ordered: list[Worker] = []  # all known workers, sorted by hash except the newest
        self._largest_weight: defaultdict[str, float] = defaultdict(float)  # by kind
        self._to_forget: set[str] = set()

    @property
    def fleet(self) -> list[Worker]:
        """Return all workers that are up, in order."""
        return self.pooled + self.shared

    @property
    def largest_weight(self) -> dict[str, float]:
        """Return the largest listed weight of each kind of worker."""
        return self._largest_weight

    def apply(self, event: EndpointListUpdate) -> bool:
        """Apply a list update, and return whether any worker was added, removed or restarted.

        A worker missing from a whole list is gone.
        """
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
        # Most updates change weights alone.
        return count != len(self.workers) or before != self._states(before)

    def _states(self, names: Iterable[str]) -> dict[str, tuple[bool, float | None]]:
        """Return whether each of the known workers in ``names`` is up, and its start time."""
        known = (worker for name in names if (worker := self.workers.get(name)) is not None)
        return {worker.name: (worker.up, worker.started) for worker in known}

    def _apply_entry(self, entry: Endpoint) -> None:
        """Add, restart or update the worker of a list entry."""
        up = entry.state is WorkerState.UP
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = Worker.from_endpoint(entry)
            self._hash_ordered.append(worker)
            if self.context.mode.has_many_dispatchers:
                # Otherwise all dispatchers would start with the same workers.
                spread = self.capacity.estimates.typical / ASSUMED_SLOTS
                worker.virtual_time = self.virtual_time + self.context.rng.random() * spread
        elif up and entry.started not in (None, worker.started):
            worker.restart(entry.started, self.context.now)
        worker.up = up
        worker.listed_preference_position = entry.preference_position
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
            spread_position = (self.context.settings.rank - n) * GOLDEN_RATIO % 1
            worker.preference_position = (
                spread_position
                if worker.listed_preference_position is None
                else worker.listed_preference_position
            )
            worker.fleet_index = n
        self.refresh()

    def _by_kind(self) -> dict[str, list[Worker]]:
        """Return the workers that are up by kind, each kind in hash order."""
        known = self.workers
        ordered = [
            worker for worker in self._hash_ordered if known.get(worker.name) is worker
        ]  # without those that were forgotten
        ordered.sort(key=get_hash_order)  # nearly sorted already: about one comparison each
        self._hash_ordered = ordered
        by_kind: dict[str, list[Worker]] = {}
        for worker in ordered:
            if worker.up:
                by_kind.setdefault(worker.kind, []).append(worker)
        return by_kind

    def refresh(self) -> None:
        """Update the estimates of all workers that are up, and the totals."""
        fleet = self.fleet
        self.capacity.refresh(fleet)
        self.reserved.select(fleet if self.context.mode.polls_before_placing else ())
        self.total_capacity = sum(worker.capacity for worker in fleet)
        self.up_count = len(fleet)
        self.on_probation = {worker.name: worker for worker in fleet if worker.probation}

    def record_run(self, attempt: Attempt, run_time: float) -> None:
        """Record the running time, ms, of a served job."""
        worker = attempt.worker
        before = worker.capacity
        self.capacity.record_run(attempt, run_time)
        self.total_capacity += worker.capacity - before if worker.up else 0.0

    def unavailable(self, now: float) -> set[str]:
        """Return the names of workers that get no new jobs now, or only those of their probation."""
        return {
            worker.name
            for worker in self.workers.values()
            if not worker.up or worker.backoff_until > now or worker.probation
        }

    def probation_candidates(self) -> Iterator[Worker]:
        """Yield the workers on probation that are up, in order."""
        for worker in sorted(self.on_probation.values(), key=lambda worker: worker.fleet_index):
            if worker.up:
                yield worker

    def forget(self, names: Iterable[str]) -> None:
        """Forget workers that are gone for good, once they have no pending poll and no attempt in flight."""
        self._to_forget.update(names)
        for name in sorted(self._to_forget):
            worker = self.workers.get(name)
            if worker is None or worker.up:
                self._to_forget.discard(name)
            elif not (worker.slots_in_flight or worker.poll_pending):
                self._to_forget.discard(name)
                del self.workers[name]
                self.on_probation.pop(name, None)
