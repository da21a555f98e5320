"""Workers reserved for urgent short jobs, the same at every dispatcher, and which jobs may use them.

Behind one long job an urgent one is late. So a share of the workers, by the stable hash of their names, takes
no long job, and urgent jobs are offered to them first. The class whose jobs have the least time beyond their
work sets what is urgent and what is long, the urgent work seen how many workers.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from elderstall.decisions.records import Job, Worker
from elderstall.hashing import HASH_SPACE

TARGET_LOAD = 0.3  # urgent part of the reserved workers' work: not full yet at twice the fleet's load
SHARE_MOST = 0.25  # of the workers at most: where more work is urgent, the rest of it goes anywhere
URGENT_TIMES = 1.5  # times the least spare time: a job with less is urgent, one with more work is long
POLLED_MOST = 8  # reserved workers that one dispatcher polls, by its place in line: few connections are kept
INITIAL_WORK = 10_000.0  # ms of work: until so much is seen, a tenth of the workers is reserved
REMEMBERED_WORK = 100_000.0  # ms of work


def spare_time(objective: float, stretch: float, work: float) -> float:
    """Give the time, ms, that a job wanted within objective + stretch x work has beyond its work."""
    return objective + (stretch - 1.0) * work


class ReservedWorkers:
    """Which workers are reserved, and for which jobs."""

    def __init__(self) -> None:
        self.workers: list[Worker] = []  # those of them that this dispatcher polls
        self.limit = 0.0  # ms of work, and of spare time
        self.urgent_work = TARGET_LOAD * INITIAL_WORK / 10  # seen, ms
        self.work = INITIAL_WORK  # seen, ms
        self.hash_limit = 0.0  # workers whose hash is below it are reserved

    def adopt(self, spare_times: Iterable[float]) -> None:
        """Take the spare time of each class's typical job."""
        self.limit = URGENT_TIMES * min(spare_times)

    def fill(self, workers: Iterable[Worker]) -> None:
        """Take the workers that are up, their places in line known; of none, none is reserved."""
        self.hash_limit = min(SHARE_MOST, self.urgent_work / self.work / TARGET_LOAD) * HASH_SPACE
        reserved = (worker for worker in workers if worker.hash_order[0] < self.hash_limit)
        self.workers = sorted(reserved, key=lambda worker: worker.preference_position)[:POLLED_MOST]

    def is_urgent(self, job: Job) -> bool:
        """Say whether a job's wanted time leaves little beyond its work."""
        return spare_time(job.cls.latency_objective, job.cls.stretch, job.work) < self.limit

    def excludes(self, worker: Worker, job: Job) -> bool:
        """Say whether a job is kept off a worker: a long one that is not urgent, off a reserved one."""
        reserved = bool(self.workers) and worker.hash_order[0] < self.hash_limit
        return reserved and job.work > self.limit and not self.is_urgent(job)

    def candidates(self, job: Job, rng: Random) -> list[Worker]:
        """Give the reserved workers, next in turn first, if the job is offered to them before others."""
        urgent, fade = self.is_urgent(job), max(0.0, 1 - job.work / REMEMBERED_WORK)
        self.work = self.work * fade + job.work
        self.urgent_work = self.urgent_work * fade + urgent * job.work
        most = TARGET_LOAD * SHARE_MOST * self.work
        if not urgent or rng.random() * self.urgent_work > most:
            return []
        return sorted(self.workers, key=lambda worker: worker.virtual_time)
