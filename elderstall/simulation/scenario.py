"""A scenario as plain data: the checked values of a scenario file, in milliseconds and standard work.

``reading.py`` builds it from an operator's file; tests and importers may build it themselves.
``reading.py`` reads most fields by name, so they have the names of the schema's attributes. Some keys and
sections of the file differ from the names here:

- section ``list`` is ``Listing``; the sections of faults ("troubles" in the schema) are ``Fault``
- ``for`` and ``class`` of a fault are ``length`` and ``job_class``
- ``warm-by`` of a kind is ``warm_by_work``
- ``aim`` and ``worth`` of a class are ``latency_objective`` and ``priority_weight`` of its ``JobClass``
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from elderstall.interface import JobClass, Settings, Tenant

# Unix time in ms (12 January 1970) at the start of each scenario; fixed, so that runs are repeatable.
EPOCH = 1_000_000_000.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of worker host: its size, its speed and how it behaves under load."""

    name: str
    cores: int = 2
    slots: int = 2  # slots of the tasks that it runs at a time
    speed: float = 1.0  # standard work per ms of one core
    speed_spread: float = 0.0  # coefficient of variation among the workers of this kind
    queue: int = 16  # tasks that may wait
    cold_share: float = 0.5  # fraction of its capacity just after a start
    cold_for: float = 6_000.0  # ms after a start until it is warm at the latest
    warm_by_work: bool = False  # whether work done warms it too, not only the time since its start
    cancel: str = "none"  # which tasks a cancellation stops: none, waiting, all
    drops_expired: bool = False  # whether it drops waiting tasks whose deadline has passed
    hands_back: bool = True  # whether it returns its waiting tasks when it starts to drain
    connections: int = 1_500  # maximum open at a time
    connection_work: float = 1.0  # standard work of one handshake
    connection_tax: float = 0.05  # fraction of its capacity lost when all connections are open
    crowd_at: float = 10.0  # tasks held per core above which its efficiency drops
    crowd_cost: float = 0.0  # for each task per core above that, added to 1 as a divisor of the efficiency
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
    share: float  # of all jobs, relative to the shares of the other tenants
    quota: float  # jobs a second


@dataclass(frozen=True, slots=True)
class Network:
    """The network between clients, dispatchers and workers: one-way delays in ms, and connections."""

    delay: float = 0.2  # between dispatchers and workers
    client_delay: float = 0.0  # between clients and dispatchers
    jitter: float = 0.1  # coefficient of variation of a delay
    handshake_trips: float = 2.0  # round trips to establish a connection
    connect_timeout: float = 250.0  # ms
    idle_close: float = 10_000.0  # ms after which an idle connection is closed
    worker_connections: int = 300  # maximum that a dispatcher holds to workers


@dataclass(frozen=True, slots=True)
class Rules:
    """The settings of the dispatchers, some of which the audit checks them against.

    ``Scenario.settings`` leaves out ``slack``, ``drain_grace`` and ``max_open``; they are passed separately.
    ``cold_share`` and ``cold_for`` are what dispatchers assume; those of ``Kind`` are what workers do.
    """

    slack: float = 58.0  # ms after a job's deadline by which it must be answered
    drain_grace: float = 2_000.0  # ms within which sending to a draining or gone worker stops
    cold_share: float = 0.42  # fraction of its speed that a worker has at its start
    cold_for: float = 9_000.0  # ms after its start for which a worker is in slow start
    # All dispatchers together may send a cold worker this multiple of the work it can do in a window.
    push_multiple: float = 4.0
    push_window: float = 2_000.0  # ms; length of that window
    max_attempts: int = 5  # attempts of a job
    ask_within: float = 10_000.0  # ms; maximum between renewals of the endpoint list
    tick: float = 1.0  # ms; resolution of timers
    cpu_per_second: float = 8_000.0  # us of CPU time allowed a second (``Settings.cpu_us_per_s``)
    cpu_per_job: float = 10.0  # us of CPU time allowed a job (``Settings.cpu_us_per_job``)
    max_open: int = 20_000  # jobs open at a time in a dispatcher
    over_share_worth: float = 0.05  # factor on the priority weight of a job over its tenant's quota
    worth_by_work: bool = True  # whether priority weights count per unit of work, not per job


@dataclass(frozen=True, slots=True)
class Listing:
    """The discovery service: its delays in ms, and the rate at which it writes entries in answer to calls."""

    must_ask: bool = True  # whether dispatchers get changes only over a watch that they open
    notice: float = 1_500.0  # until a change of a worker's state is published
    silent_notice: float = 8_000.0  # until a change is published for a worker host that does not answer
    add: float = 1_000.0  # until a worker that has started is listed
    period: float = 500.0  # between rounds of notifications
    spread: float = 80.0  # maximum random delay of a notification after its round
    lines_per_second: float = 200.0  # list entries a second; a call takes the time of the whole list
    timeout: float = 3_000.0  # after which a call that has not been served fails


