"""Input and output of the decisions: settings, events and actions.

Times are in milliseconds. Clock readings are monotonic, from an arbitrary origin. Work is measured as running
time on a standard core. Every record is plain data; all decision logic is in ``elderstall.decisions``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Any


def require(condition: bool, field: str, message: str) -> None:
    """Raise ValueError naming the field unless the condition holds."""
    if not condition:
        raise ValueError(f"{field}: {message}")


class Effect(Enum):
    """Effect of running a job twice; the values are those of the configuration."""

    IDEMPOTENT = "safe"  # harmless
    IDEMPOTENCY_KEY = "keyed"  # workers drop repeats within the deduplication window, see DeduplicationScope
    NOT_IDEMPOTENT = "unsafe"  # harmful


class DeduplicationScope(Enum):
    """Workers that drop a repeat of a keyed job: all, those of the same zone, or those of the same cell."""

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
    # A reused connection was closed: not its worker's fault; the job may have run. An outward value.
    STALE_CONNECTION = "cut"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"


NEVER_RAN = frozenset({Ending.FULL, Ending.UNREACHABLE, Ending.NEVER_SENT})


class WorkerState(Enum):
    """State of a worker in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """Contents of a list update."""

    CHANGES = "changes"  # the changed entries; may be empty
    WHOLE = "whole"  # all entries
    FAILED = "failed"  # none: a call or a watch failed
    SILENT = "silent"  # none: a call or a watch went silent, weaker evidence of a discovery outage


@dataclass(slots=True, frozen=True)
class JobClass:
    """A job class and its rules.

    A job is in time if it ends within ``latency_objective`` plus ``stretch`` times its running time at
    speed 1.
    """

    name: str
    priority_weight: float
    latency_objective: float  # ms
    deadline: float  # ms
    effect: Effect = Effect.IDEMPOTENT
    scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0  # ms for which workers drop repeats
    stretch: float = 0.0
    late_share: float = 0.0  # fraction of its priority weight that a job answered late counts with
    kind: str | None = None  # kind of worker that it is limited to
    streamed: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota: jobs per second over all dispatchers."""

    name: str
    quota_per_s: float


# Validated fields, with their names in error messages. For some, elderstall.settings reads another key:
# points for worth, overload_for for push_window, fall_multiple for push_multiple,
# stop_sending_within for drain_within, cold for cold_for, cross_zone for crossing_price, origin for
# fetch_price.
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
MIN_OWNERS = 2.0  # dispatchers that own a worker, on average, where dispatchers hold subsets of the fleet


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a dispatcher. Times are in ms."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatchers: int = 1
    rank: int = 0  # index of this dispatcher, from 0
    zone: str | None = None
    over_quota_weight: float = 1.0  # factor on the priority weight of a job over its tenant's quota
    weight_by_work: bool = False  # priority weights count per unit of work, not per job
    watches_list: bool = False  # changes of the list come over a watch, not from polls
    list_is_pushed: bool = False  # changes come from a local agent that only this dispatcher calls
    poll_interval: float = 10_000.0  # at most, between renewals of the endpoint list
    slow_start_share: float = 1.0  # fraction of its speed that a worker has at its start
    slow_start_duration: float = 0.0  # for which a worker is cold after its start
    # All dispatchers together send a cold worker at most this multiple of the work it can do in a window.
    slow_start_multiple: float = 3.0
    slow_start_window: float = 2_000.0
    stop_sending_within: float = (
        2_000.0  # ms within which sending to a worker stops once it is listed as draining or gone
    )
    max_attempts: int = 1
    cpu_us_per_s: float = 0.0
    cpu_us_per_job: float = 0.0
    connect_timeout: float = 0.0
    notifies_start: bool = False  # workers report the start of a job
    report_free_slots: int | None = None  # index of the free slots in a load report
    tick: float = 1.0  # resolution of timers
    cross_zone_price: float = 0.0  # of an attempt in another zone; only whether it is above 0 matters
    fetch_price: float = 0.0  # of data that a worker has not cached; only whether it is above 0 matters
    probes: bool = False  # workers can be polled for load reports
    cancels: bool = True  # workers can be told to cancel a job
    reports_only_when_polled: bool = False  # load reports come only with polls, not with answers
    subset_dispatchers_per_worker: float = 0.0  # where dispatchers hold subsets; 0: all hold every worker

    @property
    def dispatchers_per_worker(self) -> float:
        """Number of dispatchers that share a worker: all, or those that have it in their subset."""
        return self.subset_dispatchers_per_worker or self.dispatchers

    @property
    def min_owned_fraction(self) -> float:
        """Minimum fraction of its workers that a dispatcher owns: each has ``MIN_OWNERS`` on average."""
        return MIN_OWNERS / self.subset_dispatchers_per_worker if self.subset_dispatchers_per_worker else 0.0

    @property
    def list_callers(self) -> int:
        """Number of dispatchers that call the source of this dispatcher's endpoint list."""
        return 1 if self.list_is_pushed else self.dispatchers

    def __post_init__(self) -> None:
        require(bool(self.classes), "classes", "at least one class is required")
        require(
            len({job_class.name for job_class in self.classes}) == len(self.classes),
            "classes",
            "names must be unique",
        )
        for job_class in self.classes:
            require(isinstance(job_class.effect, Effect), "effect", f"unknown value {job_class.effect!r}")
            require(
                isinstance(job_class.scope, DeduplicationScope), "scope", f"unknown value {job_class.scope!r}"
            )
            require(0 < job_class.deadline < math.inf, "deadline", "must be positive and finite")
            for name, key in CLASS_NOT_NEGATIVE.items():
                require(getattr(job_class, name) >= 0, key, "must not be negative")
        for tenant in self.tenants:
            require(tenant.quota_per_s >= 0, "quota_per_s", "must not be negative")
        require(self.dispatchers >= 1, "dispatchers", "must be at least one")
        require(self.max_attempts >= 1, "max_attempts", "must be at least one")
        require(0 < self.slow_start_share <= 1, "cold_share", "must be above zero and at most one")
        for name, key in POSITIVE.items():
            require(getattr(self, name) > 0, key, "must be above zero")
        for name, key in NOT_NEGATIVE.items():
            require(getattr(self, name) >= 0, key, "must not be negative")


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An entry of the endpoint list.

    ``started`` is a reading of the dispatcher's clock, or None if the start is long past; ``since_ms`` is the
    start as listed, Unix ms. ``weight`` is the worker's capacity as listed, lower the more jobs per core it
    holds, or 1 if the list has none.
    """

    worker: str
    kind: str = ""
    zone: str | None = None
    cell: int = 0
    started: float | None = None
    state: WorkerState = WorkerState.UP
    weight: float = 1.0
    preference_position: float | None = None  # of this dispatcher, see decisions.records.Worker
    since_ms: float | None = None


# ---- events ----


@dataclass(slots=True, frozen=True)
class Started:
    """The dispatcher has started; the first event, sent once."""


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """The settings have changed; jobs that have already arrived keep their class."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class LearnedStateReceived:
    """Learned state of the previous process, as returned by its ``Dispatcher.learned``."""

    data: dict[str, Any]


