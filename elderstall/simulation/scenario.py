"""A scenario as plain data: what a script says, checked, in milliseconds and standard work.

``reading.py`` makes it of an operator's file; tests and importers may make it themselves.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from elderstall.interface import JobClass, Settings, Tenant

EPOCH = 1_000_000_000.0  # ms: Unix time at a scenario's start; no clock is read for it


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of worker host."""

    name: str
    cores: int = 2
    slots: int = 2
    speed: float = 1.0
    speed_spread: float = 0.0  # coefficient of variation from one worker to the next
    queue: int = 16  # tasks that may wait
    cold_share: float = 0.5  # of its capacity, just started
    cold_for: float = 6_000.0  # ms until it is warm at the latest
    warm_by_work: bool = False
    cancel: str = "none"  # what stops at a cancel: none, waiting, all
    drops_expired: bool = False
    hands_back: bool = True
    connections: int = 1_500
    connection_work: float = 1.0  # standard work of a handshake
    connection_tax: float = 0.05  # of its capacity, with all connections open
    crowd_at: float = 10.0  # tasks held for each core beyond which it is less efficient
    crowd_cost: float = 0.0  # by how much for each further one
    errors: float = 0.0  # share of tasks that fail


@dataclass(frozen=True, slots=True)
class Worker:
    """One worker by name."""

    name: str
    kind: str
    zone: str = "a"
    cell: int = 0
    speed: float | None = None  # None: drawn from its kind's


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """A class of jobs: its rules, and what its jobs are like."""

    cls: JobClass
    share: float  # of all jobs
    work: float  # mean
    spread: float = 0.0  # coefficient of variation
    distribution: str = "lognormal"
    noise: float = 0.0  # of an attempt's work about its job's
    hint_spread: float | None = 0.1  # of the hint about the work; None: no hints
    slots: tuple[float, ...] = (1.0,)  # shares of jobs of 1, 2, 3 ... slots
    longest: float = math.inf  # work is cut there


@dataclass(frozen=True, slots=True)
class TenantLoad:
    """A tenant: its part of the traffic, and the jobs a second that are within its share."""

    name: str
    share: float
    quota: float


@dataclass(frozen=True, slots=True)
class Network:
    """Delays, ms one way, and connections."""

    delay: float = 0.2
    client_delay: float = 0.0
    jitter: float = 0.1  # coefficient of variation of a delay
    handshake_trips: float = 2.0  # round trips that a new connection takes
    connect_timeout: float = 250.0
    idle_close: float = 10_000.0
    worker_connections: int = 300  # that a dispatcher may hold to workers


@dataclass(frozen=True, slots=True)
class Rules:
    """What dispatchers are configured with, and held to."""

    slack: float = 58.0
    drain_grace: float = 2_000.0
    cold_share: float = 0.42
    cold_for: float = 9_000.0
    push_multiple: float = 4.0
    push_window: float = 2_000.0
    max_attempts: int = 5
    ask_within: float = 10_000.0
    tick: float = 1.0
    cpu_per_second: float = 8_000.0
    cpu_per_job: float = 10.0
    max_open: int = 20_000
    over_share_worth: float = 0.05
    worth_by_work: bool = True


@dataclass(frozen=True, slots=True)
class Listing:
    """The list of workers: how late it is, and what it can answer."""

    must_ask: bool = True
    notice: float = 1_500.0
    silent_notice: float = 8_000.0
    add: float = 1_000.0
    period: float = 500.0
    spread: float = 80.0
    lines_per_second: float = 200.0
    timeout: float = 3_000.0


@dataclass(frozen=True, slots=True)
class Reports:
    """What workers report."""

    fields: tuple[str, ...] = ("qps", "util", "x0")
    free_slots: str = "x0"
    period: float = 800.0
    delay: float = 250.0
    noise: float = 0.04
    starts_told: bool = False
    asked: bool = False  # whether dispatchers may ask workers how they stand
    progress: float = 2_000.0
    checkpoint: float = 1_000.0


@dataclass(frozen=True, slots=True)
class Clients:
    """What clients do by themselves."""

    retries: float = 1.0
    backoff: float = 30.0
    backoff_doubles: bool = True
    honour: float = 0.9  # share of those that heed advice
    longest_advice: float = 2_000.0
    impatient: float = 0.01  # share that leaves early
    reconnect: float = 0.0  # ms over which clients come back once their dispatcher is there again
    policy: str = "plain"  # or "library": the client library decides, instead of what stands above
    max_tries: int = 3  # of the library
    retry_share: float = 0.2  # of its calls, that retries may add


