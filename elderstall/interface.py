"""What the decisions are handed and what they ask for: settings, events and actions.

Times are milliseconds. Clock readings start anywhere and only grow. Work is measured as running
time on a standard core. Every record is plain data; all decisions are in ``elderstall.decisions``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Any


def require(good: bool, field: str, what: str) -> None:
    """Raise ValueError naming the field unless it is good."""
    if not good:
        raise ValueError(f"{field}: {what}")


class Effect(Enum):
    """What running a job twice would do; the values are the configuration's words."""

    IDEMPOTENT = "safe"  # no harm
    IDEMPOTENCY_KEY = "keyed"  # workers drop a repeat for a while, see DeduplicationScope
    NOT_IDEMPOTENT = "unsafe"  # harm


class DeduplicationScope(Enum):
    """Which workers drop a repeat of a keyed job: all, those of one zone, or those of one cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Ending(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    STALE_CONNECTION = "cut"  # an idle connection had gone; it may have run, its worker is not to blame
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"


NEVER_RAN = frozenset({Ending.FULL, Ending.UNREACHABLE, Ending.NEVER_SENT})


class WorkerState(Enum):
    """What the endpoint list says of a worker."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a list update holds: the changed entries, every entry, or nothing because a call failed.

    Nothing as well where a watch or a call fell silent: that says less against discovery than a failure does.
    """

    CHANGES = "changes"
    WHOLE = "whole"
    FAILED = "failed"
    SILENT = "silent"


@dataclass(slots=True, frozen=True)
class JobClass:
    """One class of jobs and its rules.

    In time is what ends within ``latency_objective`` plus ``stretch`` times its running time at speed 1.
    """

    name: str
    priority_weight: float
    latency_objective: float  # ms
    deadline: float  # ms
    effect: Effect = Effect.IDEMPOTENT
    scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0  # ms in which workers drop a repeat
    stretch: float = 0.0
    late_share: float = 0.0  # of its weight, that a late answer earns
    kind: str | None = None  # the only kind of worker that runs it
    streamed: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota: jobs a second, over all dispatchers."""

    name: str
    quota_per_s: float


# Fields that are checked, and their keys in the configuration, which errors name.
CLASS_NOT_NEGATIVE = {
    "priority_weight": "worth",
    "latency_objective": "aim",
    "deduplication_window": "memory_span",
    "stretch": "stretch",
    "late_share": "late_share",
}
POSITIVE = {
    "poll_interval": "ask_within",
    "slow_start_window": "push_window",
    "slow_start_multiple": "push_multiple",
    "stop_sending_within": "drain_within",
    "tick": "tick",
}
NOT_NEGATIVE = {
    "over_quota_weight": "over_share_worth",
    "slow_start_duration": "cold_for",
    "cpu_us_per_s": "cpu_us_per_s",
    "cpu_us_per_job": "cpu_us_per_job",
    "connect_timeout": "connect_timeout",
    "cross_zone_price": "crossing_price",
    "fetch_price": "fetch_price",
}
MIN_OWNERS = 2.0  # dispatchers that count a worker as their own, where each holds a subset of the fleet


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything a dispatcher knows at its start."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatchers: int = 1
    rank: int = 0
    zone: str | None = None
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    watches_list: bool = False
    list_is_pushed: bool = False  # changes come from an agent of our own; only we call there
    poll_interval: float = 10_000.0
    slow_start_share: float = 1.0
    slow_start_duration: float = 0.0
    slow_start_multiple: float = 3.0
    slow_start_window: float = 2_000.0
    stop_sending_within: float = (
        2_000.0  # ms in which new work to a worker ends once it is told draining or gone
    )
    max_attempts: int = 1
    cpu_us_per_s: float = 0.0
    cpu_us_per_job: float = 0.0
    connect_timeout: float = 0.0
    notifies_start: bool = False
    report_free_slots: int | None = None
    tick: float = 1.0
    cross_zone_price: float = 0.0
    fetch_price: float = 0.0
    probes: bool = False  # whether workers may be asked how they stand
    cancels: bool = True  # whether workers may be told to give a job up
    reports_only_when_polled: bool = False  # whether they tell it only then, not with their answers
    subset_dispatchers_per_worker: float = (
        0.0  # dispatchers that share each worker of ours, where that is not all; see dispatchers_per_worker
    )

    @property
    def dispatchers_per_worker(self) -> float:
        """How many dispatchers share each worker that we know: all, or those that hold it in their subset."""
        return self.subset_dispatchers_per_worker or self.dispatchers

    @property
    def min_owned_fraction(self) -> float:
        """Least part of its workers that a dispatcher counts as its own: each has so many owners then."""
        return MIN_OWNERS / self.subset_dispatchers_per_worker if self.subset_dispatchers_per_worker else 0.0

    @property
    def list_callers(self) -> int:
        """How many dispatchers call for the list where we do."""
        return 1 if self.list_is_pushed else self.dispatchers

    def __post_init__(self) -> None:
        require(bool(self.classes), "classes", "at least one is needed")
        require(len({c.name for c in self.classes}) == len(self.classes), "classes", "names repeat")
        for c in self.classes:
            require(isinstance(c.effect, Effect), "effect", f"unknown: {c.effect!r}")
            require(isinstance(c.scope, DeduplicationScope), "scope", f"unknown: {c.scope!r}")
            require(0 < c.deadline < math.inf, "deadline", "must be above zero")
            for name, key in CLASS_NOT_NEGATIVE.items():
                require(getattr(c, name) >= 0, key, "must not be negative")
        for t in self.tenants:
            require(t.quota_per_s >= 0, "quota_per_s", "must not be negative")
        require(self.dispatchers >= 1, "dispatchers", "must be at least one")
        require(self.max_attempts >= 1, "max_attempts", "must be at least one")
        require(0 < self.slow_start_share <= 1, "cold_share", "must be above zero and at most one")
        for name, key in POSITIVE.items():
            require(getattr(self, name) > 0, key, "must be above zero")
        for name, key in NOT_NEGATIVE.items():
            require(getattr(self, name) >= 0, key, "must not be negative")


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list. ``started`` is None where the start is long past.

    ``started`` is a reading of the dispatcher's clock; ``since_ms`` is the start as the list has it, Unix ms.
    ``weight`` is the worker's size, lowered the more jobs it holds for a core, or 1 where none is told.
    """

    worker: str
    kind: str = ""
    zone: str | None = None
    cell: int = 0
    started: float | None = None
    state: WorkerState = WorkerState.UP
    weight: float = 1.0
    preference_position: float | None = (
        None  # our position in line for it, 0 to 1, where dispatchers hold subsets
    )
    since_ms: float | None = None


# ---- events ----


@dataclass(slots=True, frozen=True)
class Started:
    """The dispatcher starts; sent once, first."""


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """The settings have changed; jobs that have arrived keep the class they came with."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class LearnedStateReceived:
    """What the former process had learned, as its ``Dispatcher.learned`` gave it."""

    data: dict[str, Any]


