"""What a dispatcher learns of its workers and classes from what ends: estimates, no decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from elderstall.records import Attempt, Worker

if TYPE_CHECKING:
    from elderstall.choice import Dispatcher

SEEN_TIMES = 2.0  # times the slots ever seen: what a cold worker's are believed to be at most
MEMORY_JOBS = 30.0  # speeds forget as jobs end, to follow a worker that slows


def saw_slots(d: Dispatcher, w: Worker, slots: int) -> None:
    """Take a number of slots that a worker was seen to have."""
    w.peak = max(w.peak, slots)
    d.kinds[w.kind][2] = max(d.kinds[w.kind][2], slots)


def saw_start(d: Dispatcher, w: Worker, slots: int) -> None:
    """Take the start of a job of so many slots; call it before the job counts as running.

    Guards rule 4: the end that made room for it may be told only after it, so with the others that run it
    would show a slot too many, and a worker of one slot for one of two.
    """
    saw_slots(d, w, max(w.running - w.stale, slots))
    w.last_start = d.now


def saw_end(d: Dispatcher, a: Attempt) -> None:
    """Take the end of an attempt that had started; call it while the attempt still counts as running."""
    w = a.worker
    if d.now - w.last_start > d.prompt:  # an end as late as that would have been told by now
        saw_slots(d, w, w.running - w.stale)
    w.stale = min(w.stale, w.running - a.job.slots)


def cold_power(d: Dispatcher, w: Worker) -> float:
    """Give what a cold worker does now: speed x slots x warmth, in ms of work a ms.

    Guards rule 4: until a report tells, the slots of a kind are a guess, and thirty light dispatchers that
    each take a worker of one slot for one of four push it over together.
    """
    seen = max(w.peak, d.kinds[w.kind][2])
    return min(w.slots, SEEN_TIMES * seen) * w.speed * w.warmth(d.now, d.s)


def learn(d: Dispatcher, a: Attempt, run: float) -> None:
    """Take the running time of a served job into its worker's speed and its class's mean work."""
    job, w = a.job, a.worker
    name, run, fade = job.cls.name, max(run, 1.0), 1 - 1 / MEMORY_JOBS
    stats = d.kinds[w.kind]
    w.work, w.time = w.work * fade + job.work, w.time * fade + run
    stats[0], stats[1] = stats[0] * (fade + 1) / 2 + job.work, stats[1] * (fade + 1) / 2 + run
    d.ended[name] = n = d.ended.get(name, 0) + 1
    d.mean[name] = max(1.0, d.mean[name] + (run * w.speed - d.mean[name]) / min(n, 200))
    before = w.power
    d.refresh((w,))
    d.power += w.power - before if w.open else 0.0
