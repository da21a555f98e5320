"""Records that the decisions of ``choice.py`` are written in; plain data, no decisions."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any
from zlib import crc32

from elderstall import interface as i


def stable_hash(text: str) -> int:
    """Hash alike in every process and instance."""
    return crc32(text.encode()) * 2654435761 % 2**32


def portions(total: int, weights: Sequence[float]) -> tuple[int, ...]:
    """Cut a whole number by weights, each part at least 1; the largest takes what rounding leaves."""
    parts = [max(1, round(total * x / sum(weights))) for x in weights]
    while sum(parts) != total:
        parts[parts.index(max(parts))] += 1 if sum(parts) < total else -1
    return tuple(parts)


@dataclass(slots=True)
class Bucket:
    """A token bucket, full at first."""

    tokens: float = math.inf
    at: float = 0.0

    def take(self, now: float, rate: float, most: float) -> bool:
        """Fill it at ``rate`` a ms up to ``most``, and take one token if it is there."""
        self.tokens, self.at = min(most, self.tokens + (now - self.at) * rate), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True, frozen=True)
class Load:
    """What the solver is fed. One entry a tier, but for the capacities: one a cuttable worker, in order."""

    rate: tuple[float, ...]  # jobs a ms, all dispatchers
    work: tuple[float, ...]  # slot-ms a job on a standard core
    run: tuple[float, ...]  # ms a job runs on a standard core
    aim: tuple[float, ...]  # ms from arrival
    power: tuple[float, ...]  # cumulative speed x slots of the cut order
    slots: tuple[float, ...]  # cumulative slots of the cut order
    shared_power: float = 0.0  # of workers that serve every tier
    shared_slots: float = 0.0


@dataclass(slots=True, frozen=True)
class Policy:
    """Fractions in thousandths, in the order of ``pairs``, and pool sizes, gold first."""

    f: tuple[int, ...]
    sizes: tuple[int, ...]


def pairs(tiers: int) -> tuple[tuple[int, int], ...]:
    """(from, to) of each fraction: S to G, B to S, B to G; the one pair with two tiers."""
    return ((), (), ((1, 0),), ((1, 0), (2, 1), (2, 0)))[tiers]


def legal(policy: Policy, tiers: int) -> bool:
    """Check the design's constraints."""
    out = [0] * tiers
    for (low, high), f in zip(pairs(tiers), policy.f, strict=True):
        if abs(f) > 1000:
            return False
        out[low if f > 0 else high] += abs(f)
    return max(out) <= 1000 and min(policy.sizes) >= 1 and (tiers < 3 or policy.f[0] * policy.f[2] >= 0)


def flows(policy: Policy, tiers: int) -> list[list[float]]:
    """Share of each tier's jobs that goes to each pool."""
    share = [[1.0 if p == t else 0.0 for p in range(tiers)] for t in range(tiers)]
    for (low, high), f in zip(pairs(tiers), policy.f, strict=True):
        src, dst = (low, high) if f > 0 else (high, low)
        share[src][src] = max(0.0, share[src][src] - abs(f) / 1000)
        share[src][dst] += abs(f) / 1000
    return share


LEARNED = ("turn", "peak", "limit", "work", "time", "skip_until", "skip", "free", "proving")  # of a worker