@dataclass(slots=True, frozen=True)
class JobTakenOver:
    """A job that the former process took; ``worker`` has its attempt, if one is in flight."""

    job: int
    cls: JobClass
    arrived: float
    deadline: float
    key: str | None = None
    work_hint: float | None = None
    slots: int = 1
    attempts: int = 0
    ran_on: str | None = None  # a worker on which it may have run
    worker: str | None = None
    sent_at: float = 0.0


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """A watch event, or the whole endpoint list, or that a call for it failed."""

    scope: ListScope
    entries: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class WorkersForgotten:
    """Workers long gone, or long out of our subset, of which nothing has to be remembered any more."""

    workers: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class JobArrived:
    """A job that is now owed exactly one final answer within ``time_left``."""

    job: int
    job_class: str
    time_left: float
    tenant: str | None = None
    key: str | None = None
    work_hint: float | None = None
    slots: int = 1


@dataclass(slots=True, frozen=True)
class AttemptProgressed:
    """An attempt has started (``share`` 0) or has done ``share`` of its work."""

    job: int
    number: int
    worker: str
    share: float = 0.0
    started: bool = False


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The streamed answer of an attempt has begun; it belongs to the client now."""

    job: int
    number: int
    worker: str


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt is over; ``final`` says that its job is finished as well."""

    job: int
    number: int
    worker: str
    ending: Ending
    final: bool = False
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class LoadPolled:
    """How a poll for a load report ended; ``report`` is empty where none came."""

    worker: str
    ending: Ending
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class JobReleased:
    """Nothing is owed for the job any more: its client has left, or another process has it."""

    job: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier has run out."""

    token: int


Event = (
    Started
    | SettingsChanged
    | LearnedStateReceived
    | EndpointListUpdate
    | WorkersForgotten
    | JobArrived
    | JobTakenOver
    | AttemptProgressed
    | ResponseStarted
    | AttemptEnded
    | LoadPolled
    | JobReleased
    | TimerFired
)


# ---- actions ----


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Start the job's next attempt on a worker. ``time_out`` 0: until the client gives up."""

    job: int
    worker: str
    time_out: float = 0.0


@dataclass(slots=True, frozen=True)
class PollLoad:
    """Poll a worker for its load report; answered by one ``LoadPolled``."""

    worker: str


@dataclass(slots=True, frozen=True)
class RejectJob:
    """Final answer: rejected; trying again does no harm."""

    job: int
    retry_after: float = 0.0
    why: str = ""  # in a word or two, where it is not plain from how the job's attempts ended


@dataclass(slots=True, frozen=True)
class FailJob:
    """Final answer: failed, with no promise about what has run."""

    job: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for ``TimerFired(token)`` after ``delay``."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Open a watch on the endpoint list."""


@dataclass(slots=True, frozen=True)
class LogLine:
    """A line for the people on call."""

    text: str


Action = SendAttempt | PollLoad | RejectJob | FailJob | SetTimer | WatchEndpoints | LogLine
Actions = list[Action]
