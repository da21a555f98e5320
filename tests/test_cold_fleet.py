"""Thirty dispatchers with one cold worker together keep to its slow-start budget."""

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
MEAN_WORK_MS = 300.0  # ms of a standard core
TRIP_MS = 2.0  # ms one way
STARTED_AT = 10_000.0  # ms; when the cold worker's new process starts
LISTED_AT = 10_500.0  # ms; when all dispatchers learn of it
BURST_FACTOR, BURST_MS = 1.5, 4_000.0  # from LISTED_AT on
END_MS = 20_000.0
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
POLLING = replace(BASE, probes=True, report_free_slots=0)
NOTIFYING = replace(BASE, notifies_start=True)


@dataclass(slots=True, frozen=True)
class Attempt:
    """One attempt as a worker sees it."""

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
        """Return the free slots that it reports."""
        return float(max(0, self.slots - self.running - len(self.queue)))

    def speed(self, now: float) -> float:
        """Return its speed, which grows linearly during slow start."""
        if self.started is None:
            return 1.0
        age = (now - self.started) / BASE.slow_start_duration
        return min(1.0, BASE.slow_start_share + (1 - BASE.slow_start_share) * age)


class Fleet:
    """Dispatchers, workers and clients on one simulated clock; ``play`` runs the simulation."""

    def __init__(self, settings: Settings, slots: int, load: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.workers = {f"w{n}": StandInWorker(f"w{n}", slots) for n in range(WORKERS)}
        self.slots = slots
        self.heap: list[tuple[float, int, int, Event | Attempt]] = []
        self.order = count()
        self.works: dict[int, float] = {}
        self.numbers: dict[int, int] = {}  # attempts of each job so far
        self.sent: list[tuple[float, float]] = []  # time and work sent to the cold worker
        listed = tuple(Endpoint(name, "k") for name in self.workers)
        news = EndpointListUpdate(ListScope.CHANGES, (Endpoint("w0", "k", started=STARTED_AT),))
        self.modules = [
            Dispatcher(replace(settings, rank=rank), seed * 100 + rank) for rank in range(DISPATCHERS)
        ]
        for rank in range(DISPATCHERS):
            self.push(0.0, rank, Started())
            self.push(0.0, rank, EndpointListUpdate(ListScope.WHOLE, listed))
            self.push(LISTED_AT, rank, news)
        self.arrivals(load * WORKERS * slots / MEAN_WORK_MS)

    def push(self, at: float, rank: int, event: Event | Attempt) -> None:
        heapq.heappush(self.heap, (at, next(self.order), rank, event))

    def arrivals(self, rate: float) -> None:
        """Draw all jobs; the busiest dispatcher gets up to ten times as many as the idlest."""
        parts = [10 ** self.rng.random() for _ in range(DISPATCHERS)]
        at = 0.0
        for job in count(1):
            at += self.rng.expovariate(
                rate * (BURST_FACTOR if LISTED_AT <= at < LISTED_AT + BURST_MS else 1.0)
            )
            if at >= END_MS:
                return
            rank = self.rng.choices(range(DISPATCHERS), parts)[0]
            cls = self.rng.choice(JOB_CLASSES)
            self.works[job] = work = self.rng.expovariate(1 / MEAN_WORK_MS)
            self.push(at, rank, JobArrived(job, cls.name, cls.deadline, work_hint=work))

    def play(self) -> None:
        while self.heap and self.heap[0][0] < END_MS:
            now, _, rank, event = heapq.heappop(self.heap)
            if isinstance(event, Attempt):
                self.finished(now, event)
                continue
            if now >= STARTED_AT:
                self.workers["w0"].started = STARTED_AT
            for action in self.modules[rank].handle(now, event):
                self.act(now, rank, action)

    def act(self, now: float, rank: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.push(now + max(BASE.tick, action.delay), rank, TimerFired(action.token))
        elif isinstance(action, PollLoad):
            report = (self.workers[action.worker].free,)
            self.push(now + 2 * TRIP_MS, rank, LoadPolled(action.worker, Ending.SERVED, report))
        elif isinstance(action, SendAttempt):
            self.take(now, rank, action)

    def take(self, now: float, rank: int, action: SendAttempt) -> None:
        """Let a worker start a job, queue it or reject it."""
        number = self.numbers.get(action.job, 0)
        self.numbers[action.job] = number + 1
        attempt = Attempt(rank, action.job, number, self.works[action.job], action.worker)
        worker = self.workers[action.worker]
        if action.worker == "w0" and now >= LISTED_AT:
            self.sent.append((now, attempt.work))
        if worker.running < worker.slots:
            self.start(now, worker, attempt)
        elif len(worker.queue) < worker.slots:
            worker.queue.append(attempt)
        else:
            self.push(
                now + 2 * TRIP_MS,
                rank,
                AttemptEnded(action.job, number, action.worker, Ending.FULL, report=(worker.free,)),
            )

    def start(self, now: float, worker: StandInWorker, attempt: Attempt) -> None:
        worker.running += 1
        self.push(
            now + TRIP_MS,
            attempt.rank,
            AttemptProgressed(attempt.job, attempt.number, worker.name, started=True),
        )
        done = now + attempt.work / worker.speed(now)
        self.push(done, attempt.rank, attempt)

    def finished(self, now: float, attempt: Attempt) -> None:
        """End a job, notify its dispatcher, and start the next one in the worker's queue."""
        worker = self.workers[attempt.worker]
        worker.running -= 1
        if worker.queue:
            self.start(now, worker, worker.queue.popleft())
        self.push(
            now + TRIP_MS,
            attempt.rank,
            AttemptEnded(attempt.job, attempt.number, attempt.worker, Ending.SERVED, True, (worker.free,)),
        )

    def max_budget_use(self) -> float:
        """Return the largest ratio of work sent in a window to the budget, with a margin for chance."""
        window, worst, total, recent = BASE.slow_start_window, 0.0, 0.0, deque[tuple[float, float]]()
        for at, work in self.sent:
            recent.append((at, work))
            total += work
            while recent[0][0] <= at - window:
                total -= recent.popleft()[1]
            warm_up_fraction = (
                BASE.slow_start_share
                + (1 - BASE.slow_start_share) * (recent[0][0] - STARTED_AT) / BASE.slow_start_duration
            )
            allowed = BASE.slow_start_multiple * self.slots * warm_up_fraction * window / MEAN_WORK_MS
            worst = max(worst, total / MEAN_WORK_MS / (allowed + 2 * math.sqrt(allowed) + 2))
        return worst


class ColdWorker(unittest.TestCase):
    """Sums over thirty dispatchers with very uneven traffic."""

    def stays_within(self, settings: Settings, slots: int, load: float) -> None:
        for seed in (1, 2, 3):
            with self.subTest(slots=slots, load=load, seed=seed):
                fleet = Fleet(settings, slots, load, seed)
                fleet.play()
                self.assertTrue(fleet.sent)  # it is not idle during slow start
                self.assertLessEqual(fleet.max_budget_use(), 1.0)

    def test_where_workers_are_polled_before_a_job_is_sent(self) -> None:
        self.stays_within(POLLING, 1, 1.0)

    def test_where_starts_are_notified_and_workers_have_one_slot_unknown_to_dispatchers(self) -> None:
        self.stays_within(NOTIFYING, 1, 0.7)
        self.stays_within(NOTIFYING, 1, 1.6)

    def test_where_starts_are_notified_and_workers_have_two_slots(self) -> None:
        self.stays_within(NOTIFYING, 2, 1.6)

    def test_where_starts_are_not_notified(self) -> None:
        self.stays_within(BASE, 1, 1.6)


if __name__ == "__main__":
    unittest.main()
