"""How a dispatcher goes on under new settings or as a new process, and what it forgets; no decision."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from elderstall import interface as i
from elderstall.clocks import SharedClock
from elderstall.records import Attempt, Job, Policy, Worker, flows

if TYPE_CHECKING:
    from elderstall.choice import Dispatcher
    from elderstall.routing.view import FleetView


def learned(d: Dispatcher) -> dict[str, Any]:
    """Give what was learned, as plain data, for the process that takes over."""
    return {
        "workers": {w.name: w.learned() for w in d.workers.values()},
        "kinds": d.kinds,
        "mean": d.mean,
        "ended": d.ended,
        "claim": d.claim,
        "turn": d.turn,
        "load": d.load_seen,
        "policy": (d.policy.f, d.policy.sizes),
    }


def write_learned(data: dict[str, Any], view: FleetView, clock: SharedClock) -> dict[str, Any]:
    """Write what was learned for another process: starts as the list has them, readings as both know them."""
    for name, worker in data["workers"].items():
        entry, started = view.entries.get(name), worker["started"]
        if entry is not None and started == entry.started:
            worker["started"] = entry.since_ms
        elif started is not None:
            worker["started"] = clock.written(started)  # put back by hand then
        worker["skip_until"] = clock.written(worker["skip_until"])
        worker["pushed"] = [(clock.written(at), work) for at, work in worker["pushed"]]
    return data


def read_learned(
    data: dict[str, Any],
    entries: Iterable[i.Listed],
    put_back: Mapping[str, Sequence[float]],
    view: FleetView,
    clock: SharedClock,
) -> None:
    """Read what another process has written: its workers' starts become those that the view shows here.

    ``put_back`` has the times of those that were put back by hand, as they were sent. What was learned of
    another process of a worker gets a start that is no worker's.
    """
    workers = data["workers"]
    for entry in entries:
        if (worker := workers.get(entry.worker)) is None:
            continue
        shown = view.shown(entry)
        listed = shown.started == entry.started
        same = worker["started"] == (entry.since_ms if listed else put_back[entry.worker][1])
        worker["started"] = shown.started if same else math.nan
        worker["skip_until"] = clock.read(worker["skip_until"])
        worker["pushed"] = [(clock.read(at), work) for at, work in worker["pushed"]]


def relearned(d: Dispatcher, e: i.Learned) -> None:
    """Go on with what the process before this one had learned; where settings differ, what still fits."""
    for name, data in e.data["workers"].items():
        if name in d.workers:
            d.workers[name].relearn(data)
    d.kinds.update(e.data["kinds"])
    d.mean, d.ended = d.mean | e.data["mean"], d.ended | e.data["ended"]
    d.claim, d.turn, d.typical = e.data["claim"], e.data["turn"], d.usual_work()
    f, sizes = e.data["policy"]
    if len(e.data["load"]) == d.tiers:
        d.load_seen, d.intervals = e.data["load"], 1
        d.policy = Policy(tuple(f), tuple(sizes))
        d.shares = flows(d.policy, d.tiers)
    d.cut_pools()
    d.part = sum(w.fair for w in d.cut + d.common)


def inherited(d: Dispatcher, e: i.JobInherited) -> None:
    """Take a job over from the process before this one, and go on with its attempt if one is out."""
    work = e.work_hint if e.work_hint else d.mean.setdefault(e.cls.name, max(1.0, e.cls.aim / 2))
    job = Job(
        e.job, e.cls, e.cls.worth, d.tier_of(e.cls.worth), e.slots, work, e.key, e.arrived, e.deadline, e.sent
    )
    d.jobs[e.job] = job
    if e.ran_on is not None:
        job.ran_on = d.workers.get(e.ran_on, Worker(e.ran_on, "", None, 0, None))
        job.ran_at = e.arrived  # at the earliest
    if e.worker is None:
        d.place(job)
        return
    w = d.workers.get(e.worker, Worker(e.worker, "", None, 0, None, open=False))
    d.attempts[e.job, e.sent - 1] = Attempt(job, e.sent - 1, w, e.sent_at)
    job.out, w.used = 1, w.used + job.slots
    d.rotations.move(w)


def retuned(d: Dispatcher, e: i.Retuned) -> None:
    """Take new settings and keep what was learned; a job keeps its class, and its place in the order."""
    held = [job for jobs in d.held for job in jobs if job.held]
    d.adopt(e.settings)
    d.held = [[] for _ in range(d.tiers + 1)]
    for job in d.jobs.values():
        job.tier = d.tier_of(job.worth)
    d.cut_pools()
    for job in held:
        (d.finish if job.sent >= d.s.max_attempts else d.hold)(job)
    d.pump()


class Forgetting:
    """Forgets workers that are gone for good, once no question and no attempt is out there."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.names: set[str] = set()  # still to be forgotten

    def __call__(self, e: i.WorkersForgotten) -> None:
        """Take names, and forget all that can be forgotten now."""
        self.names.update(e.workers)
        workers = self.dispatcher.workers
        for name in sorted(self.names):
            worker = workers.get(name)
            if worker is None or worker.open:
                self.names.discard(name)
            elif not (worker.used or worker.asked):
                self.names.discard(name)
                del workers[name]
                self.dispatcher.unproved.pop(name, None)
