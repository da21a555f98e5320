"""The slow-start rule: the work that this dispatcher may send to a worker soon after its start.

A worker is in slow start for ``slow_start_duration`` ms after its start, and the rule applies for one more
``slow_start_window``. In any window of that length, all dispatchers together may send it
``slow_start_multiple`` times the work that it can do in the window. Each keeps to its share of that budget.
"""

from __future__ import annotations

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.records import Job, Worker
from elderstall.hashing import HASH_SPACE, stable_hash

USED_BUDGET_FRACTION = 0.5  # of the budget, as work is heavy-tailed and only estimated


class SlowStart:
    """Limits the work sent to workers in slow start to this dispatcher's share of the slow-start budget."""

    def __init__(self, context: DecisionContext, capacity: CapacityModel) -> None:
        self.context = context
        self.capacity = capacity

    def applies(self, worker: Worker) -> bool:
        """Return whether the slow-start rule still applies to a worker."""
        return worker.is_in_slow_start(self.context.now, self.context.settings)

    def record(self, worker: Worker, job: Job) -> None:
        """Record an attempt of this dispatcher."""
        if self.applies(worker):
            worker.warm_up_sends.append((self.context.now, job.work * job.slots))

    def admits(self, worker: Worker, job: Job) -> bool:
        """Return whether this dispatcher's share of the budget of the current window covers a job."""
        if not self.applies(worker):
            return True
        sent = self._sent_in_window(worker)
        cost = job.work * job.slots
        budget = self._budget(worker)
        if sent + cost <= budget / self.context.settings.dispatchers_per_worker:
            return True
        if sent:
            return False
        # If the share is less than the job, only some dispatchers may send one job in this window: as many as
        # such jobs fit into the budget, selected anew for each window by a hash. So all dispatchers together
        # use the budget on average, whatever the jobs' lengths.
        max_jobs = int(budget / cost)
        if self.context.mode.polls_before_placing:
            return bool(worker.slot_share) and self._position_among_owners(worker) < max_jobs
        return self._position_among_all(worker) < max_jobs

    def _sent_in_window(self, worker: Worker) -> float:
        """Return the work, ms, that this dispatcher has sent it in the window that ends now."""
        sends = worker.warm_up_sends
        window_start = self.context.now - self.context.settings.slow_start_window
        while sends and sends[0][0] <= window_start:
            sends.popleft()
        return sum(work for _, work in sends)

    def _budget(self, worker: Worker) -> float:
        """Return the work, ms, that all dispatchers together may send it in a window."""
        settings = self.context.settings
        allowed = USED_BUDGET_FRACTION * settings.slow_start_multiple * settings.slow_start_window
        return allowed * self.capacity.cold_capacity(worker)

    def _window_hash(self, worker: Worker) -> int:
        """Return a hash of the worker and the current window, the same at every dispatcher."""
        window = self.context.now // self.context.settings.slow_start_window
        return stable_hash(f"{worker.name} {window}")

    def _position_among_owners(self, worker: Worker) -> float:
        """Return this dispatcher's position in this window among the owners of the worker."""
        owned_fraction = self.capacity.owned_fraction
        owners = max(1.0, owned_fraction * self.context.settings.dispatchers_per_worker)
        position = (worker.preference_position / owned_fraction + self._window_hash(worker) / HASH_SPACE) % 1
        return position * owners

    def _position_among_all(self, worker: Worker) -> float:
        """Return this dispatcher's position in this window among all that know the worker."""
        settings = self.context.settings
        return (settings.rank + self._window_hash(worker)) % settings.dispatchers_per_worker
