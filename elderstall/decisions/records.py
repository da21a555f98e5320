"""Records that the decisions are written in: workers, jobs, attempts, the solver's load and policy."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from elderstall.hashing import HASH_MULTIPLIER, HASH_SPACE, stable_hash
from elderstall.interface import Endpoint, JobClass, Settings


def divide_proportionally(total: int, weights: Sequence[float]) -> tuple[int, ...]:
    """Cut a whole number by weights, each part at least 1; the largest takes what rounding leaves."""
    parts = [max(1, round(total * x / sum(weights))) for x in weights]
    while sum(parts) != total:
        parts[parts.index(max(parts))] += 1 if sum(parts) < total else -1
    return tuple(parts)


CACHED_KEYS = 8  # of a worker are remembered
MIN_BACKOFF_MS = 100.0  # ms a worker is left alone after 'full' or a failed connection; doubles
MAX_BACKOFF_MS = 4_000.0  # ms that no backoff exceeds: faults end, and a worker must get its way back


@dataclass(slots=True, frozen=True)
class Load:
    """What the solver is fed. One entry a tier, but for the capacities: one a cuttable worker, in order."""

    rate: tuple[float, ...]  # jobs a ms, all dispatchers
    work: tuple[float, ...]  # slot-ms a job on a standard core
    run: tuple[float, ...]  # ms a job runs on a standard core
    latency_objective: tuple[float, ...]  # ms from arrival
    capacity: tuple[float, ...]  # cumulative speed x slots of the cut order
    slots: tuple[float, ...]  # cumulative slots of the cut order
    shared_capacity: float = 0.0  # of workers that serve every tier
    shared_slots: float = 0.0


@dataclass(slots=True, frozen=True)
class Policy:
    """Fractions in thousandths, in the order of ``pairs``, and pool sizes, gold first."""

    fractions: tuple[int, ...]
    sizes: tuple[int, ...]


def tier_pairs(tiers: int) -> tuple[tuple[int, int], ...]:
    """(from, to) of each fraction: S to G, B to S, B to G; the one pair with two tiers."""
    return ((), (), ((1, 0),), ((1, 0), (2, 1), (2, 0)))[tiers]


def is_feasible(policy: Policy, tiers: int) -> bool:
    """Check the design's constraints."""
    out = [0] * tiers
    for (low, high), f in zip(tier_pairs(tiers), policy.fractions, strict=True):
        if abs(f) > 1000:
            return False
        out[low if f > 0 else high] += abs(f)
    return (
        max(out) <= 1000
        and min(policy.sizes) >= 1
        and (tiers < 3 or policy.fractions[0] * policy.fractions[2] >= 0)
    )


def pool_fractions(policy: Policy, tiers: int) -> list[list[float]]:
    """Share of each tier's jobs that goes to each pool."""
    share = [[1.0 if p == t else 0.0 for p in range(tiers)] for t in range(tiers)]
    for (low, high), f in zip(tier_pairs(tiers), policy.fractions, strict=True):
        src, dst = (low, high) if f > 0 else (high, low)
        share[src][src] = max(0.0, share[src][src] - abs(f) / 1000)
        share[src][dst] += abs(f) / 1000
    return share