@dataclass(slots=True)
class Worker:
    """A worker as this dispatcher sees it."""

    name: str
    kind: str
    zone: str | None
    cell: int
    started: float | None
    order: tuple[int, str] = (0, "")  # by hash of the name, alike at every dispatcher
    open: bool = True  # listed as up
    turn: float = 0.0  # when it is next in the rotation, in virtual time
    used: int = 0  # slots of our attempts out
    running: int = 0  # slots of our attempts that have started
    stale: int = 0  # at most so many of these started before its process was restarted
    last_start: float = -math.inf  # when a start of ours was told
    peak: int = 1  # most slots of ours seen running at once
    limit: int = 1  # slots believed open to us
    work: float = 0.0  # decayed standard work of ended jobs
    time: float = 0.0  # decayed running time of the same
    skip_until: float = -math.inf
    skip: float = 0.0
    free: float = 0.0  # slots free by its latest report
    proving: int = 0  # safe jobs it must serve, one at a time, after an error before it has others again
    speed: float = 1.0  # learned; a standard core is 1
    slots: float = 1.0  # believed
    power: float = 1.0  # speed x slots, as warm as it is
    fair: float = 1.0  # our part of its slots
    held: float = 0.0  # jobs a core that the list shows it to hold
    place: float = 0.0  # where we stand among the dispatchers in line for its slots, of 1
    line: float | None = None  # the same as told, where dispatchers hold subsets
    rank: int = 0  # its place among all that are up
    asked: bool = False  # how it stands; its answer is still to come
    told: float = -math.inf  # when it last told how it stands
    filed: tuple[int | None, float] | None = None  # group and turn under which the rotation has it
    waiting: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    kept: deque[str] = field(default_factory=lambda: deque(maxlen=8))  # latest keys
    pushed: deque[tuple[float, float]] = field(default_factory=deque)  # what we sent while it was cold

    @classmethod
    def of(cls, e: i.Listed) -> Worker:
        """Make one of a line of the list."""
        return cls(e.worker, e.kind, e.zone, e.cell, e.started, (stable_hash(e.worker), e.worker))

    def warmth(self, now: float, s: i.Settings) -> float:
        """Share of its capacity that it surely has by its age."""
        if self.started is None or s.cold_for <= 0:
            return 1.0
        age = max(0.0, now - self.started) / s.cold_for
        return min(1.0, s.cold_share + (1 - s.cold_share) * age)

    def restart(self, started: float | None, now: float) -> None:
        """Take a new start: a new, cold worker; what was learned of the old process is void."""
        self.started, self.skip, self.skip_until, self.proving = started, 0.0, now, 0
        self.work, self.time, self.peak, self.limit = 0.0, 0.0, 1, 1
        self.stale = self.running

    def learned(self) -> dict[str, Any]:
        """Give what was learned of its process, as plain data."""
        return {
            "started": self.started,
            "pushed": list(self.pushed),
            **{name: getattr(self, name) for name in LEARNED},
        }

    def relearn(self, data: dict[str, Any]) -> None:
        """Take what was learned, if it is of the same process."""
        if data["started"] == self.started:
            self.pushed.extend((at, work) for at, work in data["pushed"])
            for name in LEARNED:
                setattr(self, name, data[name])


@dataclass(slots=True)
class Job:
    """A job that is owed an answer, or whose attempts are still out."""

    id: int
    cls: i.JobClass
    worth: float
    tier: int
    slots: int
    work: float
    key: str | None
    arrived: float
    deadline: float
    sent: int = 0
    out: int = 0
    done: bool = False
    held: bool = False
    asked: list[Worker] = field(default_factory=list)  # how they stand, before it is sent to one of them
    passed: list[Worker] = field(default_factory=list)  # those asked before, while all were full
    asked_at: float = 0.0
    rounds: int = 0  # of asking
    ran_at: float | None = None  # send time of the first attempt that may have run
    ran_on: Worker | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt that is out."""

    job: Job
    number: int
    worker: Worker
    sent: float
    started: float | None = None


def load_of(
    seen: Sequence[Sequence[float]], scale: float, cut: Sequence[Worker], common: Sequence[Worker]
) -> Load:
    """Feed the solver: jobs, slot-work, work and aim by tier, and the workers' power and slots."""
    work, run, aim = (tuple(x[n] / x[0] if x[0] else 0.0 for x in seen) for n in (1, 2, 3))
    return Load(
        tuple(x[0] * scale for x in seen),
        work,
        run,
        aim,
        power=tuple(accumulate((w.power for w in cut), initial=0.0)),
        slots=tuple(accumulate((w.slots for w in cut), initial=0.0)),
        shared_power=sum(w.power for w in common),
        shared_slots=sum(w.slots for w in common),
    )


def ranked(key: str, workers: Sequence[Worker], sizes: Mapping[str, float]) -> list[Worker]:
    """Order workers for a key by weighted rendezvous hash, alike at every dispatcher; sizes are by kind."""
    mark = stable_hash(key)
    chances = [
        (math.log(((mark ^ w.order[0]) * 2654435761 % 2**32 + 1) / 2**32) / sizes[w.kind], w.name, w)
        for w in workers
    ]
    return [w for *_, w in sorted(chances, reverse=True)]
