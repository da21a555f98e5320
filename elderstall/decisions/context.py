"""Shared context of the decisions: settings and the mode derived from them, time, random numbers, actions."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from elderstall.decisions.queue_model import tier_edges
from elderstall.interface import Action, JobClass, SetTimer, Settings

ASSUMED_SLOTS = 4.0  # per worker, until a report shows them: at light load jobs never fill a worker
# Slots. Where a dispatcher's share of a worker is smaller, it has whole slots of few workers instead: from so
# small a share it would learn too little about a worker's load.
WHOLE_SLOTS_THRESHOLD = 0.25
PROMPT_SLACK_MS = 10.0  # a start within this much of the minimum delay shows that a slot was free
REVIEW_INTERVAL_MS = 20.0  # between reviews of the queue
# With many dispatchers: longer, as CPU is limited and worker backoffs are long there.
LARGE_FLEET_REVIEW_INTERVAL_MS = 100.0

TIMER_SOLVE = 1  # tokens of SetTimer and TimerFired
TIMER_REVIEW_QUEUE = 2
TIMER_CALL_DISCOVERY = 3
TIMER_POLL_TIMEOUT = 4


@dataclass(slots=True, frozen=True)
class OperatingMode:
    """Mode of operation that follows from the settings."""

    classes: Mapping[str, JobClass]
    tier_edges: tuple[float, ...]  # minimum priority weight of each tier, highest first
    has_many_dispatchers: bool  # has so many dispatchers that each sends little to any one worker
    polls_before_placing: bool  # workers are polled before a job is sent to one of them
    polls_for_queued: bool  # workers with attempts in flight are polled while jobs are queued
    review_interval: float  # ms between reviews of the queue
    prompt_slack: float  # ms

    @property
    def tiers(self) -> int:
        """Number of tiers of priority weights."""
        return len(self.tier_edges)

    def tier_of(self, weight: float) -> int:
        """Return the tier of a priority weight."""
        return next((tier for tier, edge in enumerate(self.tier_edges) if weight >= edge), self.tiers - 1)

    @classmethod
    def from_settings(cls, settings: Settings) -> OperatingMode:
        """Derive the mode from the settings."""
        weight_factors = (1.0, settings.over_quota_weight) if settings.tenants else (1.0,)
        has_many_dispatchers = settings.dispatchers * WHOLE_SLOTS_THRESHOLD > ASSUMED_SLOTS
        reports_free = settings.report_free_slots is not None
        polls_before = (
            has_many_dispatchers and reports_free and not settings.notifies_start and settings.probes
        )
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
                    job_class.priority_weight * factor
                    for job_class in settings.classes
                    for factor in weight_factors
                )
            ),
            has_many_dispatchers=has_many_dispatchers,
            polls_before_placing=polls_before,
            polls_for_queued=polls_for_queued,
            review_interval=LARGE_FLEET_REVIEW_INTERVAL_MS if has_many_dispatchers else REVIEW_INTERVAL_MS,
            prompt_slack=PROMPT_SLACK_MS + 2 * settings.tick,
        )


class DecisionContext:
    """State shared by the components: settings, mode and random numbers, and the event being handled."""

    __slots__ = ("actions", "mode", "now", "rng", "settings")

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0  # ms
        self.actions: list[Action] = []
        self.change_settings(settings)

    def change_settings(self, settings: Settings) -> None:
        """Replace the settings and the mode derived from them."""
        self.settings = settings
        self.mode = OperatingMode.from_settings(settings)

    def begin_event(self, now: float) -> None:
        """Start handling an event, with no actions decided yet."""
        self.now = now
        self.actions = []

    def add_action(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)

    def set_timer(self, token: int, delay: float) -> None:
        """Request ``TimerFired(token)`` after ``delay`` ms."""
        self.actions.append(SetTimer(token, delay))
