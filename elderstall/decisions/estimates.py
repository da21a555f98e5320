"""Mean work of the jobs of each class, learned from completed jobs."""

from __future__ import annotations

from collections.abc import Iterable

from elderstall.interface import JobClass

MEAN_WINDOW_JOBS = 200  # completed jobs over which the mean of a class is taken


def initial_mean_work(job_class: JobClass) -> float:
    """Return the mean work, ms on a standard core, assumed of a class before its first job completes."""
    return max(1.0, job_class.latency_objective / 2)


class WorkEstimates:
    """Mean work by class, ms on a standard core."""

    def __init__(self) -> None:
        self.mean: dict[str, float] = {}
        self.completed: dict[str, int] = {}
        self.typical = 1.0  # ms; mean over the classes of the settings, updated at each solve
        self.classes: tuple[str, ...] = ()

    def change_classes(self, classes: Iterable[JobClass]) -> None:
        """Replace the classes of the settings; what was learned of them is kept."""
        classes = tuple(classes)
        self.classes = tuple(job_class.name for job_class in classes)
        self.mean = {job_class.name: initial_mean_work(job_class) for job_class in classes} | self.mean
        self.completed = dict.fromkeys(self.classes, 0) | self.completed
        self.update_typical()

    def update_typical(self) -> None:
        """Update the work of a typical job."""
        self.typical = sum(self.mean[name] for name in self.classes) / len(self.classes)

    def of_class(self, job_class: JobClass) -> float:
        """Return a class's mean work; the settings may not have the class any more."""
        return self.mean.setdefault(job_class.name, initial_mean_work(job_class))

    def record(self, name: str, work: float) -> None:
        """Record the work of a completed job."""
        self.completed[name] = count = self.completed.get(name, 0) + 1
        mean = self.mean[name]
        self.mean[name] = max(1.0, mean + (work - mean) / min(count, MEAN_WINDOW_JOBS))
