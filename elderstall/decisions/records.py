"""Data model of the decisions: workers, jobs, attempts, and the solver's load and policy."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from elderstall.hashing import HASH_MULTIPLIER, HASH_SPACE, stable_hash
from elderstall.interface import Endpoint, JobClass, Settings


def divide_proportionally(total: int, weights: Sequence[float]) -> tuple[int, ...]:
    """Return integers that sum to ``total``, in proportion to weights.

    Each is at least 1 if the total is not less than their number. Rounding errors are corrected by 1 at a
    time, each time on the integer that is the largest then.
    """
    parts = [max(1, round(total * weight / sum(weights))) for weight in weights]
    while sum(parts) != total:
        parts[parts.index(max(parts))] += 1 if sum(parts) < total else -1
    return tuple(parts)


MAX_CACHED_KEYS = 8  # per worker
MIN_BACKOFF_MS = 100.0  # after a failed attempt or a silent poll; doubles with each further failure
# Bounds the doubling, so that a worker gets jobs again soon after its fault has ended. The minimum after a
# timed-out attempt may exceed it.
MAX_BACKOFF_MS = 4_000.0


@dataclass(slots=True, frozen=True)
class Load:
    """Input of the solver: offered load by tier, and the capacity of the workers.

    ``capacity`` and ``slots`` are cumulative over the workers that pools are cut from, in pool order.
    """

    rate: tuple[float, ...]  # jobs per ms, over all dispatchers
    work: tuple[float, ...]  # slot-ms per job on a standard core
    run: tuple[float, ...]  # running time of a job on a standard core, ms
    latency_objective: tuple[float, ...]  # from arrival, ms
    capacity: tuple[float, ...]  # cumulative speed x slots
    slots: tuple[float, ...]  # cumulative
    shared_capacity: float = 0.0  # of the workers that serve every tier
    shared_slots: float = 0.0


@dataclass(slots=True, frozen=True)
class Policy:
    """Redirected fractions, in thousandths and in the order of ``tier_pairs``, and pool sizes by tier.

    A positive fraction of the lower tier's jobs goes to the higher tier's pool; a negative one is the
    fraction of the higher tier's jobs that goes to the lower tier's pool.
    """

    fractions: tuple[int, ...]
    sizes: tuple[int, ...]


def tier_pairs(tiers: int) -> tuple[tuple[int, int], ...]:
    """Return the (lower, higher) tier of each redirected fraction, for 0 to 3 tiers; 0 is the highest."""
    return ((), (), ((1, 0),), ((1, 0), (2, 1), (2, 0)))[tiers]


def is_feasible(policy: Policy, tiers: int) -> bool:
    """Return whether a policy meets the constraints on fractions and pool sizes.

    No tier redirects more than all of its jobs, and no pool is empty. Of three tiers, the fractions of the
    pairs (1, 0) and (2, 0) don't have opposite signs.
    """
    redirected = [0] * tiers
    for (low, high), fraction in zip(tier_pairs(tiers), policy.fractions, strict=True):
        if abs(fraction) > 1000:
            return False
        redirected[low if fraction > 0 else high] += abs(fraction)
    return (
        max(redirected) <= 1000
        and min(policy.sizes) >= 1
        and (tiers < 3 or policy.fractions[0] * policy.fractions[2] >= 0)
    )


def pool_fractions(policy: Policy, tiers: int) -> list[list[float]]:
    """Return the fraction of each tier's jobs that goes to each pool."""
    result = [[1.0 if pool == tier else 0.0 for pool in range(tiers)] for tier in range(tiers)]
    for (low, high), fraction in zip(tier_pairs(tiers), policy.fractions, strict=True):
        source, target = (low, high) if fraction > 0 else (high, low)
        result[source][source] = max(0.0, result[source][source] - abs(fraction) / 1000)
        result[source][target] += abs(fraction) / 1000
    return result


