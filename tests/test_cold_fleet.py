"""Thirty dispatchers over one cold worker: what all of them send it together keeps to rule 4."""

from __future__ import annotations

import heapq
import math
import random
import unittest
from collections import deque
from dataclasses import dataclass, field, replace
from itertools import count

from elderstall import Dispatcher
from elderstall.interface import (
    Action,
    AttemptEnded,
    AttemptProgressed,
    Effect,
    Ending,
    Endpoint,
    EndpointListUpdate,
    Event,
    JobArrived,
    JobClass,
    ListScope,
    LoadPolled,
    PollLoad,
    SendAttempt,
    SetTimer,
    Settings,
    Started,
    TimerFired,
)

DISPATCHERS = 30
WORKERS = 12
MEAN_WORK = 300.0  # ms of a standard core
TRIP = 2.0  # ms one way
STARTED = 10_000.0  # ms; when the cold worker's new process starts
TOLD = 10_500.0  # ms; when all dispatchers are told
BURST, BURST_FOR = 1.5, 4_000.0  # from TOLD on
END = 20_000.0
JOB_CLASSES = (
    JobClass("fetch", 2.0, 250.0, 5_000.0, stretch=3.0),
    JobClass("build", 5.0, 600.0, 15_000.0, effect=Effect.NOT_IDEMPOTENT, stretch=3.0),
)
BASE = Settings(
    JOB_CLASSES,
    dispatchers=DISPATCHERS,
    connect_timeout=250.0,
    slow_start_share=0.42,
    slow_start_duration=9_000.0,
    slow_start_multiple=4.0,
    slow_start_window=2_000.0,
    max_attempts=5,
    tick=2.0,
)
ASKING = replace(BASE, probes=True, report_free_slots=0)
TELLING = replace(BASE, notifies_start=True)


@dataclass(slots=True, frozen=True)
class Attempt:
    """One attempt at a job, as a worker has it."""

    rank: int
    job: int
    number: int
    work: float
    worker: str


@dataclass(slots=True)
class StandInWorker:
    """A worker that runs as many jobs as it has slots, and queues as many again."""

    name: str
    slots: int
    started: float | None = None
    running: int = 0
    queue: deque[Attempt] = field(default_factory=deque)

    @property
    def free(self) -> float:
        """Give what its reports call free slots."""
        return float(max(0, self.slots - self.running - len(self.queue)))

    def speed(self, now: float) -> float:
        """Give its speed: a cold one warms evenly."""
        if self.started is None:
            return 1.0
        age = (now - self.started) / BASE.slow_start_duration
        return min(1.0, BASE.slow_start_share + (1 - BASE.slow_start_share) * age)


