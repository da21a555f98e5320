"""Workers reserved for urgent short jobs, the same at every dispatcher, and which jobs may use them.

An urgent job that waits behind a long one is late. So a fraction of the workers, selected by the stable hash
of their names, gets no long jobs, and urgent jobs are offered to them first. The class whose jobs have the
least spare time beyond their work determines which jobs are urgent and which are long. The urgent fraction
of the work seen determines how many workers are reserved.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from elderstall.decisions.records import Job, Worker
from elderstall.hashing import HASH_SPACE

TARGET_LOAD = 0.3  # of reserved workers by urgent work: they still have free slots at twice the fleet's load
MAX_RESERVED_FRACTION = 0.25  # of the workers; if more work is urgent, the rest of it goes to any worker
URGENT_FACTOR = 1.5  # of the minimum spare time: a job with less is urgent, one with more work is long
MAX_POLLED_RESERVED = 8  # per dispatcher, by preference position: few, so that connections are reused
INITIAL_WORK_MS = 10_000.0  # of work assumed at first: a tenth of the workers is reserved until more is seen
WORK_WINDOW_MS = 100_000.0  # of work, over which the sums decay


def spare_time(objective: float, stretch: float, work: float) -> float:
    """Return the time, ms, beyond its work of a job with the objective ``objective + stretch * work``."""
    return objective + (stretch - 1.0) * work


class ReservedWorkers:
    """Determines which workers are reserved, and for which jobs."""

    def __init__(self) -> None:
        self.workers: list[Worker] = []  # reserved ones that this dispatcher polls
        self.limit = 0.0  # ms; a job with less spare time is urgent, one with more work is long
        self.urgent_work = TARGET_LOAD * INITIAL_WORK_MS / 10  # seen, ms
        self.work = INITIAL_WORK_MS  # seen, ms
        self.hash_limit = 0.0  # workers whose hash is below it are reserved

    def set_spare_times(self, spare_times: Iterable[float]) -> None:
        """Set the limit from the spare time of each class's typical job."""
        self.limit = URGENT_FACTOR * min(spare_times)

    def select(self, workers: Iterable[Worker]) -> None:
        """Select the reserved workers among those that are up, whose preference positions are set."""
        self.hash_limit = min(MAX_RESERVED_FRACTION, self.urgent_work / self.work / TARGET_LOAD) * HASH_SPACE
        reserved = (worker for worker in workers if worker.hash_order[0] < self.hash_limit)
        self.workers = sorted(reserved, key=lambda worker: worker.preference_position)[:MAX_POLLED_RESERVED]

    def is_urgent(self, job: Job) -> bool:
        """Return whether a job's latency objective leaves little time beyond its work."""
        return spare_time(job.cls.latency_objective, job.cls.stretch, job.work) < self.limit

    def excludes(self, worker: Worker, job: Job) -> bool:
        """Return whether the worker is reserved and the job is long and not urgent."""
        is_reserved = bool(self.workers) and worker.hash_order[0] < self.hash_limit
        return is_reserved and job.work > self.limit and not self.is_urgent(job)

    def record_and_offer(self, job: Job, rng: Random) -> list[Worker]:
        """Count a job in the sums of work, and return the reserved workers that are offered it first.

        They are in rotation order; a job that isn't urgent is offered to none.
        """
        is_urgent = self.is_urgent(job)
        fade = max(0.0, 1 - job.work / WORK_WINDOW_MS)
        self.work = self.work * fade + job.work
        self.urgent_work = self.urgent_work * fade + is_urgent * job.work
        max_urgent_work = TARGET_LOAD * MAX_RESERVED_FRACTION * self.work
        if not is_urgent or rng.random() * self.urgent_work > max_urgent_work:
            return []
        return sorted(self.workers, key=lambda worker: worker.virtual_time)
