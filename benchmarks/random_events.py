"""Drives one dispatcher's decisions with random events, under settings that the shipped scripts do not have.

No fleet is modelled: workers answer at random. It is for comparing the decisions of two versions, not for
judging them; the rules under legal random events are ``tests/test_rules.py``.
"""

from __future__ import annotations

import random
from typing import Any

from elderstall.decisions import Dispatcher
from elderstall.interface import (
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
    LoadPolled,
    PollLoad,
    RejectJob,
    SendAttempt,
    SetTimer,
    Settings,
    SettingsChanged,
    Started,
    Tenant,
    TimerFired,
    WorkerState,
)

STEPS = 3_000
WORKERS, KINDS, ZONES, CELL = 30, ("large", "small"), ("a", "b"), 3
CLASSES = (
    JobClass("safe", 1.0, 100.0, 2_000.0, stretch=2.0),
    JobClass(
        "keyed", 3.0, 300.0, 3_000.0, Effect.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 1_500.0, 2.0, 0.3
    ),
    JobClass("keyed-all", 2.0, 300.0, 3_000.0, Effect.IDEMPOTENCY_KEY, DeduplicationScope.ALL, 1_500.0, 2.0),
    JobClass("unsafe", 5.0, 500.0, 4_000.0, Effect.NOT_IDEMPOTENT, late_share=0.2),
)
COMMON: dict[str, Any] = {
    "classes": CLASSES,
    "dispatchers": 2,
    "zone": "a",
    "max_attempts": 4,
    "slow_start_share": 0.3,
    "slow_start_duration": 5_000.0,
    "connect_timeout": 100.0,
    "slow_start_window": 1_000.0,
    "over_quota_weight": 0.2,
    "watches_list": True,
    "tenants": (Tenant("north", 40.0), Tenant("south", 10.0)),
}
SETTINGS: dict[str, dict[str, Any]] = {
    "events-starts": {"notifies_start": True},
    "events-polled": {"dispatchers": 40, "probes": True, "report_free_slots": 0},
    "events-pulled": {"reports_only_when_polled": True, "probes": True, "report_free_slots": 0},
    "events-keys": {
        "fetch_price": 1.0,
        "cross_zone_price": 1.0,
        "report_free_slots": 0,
        "weight_by_work": True,
    },
    "events-subset": {
        "dispatchers": 40,
        "subset_dispatchers_per_worker": 12.0,
        "probes": True,
        "report_free_slots": 0,
    },
}
ENDINGS = [Ending.SERVED] * 12 + list(Ending)


