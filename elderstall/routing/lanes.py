"""A lane of workers kept for urgent short jobs, the same at every dispatcher, and who may use it.

Behind one long job an urgent one is late. So a share of the workers, by the stable hash of their names, takes
no long job, and urgent jobs ask there first. The class whose jobs have the least time beyond their work sets
what is urgent and what is long, the urgent work seen how many workers.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from elderstall.records import Job, Worker

FILL = 0.3  # of the lane's part of all work is urgent: not full yet at twice the load that the fleet bears
MOST = 0.25  # of the workers at most: where more work is urgent, the rest of it goes anywhere
NEAR = 1.5  # times the least time to spare: who has less is urgent, whose work is more is long
OURS = 8  # workers of the lane that one dispatcher asks, by its place in line: connections to few are kept
GUESS, SEEN = 10_000.0, 100_000.0  # ms of work: until so much is seen the lane is a tenth; remembered


def spare(aim: float, stretch: float, work: float) -> float:
    """Give the time that a job of some work, wanted within aim + stretch x work, has beyond its work, ms."""
    return aim + (stretch - 1.0) * work


class Lane:
    """Which workers are the lane, and which jobs it is for."""

    def __init__(self) -> None:
        self.workers, self.limit = list[Worker](), 0.0  # limit: ms of work, and of time to spare
        self.urgent_work, self.work, self.cut = FILL * GUESS / 10, GUESS, 0.0  # seen; hashes below are it

    def adopt(self, spares: Iterable[float]) -> None:
        """Take the time to spare of each class's usual job."""
        self.limit = NEAR * min(spares)

    def fill(self, workers: Iterable[Worker]) -> None:
        """Take the workers that are up, their places known, and size the lane; of none there is no lane."""
        self.cut = min(MOST, self.urgent_work / self.work / FILL) * 2**32  # the space of hashes
        self.workers = sorted((w for w in workers if w.order[0] < self.cut), key=lambda w: w.place)[:OURS]

    def urgent(self, job: Job) -> bool:
        """Say whether a job's wanted time leaves little beyond its work."""
        return spare(job.cls.aim, job.cls.stretch, job.work) < self.limit

    def keeps_out(self, w: Worker, job: Job) -> bool:
        """Say whether a job is kept off a worker: a long one that is not urgent, off the lane."""
        return bool(self.workers) and w.order[0] < self.cut and job.work > self.limit and not self.urgent(job)

    def first(self, job: Job, rng: Random) -> list[Worker]:
        """Give the workers of the lane, next in turn first, if the job asks there before its own ones."""
        urgent, fade = self.urgent(job), max(0.0, 1 - job.work / SEEN)
        self.work, self.urgent_work = self.work * fade + job.work, self.urgent_work * fade + urgent * job.work
        elsewhere = not urgent or rng.random() * self.urgent_work > FILL * MOST * self.work
        return [] if elsewhere else sorted(self.workers, key=lambda w: w.turn)
