"""A scenario as plain data: the checked values of a scenario file, in milliseconds and standard work.

``reading.py`` builds it from an operator's file; tests and importers may build it themselves.
``reading.py`` reads the fields by name, so they match the keys of the file and the schema's attributes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from elderstall.interface import JobClass, Settings, Tenant

EPOCH = 1_000_000_000.0  # ms: Unix time at the start of each scenario; fixed, so that runs are repeatable


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of worker host: its size, its speed and how it behaves under load."""

    name: str
    cores: int = 2
    slots: int = 2
    speed: float = 1.0
    speed_spread: float = 0.0  # coefficient of variation among the workers of this kind
    queue: int = 16  # tasks that may wait
    cold_share: float = 0.5  # fraction of its capacity just after a start
    cold_for: float = 6_000.0  # ms after a start until it is warm at the latest
    warm_by_work: bool = False
    cancel: str = "none"  # which tasks a cancellation stops: none, waiting, all
    drops_expired: bool = False
    hands_back: bool = True
    connections: int = 1_500
    connection_work: float = 1.0  # standard work of one handshake
    connection_tax: float = 0.05  # fraction of its capacity lost when all connections are open
    crowd_at: float = 10.0  # tasks held per core above which its efficiency drops
    crowd_cost: float = 0.0  # loss of efficiency for each task per core above that
    errors: float = 0.0  # fraction of tasks that fail


@dataclass(frozen=True, slots=True)
class Worker:
    """One named worker of the fleet."""

    name: str
    kind: str
    zone: str = "a"
    cell: int = 0
    speed: float | None = None  # None: drawn from the distribution of its kind


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """A class of jobs: its rules, its share of the traffic and the distribution of its work."""

    cls: JobClass
    share: float  # fraction of all jobs
    work: float  # mean standard work of a job
    spread: float = 0.0  # coefficient of variation
    distribution: str = "lognormal"
    noise: float = 0.0  # coefficient of variation of an attempt's work around the work of its job
    hint_spread: float | None = (
        0.1  # coefficient of variation of the hint around the work; None: no hints are sent
    )
    slots: tuple[float, ...] = (1.0,)  # shares of the jobs that need 1, 2, 3 ... slots
    longest: float = math.inf  # standard work; longer jobs are cut to it


@dataclass(frozen=True, slots=True)
class TenantLoad:
    """A tenant: its share of the traffic, and its quota in jobs a second."""

    name: str
    share: float
    quota: float


@dataclass(frozen=True, slots=True)
class Network:
    """The network between clients, dispatchers and workers: one-way delays in ms, and connections."""

    delay: float = 0.2
    client_delay: float = 0.0
    jitter: float = 0.1  # coefficient of variation of a delay
    handshake_trips: float = 2.0  # round trips to establish a connection
    connect_timeout: float = 250.0
    idle_close: float = 10_000.0
    worker_connections: int = 300  # maximum that a dispatcher holds to workers


@dataclass(frozen=True, slots=True)
class Rules:
    """The settings of the dispatchers, which the audit checks them against too."""

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
    """The discovery service: its delays in ms, and the rate at which it answers calls."""

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
    """The load reports, progress and checkpoints of workers; times in ms."""

    fields: tuple[str, ...] = ("qps", "util", "x0")
    free_slots: str = "x0"
    period: float = 800.0
    delay: float = 250.0
    noise: float = 0.04
    starts_told: bool = False
    asked: bool = False  # whether dispatchers may poll workers for their load
    progress: float = 2_000.0
    checkpoint: float = 1_000.0


@dataclass(frozen=True, slots=True)
class Clients:
    """The clients' retries, and how they react to rejections; times in ms."""

    retries: float = 1.0
    backoff: float = 30.0
    backoff_doubles: bool = True
    honour: float = 0.9  # fraction of clients that wait as long as Retry-After says
    longest_advice: float = 2_000.0
    impatient: float = 0.01  # fraction of requests whose client disconnects early
    reconnect: float = 0.0  # ms over which clients reconnect after their dispatcher is up again
    policy: str = "plain"  # or "library": the client library decides, and the fields above are not used
    max_tries: int = 3  # maximum attempts of the library, per call
    retry_share: float = 0.2  # maximum retries of the library, as a fraction of its calls


@dataclass(frozen=True, slots=True)
class Dispatchers:
    """The dispatchers, and the weights by which traffic is spread over them."""

    weights: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    start_spread: float = 300.0
    drain_for: float = 2_000.0  # ms for which a dispatcher still serves jobs before a planned restart


@dataclass(frozen=True, slots=True)
class Traffic:
    """The rate of arrivals in jobs a second, and how it changes over time."""

    rate: float
    swing: float = 0.0
    swing_period: float = 40_000.0
    shape: tuple[tuple[float, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Goal:
    """The weights and prices that combine the measurements of a run into its single figure."""

    whole: float = 0.25
    worst_window: float = 0.45
    worst_class: float = 0.20
    worst_tenant: float = 0.10
    price_waste: float = 0.037
    price_connection: float = 0.02
    price_late_failure: float = 0.038


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault: what fails, when (ms since the start), for how long, and whom it strikes."""

    kind: str
    at: float
    length: float = 0.0
    ramp: float = 0.0
    apart: float = 0.0  # ms between the first struck and the next
    share: float | None = None  # fraction of the workers or dispatchers, which are drawn at random
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
        """When the fault ends (ms) for the first that it strikes; with ``apart``, later for the others."""
        return self.at + self.length


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole scenario."""

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
        """Capacity of the warm fleet in standard work per ms, from the mean speeds of its kinds."""
        kinds = {kind.name: kind for kind in self.kinds}
        return sum(
            kinds[worker.kind].cores * (worker.speed or kinds[worker.kind].speed) for worker in self.workers
        )

    @property
    def mean_work(self) -> float:
        """Mean standard work of a job, summed over its slots."""
        total_share = sum(c.share for c in self.classes)
        return sum(c.share * c.work * mean_slots(c.slots) for c in self.classes) / total_share

    def settings(self, rank: int) -> Settings:
        """Return the settings that the dispatcher of this rank is started with."""
        rules = self.rules
        reports = self.reports
        zones = sorted({worker.zone for worker in self.workers})
        free_slots_index = (
            reports.fields.index(reports.free_slots) if reports.free_slots in reports.fields else None
        )
        return Settings(
            classes=tuple(c.cls for c in self.classes),
            tenants=tuple(Tenant(t.name, t.quota) for t in self.tenants),
            dispatchers=len(self.dispatchers.weights),
            rank=rank,
            zone=zones[rank % len(zones)],
            over_quota_weight=rules.over_share_worth,
            weight_by_work=rules.worth_by_work,
            watches_list=self.listing.must_ask,
            poll_interval=rules.ask_within,
            slow_start_share=rules.cold_share,
            slow_start_duration=rules.cold_for,
            slow_start_multiple=rules.push_multiple,
            slow_start_window=rules.push_window,
            max_attempts=rules.max_attempts,
            cpu_us_per_s=rules.cpu_per_second,
            cpu_us_per_job=rules.cpu_per_job,
            connect_timeout=self.network.connect_timeout,
            notifies_start=reports.starts_told,
            report_free_slots=free_slots_index,
            tick=rules.tick,
            probes=reports.asked,
        )


def mean_slots(shares: tuple[float, ...]) -> float:
    """Return the mean slots of a job, from the shares of jobs with 1, 2, 3 ... slots."""
    return sum((index + 1) * share for index, share in enumerate(shares)) / sum(shares)
