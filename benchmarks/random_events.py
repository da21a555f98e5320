"""Drives one dispatcher's decisions with random events, under settings that no shipped scenario uses.

No fleet is modelled: workers answer at random. The result serves to compare the decisions of two versions and
does not say whether they are right; ``tests/test_rules.py`` checks the rules under valid random events.
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
WORKERS = 30
KINDS = ("large", "small")
ZONES = ("a", "b")
CELL_SIZE = 3  # workers
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
    """One dispatcher with its attempts in progress, polls and timers, and a random outcome for each."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.settings = settings
        self.now = 5_000.0  # ms
        self.dispatcher = Dispatcher(settings, seed)
        self.attempts: dict[int, int] = {}  # attempts sent, by job
        self.in_progress: dict[tuple[int, int], str] = {}  # worker, by job and attempt
        self.polled: list[str] = []
        self.timers: list[tuple[float, int]] = []
        self.started: dict[str, float | None] = {f"w{n}": None for n in range(WORKERS)}
        self.counts = dict.fromkeys(("requests", "sends", "refused", "failed", "probes"), 0)
        self.feed(Started())
        self.feed(EndpointListUpdate(ListScope.WHOLE, tuple(self.entry(name) for name in self.started)))

    def entry(self, name: str, state: WorkerState = WorkerState.UP) -> Endpoint:
        """Return a worker's entry in the list."""
        number = int(name[1:])
        preference_position = number / WORKERS if self.settings.subset_dispatchers_per_worker else None
        return Endpoint(
            name,
            KINDS[number % 2],
            ZONES[number // 2 % 2],
            number // CELL_SIZE,
            self.started[name],
            state,
            self.rng.choice((1.0, 1.0, 0.6)),
            preference_position,
        )

    def feed(self, event: Event) -> None:
        """Pass an event to the dispatcher and record the actions that it returns."""
        for action in self.dispatcher.handle(self.now, event):
            if isinstance(action, SendAttempt):
                self.in_progress[action.job, self.attempts[action.job]] = action.worker
                self.attempts[action.job] += 1
                self.counts["sends"] += 1
            elif isinstance(action, PollLoad):
                self.polled.append(action.worker)
                self.counts["probes"] += 1
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + max(self.settings.tick, action.delay), action.token))
            elif isinstance(action, RejectJob | FailJob):
                self.counts["refused" if isinstance(action, RejectJob) else "failed"] += 1

    def draw_report(self) -> tuple[float, ...]:
        """Return a random load report: free slots, or nothing if the settings have no reports."""
        return (
            (self.rng.choice((0.0, 0.0, 0.5, 1.0, 3.0)),)
            if self.settings.report_free_slots is not None
            else ()
        )

    def add_job(self, job: int) -> None:
        """Feed the arrival of a job."""
        rng = self.rng
        self.attempts[job] = 0
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

    def end_attempt(self) -> None:
        """Feed the end of a random attempt in progress."""
        key = self.rng.choice(list(self.in_progress))
        ending = self.rng.choice(ENDINGS)
        self.feed(
            AttemptEnded(*key, self.in_progress.pop(key), ending, ending is Ending.SERVED, self.draw_report())
        )

    def start_attempt(self) -> None:
        """Feed the start notice of a random attempt in progress."""
        key = self.rng.choice(list(self.in_progress))
        self.feed(AttemptProgressed(*key, self.in_progress[key], 0.0, started=True))

    def answer_poll(self) -> None:
        """Answer the oldest poll."""
        ending = self.rng.choice((Ending.SERVED, Ending.SERVED, Ending.SERVED, Ending.UNREACHABLE))
        self.feed(
            LoadPolled(self.polled.pop(0), ending, self.draw_report() if ending is Ending.SERVED else ())
        )

    def change_list(self) -> None:
        """Feed a change of one worker's entry, or a failure of the list."""
        name = self.rng.choice(list(self.started))
        if self.rng.random() < 0.2:
            self.feed(EndpointListUpdate(self.rng.choice((ListScope.FAILED, ListScope.SILENT))))
            return
        if self.rng.random() < 0.5:
            self.started[name] = self.now
        state = self.rng.choice((WorkerState.UP, WorkerState.UP, WorkerState.DRAINING, WorkerState.GONE))
        self.feed(EndpointListUpdate(ListScope.CHANGES, (self.entry(name, state),)))

    def advance(self, duration_ms: float) -> None:
        """Advance the time and fire the timers that are due."""
        until = self.now + duration_ms
        while due := [entry for entry in self.timers if entry[0] <= until]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.feed(TimerFired(timer[1]))
        self.now = until

    def step(self, number: int) -> None:
        """Feed one random event, or advance the time."""
        draw = self.rng.random()
        if draw < 0.30:
            self.add_job(number)
        elif draw < 0.45 and self.in_progress:
            self.start_attempt()
        elif draw < 0.70 and self.in_progress:
            self.end_attempt()
        elif draw < 0.85 and self.polled:
            self.answer_poll()
        elif draw < 0.87:
            self.change_list()
        elif draw < 0.88 and self.attempts:
            self.feed(JobReleased(self.rng.choice(list(self.attempts))))
        else:
            self.advance(self.rng.choice((1.0, 5.0, 30.0, 120.0)))


def drive(name: str, seed: int) -> dict[str, Any]:
    """Drive a dispatcher under the settings of a name; return the counts of what it did."""
    driver = Driver(Settings(**COMMON | SETTINGS[name]), seed)
    for number in range(STEPS):
        driver.step(number)
    remaining = [driver.entry(worker) for worker in list(driver.started)[::2]]
    driver.feed(EndpointListUpdate(ListScope.WHOLE, tuple(remaining)))
    driver.feed(AttemptEnded(STEPS, 0, "nobody", Ending.SERVED))  # an unknown attempt
    driver.advance(1_000.0)
    driver.feed(SettingsChanged(Settings(**COMMON | SETTINGS[name] | {"dispatchers": 3})))
    driver.advance(10_000.0)
    return {**driver.counts}
