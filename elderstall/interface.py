"""What a dispatcher is told and what it asks for: settings, events and actions.

Times are milliseconds. Clock readings start anywhere and only grow. Work is measured as running
time on a standard core. Every record is plain data; all decisions are in ``choice.py``.
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
    """What running a job twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
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
    CUT = "cut"  # a kept connection had gone; the job may have run, but its worker is not to blame
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"


NEVER_RAN = frozenset({Ending.FULL, Ending.UNREACHABLE, Ending.NEVER_SENT})


class WorkerState(Enum):
    """What the list says of a worker."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a list event holds: the changed entries, every entry, or nothing because a call failed.

    Nothing as well where a watch or a call fell silent: that says less against discovery than a failure does.
    """

    CHANGES = "changes"
    WHOLE = "whole"
    FAILED = "failed"
    SILENT = "silent"


@dataclass(slots=True, frozen=True)
class JobClass:
    """One class of jobs and its rules."""

    name: str
    worth: float
    aim: float
    deadline: float
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    memory_span: float = 0.0
    stretch: float = 0.0
    late_share: float = 0.0
    kind: str | None = None
    streamed: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the jobs a second, over all dispatchers, that are within its share."""

    name: str
    quota_per_s: float


OWNERS_LEAST = 2.0  # dispatchers that count a worker as their own, where each holds a subset of the fleet


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything a dispatcher knows at its start."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatchers: int = 1
    rank: int = 0
    zone: str | None = None
    over_share_worth: float = 1.0
    by_work: bool = False
    must_follow: bool = False
    own_list: bool = False  # changes come from an agent of our own; only we call there
    ask_within: float = 10_000.0
    cold_share: float = 1.0
    cold_for: float = 0.0
    push_multiple: float = 3.0
    push_window: float = 2_000.0
    drain_within: float = 2_000.0  # ms in which new work to a worker ends once it is told draining or gone
    max_attempts: int = 1
    cpu_us_per_s: float = 0.0
    cpu_us_per_job: float = 0.0
    connect_timeout: float = 0.0
    tells_start: bool = False
    report_free_slots: int | None = None
    tick: float = 1.0
    crossing_price: float = 0.0
    fetch_price: float = 0.0
    probes: bool = False  # whether workers may be asked how they stand
    cancels: bool = True  # whether workers may be told to give a job up
    pulled: bool = False  # whether they tell it only then, not with their answers
    sharing: float = 0.0  # dispatchers that share each worker of ours, where that is not all; see sharers

    @property
    def sharers(self) -> float:
        """How many dispatchers share each worker that we know: all, or those that hold it in their subset."""
        return self.sharing or self.dispatchers

    @property
    def least_part(self) -> float:
        """Least part of its workers that a dispatcher counts as its own: each has so many owners then."""
        return OWNERS_LEAST / self.sharing if self.sharing else 0.0

    @property
    def callers(self) -> int:
        """How many dispatchers call for the list where we do."""
        return 1 if self.own_list else self.dispatchers

    def __post_init__(self) -> None:
        require(bool(self.classes), "classes", "at least one is needed")
        require(len({c.name for c in self.classes}) == len(self.classes), "classes", "names repeat")
        for c in self.classes:
            require(isinstance(c.effect, Effect), "effect", f"unknown: {c.effect!r}")
            require(isinstance(c.scope, Scope), "scope", f"unknown: {c.scope!r}")
            require(0 < c.deadline < math.inf, "deadline", "must be above zero")
            for name in ("worth", "aim", "memory_span", "stretch", "late_share"):
                require(getattr(c, name) >= 0, name, "must not be negative")
        for t in self.tenants:
            require(t.quota_per_s >= 0, "quota_per_s", "must not be negative")
        require(self.dispatchers >= 1, "dispatchers", "must be at least one")
        require(self.max_attempts >= 1, "max_attempts", "must be at least one")
        require(0 < self.cold_share <= 1, "cold_share", "must be above zero and at most one")
        for name in ("ask_within", "push_window", "push_multiple", "drain_within", "tick"):
            require(getattr(self, name) > 0, name, "must be above zero")
        for name in (
            "over_share_worth",
            "cold_for",
            "cpu_us_per_s",
            "cpu_us_per_job",
            "connect_timeout",
            "crossing_price",
            "fetch_price",
        ):
            require(getattr(self, name) >= 0, name, "must not be negative")


@dataclass(slots=True, frozen=True)
class Listed:
    """One line of the list of workers. ``started`` is None where the start is long past.

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
    place: float | None = None  # ours in line for it, from 0 to 1, where dispatchers hold subsets
    since_ms: float | None = None


# ---- events ----


@dataclass(slots=True, frozen=True)
class Begin:
    """The dispatcher starts; sent once, first."""


@dataclass(slots=True, frozen=True)
class Retuned:
    """The settings are others now; jobs that have arrived keep the class they came with."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class Learned:
    """What the process before this one had learned, as its ``Dispatcher.learned`` gave it."""

    data: dict[str, Any]


@dataclass(slots=True, frozen=True)
class JobInherited:
    """A job that the process before this one took, and its attempt if ``worker`` names where one is out."""

    job: int
    cls: JobClass
    arrived: float
    deadline: float
    key: str | None = None
    work_hint: float | None = None
    slots: int = 1
    sent: int = 0
    ran_on: str | None = None  # a worker on which it may have run
    worker: str | None = None
    sent_at: float = 0.0


@dataclass(slots=True, frozen=True)
class WorkerList:
    """News from the list of workers."""

    scope: ListScope
    entries: tuple[Listed, ...] = ()


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
class AttemptNoted:
    """An attempt has started (``share`` 0) or has done ``share`` of its work."""

    job: int
    number: int
    worker: str
    share: float = 0.0
    started: bool = False


@dataclass(slots=True, frozen=True)
class AnswerBegan:
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
class Probed:
    """A worker's answer to ``Probe``, or that none came; its report where it gave one."""

    worker: str
    ending: Ending
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class JobLeft:
    """The client is gone; nothing is owed for the job any more."""

    job: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier has run out."""

    token: int


Event = (
    Begin
    | Retuned
    | Learned
    | WorkerList
    | WorkersForgotten
    | JobArrived
    | JobInherited
    | AttemptNoted
    | AnswerBegan
    | AttemptEnded
    | Probed
    | JobLeft
    | TimerFired
)


# ---- actions ----


@dataclass(slots=True, frozen=True)
class Send:
    """Start the job's next attempt on a worker. ``time_out`` 0: until the client gives up."""

    job: int
    worker: str
    time_out: float = 0.0


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a worker how it stands; answered by one ``Probed``."""

    worker: str


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: turned down, and trying again is harmless."""

    job: int
    retry_after: float = 0.0
    why: str = ""  # in a word or two, where it is not plain from how the job's attempts ended


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with no promise about what has run."""

    job: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for ``TimerFired(token)`` after ``delay``."""

    token: int
    delay: float


@dataclass(slots=True, frozen=True)
class FollowList:
    """Ask to be told changes of the list of workers from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the people on call."""

    text: str


Action = Send | Probe | Refuse | Fail | SetTimer | FollowList | Log
Actions = list[Action]
