"""The pools of the tiers: their sizes, the fractions of jobs redirected between them, and their rotations."""

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
from elderstall.decisions.rotation import FAR, NEAR, REST, Rotation, Rotations

KEY_CANDIDATES = 8  # workers of a pool, in order, that a key's jobs try: a key asked for a lot needs several
MAX_VIRTUAL_TIME_DEBT_MS = 1_000.0  # virtual ms of turns that a passed-over worker may catch up
EQUAL_SIZE = 1000  # of each pool at first; sizes are rescaled to the workers that there are


class Pools:
    """One pool a tier, under the policy that the solver has found."""

    def __init__(self, context: DecisionContext, endpoints: Endpoints, capacity: CapacityModel) -> None:
        self.context, self.endpoints, self.capacity = context, endpoints, capacity
        self._key_candidates: dict[tuple[int, str], list[Worker]] = {}
        self.reset()

    def reset(self) -> None:
        """Start anew, as the number of tiers is another."""
        mode = self.context.mode
        self.pools: list[list[Worker]] = [[] for _ in mode.tier_edges]
        self.rotations = Rotations(self.pools, self.rotation_group)
        # Pools start alike; many dispatchers are long in solving, so there work over quota gets little.
        used = {
            mode.tier_of(job_class.priority_weight) for job_class in mode.classes.values() if mode.large_fleet
        }
        sizes = tuple(1 if used and tier not in used else EQUAL_SIZE for tier in range(mode.tiers))
        self.adopt_policy(Policy((0,) * len(tier_pairs(mode.tiers)), sizes))

    def adopt_policy(self, policy: Policy) -> None:
        """Take a policy; ``rescale`` hands the workers out by its sizes."""
        self.policy = policy
        self.pool_fractions = pool_fractions(policy, self.context.mode.tiers)

    def resize(self, weights: Sequence[float]) -> None:
        """Size the pools by weights."""
        self.policy = Policy(
            self.policy.fractions, divide_proportionally(len(self.endpoints.pooled), weights)
        )
        self.rescale()

    def rescale(self) -> None:
        """Rescale the pool sizes to the workers there are, and hand out the workers."""
        pooled, shared = self.endpoints.pooled, self.endpoints.shared
        total = len(pooled)
        if total and total != sum(self.policy.sizes):
            self.policy = Policy(self.policy.fractions, divide_proportionally(total, self.policy.sizes))
        self._key_candidates.clear()
        at = 0
        for pool, size in zip(self.pools, self.policy.sizes, strict=True):
            pool[:] = pooled[at : at + size] + shared
            at += size
        self.rotations.fill()

    def settle(self) -> None:
        """Take that our share of many workers may have changed."""
        self.rotations.settle(self.endpoints.fleet)

    def draw_pool(self, job: Job) -> int:
        """Draw the pool that a job goes to: its tier's own, or another by the solved fractions."""
        return self.context.rng.choices(range(self.context.mode.tiers), self.pool_fractions[job.tier])[0]

    def rotation(self, pool: int) -> Rotation:
        """Give the rotation of a pool."""
        return self.rotations[pool]

    def owned_in_rotation_order(self, first_of: int) -> Iterator[Worker]:
        """Give our own workers of all pools in the order of their turns, but the next of one pool first."""
        return self.rotations.turns(NEAR, first_of)

    def rotation_group(self, worker: Worker) -> int | None:
        """Say where a worker stands in the rotation, by our share of it and of the fleet; full: nowhere."""
        used = worker.slots_in_flight
        if used and used >= self.capacity.open_slots(worker):
            return None
        if worker.preference_position >= self.capacity.preferred_fraction:
            return REST
        if used:
            return NEAR if used + 1 <= worker.slot_share else FAR
        cold = worker.in_slow_start(self.context.now, self.context.settings)
        ours = worker.slot_share or (cold and not self.context.mode.polls_before_placing)
        return NEAR if ours else FAR

    def advance_virtual_time(self, worker: Worker, work: float) -> None:
        """Charge a worker its turn: the time that the work, ms, takes it."""
        endpoints = self.endpoints
        endpoints.virtual_time = max(endpoints.virtual_time, worker.virtual_time)
        worker.virtual_time = (
            max(worker.virtual_time, endpoints.virtual_time - MAX_VIRTUAL_TIME_DEBT_MS)
            + work / worker.capacity
        )

    def moved(self, worker: Worker) -> None:
        """Take that a worker's turn, or what it has of ours, has changed."""
        self.rotations.move(worker)

    def key_candidates(self, pool: int, key: str) -> list[Worker]:
        """Give the workers of a pool that every dispatcher's hash names for a key."""
        if (pool, key) not in self._key_candidates:
            workers = rendezvous_order(key, self.pools[pool], self.endpoints.largest_weight)
            self._key_candidates[pool, key] = workers[:KEY_CANDIDATES]
        return self._key_candidates[pool, key]
