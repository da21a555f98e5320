"""The slow-start rule: what a worker that has just started may be sent by us in any window.

A worker is cold for ``cold_for`` ms after its start. All dispatchers together may send it, in any window of
``push_window`` ms, ``push_multiple`` times what it can do then; each keeps to its part of that.
"""

from __future__ import annotations

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.records import Job, Worker
from elderstall.hashing import HASH_SPACE, stable_hash

BUDGET_USED = 0.5  # of the rule's budget: jobs are heavy-tailed and their work is a guess


class SlowStart:
    """Keeps to this dispatcher's part of what a cold worker may be sent."""

    def __init__(self, context: DecisionContext, capacity: CapacityModel) -> None:
        self.context, self.capacity = context, capacity

    def binds(self, worker: Worker) -> bool:
        """Say whether the rule still binds for a worker."""
        return worker.in_slow_start(self.context.now, self.context.settings)

    def record(self, worker: Worker, job: Job) -> None:
        """Take an attempt of ours."""
        if self.binds(worker):
            worker.warm_up_sends.append((self.context.now, job.work * job.slots))

    def admits(self, worker: Worker, job: Job) -> bool:
        """Say whether our part of what the worker may be sent in this window covers a job."""
        if not self.binds(worker):
            return True
        sent = self._sent_in_window(worker)
        need, budget = job.work * job.slots, self._budget(worker)
        if sent + need <= budget / self.context.settings.dispatchers_per_worker:
            return True
        if sent:
            return False
        # Where our part is less than the job, as many dispatchers as such jobs fit may send one, others each
        # window. So what all send comes to the budget on average, whatever the jobs' lengths.
        jobs = int(budget / need)
        if self.context.mode.polls_before_placing:
            return bool(worker.slot_share) and self._position_among_owners(worker) < jobs
        return self._turn_among_all(worker) < jobs

    def _sent_in_window(self, worker: Worker) -> float:
        """Give the work, ms, that we have sent it in the window that ends now."""
        sends, since = worker.warm_up_sends, self.context.now - self.context.settings.slow_start_window
        while sends and sends[0][0] <= since:
            sends.popleft()
        return sum(work for _, work in sends)

    def _budget(self, worker: Worker) -> float:
        """Give the work, ms, that all dispatchers together send it in a window."""
        settings = self.context.settings
        allowed = BUDGET_USED * settings.slow_start_multiple * settings.slow_start_window
        return allowed * self.capacity.cold_capacity(worker)

    def _window_hash(self, worker: Worker) -> int:
        window = self.context.now // self.context.settings.slow_start_window
        return stable_hash(f"{worker.name} {window}")

    def _position_among_owners(self, worker: Worker) -> float:
        """Give our turn in this window among the dispatchers whose own it is."""
        owned_fraction = self.capacity.owned_fraction
        owners = max(1.0, owned_fraction * self.context.settings.dispatchers_per_worker)
        position = (worker.preference_position / owned_fraction + self._window_hash(worker) / HASH_SPACE) % 1
        return position * owners

    def _turn_among_all(self, worker: Worker) -> float:
        """Give our turn in this window among all dispatchers that know it."""
        settings = self.context.settings
        return (settings.rank + self._window_hash(worker)) % settings.dispatchers_per_worker