@dataclass(frozen=True, slots=True)
class Reports:
    """The load reports, progress and checkpoints of workers; times in ms."""

    fields: tuple[str, ...] = ("qps", "util", "x0")  # names of the fields of a load report, in order
    free_slots: str = "x0"  # the field with the free slots
    period: float = 800.0  # between measurements of a worker's load
    delay: float = 250.0  # from a measurement until it is reported
    noise: float = 0.04  # coefficient of variation of reported values
    starts_told: bool = False  # whether workers notify dispatchers of the start of a job
    asked: bool = False  # whether dispatchers may poll workers for their load
    progress: float = 2_000.0  # between progress reports of a job
    checkpoint: float = 1_000.0  # between checkpoints of a job that can be repeated; 0: none are made


@dataclass(frozen=True, slots=True)
class Clients:
    """The clients' retries, and how they react to rejections; times in ms."""

    retries: float = 1.0  # maximum retries of a request; a fraction is the chance of one more
    backoff: float = 30.0  # mean wait before the first retry
    backoff_doubles: bool = True  # whether each further retry doubles the wait
    honour: float = 0.9  # fraction of requests whose client waits as long as Retry-After says
    longest_advice: float = 2_000.0  # maximum wait due to Retry-After
    impatient: float = 0.01  # fraction of requests whose client disconnects early
    reconnect: float = 0.0  # ms over which clients reconnect after their dispatcher is up again
    # "plain", or "library": the client library decides on retries, and the fields from ``retries`` to
    # ``longest_advice`` have no effect.
    policy: str = "plain"
    max_tries: int = 3  # maximum attempts of the library, per call
    retry_share: float = 0.2  # maximum retries of the library, as a fraction of its calls


@dataclass(frozen=True, slots=True)
class Dispatchers:
    """The dispatchers, and the weights by which traffic is spread over them."""

    weights: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    start_spread: float = 300.0  # ms over which the starts of the dispatchers are spread
    drain_for: float = 2_000.0  # ms for which a dispatcher still serves jobs before a planned restart


@dataclass(frozen=True, slots=True)
class Traffic:
    """The rate of arrivals in jobs a second, and how it changes over time."""

    rate: float
    swing: float = 0.0  # amplitude of a sine wave on the rate, as a fraction of it
    swing_period: float = 40_000.0  # ms
    shape: tuple[tuple[float, float], ...] = ()  # times (ms) and factors on the rate, interpolated linearly


@dataclass(frozen=True, slots=True)
class Goal:
    """The weights and prices that combine the measurements of a run into its single figure."""

    whole: float = 0.25  # weight of the service over the whole run
    worst_window: float = 0.45  # weight of the service in the worst window
    worst_class: float = 0.20  # weight of the lowest service of a class
    worst_tenant: float = 0.10  # weight of the lowest service of a tenant
    price_waste: float = 0.037  # times wasted work, as a fraction of the work requested
    price_connection: float = 0.02  # times connections opened per request
    price_late_failure: float = 0.038  # times the priority weight that failed late, as a fraction of all


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault: what fails, when (ms since the start), for how long, and whom it strikes."""

    kind: str
    at: float
    length: float = 0.0  # ms
    ramp: float = 0.0  # ms over which the fault rises, and falls at its end
    apart: float = 0.0  # ms between the first struck and the next
    share: float | None = None  # fraction of the workers or dispatchers, which are drawn at random
    workers: tuple[str, ...] = ()
    dispatchers: tuple[str, ...] = ()
    factor: float = 1.0  # by kind: divides the speed of workers, or multiplies arrivals or the work of jobs
    chance: float = 0.0  # that a job is struck, from 0 to 1
    after: float = 0.1  # fraction of a job's work that is done before it fails
    job_class: str = ""  # name of the class whose jobs are struck
    cold_share: float | None = None  # of the restarted workers; None: that of their kind
    planned: bool = True  # whether a dispatcher drains before its restart, or is killed

    @property
    def ends(self) -> float:
        """When the fault ends (ms) for the first that it strikes; with ``apart``, later for the others."""
        return self.at + self.length


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole scenario."""

    name: str
    length: float  # ms in which requests arrive
    load: Traffic
    kinds: tuple[Kind, ...]
    workers: tuple[Worker, ...]
    classes: tuple[ClassLoad, ...]
    describe: str = ""
    seed: int = 1
    tail: float = 20_000.0  # ms that the simulation may run on after the last arrival
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
