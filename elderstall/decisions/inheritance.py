"""How a dispatcher goes on under new settings, or as a new process with what the former one had learned."""

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

# The keys under which a worker's learned values are handed over: fixed, as two versions meet there.
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


def learned_of(worker: Worker) -> dict[str, Any]:
    """Give what was learned of a worker's process, as plain data."""
    values = {key: getattr(worker, name) for key, name in WORKER_KEYS.items()}
    return {"started": worker.started, "pushed": list(worker.warm_up_sends), **values}


def relearn(worker: Worker, data: dict[str, Any]) -> None:
    """Take what was learned of a worker, if it is of the same process."""
    if data["started"] != worker.started:
        return
    worker.warm_up_sends.extend((at, work) for at, work in data["pushed"])
    for key, name in WORKER_KEYS.items():
        setattr(worker, name, data[key])


class Inheritance:
    """Hands learned values over to the next process, and takes those of the former one."""

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
        self.context, self.endpoints, self.capacity = context, endpoints, capacity
        self.pools, self.estimates, self.in_flight = pools, estimates, in_flight
        self.intake, self.solver = intake, solver

    def learned(self) -> dict[str, Any]:
        """Give what was learned, as plain data."""
        kinds = {
            name: [kind.work_done, kind.run_time, kind.peak_slots, kind.assumed_slots]
            for name, kind in self.capacity.kinds.items()
        }
        policy = self.pools.policy
        return {
            "workers": {worker.name: learned_of(worker) for worker in self.endpoints.workers.values()},
            "kinds": kinds,
            "mean": self.estimates.mean,
            "ended": self.estimates.completed,
            "claim": self.capacity.fleet_fraction,
            "turn": self.endpoints.virtual_time,
            "load": self.solver.load,
            "policy": (policy.fractions, policy.sizes),
        }

    def take_learned(self, data: dict[str, Any]) -> None:
        """Go on with what the former process had learned; where settings differ, with what still fits."""
        for name, values in data["workers"].items():
            if name in self.endpoints.workers:
                relearn(self.endpoints.workers[name], values)
        self.capacity.kinds.update({name: KindStatistics(*values) for name, values in data["kinds"].items()})
        self.estimates.mean |= data["mean"]
        self.estimates.completed |= data["ended"]
        self.capacity.fleet_fraction = data["claim"]
        self.endpoints.virtual_time = data["turn"]
        self.solver.update_typical_work()
        self._take_policy(data)
        self.endpoints.rebuild()
        self.pools.rescale()
        self.capacity.total_slot_share = sum(worker.slot_share for worker in self.endpoints.fleet)

    def _take_policy(self, data: dict[str, Any]) -> None:
        """Take the former policy where the number of tiers is the same."""
        if len(data["load"]) != self.context.mode.tiers:
            return
        fractions, sizes = data["policy"]
        self.solver.load, self.solver.intervals = data["load"], 1
        self.pools.adopt_policy(Policy(tuple(fractions), tuple(sizes)))

    def take_job(self, event: JobTakenOver) -> None:
        """Take a job over from the former process, and go on with its attempt if one is in flight."""
        job = self._job_of(event)
        self.intake.answers.open[job.id] = job
        if event.worker is None:
            self.intake.place(job)
            return
        worker = self.endpoints.workers.get(event.worker) or Worker.unlisted(event.worker)
        self.in_flight.adopt(Attempt(job, event.attempts - 1, worker, event.sent_at))
        job.in_flight = 1
        worker.slots_in_flight += job.slots
        self.pools.moved(worker)

    def _job_of(self, event: JobTakenOver) -> Job:
        """Make a job of what is known of it."""
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
            job.ran_at = event.arrived  # at the earliest
        return job
