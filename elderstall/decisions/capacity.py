"""Learned speeds, slots and capacities of workers, and this dispatcher's share of them."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from elderstall.decisions.context import ASSUMED_SLOTS, WHOLE_SLOTS_THRESHOLD, DecisionContext
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.records import Attempt, Worker
from elderstall.routing.subset import MIN_MANY_WORKERS

KIND_PRIOR_JOBS = 5.0  # completed jobs at which a worker's own speed weighs as much as that of its kind
SPEED_WINDOW_JOBS = 30.0  # over which learned speeds decay, to follow a worker that becomes slower
MAX_COLD_SLOTS_FACTOR = 2.0  # of the slots ever seen: upper bound on the slots assumed in slow start
# In a load report, which may be 1 s old and is noisy: a worker with fewer free slots counts as full.
MIN_FREE_SLOTS = 0.9
# Slots in flight that a reported free slot may raise a worker to, where starts are not notified: the share
# of its slots is only estimated. The learned slot limit may exceed it.
MAX_ATTEMPTS_PER_WORKER = 3
OWNED_WORKERS = 16  # per dispatcher, where workers are polled: few, so that connections are reused
PREFERRED_WORKERS = 200  # of many workers, used first so that connections to them are reused
PREFERRED_DEMAND_FACTOR = 4.0  # of the workers that this dispatcher's traffic fills, if that is more
FLEET_FRACTION_MARGIN = 1.25  # of the mean work that arrives here, to leave spare capacity


@dataclass(slots=True)
class KindStatistics:
    """What is learned of all workers of one kind."""

    work_done: float = 0.0  # decayed, ms on a standard core
    run_time: float = 0.0  # decayed, ms
    peak_slots: float = 1.0  # maximum of slots seen on any of them
    assumed_slots: float = ASSUMED_SLOTS  # until a load report comes with a response


class CapacityModel:
    """Estimates of workers' speed, slots and capacity, and of this dispatcher's share of them."""

    def __init__(self, context: DecisionContext, estimates: WorkEstimates) -> None:
        self.context = context
        self.estimates = estimates
        self.kinds: defaultdict[str, KindStatistics] = defaultdict(KindStatistics)
        self.fleet_fraction = 1 / context.settings.dispatchers  # of the fleet's capacity, 0 to 1
        self.owned_fraction = 1.0  # of the workers, owned by this dispatcher where workers are polled, 0 to 1
        self.preferred_fraction = math.inf  # of the workers, by preference position, that jobs go to first
        self._up_workers = 0
        self._demand_fraction = 0.0  # of the fleet's capacity, that the work arriving here fills
        self.total_slot_share = 0.0  # slots of the whole fleet that this dispatcher may use
        self.ms_per_unit = 1.0  # mean running time of a ms of work

    def count_workers(self, workers: int) -> None:
        """Update the owned and preferred fractions to the number of workers that are up."""
        self.owned_fraction = min(
            1.0, max(self.context.settings.min_owned_fraction, OWNED_WORKERS / max(1, workers))
        )
        self._up_workers = workers
        self._size_preferred()

    def update_fleet_fraction(self, work: float, interval: float, fleet_capacity: float) -> None:
        """Update the fleet fraction from the work, ms, that arrived here in an interval, ms."""
        wanted = FLEET_FRACTION_MARGIN * work / interval
        self._demand_fraction = wanted / fleet_capacity
        self.fleet_fraction = max(1 / self.context.settings.dispatchers, self._demand_fraction)
        self._size_preferred()

    def _size_preferred(self) -> None:
        """Set the fraction of the workers that jobs go to first; where workers are few, it is the whole.

        Otherwise jobs that don't fit on owned workers would rotate over all known workers, no connection
        would be kept long enough to be reused, and nearly every job would open one.
        """
        has_many_workers = (
            self.context.settings.subset_dispatchers_per_worker or self._up_workers > MIN_MANY_WORKERS
        )
        if self._up_workers and has_many_workers:
            self.preferred_fraction = max(
                PREFERRED_WORKERS / self._up_workers, PREFERRED_DEMAND_FACTOR * self._demand_fraction
            )
        else:
            self.preferred_fraction = math.inf

    def update_totals(self, fleet: Iterable[Worker], fleet_capacity: float) -> None:
        """Update the total slot share and the mean running time of a ms of work."""
        fleet = list(fleet)
        self.total_slot_share = sum(worker.slot_share for worker in fleet)
        self.ms_per_unit = sum(worker.slots for worker in fleet) / fleet_capacity

    def refresh(self, workers: Iterable[Worker]) -> None:
        """Update workers' speed, slots, capacity and slot share.

        Where too little was seen of a worker, the statistics of its kind are used.
        """
        settings = self.context.settings
        now = self.context.now
        prior = KIND_PRIOR_JOBS * self.estimates.typical
        dispatchers_per_worker = settings.dispatchers_per_worker
        slow_start = settings.slow_start_duration + settings.slow_start_window
        by_kind: dict[str, tuple[float, float]] = {}  # work in the prior run time, ms, and slots
        for worker in workers:
            if worker.kind not in by_kind:
                kind = self.kinds[worker.kind]
                prior_work = prior * ((kind.work_done + prior) / (kind.run_time + prior))
                by_kind[worker.kind] = prior_work, max(kind.peak_slots, kind.assumed_slots)
            prior_work, slots = by_kind[worker.kind]
            # Few workers are in slow start or the window after it; for the others the call is avoided to save
            # CPU.
            in_slow_start = worker.started is not None and now - worker.started <= slow_start
            warm_up_fraction = worker.warm_up_fraction(now, settings) if in_slow_start else 1.0
            worker.speed = (worker.work_done + prior_work) / (worker.run_time + prior)
            worker.slots = slots if slots > worker.peak_slots else worker.peak_slots
            worker.capacity = worker.slots * worker.speed * warm_up_fraction
            worker.slot_share = self._slot_share(
                worker, warm_up_fraction, dispatchers_per_worker, in_slow_start=in_slow_start
            )

    def _slot_share(
        self, worker: Worker, warm_up_fraction: float, dispatchers_per_worker: float, *, in_slow_start: bool
    ) -> float:
        """Return this dispatcher's share of a worker's slots."""
        if self.context.mode.polls_before_placing:
            # Workers in slow start are shared by their owners alone, so that all dispatchers together keep
            # to the slow-start rule.
            is_owned = worker.preference_position < self.owned_fraction
            return float(
                is_owned
                or (not in_slow_start and worker.preference_position < 2 * worker.slots * self.fleet_fraction)
            )
        if worker.slots < WHOLE_SLOTS_THRESHOLD * dispatchers_per_worker:
            # A share far below one slot would let dispatchers fill workers' queues unseen. Instead this
            # dispatcher has whole slots of few workers.
            return float(worker.preference_position < worker.slots * warm_up_fraction * self.fleet_fraction)
        return worker.slots * warm_up_fraction / dispatchers_per_worker

    def max_slots_in_flight(self, worker: Worker) -> int:
        """Return how many slots of a worker this dispatcher's attempts in flight may need together.

        This is the learned slot limit. Where starts are not notified and a report shows a free slot, it is at
        least 1 plus twice the fleet fraction of its slots, rounded down, up to ``MAX_ATTEMPTS_PER_WORKER``.
        """
        if self.context.settings.notifies_start or worker.free_slots < MIN_FREE_SLOTS:
            return worker.slot_limit
        return max(
            worker.slot_limit, min(MAX_ATTEMPTS_PER_WORKER, int(1 + 2 * worker.slots * self.fleet_fraction))
        )

    def record_slots(self, worker: Worker, slots: int) -> None:
        """Record a number of slots that a worker was seen to have."""
        worker.peak_slots = max(worker.peak_slots, slots)
        kind = self.kinds[worker.kind]
        kind.peak_slots = max(kind.peak_slots, slots)

    def record_start(self, worker: Worker, slots: int) -> None:
        """Record the start of a job of ``slots`` slots; call it before the job counts as running.

        The end of the job whose slots it uses may be notified only after this start. Counted with the jobs
        that run, it would show a slot too many: a worker of one slot would be taken for one of two, and the
        slow-start rule would be violated.
        """
        self.record_slots(worker, max(worker.slots_running - worker.stale_slots, slots))
        worker.last_start_at = self.context.now

    def record_end(self, attempt: Attempt) -> None:
        """Record the end of a started attempt; call it while the attempt still counts as running."""
        worker = attempt.worker
        if self.context.now - worker.last_start_at > self.context.mode.prompt_slack:
            # An end before the last start would have been notified by now, so all of these are running.
            self.record_slots(worker, worker.slots_running - worker.stale_slots)
        worker.stale_slots = min(worker.stale_slots, worker.slots_running - attempt.job.slots)

    def cold_capacity(self, worker: Worker) -> float:
        """Return a starting worker's capacity: speed x slots x warm-up fraction, in ms of work a ms.

        Until a report shows them, the slots of a kind are assumed. Thirty dispatchers with little traffic
        that each take a worker of one slot for one of four would overload it together and violate the
        slow-start rule, so the slots are bounded by those seen.
        """
        seen = max(worker.peak_slots, self.kinds[worker.kind].peak_slots)
        warm_up_fraction = worker.warm_up_fraction(self.context.now, self.context.settings)
        return min(worker.slots, MAX_COLD_SLOTS_FACTOR * seen) * worker.speed * warm_up_fraction

    def record_run(self, attempt: Attempt, run_time: float) -> None:
        """Update a worker's speed and a class's mean work with the running time, ms, of a served job."""
        job = attempt.job
        worker = attempt.worker
        run_time = max(run_time, 1.0)
        fade = 1 - 1 / SPEED_WINDOW_JOBS
        kind_fade = (fade + 1) / 2  # decays over twice as many jobs, as those of all its workers count
        kind = self.kinds[worker.kind]
        worker.work_done = worker.work_done * fade + job.work
        worker.run_time = worker.run_time * fade + run_time
        kind.work_done = kind.work_done * kind_fade + job.work
        kind.run_time = kind.run_time * kind_fade + run_time
        self.estimates.record(job.cls.name, run_time * worker.speed)
        self.refresh((worker,))