class Driver:
    """One dispatcher, what it has out, and random draws for what becomes of it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.settings, self.now = settings, 5_000.0
        self.dispatcher = Dispatcher(settings, seed)
        self.sent: dict[int, int] = {}  # attempts of each job that still waits for its answer
        self.out: dict[tuple[int, int], str] = {}  # worker by job and attempt
        self.probed: list[str] = []
        self.timers: list[tuple[float, int]] = []
        self.started: dict[str, float | None] = {f"w{n}": None for n in range(WORKERS)}
        self.counts = dict.fromkeys(("requests", "sends", "refused", "failed", "probes"), 0)
        self.feed(Started())
        self.feed(EndpointListUpdate(ListScope.WHOLE, tuple(self.entry(name) for name in self.started)))

    def entry(self, name: str, state: WorkerState = WorkerState.UP) -> Endpoint:
        """Write a worker's entry of the list."""
        n = int(name[1:])
        place = n / WORKERS if self.settings.subset_dispatchers_per_worker else None
        return Endpoint(
            name,
            KINDS[n % 2],
            ZONES[n // 2 % 2],
            n // CELL,
            self.started[name],
            state,
            self.rng.choice((1.0, 1.0, 0.6)),
            place,
        )

    def feed(self, event: Event) -> None:
        """Hand the dispatcher an event, and note what it asks for."""
        for action in self.dispatcher.handle(self.now, event):
            if isinstance(action, SendAttempt):
                self.out[action.job, self.sent[action.job]] = action.worker
                self.sent[action.job] += 1
                self.counts["sends"] += 1
            elif isinstance(action, PollLoad):
                self.probed.append(action.worker)
                self.counts["probes"] += 1
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + max(self.settings.tick, action.delay), action.token))
            elif isinstance(action, RejectJob | FailJob):
                self.counts["refused" if isinstance(action, RejectJob) else "failed"] += 1

    def report(self) -> tuple[float, ...]:
        """Draw a load report: free slots."""
        return (
            (self.rng.choice((0.0, 0.0, 0.5, 1.0, 3.0)),)
            if self.settings.report_free_slots is not None
            else ()
        )

    def arrive(self, job: int) -> None:
        """Have a job come."""
        rng, self.sent[job] = self.rng, 0
        cls = rng.choice(CLASSES)
        self.counts["requests"] += 1
        self.feed(
            JobArrived(
                job,
                cls.name,
                rng.choice((cls.deadline, cls.deadline, 30.0)),
                rng.choice(("north", "south", None)),
                rng.choice(("k1", "k2", "k3", None)),
                rng.choice((None, 20.0, 60.0, 400.0)),
                rng.choice((1, 1, 1, 2)),
            )
        )

    def end(self) -> None:
        """End an attempt."""
        key = self.rng.choice(list(self.out))
        ending = self.rng.choice(ENDINGS)
        self.feed(AttemptEnded(*key, self.out.pop(key), ending, ending is Ending.SERVED, self.report()))

    def note(self) -> None:
        """Tell the start of an attempt."""
        key = self.rng.choice(list(self.out))
        self.feed(AttemptProgressed(*key, self.out[key], 0.0, started=True))

    def answer(self) -> None:
        """Answer the oldest poll."""
        ending = self.rng.choice((Ending.SERVED, Ending.SERVED, Ending.SERVED, Ending.UNREACHABLE))
        self.feed(LoadPolled(self.probed.pop(0), ending, self.report() if ending is Ending.SERVED else ()))

    def change_list(self) -> None:
        """Change one worker's entry, or fail the list."""
        name = self.rng.choice(list(self.started))
        if self.rng.random() < 0.2:
            self.feed(EndpointListUpdate(self.rng.choice((ListScope.FAILED, ListScope.SILENT))))
            return
        if self.rng.random() < 0.5:
            self.started[name] = self.now
        state = self.rng.choice((WorkerState.UP, WorkerState.UP, WorkerState.DRAINING, WorkerState.GONE))
        self.feed(EndpointListUpdate(ListScope.CHANGES, (self.entry(name, state),)))

    def advance(self, by: float) -> None:
        """Let time pass, and timers fire."""
        until = self.now + by
        while due := [timer for timer in self.timers if timer[0] <= until]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.feed(TimerFired(first[1]))
        self.now = until

    def step(self, number: int) -> None:
        """Have something happen."""
        draw = self.rng.random()
        if draw < 0.30:
            self.arrive(number)
        elif draw < 0.45 and self.out:
            self.note()
        elif draw < 0.70 and self.out:
            self.end()
        elif draw < 0.85 and self.probed:
            self.answer()
        elif draw < 0.87:
            self.change_list()
        elif draw < 0.88 and self.sent:
            self.feed(JobReleased(self.rng.choice(list(self.sent))))
        else:
            self.advance(self.rng.choice((1.0, 5.0, 30.0, 120.0)))


def drive(name: str, seed: int) -> dict[str, Any]:
    """Drive a dispatcher under settings by name; gives what it did in counts."""
    driver = Driver(Settings(**COMMON | SETTINGS[name]), seed)
    for number in range(STEPS):
        driver.step(number)
    half = [driver.entry(worker) for worker in list(driver.started)[::2]]
    driver.feed(EndpointListUpdate(ListScope.WHOLE, tuple(half)))
    driver.feed(AttemptEnded(STEPS, 0, "nobody", Ending.SERVED))  # an attempt that is not known
    driver.advance(1_000.0)
    driver.feed(SettingsChanged(Settings(**COMMON | SETTINGS[name] | {"dispatchers": 3})))
    driver.advance(10_000.0)
    return {**driver.counts}