class Fleet:
    """Dispatchers' modules, workers and clients under one clock; ``play`` runs it to its end."""

    def __init__(self, settings: Settings, slots: int, load: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.workers = {f"w{n}": StandInWorker(f"w{n}", slots) for n in range(WORKERS)}
        self.slots = slots
        self.heap: list[tuple[float, int, int, Event | Attempt]] = []
        self.order = count()
        self.works: dict[int, float] = {}
        self.numbers: dict[int, int] = {}  # attempts of each job so far
        self.sent: list[tuple[float, float]] = []  # when, and what work was sent to the cold worker
        listed = tuple(Endpoint(name, "k") for name in self.workers)
        news = EndpointListUpdate(ListScope.CHANGES, (Endpoint("w0", "k", started=STARTED),))
        self.modules = [
            Dispatcher(replace(settings, rank=rank), seed * 100 + rank) for rank in range(DISPATCHERS)
        ]
        for rank in range(DISPATCHERS):
            self.push(0.0, rank, Started())
            self.push(0.0, rank, EndpointListUpdate(ListScope.WHOLE, listed))
            self.push(TOLD, rank, news)
        self.arrivals(load * WORKERS * slots / MEAN_WORK)

    def push(self, at: float, rank: int, event: Event | Attempt) -> None:
        heapq.heappush(self.heap, (at, next(self.order), rank, event))

    def arrivals(self, rate: float) -> None:
        """Draw all jobs; the busiest dispatcher gets up to ten times what the idlest does."""
        parts = [10 ** self.rng.random() for _ in range(DISPATCHERS)]
        at = 0.0
        for job in count(1):
            at += self.rng.expovariate(rate * (BURST if TOLD <= at < TOLD + BURST_FOR else 1.0))
            if at >= END:
                return
            rank = self.rng.choices(range(DISPATCHERS), parts)[0]
            cls = self.rng.choice(JOB_CLASSES)
            self.works[job] = work = self.rng.expovariate(1 / MEAN_WORK)
            self.push(at, rank, JobArrived(job, cls.name, cls.deadline, work_hint=work))

    def play(self) -> None:
        while self.heap and self.heap[0][0] < END:
            now, _, rank, event = heapq.heappop(self.heap)
            if isinstance(event, Attempt):
                self.finished(now, event)
                continue
            if now >= STARTED:
                self.workers["w0"].started = STARTED
            for action in self.modules[rank].handle(now, event):
                self.act(now, rank, action)

    def act(self, now: float, rank: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.push(now + max(BASE.tick, action.delay), rank, TimerFired(action.token))
        elif isinstance(action, PollLoad):
            report = (self.workers[action.worker].free,)
            self.push(now + 2 * TRIP, rank, LoadPolled(action.worker, Ending.SERVED, report))
        elif isinstance(action, SendAttempt):
            self.take(now, rank, action)

    def take(self, now: float, rank: int, action: SendAttempt) -> None:
        """Have a worker start a job, queue it or turn it away."""
        number = self.numbers.get(action.job, 0)
        self.numbers[action.job] = number + 1
        attempt = Attempt(rank, action.job, number, self.works[action.job], action.worker)
        worker = self.workers[action.worker]
        if action.worker == "w0" and now >= TOLD:
            self.sent.append((now, attempt.work))
        if worker.running < worker.slots:
            self.start(now, worker, attempt)
        elif len(worker.queue) < worker.slots:
            worker.queue.append(attempt)
        else:
            self.push(
                now + 2 * TRIP,
                rank,
                AttemptEnded(action.job, number, action.worker, Ending.FULL, report=(worker.free,)),
            )

    def start(self, now: float, worker: StandInWorker, attempt: Attempt) -> None:
        worker.running += 1
        self.push(
            now + TRIP,
            attempt.rank,
            AttemptProgressed(attempt.job, attempt.number, worker.name, started=True),
        )
        done = now + attempt.work / worker.speed(now)
        self.push(done, attempt.rank, attempt)

    def finished(self, now: float, attempt: Attempt) -> None:
        """Tell the end of a job, and start the next of its worker's queue."""
        worker = self.workers[attempt.worker]
        worker.running -= 1
        if worker.queue:
            self.start(now, worker, worker.queue.popleft())
        self.push(
            now + TRIP,
            attempt.rank,
            AttemptEnded(attempt.job, attempt.number, attempt.worker, Ending.SERVED, True, (worker.free,)),
        )

    def most_over_allowed(self) -> float:
        """Give the largest sum of any window over what rule 4 allows there, chance included."""
        window, worst, total, recent = BASE.slow_start_window, 0.0, 0.0, deque[tuple[float, float]]()
        for at, work in self.sent:
            recent.append((at, work))
            total += work
            while recent[0][0] <= at - window:
                total -= recent.popleft()[1]
            warmth = (
                BASE.slow_start_share
                + (1 - BASE.slow_start_share) * (recent[0][0] - STARTED) / BASE.slow_start_duration
            )
            allowed = BASE.slow_start_multiple * self.slots * warmth * window / MEAN_WORK
            worst = max(worst, total / MEAN_WORK / (allowed + 2 * math.sqrt(allowed) + 2))
        return worst


class ColdWorker(unittest.TestCase):
    """Sums over thirty dispatchers, most of them far from the mean traffic."""

    def stays_within(self, settings: Settings, slots: int, load: float) -> None:
        for seed in (1, 2, 3):
            with self.subTest(slots=slots, load=load, seed=seed):
                fleet = Fleet(settings, slots, load, seed)
                fleet.play()
                self.assertTrue(fleet.sent)  # it is not left idle until warm
                self.assertLessEqual(fleet.most_over_allowed(), 1.0)

    def test_where_workers_are_asked_before_a_job_goes(self) -> None:
        self.stays_within(ASKING, 1, 1.0)

    def test_where_they_tell_of_starts_and_nobody_knows_that_they_have_one_slot(self) -> None:
        self.stays_within(TELLING, 1, 0.7)
        self.stays_within(TELLING, 1, 1.6)

    def test_the_same_with_two_slots(self) -> None:
        self.stays_within(TELLING, 2, 1.6)

    def test_where_they_tell_nothing(self) -> None:
        self.stays_within(BASE, 1, 1.6)


if __name__ == "__main__":
    unittest.main()
