"""Transfer of learned state and open jobs from one process of a dispatcher to its successor."""

from __future__ import annotations

from typing import Any

from elderstall.decisions.capacity import CapacityModel, KindStatistics
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.in_flight import InFlight
from elderstall.decisions.intake import Intake
from elderstall.decisions.pools import Pools
from elderstall.decisions.records import Attempt, Job, Policy, Worker
from elderstall.decisions.solver import Solver
from elderstall.interface import JobTakenOver

# Keys under which a worker's learned values are handed over, and its fields. These keys, and those written
# out below, are fixed, as two versions of the program exchange them.
WORKER_KEYS = {
    "turn": "virtual_time",
    "peak": "peak_slots",
    "limit": "slot_limit",
    "work": "work_done",
    "time": "run_time",
    "skip_until": "backoff_until",
    "skip": "backoff",
    "free": "free_slots",
    "proving": "probation",
}


def learned_worker_state(worker: Worker) -> dict[str, Any]:
    """Return what was learned of a worker's process, as plain data."""
    values = {key: getattr(worker, name) for key, name in WORKER_KEYS.items()}
    return {"started": worker.started, "pushed": list(worker.warm_up_sends), **values}


def restore_worker(worker: Worker, data: dict[str, Any]) -> None:
    """Restore what was learned of a worker, if its process is the same."""
    if data["started"] != worker.started:
        return
    worker.warm_up_sends.extend((at, work) for at, work in data["pushed"])
    for key, name in WORKER_KEYS.items():
        setattr(worker, name, data[key])


class Inheritance:
    """Exports learned state for the successor, and restores that of the predecessor."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        capacity: CapacityModel,
        pools: Pools,
        estimates: WorkEstimates,
        in_flight: InFlight,
        intake: Intake,
        solver: Solver,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.capacity = capacity
        self.pools = pools
        self.estimates = estimates
        self.in_flight = in_flight
        self.intake = intake
        self.solver = solver

    def export_learned(self) -> dict[str, Any]:
        """Return the learned state as plain data."""
        kinds = {
            name: [kind.work_done, kind.run_time, kind.peak_slots, kind.assumed_slots]
            for name, kind in self.capacity.kinds.items()
        }
        policy = self.pools.policy
        return {
            "workers": {
                worker.name: learned_worker_state(worker) for worker in self.endpoints.workers.values()
            },
            "kinds": kinds,
            "mean": self.estimates.mean,
            "ended": self.estimates.completed,
            "claim": self.capacity.fleet_fraction,
            "turn": self.endpoints.virtual_time,
            "load": self.solver.load,
            "policy": (policy.fractions, policy.sizes),
        }

    def restore_learned(self, data: dict[str, Any]) -> None:
        """Restore the predecessor's learned state, except of workers that are unknown or restarted."""
        for name, values in data["workers"].items():
            if name in self.endpoints.workers:
                restore_worker(self.endpoints.workers[name], values)
        self.capacity.kinds.update({name: KindStatistics(*values) for name, values in data["kinds"].items()})
        self.estimates.mean |= data["mean"]
        self.estimates.completed |= data["ended"]
        self.capacity.fleet_fraction = data["claim"]
        self.endpoints.virtual_time = data["turn"]
        self.solver.update_typical_work()
        self._restore_policy(data)
        self.endpoints.rebuild()
        self.pools.rescale()
        self.capacity.total_slot_share = sum(worker.slot_share for worker in self.endpoints.fleet)

    def _restore_policy(self, data: dict[str, Any]) -> None:
        """Restore the predecessor's policy if the number of tiers is the same."""
        if len(data["load"]) != self.context.mode.tiers:
            return
        fractions, sizes = data["policy"]
        self.solver.load = data["load"]
        self.solver.intervals = 1
        self.pools.adopt_policy(Policy(tuple(fractions), tuple(sizes)))

    def take_over_job(self, event: JobTakenOver) -> None:
        """Continue a job of the predecessor, with its attempt if one is in flight."""
        job = self._create_job(event)
        self.intake.answers.open[job.id] = job
        if event.worker is None:
            self.intake.place(job)
            return
        worker = self.endpoints.workers.get(event.worker) or Worker.unlisted(event.worker)
        self.in_flight.add_inherited(Attempt(job, event.attempts - 1, worker, event.sent_at))
        job.in_flight = 1
        worker.slots_in_flight += job.slots
        self.pools.update_rotation(worker)

    def _create_job(self, event: JobTakenOver) -> Job:
        """Create a job from the event."""
        work = event.work_hint if event.work_hint else self.estimates.of_class(event.cls)
        job = Job(
            event.job,
            event.cls,
            event.cls.priority_weight,
            self.context.mode.tier_of(event.cls.priority_weight),
            event.slots,
            work,
            event.key,
            event.arrived,
            event.deadline,
            event.attempts,
        )
        if event.ran_on is not None:
            job.ran_on = self.endpoints.workers.get(event.ran_on) or Worker.unlisted(event.ran_on)
            job.ran_at = event.arrived  # the earliest possible time
        return job