@dataclass(slots=True)
class Worker:
    """State of a worker as seen by this dispatcher. Times are ms; work is ms on a standard core.

    Each worker orders all dispatchers by preference: ``preference_position`` is this dispatcher's position in
    that order, from 0, the most preferred, to 1.
    """

    name: str
    kind: str
    zone: str | None
    cell: int
    started: float | None
    hash_order: tuple[int, str] = (0, "")  # by hash of the name, the same at every dispatcher
    up: bool = True  # listed as in service
    virtual_time: float = 0.0  # at which the rotation comes to it next
    slots_in_flight: int = 0  # of this dispatcher's attempts
    slots_running: int = 0  # of this dispatcher's attempts that have started
    stale_slots: int = 0  # maximum of these whose attempts started before its process was restarted
    last_start_at: float = -math.inf  # last notified start of an attempt
    peak_slots: int = 1  # maximum of this dispatcher's slots seen running at once
    slot_limit: int = 1  # slots that this dispatcher may use at once, as learned from attempts
    work_done: float = 0.0  # decayed work of completed jobs
    run_time: float = 0.0  # decayed running time of completed jobs
    backoff_until: float = -math.inf
    backoff: float = 0.0
    free_slots: float = 0.0  # in its last load report
    probation: int = 0  # jobs it must still serve, one at a time, before it leaves probation after an error
    speed: float = 1.0  # learned; a standard core is 1
    slots: float = 1.0  # estimated
    capacity: float = 1.0  # speed x slots x warm-up fraction
    slot_share: float = 1.0  # this dispatcher's share of its slots
    jobs_per_core: float = 0.0  # derived from the weights in the endpoint list
    preference_position: float = 0.0
    listed_preference_position: float | None = None  # where dispatchers hold subsets
    fleet_index: int = 0  # among all workers that are up
    poll_pending: bool = False  # polled for a load report, with no response yet
    reported_at: float = -math.inf  # time of its last load report
    rotation_key: tuple[int | None, float] | None = None  # group and virtual time in the rotation
    unstarted: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    cached_keys: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_CACHED_KEYS))  # most recent last
    warm_up_sends: deque[tuple[float, float]] = field(default_factory=deque)  # time and work, in slow start

    @classmethod
    def from_endpoint(cls, entry: Endpoint) -> Worker:
        """Create a worker from an entry of the endpoint list."""
        order = (stable_hash(entry.worker), entry.worker)
        return cls(entry.worker, entry.kind, entry.zone, entry.cell, entry.started, order)

    @classmethod
    def unlisted(cls, name: str) -> Worker:
        """Create a worker that is not in the endpoint list and gets no jobs."""
        return cls(name, "", None, 0, None, up=False)

    def warm_up_fraction(self, now: float, settings: Settings) -> float:
        """Return the fraction of its capacity that it has at its age, at least."""
        if self.started is None or settings.slow_start_duration <= 0:
            return 1.0
        age = max(0.0, now - self.started) / settings.slow_start_duration
        return min(1.0, settings.slow_start_share + (1 - settings.slow_start_share) * age)

    def is_in_slow_start(self, now: float, settings: Settings) -> bool:
        """Return whether the slow-start rule applies to it: in slow start and one window after it."""
        return (
            self.started is not None
            and now - self.started <= settings.slow_start_duration + settings.slow_start_window
        )

    def grow_backoff(self, min_backoff: float) -> None:
        """Double the backoff, ms, up to ``MAX_BACKOFF_MS``, but at least to ``min_backoff``."""
        self.backoff = max(min_backoff, min(self.backoff * 2, MAX_BACKOFF_MS))

    def restart(self, started: float | None, now: float) -> None:
        """Reset the state learned of the previous process after a restart: the worker is in slow start."""
        self.started = started
        self.backoff = 0.0
        self.backoff_until = now
        self.probation = 0
        self.work_done = 0.0
        self.run_time = 0.0
        self.peak_slots = 1
        self.slot_limit = 1
        self.stale_slots = self.slots_running


@dataclass(slots=True)
class Job:
    """A job that still needs an answer or has attempts in flight. Times are ms."""

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
    polled: list[Worker] = field(default_factory=list)  # for load reports, before it is sent to one of them
    polled_before: list[Worker] = field(default_factory=list)  # in earlier rounds, while all were full
    polled_at: float = 0.0
    poll_rounds: int = 0
    ran_at: float | None = None  # send time of the first attempt that may have run
    ran_on: Worker | None = None


@dataclass(slots=True)
class Attempt:
    """An attempt in flight. Times are ms."""

    job: Job
    number: int
    worker: Worker
    sent_at: float
    started_at: float | None = None


def build_load(
    seen: Sequence[Sequence[float]], scale: float, pooled: Sequence[Worker], shared: Sequence[Worker]
) -> Load:
    """Return the solver's input. ``seen`` holds, by tier: jobs, and sums of slot-ms, work and objective."""
    work, run, objective = (tuple(row[n] / row[0] if row[0] else 0.0 for row in seen) for n in (1, 2, 3))
    return Load(
        tuple(row[0] * scale for row in seen),
        work,
        run,
        objective,
        capacity=tuple(accumulate((worker.capacity for worker in pooled), initial=0.0)),
        slots=tuple(accumulate((worker.slots for worker in pooled), initial=0.0)),
        shared_capacity=sum(worker.capacity for worker in shared),
        shared_slots=sum(worker.slots for worker in shared),
    )


def rendezvous_order(key: str, workers: Sequence[Worker], weights: Mapping[str, float]) -> list[Worker]:
    """Return workers in weighted rendezvous order for a key, the same at every dispatcher.

    ``weights`` are by kind of worker.
    """
    key_hash = stable_hash(key)
    scores = [
        (
            math.log(((key_hash ^ worker.hash_order[0]) * HASH_MULTIPLIER % HASH_SPACE + 1) / HASH_SPACE)
            / weights[worker.kind],
            worker.name,
            worker,
        )
        for worker in workers
    ]
    return [worker for *_, worker in sorted(scores, reverse=True)]