@dataclass(slots=True, frozen=True)
class JobTakenOver:
    """A job handed over by the previous process; ``worker`` runs its attempt, if one is in flight."""

    job: int
    cls: JobClass
    arrived: float
    deadline: float
    key: str | None = None
    work_hint: float | None = None
    slots: int = 1
    attempts: int = 0  # sent so far
    ran_on: str | None = None  # one of the workers on which it may have run
    worker: str | None = None
    sent_at: float = 0.0


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """Changes to the endpoint list, the whole list, or a failed or silent call for it; see ``ListScope``."""

    scope: ListScope
    entries: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class WorkersForgotten:
    """Workers that have long been gone or outside the subset: their state can be dropped."""

    workers: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class JobArrived:
    """A job has arrived and must get exactly one final answer within ``time_left``."""

    job: int
    job_class: str
    time_left: float
    tenant: str | None = None
    key: str | None = None
    work_hint: float | None = None
    slots: int = 1


@dataclass(slots=True, frozen=True)
class AttemptProgressed:
    """An attempt has started, or has completed the fraction ``share`` of its work."""

    job: int
    number: int
    worker: str
    share: float = 0.0
    started: bool = False


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The streamed answer of an attempt has begun: no other attempt can answer the client."""

    job: int
    number: int
    worker: str


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended; ``final`` is set if its job is finished as well."""

    job: int
    number: int
    worker: str
    ending: Ending
    final: bool = False
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class LoadPolled:
    """A poll for a load report has ended; ``report`` is empty if none was received."""

    worker: str
    ending: Ending
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class JobReleased:
    """A job needs no answer from the decisions any more.

    Its client has disconnected, another process has taken it over, or the engine answers it itself: past its
    deadline, or because a worker has not confirmed a cancel.
    """

    job: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has expired."""

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
    """Start the job's next attempt on a worker. ``time_out`` 0: until the job's deadline."""

    job: int
    worker: str
    time_out: float = 0.0


@dataclass(slots=True, frozen=True)
class PollLoad:
    """Poll a worker for its load report; one ``LoadPolled`` follows."""

    worker: str


@dataclass(slots=True, frozen=True)
class RejectJob:
    """Request to reject a job; the engine fails it instead if a retry is not safe."""

    job: int
    retry_after: float = 0.0
    why: str = ""  # short reason, if the endings of the job's attempts do not show it


@dataclass(slots=True, frozen=True)
class FailJob:
    """Request to fail a job, as it may have run; the engine does not check that."""

    job: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request ``TimerFired(token)`` after ``delay``."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Open a watch on the endpoint list."""


@dataclass(slots=True, frozen=True)
class LogLine:
    """A log line for operators."""

    text: str


Action = SendAttempt | PollLoad | RejectJob | FailJob | SetTimer | WatchEndpoints | LogLine
Actions = list[Action]
