"""What the workers can do, and which part of that is ours: learned speeds, slots and shares."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from elderstall.decisions.context import ASSUMED_SLOTS, WHOLE_SLOTS_THRESHOLD, DecisionContext
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.records import Attempt, Worker
from elderstall.routing.subset import MIN_LARGE_FLEET

PRIOR_JOBS = 5.0  # a worker's own speed weighs as its kind's until it has completed about so many jobs
MEMORY_JOBS = 30.0  # completed jobs over which speeds are forgotten, to follow a worker that slows
SEEN_TIMES = 2.0  # times the slots ever seen: what a cold worker's are believed to be at most
FREE_LEAST = 0.9  # slots that a report must show free for more than one job of ours: it is a second old
MAX_ATTEMPTS_PER_WORKER = 3  # where starts are not notified: the share of its slots is a guess
OWNED_WORKERS = 16  # of one dispatcher, where workers are polled: few, so that connections are kept
PREFERRED_WORKERS = 200  # of a large fleet, that jobs go to first, so that connections to them are kept
PREFERRED_TIMES = 4.0  # times the workers that our traffic fills, if that is more
FLEET_FRACTION_MARGIN = 1.25  # times the mean work that arrives here: some capacity beyond it


@dataclass(slots=True)
class KindStatistics:
    """What is learned of all workers of one kind."""

    work_done: float = 0.0  # decayed, ms on a standard core
    run_time: float = 0.0  # decayed, ms
    peak_slots: float = 1.0  # most slots seen on any of them
    assumed_slots: float = ASSUMED_SLOTS  # until reports tell


class CapacityModel:
    """Estimates of workers' speed, slots and capacity, and of this dispatcher's share of them."""

    def __init__(self, context: DecisionContext, estimates: WorkEstimates) -> None:
        self.context, self.estimates = context, estimates
        self.kinds: defaultdict[str, KindStatistics] = defaultdict(KindStatistics)
        self.fleet_fraction = 1 / context.settings.dispatchers  # of the fleet's capacity, 0 to 1
        self.owned_fraction = 1.0  # of the workers, owned by this dispatcher where workers are polled, 0 to 1
        self.preferred_fraction = math.inf  # of the workers, by preference position, that jobs go to first
        self._workers = 0  # that are up
        self._need = 0.0  # part of the fleet that the work which comes to us fills
        self.total_slot_share = 0.0  # slots of the whole fleet that this dispatcher may use
        self.ms_per_unit = 1.0  # mean running time of a ms of work

    def count_workers(self, workers: int) -> None:
        """Take how many workers are up: of many, few are our own."""
        self.owned_fraction = min(
            1.0, max(self.context.settings.min_owned_fraction, OWNED_WORKERS / max(1, workers))
        )
        self._workers = workers
        self._size_preferred()

    def update_fleet_fraction(self, work: float, interval: float, fleet_capacity: float) -> None:
        """Size our part of the fleet by the work, ms, that came to us in an interval, ms."""
        wanted = FLEET_FRACTION_MARGIN * work / interval
        self._need = wanted / fleet_capacity
        self.fleet_fraction = max(1 / self.context.settings.dispatchers, self._need)
        self._size_preferred()

    def _size_preferred(self) -> None:
        """Size the part of a large fleet that jobs go to first; of another it is all.

        Guards against a connection for nearly every job: what does not fit on our own workers would go round
        all that are known, and no connection would be kept long enough to be used again.
        """
        large = self.context.settings.subset_dispatchers_per_worker or self._workers > MIN_LARGE_FLEET
        if self._workers and large:
            self.preferred_fraction = max(PREFERRED_WORKERS / self._workers, PREFERRED_TIMES * self._need)
        else:
            self.preferred_fraction = math.inf

    def update_totals(self, fleet: Iterable[Worker], fleet_capacity: float) -> None:
        """Sum up what is ours of a fleet, and its pace."""
        fleet = list(fleet)
        self.total_slot_share = sum(worker.slot_share for worker in fleet)
        self.ms_per_unit = sum(worker.slots for worker in fleet) / fleet_capacity

    def refresh(self, workers: Iterable[Worker]) -> None:
        """Work out workers' speed, slots, capacity and our part; kinds stand in for what is not seen yet."""
        settings, now = self.context.settings, self.context.now
        prior, dispatchers_per_worker = PRIOR_JOBS * self.estimates.typical, settings.dispatchers_per_worker
        slow_start = settings.slow_start_duration + settings.slow_start_window
        by_kind: dict[str, tuple[float, float]] = {}
        for worker in workers:
            if worker.kind not in by_kind:
                kind = self.kinds[worker.kind]
                shown = prior * ((kind.work_done + prior) / (kind.run_time + prior))
                by_kind[worker.kind] = shown, max(kind.peak_slots, kind.assumed_slots)
            shown, slots = by_kind[worker.kind]
            # Hardly any worker is in slow start: no calls for the others.
            cold = worker.started is not None and now - worker.started <= slow_start
            warm_up_fraction = worker.warm_up_fraction(now, settings) if cold else 1.0
            worker.speed = (worker.work_done + shown) / (worker.run_time + prior)
            worker.slots = slots if slots > worker.peak_slots else worker.peak_slots
            worker.capacity = worker.slots * worker.speed * warm_up_fraction
            worker.slot_share = self._slot_share(worker, warm_up_fraction, dispatchers_per_worker, cold=cold)

    def _slot_share(
        self, worker: Worker, warm_up_fraction: float, dispatchers_per_worker: float, *, cold: bool
    ) -> float:
        """Give our part of a worker's slots."""
        if self.context.mode.polls_before_placing:
            # Of cold ones no more are ours, so that all dispatchers together keep to the slow-start rule.
            near = worker.preference_position < self.owned_fraction
            return float(
                near or (not cold and worker.preference_position < 2 * worker.slots * self.fleet_fraction)
            )
        if worker.slots < WHOLE_SLOTS_THRESHOLD * dispatchers_per_worker:
            # Guards against queues filled unseen: of a part under a slot, whole slots of few are ours.
            return float(worker.preference_position < worker.slots * warm_up_fraction * self.fleet_fraction)
        return worker.slots * warm_up_fraction / dispatchers_per_worker

    def open_slots(self, worker: Worker) -> int:
        """Give the slots open to us: where starts are not notified, by our part of it if one is free."""
        if self.context.settings.notifies_start or worker.free_slots < FREE_LEAST:
            return worker.slot_limit
        return max(
            worker.slot_limit, min(MAX_ATTEMPTS_PER_WORKER, int(1 + 2 * worker.slots * self.fleet_fraction))
        )

    def saw_slots(self, worker: Worker, slots: int) -> None:
        """Take a number of slots that a worker was seen to have."""
        worker.peak_slots = max(worker.peak_slots, slots)
        kind = self.kinds[worker.kind]
        kind.peak_slots = max(kind.peak_slots, slots)

    def saw_start(self, worker: Worker, slots: int) -> None:
        """Take the start of a job of so many slots; call it before the job counts as running.

        Guards the slow-start rule: the end that made room for it may be notified only after it, so with the
        others that run it would show a slot too many, and a worker of one slot for one of two.
        """
        self.saw_slots(worker, max(worker.slots_running - worker.stale_slots, slots))
        worker.last_start_at = self.context.now

    def saw_end(self, attempt: Attempt) -> None:
        """Take the end of an attempt that had started; call it while the attempt still counts as running."""
        worker = attempt.worker
        if self.context.now - worker.last_start_at > self.context.mode.prompt_slack:
            # An end as late as that would have been notified by now.
            self.saw_slots(worker, worker.slots_running - worker.stale_slots)
        worker.stale_slots = min(worker.stale_slots, worker.slots_running - attempt.job.slots)

    def cold_capacity(self, worker: Worker) -> float:
        """Give what a cold worker does now: speed x slots x warm-up fraction, in ms of work a ms.

        Guards the slow-start rule: until a report tells, the slots of a kind are a guess, and thirty light
        dispatchers that each take a worker of one slot for one of four overload it together.
        """
        seen = max(worker.peak_slots, self.kinds[worker.kind].peak_slots)
        warm_up_fraction = worker.warm_up_fraction(self.context.now, self.context.settings)
        return min(worker.slots, SEEN_TIMES * seen) * worker.speed * warm_up_fraction

    def record_run(self, attempt: Attempt, run_time: float) -> None:
        """Take the running time, ms, of a served job into its worker's speed and its class's mean work."""
        job, worker = attempt.job, attempt.worker
        run_time = max(run_time, 1.0)
        fade = 1 - 1 / MEMORY_JOBS
        kind_fade = (fade + 1) / 2
        kind = self.kinds[worker.kind]
        worker.work_done = worker.work_done * fade + job.work
        worker.run_time = worker.run_time * fade + run_time
        kind.work_done = kind.work_done * kind_fade + job.work
        kind.run_time = kind.run_time * kind_fade + run_time
        self.estimates.record(job.cls.name, run_time * worker.speed)
        self.refresh((worker,))
