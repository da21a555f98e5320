"""Choice of the worker for a job: through the pools, by key, or where a repeat would be dropped."""

from __future__ import annotations

from elderstall.decisions.context import ASSUMED_SLOTS, DecisionContext
from elderstall.decisions.eligibility import Eligibility
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.in_flight import InFlight
from elderstall.decisions.pools import Pools
from elderstall.decisions.records import Job, Worker
from elderstall.decisions.rotation import Rotation
from elderstall.interface import Effect

# Of the mean work: a long job of a heavy-tailed class, which a slow worker may end late.
LONG_JOB_FACTOR = 5.0
# Of the fleet's mean jobs per core: a worker listed above it gets a job by key only within its spare jobs per
# core.
MAX_BUSY_FACTOR = 2.0
# Ranks of workers for a job: 0 within the slot share, 2 beyond it, 4 not preferred, each plus 1 if the worker
# is too slow for long jobs. The constant holds the best possible rank of each group of a rotation.
GROUP_RANKS = (0, 2, 4)
NOT_PREFERRED_RANK = GROUP_RANKS[-1]
WORST_RANK = 9  # worse than that of any worker

# Rank as above; in another zone at a price; virtual time; position in the pool.
Rank = tuple[int, bool, float, int]


def long_job_times(job: Job) -> tuple[float, float]:
    """Return the running time at speed 1, ms, and the latency objective, ms, of a long job of the class."""
    run_time = LONG_JOB_FACTOR * job.work
    return run_time, job.cls.latency_objective + job.cls.stretch * LONG_JOB_FACTOR * job.work


class Placement:
    """Chooses the worker of an attempt."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        pools: Pools,
        eligibility: Eligibility,
        in_flight: InFlight,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.pools = pools
        self.eligibility = eligibility
        self.in_flight = in_flight

    def choose(self, job: Job) -> Worker | None:
        """Return the worker for a job, if any accepts it.

        The other pools are searched too if the job's own has no worker of the best rank.
        """
        if job.ran_on is not None:
            return self._for_repeat(job)
        if self.in_flight.is_saturated():
            return None
        if (worker := self._on_probation(job)) is not None:
            return worker
        first = self.pools.draw_pool(job)
        order = [first] + [pool for pool in range(self.context.mode.tiers - 1, -1, -1) if pool != first]
        by_key = job.key is not None and self.context.settings.fetch_price
        if by_key and (worker := self._by_key(order, job)) is not None:
            return worker
        return self._from_pools(order, job)

    def _from_pools(self, order: list[int], job: Job) -> Worker | None:
        """Return the worker of the best rank in the pools, the first of equals in the given order, if any."""
        best = None
        best_rank = WORST_RANK
        for pool in order:
            if best_rank and (found := self.next_accepting(self.pools.rotation(pool), job))[0] < best_rank:
                best_rank, best = found
        # A slot share of 0 or 1 is taken to mean that shares are whole slots. Beyond those, this dispatcher
        # doesn't know which workers are free. While a start is overdue, jobs wait, or they would be sent
        # blindly to a saturated fleet.
        is_blind = best is not None and best_rank > 1 and best.slot_share in (0.0, 1.0)
        return None if is_blind and self.in_flight.is_saturated(late=True) else best

    def _on_probation(self, job: Job) -> Worker | None:
        """Return a worker on probation that accepts the job, if the job may be repeated.

        Otherwise a worker could stay on probation without ever getting a job that ends it.
        """
        if job.cls.effect is not Effect.IDEMPOTENT:
            return None
        for worker in self.endpoints.probation_candidates():
            if self.eligibility.accepts(worker, job):
                return worker
        return None

    def next_accepting(self, rotation: Rotation, job: Job) -> tuple[int, Worker | None]:
        """Return the best rank of a pool's workers that accept a job, and the next worker of that rank.

        Workers within this dispatcher's slot share and fast enough for long jobs have the best rank.
        """
        best: Worker | None = None
        best_rank: Rank = (WORST_RANK, False, 0.0, 0)
        run_time, objective = long_job_times(job)
        for group_rank, entries in zip(GROUP_RANKS, rotation, strict=True):
            if best_rank[0] < group_rank:
                break
            for virtual_time, position, _, worker in entries:
                if worker.backoff_until > self.context.now:
                    continue
                is_slow = run_time > objective * worker.speed
                rank = (
                    (group_rank + is_slow, False, virtual_time, position)
                    if group_rank == NOT_PREFERRED_RANK
                    else (self._rank_worker(worker, job, virtual_time, position, is_slow=is_slow))
                )
                if rank < best_rank and self.eligibility.accepts(worker, job):
                    best = worker
                    best_rank = rank
                    if rank[0] == group_rank and not rank[1]:
                        break  # the others of the group come later in the rotation
        return best_rank[0], best

    def _rank_worker(
        self, worker: Worker, job: Job, virtual_time: float, position: int, *, is_slow: bool
    ) -> Rank:
        """Return the rank of a worker for a job; the lowest is best."""
        settings = self.context.settings
        # Where shares are whole slots, a worker in slow start that this dispatcher may use in the current
        # slow-start window ranks like one of its own slots.
        is_past_share = worker.slots_in_flight + job.slots > worker.slot_share and (
            worker.slots_in_flight > 0
            or (not worker.slot_share and not worker.is_in_slow_start(self.context.now, settings))
        )
        rank = 2 * is_past_share + is_slow
        is_cross_zone = rank < 2 and worker.zone != settings.zone and settings.cross_zone_price > 0
        return rank, is_cross_zone, virtual_time, position

    def _by_key(self, order: list[int], job: Job) -> Worker | None:
        """Return a worker that accepts the job, of the first ones in rendezvous order for its key."""
        mean = self.endpoints.mean_jobs_per_core
        for pool in order:
            for worker in self.pools.key_candidates(pool, job.key or ""):
                # Many dispatchers may send a key's jobs to one worker; its load shows in the endpoint list.
                spare_jobs_per_core = 1 - (job.slots - 1) / max(ASSUMED_SLOTS, worker.slots)
                max_jobs_per_core = max(spare_jobs_per_core, MAX_BUSY_FACTOR * mean / job.slots)
                if worker.jobs_per_core <= max_jobs_per_core and self.eligibility.accepts(worker, job):
                    return worker
        return None

    def _for_repeat(self, job: Job) -> Worker | None:
        """Return the next worker in rotation order that accepts a job that may have run."""
        workers = self.endpoints.workers.values()
        accepting = (worker for worker in workers if self.eligibility.accepts_repeat(worker, job))
        return min(accepting, key=lambda worker: worker.virtual_time, default=None)
