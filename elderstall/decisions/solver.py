"""The two cadences of the design: fractions at every interval, and pool sizes too at every tenth."""

from __future__ import annotations

import math
from dataclasses import dataclass

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.hill_climb import climb
from elderstall.decisions.pools import Pools
from elderstall.decisions.queue_model import INTERVAL, utility
from elderstall.decisions.records import Job, Policy, build_load
from elderstall.decisions.reserved_workers import spare_time

RESIZE_EVERY = 10  # the design's 1:10 between the two cadences
EVALUATIONS = 200  # of policies at most; the design's, where the CPU allows them
RESIZE_EVALUATIONS = 500
EVALUATIONS_PER_JOB = 5  # since the last solve: the rates of a light dispatcher are too rough for more
EVALUATION_US = 2.0  # CPU of one evaluation as settings count it, measured and rounded up
CPU_PART = 0.1  # of the CPU allowed may go to solving; the rest belongs to the jobs
NEWEST_WEIGHT = 0.5  # of the newest interval in rates

TierLoad = list[float]  # jobs, slot-work, work and objective, summed over jobs; work in ms


@dataclass(slots=True, frozen=True)
class SolverSummary:
    """What a solve of the sizes went out from."""

    policy: Policy
    total_slot_share: float  # of the fleet
    pace: float  # ms that a ms of work takes


class Solver:
    """Watches what each tier brings, and finds the policy of the pools."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        capacity: CapacityModel,
        pools: Pools,
        estimates: WorkEstimates,
    ) -> None:
        self.context, self.endpoints, self.capacity = context, endpoints, capacity
        self.pools, self.estimates = pools, estimates
        self.reset()

    def reset(self) -> None:
        """Start anew, as the number of tiers is another."""
        tiers = self.context.mode.tiers
        self.arriving: list[TierLoad] = [[0.0] * 4 for _ in range(tiers)]  # in this interval
        self.load: list[TierLoad] = [[0.0] * 4 for _ in range(tiers)]  # smoothed
        self.intervals = 0
        self.total_work = [0.0] * tiers  # ms

    def record_arrival(self, job: Job) -> None:
        """Count a job."""
        objective = min(job.cls.latency_objective + job.cls.stretch * job.work, job.cls.deadline)
        tier = self.arriving[job.tier]
        for n, amount in enumerate((1.0, job.work * job.slots, job.work, objective)):
            tier[n] += amount

    def update_typical_work(self) -> None:
        """Work out the typical job anew, and which jobs are urgent, which follows from it."""
        self.estimates.update_typical()
        mean = self.estimates.mean
        self.endpoints.reserved.adopt(
            spare_time(job_class.latency_objective, job_class.stretch, mean[job_class.name])
            for job_class in self.context.settings.classes
        )

    def solve(self) -> SolverSummary | None:
        """Take an interval; solve for the fractions, or the sizes too. Gives a summary at the latter."""
        resize = self.intervals % RESIZE_EVERY == 0
        self.intervals += 1
        self._smooth()
        self.update_typical_work()
        fleet = self.endpoints.fleet
        capacity = sum(worker.capacity for worker in fleet) or 1.0
        work = sum(tier[1] for tier in self.load)
        self.capacity.update_fleet_fraction(work, INTERVAL, capacity)
        self.endpoints.refresh()
        if not (self.context.mode.polls_before_placing and self._size_by_work()):
            self.pools.settle()
        self.capacity.update_totals(fleet, capacity)
        total_slot_share, pace = self.capacity.total_slot_share, self.capacity.ms_per_unit
        summary = SolverSummary(self.pools.policy, total_slot_share, pace) if resize else None
        self._climb(resize=resize)
        return summary

    def _smooth(self) -> None:
        """Take the interval's arrivals into the smoothed load."""
        weight = 1.0 if self.intervals == 1 else NEWEST_WEIGHT
        for load, arrived in zip(self.load, self.arriving, strict=True):
            load[:] = [old + (new - old) * weight for old, new in zip(load, arrived, strict=True)]
            arrived[:] = [0.0] * 4

    def _size_by_work(self) -> bool:
        """Size the pools by the work that each tier has brought: too little is seen here for the model.

        Says whether the workers were handed out anew.
        """
        new = (tier[1] for tier in self.load)
        self.total_work = [sum(pair) for pair in zip(self.total_work, new, strict=True)]
        if not any(self.total_work) or len(self.endpoints.pooled) < self.context.mode.tiers:
            return False
        self.pools.resize(self.total_work)
        return True

    def _climb(self, *, resize: bool) -> None:
        """Search for a better policy within the budget."""
        tiers, budget = self.context.mode.tiers, self._budget(resize=resize)
        if tiers == 1 or not self.endpoints.pooled or budget < 2:
            return
        scale = self.context.settings.dispatchers_per_worker / INTERVAL
        load = build_load(self.load, scale, self.endpoints.pooled, self.endpoints.shared)
        policy = climb(
            self.pools.policy,
            lambda candidate: utility(candidate, load),
            tiers,
            budget,
            self.context.rng,
            resize=resize,
        )
        self.pools.adopt_policy(policy)
        if resize:
            self.pools.rescale()

    def _budget(self, *, resize: bool) -> int:
        """Give how many policies may be evaluated, by the CPU that settings allow and the jobs seen."""
        settings = self.context.settings
        jobs = sum(tier[0] for tier in self.load)
        limits = (settings.cpu_us_per_s * INTERVAL / 1000, settings.cpu_us_per_job * jobs)
        allowed = min((limit for limit in limits if limit), default=math.inf)
        most = min(RESIZE_EVALUATIONS if resize else EVALUATIONS, EVALUATIONS_PER_JOB * jobs)
        return int(min(most, allowed * CPU_PART / EVALUATION_US))
