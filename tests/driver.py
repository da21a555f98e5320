"""Drives one dispatcher through legal event sequences and checks the four rules as it goes."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from elderstall import Dispatcher
from elderstall.interface import (
    NEVER_RAN,
    Action,
    Actions,
    AttemptEnded,
    AttemptProgressed,
    DeduplicationScope,
    Effect,
    Ending,
    Endpoint,
    EndpointListUpdate,
    Event,
    FailJob,
    JobArrived,
    JobClass,
    JobReleased,
    ListScope,
    RejectJob,
    SendAttempt,
    SetTimer,
    Settings,
    Started,
    TimerFired,
    WorkerState,
)

SAFE = JobClass("safe", 1.0, 100.0, 2_000.0, stretch=2.0)
KEYED = JobClass(
    "keyed", 3.0, 300.0, 3_000.0, Effect.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 1_500.0, 2.0, 0.3
)
KEYED_ALL = JobClass(
    "keyed-all", 2.0, 300.0, 3_000.0, Effect.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 1_500.0, 2.0
)
UNSAFE = JobClass("unsafe", 5.0, 500.0, 4_000.0, Effect.NOT_IDEMPOTENT, late_share=0.2)
CLASSES = (SAFE, KEYED, KEYED_ALL, UNSAFE)


def settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "classes": CLASSES,
        "dispatchers": 2,
        "zone": "a",
        "max_attempts": 4,
        "notifies_start": True,
        "slow_start_share": 0.3,
        "slow_start_duration": 5_000.0,
        "connect_timeout": 100.0,
        "slow_start_window": 1_000.0,
        "tenants": (),
        "over_quota_weight": 0.2,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def fleet(n: int, kind: str = "k", started: float | None = None) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(f"{kind}{k}", kind, "ab"[k % 2], k // 2, started) for k in range(n))


@dataclass
class Out:
    """An attempt that the driver has to end."""

    job: int
    number: int
    worker: str
    at: float
    time_out: float
    started: bool = False


@dataclass
class Seen:
    """What the driver knows of one job."""

    cls: JobClass
    deadline: float
    sent: int = 0
    answers: int = 0
    ended: bool = False
    ran: list[tuple[float, str]] = field(default_factory=list)  # sends that may have run
    out: dict[int, Out] = field(default_factory=dict)


class Driver:
    """A little world of one dispatcher: it checks rules, it does not model speed or queues."""

    def __init__(self, s: Settings, seed: int = 1, now: float = 5_000.0) -> None:
        self.s, self.now = s, now
        self.grace = 500.0
        self.dispatcher = Dispatcher(s, seed)
        self.jobs: dict[int, Seen] = {}
        self.timers: list[tuple[float, int]] = []
        self.told_gone: dict[str, float] = {}
        self.listing: dict[str, Endpoint] = {}
        self.actions: Actions = []
        self.cold_sends: dict[str, list[tuple[float, float]]] = {}
        self.tell(Started())

    def tell(self, event: Event) -> Actions:
        actions = self.dispatcher.handle(self.now, event)
        self.actions += actions
        for a in actions:
            self.check(a)
        return actions

    def check(self, a: Action) -> None:
        if isinstance(a, SetTimer):
            assert a.delay >= 0
            self.timers.append((self.now + max(self.s.tick, a.delay), a.token))
        elif isinstance(a, SendAttempt):
            job = self.jobs[a.job]
            assert not job.ended, "rule 1: sent after the final answer"
            assert job.sent < self.s.max_attempts
            assert not job.out, "rule 2: two copies out"
            maybe = job.ran + [(o.at, o.worker) for o in job.out.values()]
            if maybe:
                assert job.cls.effect is not Effect.NOT_IDEMPOTENT, "rule 2: unsafe sent again"
                if job.cls.effect is Effect.IDEMPOTENCY_KEY:
                    assert self.now - min(at for at, _ in maybe) < job.cls.deduplication_window, (
                        "rule 2: span"
                    )
                    if job.cls.scope is DeduplicationScope.CELL:
                        cells = {self.listing[w].cell for _, w in maybe}
                        assert cells == {self.listing[a.worker].cell}, "rule 2: outside the cell"
            since = self.told_gone.get(a.worker)
            assert since is None or self.now - since <= self.grace, "rule 3: sent to a draining worker"
            self.check_cold(a)
            job.out[job.sent] = Out(a.job, job.sent, a.worker, self.now, a.time_out)
            job.sent += 1
        elif isinstance(a, RejectJob | FailJob):
            job = self.jobs[a.job]
            assert not job.ended, "rule 1: two answers"
            if isinstance(a, RejectJob) and (job.ran or job.out):
                harmless = job.cls.effect is Effect.IDEMPOTENT or (
                    job.cls.effect is Effect.IDEMPOTENCY_KEY and job.cls.scope is DeduplicationScope.ALL
                )
                assert harmless, "rule 2: refused what may have run"
            job.ended, job.answers = True, job.answers + 1

    def check_cold(self, a: SendAttempt) -> None:
        """Rule 4: what one dispatcher sends a cold worker in a window stays within its part of the budget."""
        start = self.listing[a.worker].started
        if start is None or self.now - start >= self.s.slow_start_duration:
            return
        w, job, s = self.dispatcher.endpoints.workers[a.worker], self.dispatcher.answers.open[a.job], self.s
        sends = self.cold_sends.setdefault(a.worker, [])
        sends.append((self.now, job.work * job.slots))
        power = (
            w.slots
            * w.speed
            * (s.slow_start_share + (1 - s.slow_start_share) * (self.now - start) / s.slow_start_duration)
        )
        total = sum(work for at, work in sends if at > self.now - s.slow_start_window)
        assert total <= s.slow_start_multiple * power * s.slow_start_window / s.dispatchers, (
            "rule 4: cold worker pushed"
        )

    def listed(self, entries: tuple[Endpoint, ...], scope: ListScope = ListScope.WHOLE) -> None:
        self.listing.update({e.worker: e for e in entries})
        named = {e.worker for e in entries}
        if scope is ListScope.WHOLE:
            for w in self.listing:
                if w not in named:
                    self.told_gone.setdefault(w, self.now)
        for e in entries:
            if e.state is WorkerState.UP:
                self.told_gone.pop(e.worker, None)
            else:
                self.told_gone.setdefault(e.worker, self.now)
        self.tell(EndpointListUpdate(scope, entries))

    def arrive(self, job: int, cls: JobClass, left: float | None = None, **extra: object) -> Actions:
        left = cls.deadline if left is None else left
        self.jobs[job] = Seen(cls, self.now + left)
        return self.tell(JobArrived(job, cls.name, left, **extra))  # type: ignore[arg-type]

    def note(self, o: Out, share: float = 0.0) -> Actions:
        started, o.started = not o.started, True
        return self.tell(AttemptProgressed(o.job, o.number, o.worker, share, started))

    def end(self, o: Out, ending: Ending) -> Actions:
        job = self.jobs[o.job]
        del job.out[o.number]
        if ending not in NEVER_RAN:
            job.ran.append((o.at, o.worker))
        if ending is Ending.SERVED and not job.ended:
            job.ended, job.answers = True, job.answers + 1
        return self.tell(AttemptEnded(o.job, o.number, o.worker, ending, job.ended))

    def leave(self, job: int) -> None:
        self.jobs[job].ended = True
        self.tell(JobReleased(job))

    def outs(self) -> list[Out]:
        return [o for job in self.jobs.values() for o in job.out.values()]

    def advance(self, by: float) -> None:
        """Let time pass: timers fire and time-outs end attempts, each at its own time."""
        until = self.now + by
        while True:
            due: list[tuple[float, int, int, Out | None]]
            due = [(at, 0, token, None) for at, token in self.timers if at <= until]
            timed = [o for o in self.outs() if o.time_out and o.at + o.time_out <= until]
            due += [(o.at + o.time_out, 1, 0, o) for o in timed]
            if not due:
                break
            at, what, token, out = min(due, key=lambda d: d[:3])
            self.now = max(self.now, at)
            if what == 0:
                self.timers.remove((at, token))
                self.tell(TimerFired(token))
            elif out is not None:
                self.end(out, Ending.TIMED_OUT)
            for job in self.jobs.values():
                assert job.ended or self.now <= job.deadline + 2 * self.s.tick, "rule 1: no answer in time"
        self.now = until
        for job in self.jobs.values():
            assert job.answers <= 1, "rule 1: two answers"
            assert job.ended or self.now <= job.deadline + 2 * self.s.tick, "rule 1: no answer in time"


def random_day(seed: int, s: Settings, steps: int = 150) -> Driver:
    """Drive a dispatcher with random legal events, then let everything end."""
    rng = random.Random(seed)
    d = Driver(s, seed)
    workers = fleet(rng.choice([0, 1, 2, 5, 9]))
    d.listed(workers)
    names = [e.worker for e in workers]
    for step in range(steps):
        draw = rng.random()
        outs = d.outs()
        if draw < 0.35:
            left = rng.choice([None, None, None, 0.0, 3.0, 50.0])
            d.arrive(step, rng.choice(s.classes), left, slots=rng.choice([1, 1, 2, 4]))
        elif draw < 0.5 and outs:
            d.note(rng.choice(outs), rng.random())
        elif draw < 0.75 and outs:
            d.end(rng.choice(outs), rng.choice([Ending.SERVED] * 4 + list(Ending)))
        elif draw < 0.8 and names:
            name = rng.choice(names)
            state = rng.choice(list(WorkerState))
            old = d.listing[name]
            start = d.now if rng.random() < 0.5 else old.started
            d.listed((Endpoint(name, old.kind, old.zone, old.cell, start, state),), ListScope.CHANGES)
        elif draw < 0.83:
            some = tuple(e for e in d.listing.values() if rng.random() < 0.8 and e.state is WorkerState.UP)
            d.listed(some)
        elif draw < 0.85:
            d.tell(EndpointListUpdate(ListScope.FAILED))
        elif draw < 0.87 and d.jobs:
            job = rng.choice(sorted(d.jobs))
            d.tell(AttemptEnded(job, 99, "nobody", Ending.SERVED))
            d.tell(TimerFired(rng.choice([1, 2, 3, 99])))
            d.tell(AttemptProgressed(job, 98, "nobody"))
        elif draw < 0.89 and d.jobs:
            job = rng.choice(sorted(d.jobs))
            if not d.jobs[job].ended:
                d.leave(job)
            else:
                d.tell(JobReleased(job))
        else:
            d.advance(rng.choice([1.0, 5.0, 30.0, 200.0, 900.0]))
    d.advance(30_000.0)
    assert all(job.ended for job in d.jobs.values())
    return d
