"""Periodic solving: redirected fractions at every interval, and pool sizes too at every tenth.

Where workers are polled before placing, the pools are also sized by the tiers' work at every interval.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.hill_climb import climb
from elderstall.decisions.pools import Pools
from elderstall.decisions.queue_model import SOLVE_INTERVAL_MS, utility
from elderstall.decisions.records import Job, Policy, build_load
from elderstall.decisions.reserved_workers import spare_time

RESIZE_INTERVALS = 10  # solves of fractions per solve of sizes (see the design)
MAX_EVALUATIONS = 200  # of policies, where the CPU allows them
MAX_RESIZE_EVALUATIONS = 500
MAX_EVALUATIONS_PER_JOB = 5  # smoothed jobs: with little traffic the rates are too rough for more
EVALUATION_US = 2.0  # CPU of one evaluation, in the unit of the settings' CPU limits, rounded up
SOLVER_CPU_FRACTION = 0.1  # of the allowed CPU; the rest is for the jobs
NEWEST_WEIGHT = 0.5  # of the newest interval in the smoothed load

# 0: jobs; sums over them of 1: slot-ms; 2: work, ms; 3: latency objective, ms. A list, as it is handed over
# to the successor process.
TierLoad = list[float]


@dataclass(slots=True, frozen=True)
class SolverSummary:
    """Inputs of a solve of the pool sizes."""

    policy: Policy
    total_slot_share: float  # slots
    ms_per_unit_work: float  # mean running time of a ms of work


class Solver:
    """Tracks the load of each tier, and searches for the policy of the pools."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        capacity: CapacityModel,
        pools: Pools,
        estimates: WorkEstimates,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.capacity = capacity
        self.pools = pools
        self.estimates = estimates
        self.reset()

    def reset(self) -> None:
        """Reset after a change of the number of tiers."""
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
        """Update the work of a typical job, and which jobs are urgent, which depends on it."""
        self.estimates.update_typical()
        mean = self.estimates.mean
        self.endpoints.reserved.set_spare_times(
            spare_time(job_class.latency_objective, job_class.stretch, mean[job_class.name])
            for job_class in self.context.settings.classes
        )

    def solve(self) -> SolverSummary | None:
        """End an interval and solve for the fractions, and for the sizes if due; then return a summary."""
        resize = self.intervals % RESIZE_INTERVALS == 0
        self.intervals += 1
        self._smooth()
        self.update_typical_work()
        fleet = self.endpoints.fleet
        capacity = sum(worker.capacity for worker in fleet) or 1.0
        work = sum(tier[1] for tier in self.load)
        self.capacity.update_fleet_fraction(work, SOLVE_INTERVAL_MS, capacity)
        self.endpoints.refresh()
        if not (self.context.mode.polls_before_placing and self._size_by_work()):
            self.pools.regroup()
        self.capacity.update_totals(fleet, capacity)
        total_slot_share = self.capacity.total_slot_share
        ms_per_unit = self.capacity.ms_per_unit
        summary = SolverSummary(self.pools.policy, total_slot_share, ms_per_unit) if resize else None
        self._climb(resize=resize)
        return summary

    def _smooth(self) -> None:
        """Add the interval's arrivals to the smoothed load."""
        weight = 1.0 if self.intervals == 1 else NEWEST_WEIGHT
        for load, arrived in zip(self.load, self.arriving, strict=True):
            load[:] = [old + (new - old) * weight for old, new in zip(load, arrived, strict=True)]
            arrived[:] = [0.0] * 4

    def _size_by_work(self) -> bool:
        """Size the pools by the work of each tier, and return whether the workers were divided again.

        Of many dispatchers, each sees too little traffic for the queue model.
        """
        new = (tier[1] for tier in self.load)
        self.total_work = [sum(pair) for pair in zip(self.total_work, new, strict=True)]
        if not any(self.total_work) or len(self.endpoints.pooled) < self.context.mode.tiers:
            return False
        self.pools.resize(self.total_work)
        return True

    def _climb(self, *, resize: bool) -> None:
        """Search for a better policy within the budget."""
        tiers = self.context.mode.tiers
        budget = self._budget(resize=resize)
        if tiers == 1 or not self.endpoints.pooled or budget < 2:
            return
        scale = self.context.settings.dispatchers_per_worker / SOLVE_INTERVAL_MS
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
        """Return how many policies may be evaluated, by the allowed CPU and the jobs seen."""
        settings = self.context.settings
        jobs = sum(tier[0] for tier in self.load)
        limits = (settings.cpu_us_per_s * SOLVE_INTERVAL_MS / 1000, settings.cpu_us_per_job * jobs)
        allowed = min((limit for limit in limits if limit), default=math.inf)
        max_evaluations = min(
            MAX_RESIZE_EVALUATIONS if resize else MAX_EVALUATIONS, MAX_EVALUATIONS_PER_JOB * jobs
        )
        return int(min(max_evaluations, allowed * SOLVER_CPU_FRACTION / EVALUATION_US))
