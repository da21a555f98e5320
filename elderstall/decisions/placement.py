"""Which worker gets a job: the ordinary path through the pools, by key, or where a repeat is dropped."""

from __future__ import annotations

from elderstall.decisions.context import ASSUMED_SLOTS, DecisionContext
from elderstall.decisions.eligibility import Eligibility
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.in_flight import InFlight
from elderstall.decisions.pools import Pools
from elderstall.decisions.records import Job, Worker
from elderstall.decisions.rotation import Rotation
from elderstall.interface import Effect

LONG_JOB = 5.0  # mean jobs: a long job of a heavy-tailed class, which a slow worker may end late
BUSY_TIMES = 2.0  # times the fleet's mean of jobs a core: a worker that the list shows above gets none by key
GROUP_RANKS = (0, 2, 4)  # the best rank that a worker of each group of a rotation can have
REST_RANK = GROUP_RANKS[-1]
WORST_RANK = 9  # above any that a worker can have

Rank = tuple[int, bool, float, int]  # past our share or too slow; another zone; turn; place


def long_run(job: Job) -> tuple[float, float]:
    """Give the running time at speed 1, ms, that a long job of a job's kind has, and when it is wanted."""
    run = LONG_JOB * job.work
    return run, job.cls.latency_objective + job.cls.stretch * LONG_JOB * job.work


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
        self.context, self.endpoints, self.pools = context, endpoints, pools
        self.eligibility, self.in_flight = eligibility, in_flight

    def choose(self, job: Job) -> Worker | None:
        """Follow the ordinary path; if the job's pool has none of the best rank, look in the others too."""
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
        best, least = None, WORST_RANK
        for pool in order:
            if least and (found := self.next_in(self.pools.rotation(pool), job))[0] < least:
                least, best = found
        # Guards against blind sends to a full fleet: past own whole slots, jobs wait at one overdue start.
        blind = best is not None and least > 1 and best.slot_share in (0.0, 1.0)
        return None if blind and self.in_flight.is_saturated(late=True) else best

    def _on_probation(self, job: Job) -> Worker | None:
        """Guard against a worker kept out which no job asks for its probation: a harmless one does."""
        if job.cls.effect is not Effect.IDEMPOTENT:
            return None
        for worker in self.endpoints.probation_candidates():
            if self.eligibility.accepts(worker, job):
                return worker
        return None

    def next_in(self, rotation: Rotation, job: Job) -> tuple[int, Worker | None]:
        """Give a pool's next worker that accepts a job, and its rank: our own slots, fast for long jobs."""
        best: Worker | None = None
        least: Rank = (WORST_RANK, False, 0.0, 0)
        run, wanted = long_run(job)
        for floor, entries in zip(GROUP_RANKS, rotation, strict=True):
            if least[0] < floor:
                break
            for virtual_time, place, _, worker in entries:
                if worker.backoff_until > self.context.now:
                    continue
                slow = run > wanted * worker.speed
                rank = (
                    (floor + slow, False, virtual_time, place)
                    if floor == REST_RANK
                    else (self._rank(worker, job, virtual_time, place, slow=slow))
                )
                if rank < least and self.eligibility.accepts(worker, job):
                    best, least = worker, rank
                    if rank[0] == floor and not rank[1]:
                        break  # the others of the group come later in the rotation
        return least[0], best

    def _rank(self, worker: Worker, job: Job, virtual_time: float, place: int, *, slow: bool) -> Rank:
        """Rank a worker for a job; the least is best."""
        settings = self.context.settings
        # Where slots are whole, a cold worker in whose window we have a turn is as good as our own.
        past_share = worker.slots_in_flight + job.slots > worker.slot_share and (
            worker.slots_in_flight > 0
            or (not worker.slot_share and not worker.in_slow_start(self.context.now, settings))
        )
        rank = 2 * past_share + slow
        crossing = rank < 2 and worker.zone != settings.zone and settings.cross_zone_price > 0
        return rank, crossing, virtual_time, place

    def _by_key(self, order: list[int], job: Job) -> Worker | None:
        """Give an accepting worker of those that every dispatcher's hash names for the job's key."""
        mean = self.endpoints.mean_jobs_per_core
        for pool in order:
            for worker in self.pools.key_candidates(pool, job.key or ""):
                # Guards against many dispatchers that ask one worker for a key: the list shows it.
                spare = 1 - (job.slots - 1) / max(ASSUMED_SLOTS, worker.slots)
                most = max(spare, BUSY_TIMES * mean / job.slots)
                if worker.jobs_per_core <= most and self.eligibility.accepts(worker, job):
                    return worker
        return None

    def _for_repeat(self, job: Job) -> Worker | None:
        """Give the next accepting worker of those at which a job that may have run may run again."""
        workers = self.endpoints.workers.values()
        accepting = (worker for worker in workers if self.eligibility.accepts_repeat(worker, job))
        return min(accepting, key=lambda worker: worker.virtual_time, default=None)
