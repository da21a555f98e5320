"""The pools of the tiers: sizes, fractions of jobs redirected between them, and rotations."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import DecisionContext
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.records import (
    Job,
    Policy,
    Worker,
    divide_proportionally,
    pool_fractions,
    rendezvous_order,
    tier_pairs,
)
from elderstall.decisions.rotation import BEYOND_SHARE, NOT_PREFERRED, WITHIN_SHARE, Rotation, Rotations

MAX_KEY_CANDIDATES = 8  # workers of a pool tried for a key's jobs: a popular key needs several
MAX_VIRTUAL_TIME_DEBT_MS = 1_000.0  # of its service time, that a worker which was passed over may catch up
INITIAL_POOL_SIZE = 1000  # of each pool; only the ratio matters, as sizes are rescaled to the workers


class Pools:
    """One pool per tier, under the policy found by the solver."""

    def __init__(self, context: DecisionContext, endpoints: Endpoints, capacity: CapacityModel) -> None:
        self.context = context
        self.endpoints = endpoints
        self.capacity = capacity
        self._key_candidates: dict[tuple[int, str], list[Worker]] = {}
        self.reset()

    def reset(self) -> None:
        """Reset all pools after a change of the number of tiers."""
        mode = self.context.mode
        self.pools: list[list[Worker]] = [[] for _ in mode.tier_edges]
        self.rotations = Rotations(self.pools, self.rotation_group)
        # Pools start with equal sizes. With many dispatchers solving takes long to adapt, so tiers that only
        # jobs over quota use start with minimal pools there.
        used = {
            mode.tier_of(job_class.priority_weight)
            for job_class in mode.classes.values()
            if mode.has_many_dispatchers
        }
        sizes = tuple(1 if used and tier not in used else INITIAL_POOL_SIZE for tier in range(mode.tiers))
        self.adopt_policy(Policy((0,) * len(tier_pairs(mode.tiers)), sizes))

    def adopt_policy(self, policy: Policy) -> None:
        """Replace the policy; ``rescale`` then divides the workers by its sizes."""
        self.policy = policy
        self.pool_fractions = pool_fractions(policy, self.context.mode.tiers)

    def resize(self, weights: Sequence[float]) -> None:
        """Size the pools in proportion to weights."""
        self.policy = Policy(
            self.policy.fractions, divide_proportionally(len(self.endpoints.pooled), weights)
        )
        self.rescale()

    def rescale(self) -> None:
        """Rescale the pool sizes to the number of workers, and divide the workers among the pools."""
        pooled = self.endpoints.pooled
        shared = self.endpoints.shared
        total = len(pooled)
        if total and total != sum(self.policy.sizes):
            self.policy = Policy(self.policy.fractions, divide_proportionally(total, self.policy.sizes))
        self._key_candidates.clear()
        start = 0
        for pool, size in zip(self.pools, self.policy.sizes, strict=True):
            pool[:] = pooled[start : start + size] + shared
            start += size
        self.rotations.fill()

    def regroup(self) -> None:
        """Update the rotations after the slot shares of many workers may have changed."""
        self.rotations.regroup(self.endpoints.fleet)

    def draw_pool(self, job: Job) -> int:
        """Return a random pool for a job: its tier's own, or another by the solved fractions."""
        return self.context.rng.choices(range(self.context.mode.tiers), self.pool_fractions[job.tier])[0]

    def rotation(self, pool: int) -> Rotation:
        """Return the rotation of a pool."""
        return self.rotations[pool]

    def owned_in_rotation_order(self, first_pool: int) -> Iterator[Worker]:
        """Yield the owned workers of all pools in rotation order, after the next one of ``first_pool``."""
        return self.rotations.in_order(WITHIN_SHARE, first_pool)

    def rotation_group(self, worker: Worker) -> int | None:
        """Return a worker's group in the rotation, by its slot share and preference; None if it is full."""
        used = worker.slots_in_flight
        if used and used >= self.capacity.max_slots_in_flight(worker):
            return None
        if worker.preference_position >= self.capacity.preferred_fraction:
            return NOT_PREFERRED
        if used:
            return WITHIN_SHARE if used + 1 <= worker.slot_share else BEYOND_SHARE
        in_slow_start = worker.is_in_slow_start(self.context.now, self.context.settings)
        within_share = worker.slot_share or (in_slow_start and not self.context.mode.polls_before_placing)
        return WITHIN_SHARE if within_share else BEYOND_SHARE

    def advance_virtual_time(self, worker: Worker, work: float) -> None:
        """Advance a worker's virtual time by the time that the work, ms, takes it."""
        endpoints = self.endpoints
        endpoints.virtual_time = max(endpoints.virtual_time, worker.virtual_time)
        worker.virtual_time = (
            max(worker.virtual_time, endpoints.virtual_time - MAX_VIRTUAL_TIME_DEBT_MS)
            + work / worker.capacity
        )

    def update_rotation(self, worker: Worker) -> None:
        """Update a worker's place in the rotations after its virtual time or load has changed."""
        self.rotations.move(worker)

    def key_candidates(self, pool: int, key: str) -> list[Worker]:
        """Return the first workers of a pool in rendezvous order for a key, the same at every dispatcher."""
        if (pool, key) not in self._key_candidates:
            workers = rendezvous_order(key, self.pools[pool], self.endpoints.largest_weight)
            self._key_candidates[pool, key] = workers[:MAX_KEY_CANDIDATES]
        return self._key_candidates[pool, key]
