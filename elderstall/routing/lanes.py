"""A lane of workers kept for urgent short jobs, the same at every dispatcher, and who may use it.

A worker starts waiting jobs in order: behind one long job an urgent one is late. So a share of the workers,
by the stable hash of their names, takes no long job, and urgent jobs ask there first. The class whose jobs
have the least time beyond their work sets what is urgent and what is long.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from elderstall.records import Job, Worker

PART = 0.15  # of the workers, by hash: small, as long jobs lose them
NEAR = 1.5  # times the least time to spare: who has less is urgent, whose work is more is long
FILL = 0.6  # of the lane's part is the work of urgent jobs that goes there first; beyond, they go anywhere
OURS = 8  # workers of the lane that one dispatcher asks, by its place in line: connections to few are kept
GUESS = 10_000.0  # ms of work: before so much is seen, the lane is taken to fit
MARK = PART * 2**32  # the lane is below it, by the stable hash of names


def spare(aim: float, stretch: float, work: float) -> float:
    """Give the time that a job of some work, wanted within aim + stretch x work, has beyond its work, ms."""
    return aim + (stretch - 1.0) * work


class Lane:
    """Which workers are the lane, and which jobs it is for."""

    def __init__(self) -> None:
        self.workers, self.limit = list[Worker](), 0.0  # limit: ms of work, and of time to spare
        self.urgent_work, self.work = FILL * PART * GUESS, GUESS  # seen so far

    def adopt(self, spares: Iterable[float]) -> None:
        """Take the time to spare of each class's usual job."""
        self.limit = NEAR * min(spares)

    def fill(self, workers: Iterable[Worker]) -> None:
        """Take the workers that are up, their places known; of none there is no lane."""
        self.workers = sorted((w for w in workers if w.order[0] < MARK), key=lambda w: w.place)[:OURS]

    def urgent(self, job: Job) -> bool:
        """Say whether a job's wanted time leaves little beyond its work."""
        return spare(job.cls.aim, job.cls.stretch, job.work) < self.limit

    def keeps_out(self, w: Worker, job: Job) -> bool:
        """Say whether a job is kept off a worker: a long one that is not urgent, off the lane."""
        return bool(self.workers) and w.order[0] < MARK and job.work > self.limit and not self.urgent(job)

    def first(self, job: Job, rng: Random) -> list[Worker]:
        """Give the workers of the lane, next in turn first, if the job asks there before its own ones."""
        urgent = self.urgent(job)
        self.work, self.urgent_work = self.work + job.work, self.urgent_work + urgent * job.work
        elsewhere = not urgent or rng.random() * self.urgent_work > FILL * PART * self.work
        return [] if elsewhere else sorted(self.workers, key=lambda w: w.turn)
