"""How much work a job of each class is, learned from completed jobs."""

from __future__ import annotations

from collections.abc import Iterable

from elderstall.interface import JobClass

MEAN_OVER = 200  # completed jobs that the mean of a class follows


def first_guess(job_class: JobClass) -> float:
    """Guess a class's mean work, ms on a standard core, before any of its jobs has completed."""
    return max(1.0, job_class.latency_objective / 2)


class WorkEstimates:
    """Mean work by class, ms on a standard core."""

    def __init__(self) -> None:
        self.mean: dict[str, float] = {}
        self.completed: dict[str, int] = {}
        self.typical = 1.0  # ms; mean over the classes of the settings, worked out anew at each solve
        self.classes: tuple[str, ...] = ()

    def adopt(self, classes: Iterable[JobClass]) -> None:
        """Take the classes of the settings; what was learned of them before stays."""
        classes = tuple(classes)
        self.classes = tuple(job_class.name for job_class in classes)
        self.mean = {job_class.name: first_guess(job_class) for job_class in classes} | self.mean
        self.completed = dict.fromkeys(self.classes, 0) | self.completed
        self.update_typical()

    def update_typical(self) -> None:
        """Work out the typical job anew."""
        self.typical = sum(self.mean[name] for name in self.classes) / len(self.classes)

    def of_class(self, job_class: JobClass) -> float:
        """Give a class's mean work, also of one that the settings do not have any more."""
        return self.mean.setdefault(job_class.name, first_guess(job_class))

    def record(self, name: str, work: float) -> None:
        """Take the work of a completed job."""
        self.completed[name] = count = self.completed.get(name, 0) + 1
        mean = self.mean[name]
        self.mean[name] = max(1.0, mean + (work - mean) / min(count, MEAN_OVER))
