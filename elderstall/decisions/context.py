"""What all parts of the decisions share: settings, what follows from them, time, random numbers, actions."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from elderstall.decisions.queue_model import tier_edges
from elderstall.interface import Action, JobClass, SetTimer, Settings

ASSUMED_SLOTS = 4.0  # of a worker, until a report tells: a light dispatcher never fills one to see
WHOLE_SLOTS_THRESHOLD = (
    0.25  # slots: a lesser share of a worker says too little of it; whole slots are ours then
)
PROMPT_SLACK_MS = 10.0  # ms beyond the least delay within which a start shows that a slot was free
REVIEW_INTERVAL_MS = 20.0  # ms between reviews of the queue
LARGE_FLEET_REVIEW_INTERVAL_MS = 100.0  # ms: for CPU, and as backoffs of workers last long there

TIMER_SOLVE = 1  # tokens of SetTimer and TimerFired
TIMER_REVIEW_QUEUE = 2
TIMER_POLL_ENDPOINTS = 3
TIMER_POLL_TIMEOUT = 4


@dataclass(slots=True, frozen=True)
class OperatingMode:
    """How a dispatcher works under its settings; derived from them once."""

    classes: Mapping[str, JobClass]
    tier_edges: tuple[float, ...]  # least priority weight of each tier, highest first
    large_fleet: bool  # so many dispatchers that each sees little of any worker
    polls_before_placing: bool  # workers are asked for a load report before a job goes to one of them
    polls_for_queued: bool  # workers with attempts of ours are asked for one while jobs are queued
    review_interval: float  # ms between reviews of the queue
    prompt_slack: float  # ms

    @property
    def tiers(self) -> int:
        """How many tiers the priority weights of the classes make."""
        return len(self.tier_edges)

    def tier_of(self, weight: float) -> int:
        """Give the tier of a priority weight."""
        return next((tier for tier, edge in enumerate(self.tier_edges) if weight >= edge), self.tiers - 1)

    @classmethod
    def from_settings(cls, settings: Settings) -> OperatingMode:
        """Derive the mode from settings."""
        shares = (1.0, settings.over_quota_weight) if settings.tenants else (1.0,)
        large_fleet = settings.dispatchers * WHOLE_SLOTS_THRESHOLD > ASSUMED_SLOTS
        reports_free = settings.report_free_slots is not None
        polls_before = large_fleet and reports_free and not settings.notifies_start and settings.probes
        polls_for_queued = (
            settings.reports_only_when_polled
            and reports_free
            and not settings.notifies_start
            and settings.probes
            and not polls_before
        )
        return cls(
            classes={job_class.name: job_class for job_class in settings.classes},
            tier_edges=tuple(
                tier_edges(
                    job_class.priority_weight * share for job_class in settings.classes for share in shares
                )
            ),
            large_fleet=large_fleet,
            polls_before_placing=polls_before,
            polls_for_queued=polls_for_queued,
            review_interval=LARGE_FLEET_REVIEW_INTERVAL_MS if large_fleet else REVIEW_INTERVAL_MS,
            prompt_slack=PROMPT_SLACK_MS + 2 * settings.tick,
        )


class DecisionContext:
    """The event in hand, for all parts: its time, the settings in force, and the actions decided so far."""

    __slots__ = ("actions", "mode", "now", "rng", "settings")

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0  # ms
        self.actions: list[Action] = []
        self.change_settings(settings)

    def change_settings(self, settings: Settings) -> None:
        """Take settings, and derive the mode from them."""
        self.settings = settings
        self.mode = OperatingMode.from_settings(settings)

    def begin_event(self, now: float) -> None:
        """Begin an event: nothing is decided yet."""
        self.now = now
        self.actions = []

    def add_action(self, action: Action) -> None:
        """Add an action, after those decided before it."""
        self.actions.append(action)

    def set_timer(self, token: int, delay: float) -> None:
        """Ask for ``TimerFired(token)`` after ``delay`` ms."""
        self.actions.append(SetTimer(token, delay))