@dataclass(frozen=True, slots=True)
class Dispatchers:
    """The dispatchers, and how unequal their traffic is."""

    weights: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    start_spread: float = 300.0
    drain_for: float = 2_000.0  # at a planned restart jobs are still served for so long


@dataclass(frozen=True, slots=True)
class Traffic:
    """Jobs a second, and how the rate moves."""

    rate: float
    swing: float = 0.0
    swing_period: float = 40_000.0
    shape: tuple[tuple[float, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Goal:
    """What makes the one figure: weights of service, and prices."""

    whole: float = 0.25
    worst_window: float = 0.45
    worst_class: float = 0.20
    worst_tenant: float = 0.10
    price_waste: float = 0.037
    price_connection: float = 0.02
    price_late_failure: float = 0.038


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong, and when."""

    kind: str
    at: float
    length: float = 0.0
    ramp: float = 0.0
    apart: float = 0.0  # between the first struck and the next
    share: float | None = None  # of the workers, or dispatchers, drawn
    workers: tuple[str, ...] = ()
    dispatchers: tuple[str, ...] = ()
    factor: float = 1.0
    chance: float = 0.0
    after: float = 0.1
    job_class: str = ""
    cold_share: float | None = None
    planned: bool = True

    @property
    def ends(self) -> float:
        """When it is over, but for what is struck later one after the other."""
        return self.at + self.length


@dataclass(frozen=True, slots=True)
class Scenario:
    """All of it."""

    name: str
    length: float
    load: Traffic
    kinds: tuple[Kind, ...]
    workers: tuple[Worker, ...]
    classes: tuple[ClassLoad, ...]
    describe: str = ""
    seed: int = 1
    tail: float = 20_000.0
    tenants: tuple[TenantLoad, ...] = ()
    faults: tuple[Fault, ...] = ()
    network: Network = field(default_factory=Network)
    rules: Rules = field(default_factory=Rules)
    listing: Listing = field(default_factory=Listing)
    reports: Reports = field(default_factory=Reports)
    clients: Clients = field(default_factory=Clients)
    dispatchers: Dispatchers = field(default_factory=Dispatchers)
    goal: Goal = field(default_factory=Goal)

    @property
    def capacity(self) -> float:
        """Standard work a ms that the whole fleet does when warm, by its kinds' mean speeds."""
        kinds = {kind.name: kind for kind in self.kinds}
        return sum(kinds[w.kind].cores * (w.speed or kinds[w.kind].speed) for w in self.workers)

    @property
    def mean_work(self) -> float:
        """Mean standard work of a job, over all its slots."""
        shares = sum(c.share for c in self.classes)
        return sum(c.share * c.work * mean_slots(c.slots) for c in self.classes) / shares

    def settings(self, rank: int) -> Settings:
        """Give the settings that a dispatcher is started with."""
        r, reports = self.rules, self.reports
        zones = sorted({w.zone for w in self.workers})
        free = reports.fields.index(reports.free_slots) if reports.free_slots in reports.fields else None
        return Settings(
            classes=tuple(c.cls for c in self.classes),
            tenants=tuple(Tenant(t.name, t.quota) for t in self.tenants),
            dispatchers=len(self.dispatchers.weights),
            rank=rank,
            zone=zones[rank % len(zones)],
            over_quota_weight=r.over_share_worth,
            weight_by_work=r.worth_by_work,
            watches_list=self.listing.must_ask,
            poll_interval=r.ask_within,
            slow_start_share=r.cold_share,
            slow_start_duration=r.cold_for,
            slow_start_multiple=r.push_multiple,
            slow_start_window=r.push_window,
            max_attempts=r.max_attempts,
            cpu_us_per_s=r.cpu_per_second,
            cpu_us_per_job=r.cpu_per_job,
            connect_timeout=self.network.connect_timeout,
            notifies_start=reports.starts_told,
            report_free_slots=free,
            tick=r.tick,
            probes=reports.asked,
        )


def mean_slots(shares: tuple[float, ...]) -> float:
    """Give the mean slots of a job, of the shares of 1, 2, 3 ... slots."""
    return sum((n + 1) * part for n, part in enumerate(shares)) / sum(shares)