@dataclass(slots=True)
class Worker:
    """A worker as this dispatcher sees it. Times are ms; work is ms on a standard core."""

    name: str
    kind: str
    zone: str | None
    cell: int
    started: float | None
    hash_order: tuple[int, str] = (0, "")  # by hash of the name, alike at every dispatcher
    up: bool = True  # listed as in service
    virtual_time: float = 0.0  # when it is next in the rotation, in virtual time
    slots_in_flight: int = 0  # of our attempts
    slots_running: int = 0  # of our attempts that have started
    stale_slots: int = 0  # at most so many of these started before its process was restarted
    last_start_at: float = -math.inf  # when a start of ours was notified
    peak_slots: int = 1  # most slots of ours seen running at once
    slot_limit: int = 1  # slots believed open to us
    work_done: float = 0.0  # decayed work of completed jobs
    run_time: float = 0.0  # decayed running time of the same
    backoff_until: float = -math.inf
    backoff: float = 0.0
    free_slots: float = 0.0  # by its latest load report
    probation: int = 0  # jobs that it must serve, one at a time, after an error before it has others again
    speed: float = 1.0  # learned; a standard core is 1
    slots: float = 1.0  # believed
    capacity: float = 1.0  # speed x slots, as warm as it is
    slot_share: float = 1.0  # our part of its slots
    jobs_per_core: float = 0.0  # as the endpoint list's weights show
    preference_position: float = 0.0  # ours among the dispatchers in line for its slots, 0 to 1
    listed_preference_position: float | None = (
        None  # the same as the list gives it, where dispatchers hold subsets
    )
    fleet_index: int = 0  # its place among all that are up
    poll_pending: bool = False  # it was asked for a load report, which is still to come
    reported_at: float = -math.inf  # when its latest load report came
    rotation_key: tuple[int | None, float] | None = None  # group and turn under which the rotation has it
    unstarted: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    cached_keys: deque[str] = field(default_factory=lambda: deque(maxlen=CACHED_KEYS))  # latest last
    warm_up_sends: deque[tuple[float, float]] = field(default_factory=deque)  # time and work, while cold

    @classmethod
    def from_endpoint(cls, entry: Endpoint) -> Worker:
        """Make one of an entry of the endpoint list."""
        order = (stable_hash(entry.worker), entry.worker)
        return cls(entry.worker, entry.kind, entry.zone, entry.cell, entry.started, order)

    @classmethod
    def unlisted(cls, name: str) -> Worker:
        """Make one that the endpoint list does not name: it gets no jobs."""
        return cls(name, "", None, 0, None, up=False)

    def warm_up_fraction(self, now: float, settings: Settings) -> float:
        """Share of its capacity that it surely has by its age."""
        if self.started is None or settings.slow_start_duration <= 0:
            return 1.0
        age = max(0.0, now - self.started) / settings.slow_start_duration
        return min(1.0, settings.slow_start_share + (1 - settings.slow_start_share) * age)

    def in_slow_start(self, now: float, settings: Settings) -> bool:
        """Say whether the slow-start rule still binds for it."""
        return (
            self.started is not None
            and now - self.started <= settings.slow_start_duration + settings.slow_start_window
        )

    def grow_backoff(self, least: float) -> None:
        """Double the time, ms, that it is left alone after a failure."""
        self.backoff = max(least, min(self.backoff * 2, MAX_BACKOFF_MS))

    def restart(self, started: float | None, now: float) -> None:
        """Take a new start: a new, cold worker; what was learned of the old process is void."""
        self.started = started
        self.backoff, self.backoff_until, self.probation = 0.0, now, 0
        self.work_done, self.run_time = 0.0, 0.0
        self.peak_slots, self.slot_limit = 1, 1
        self.stale_slots = self.slots_running


@dataclass(slots=True)
class Job:
    """A job that is owed an answer, or whose attempts are still in flight. Times are ms."""

    id: int
    cls: JobClass
    weight: float  # priority weight
    tier: int
    slots: int
    work: float  # expected, ms on a standard core
    key: str | None
    arrived: float
    deadline: float
    attempts: int = 0
    in_flight: int = 0
    answered: bool = False
    queued: bool = False
    polled: list[Worker] = field(default_factory=list)  # for load reports, before it goes to one of them
    polled_before: list[Worker] = field(default_factory=list)  # in earlier rounds, while all were full
    polled_at: float = 0.0
    poll_rounds: int = 0
    ran_at: float | None = None  # send time of the first attempt that may have run
    ran_on: Worker | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt in flight. Times are ms."""

    job: Job
    number: int
    worker: Worker
    sent_at: float
    started_at: float | None = None


def build_load(
    seen: Sequence[Sequence[float]], scale: float, pooled: Sequence[Worker], shared: Sequence[Worker]
) -> Load:
    """Feed the solver: jobs, slot-work, work and objective by tier, and the workers' capacity and slots."""
    work, run, objective = (tuple(x[n] / x[0] if x[0] else 0.0 for x in seen) for n in (1, 2, 3))
    return Load(
        tuple(x[0] * scale for x in seen),
        work,
        run,
        objective,
        capacity=tuple(accumulate((worker.capacity for worker in pooled), initial=0.0)),
        slots=tuple(accumulate((worker.slots for worker in pooled), initial=0.0)),
        shared_capacity=sum(worker.capacity for worker in shared),
        shared_slots=sum(worker.slots for worker in shared),
    )


def rendezvous_order(key: str, workers: Sequence[Worker], sizes: Mapping[str, float]) -> list[Worker]:
    """Order workers for a key by weighted rendezvous hash, alike at every dispatcher; sizes are by kind."""
    mark = stable_hash(key)
    chances = [
        (
            math.log(((mark ^ worker.hash_order[0]) * HASH_MULTIPLIER % HASH_SPACE + 1) / HASH_SPACE)
            / sizes[worker.kind],
            worker.name,
            worker,
        )
        for worker in workers
    ]
    return [worker for *_, worker in sorted(chances, reverse=True)]
