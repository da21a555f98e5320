"""The figures of a simulation: service, rejections, attempts, wasted work, latency.

Service is the priority weight answered in time over the priority weight requested. Nothing measured
on this machine is among them, so the same scenario and seed give the same figures.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import heappush, heappushpop
from typing import TYPE_CHECKING, Any, Protocol

from hdrh.histogram import HdrHistogram

from elderstall.simulation.scenario import Kind, Scenario, Worker

if TYPE_CHECKING:
    from elderstall.simulation.audit import Auditor
    from elderstall.simulation.dispatcher_host import CountingLog
    from elderstall.simulation.requests import Request, ServedAttempt
    from elderstall.simulation.worker import CardWorker, Task

BIN = 1_000.0  # ms of arrivals counted together
WINDOW_BINS = 5  # bins in each entry of "windows"
WORST_WINDOW_BINS = 10  # bins over which the worst service is taken
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MAX_UNSERVED_LISTED = 10  # unserved requests listed ("most_lost"), those with the most priority weight
ENDINGS = ("served", "late", "refused", "failed", "timed out", "unreachable", "lost", "left")


@dataclass(slots=True)
class PriorityWeight:
    """The priority weight requested, and the one answered in time."""

    requested: float = 0.0
    earned: float = 0.0

    @property
    def service(self) -> float | None:
        """Return the fraction answered in time; None where nothing was requested."""
        return self.earned / self.requested if self.requested > 0 else None


@dataclass(slots=True)
class Bin:
    """The requests that arrived in one second, and the load of the workers in it."""

    priority_weight: PriorityWeight = field(default_factory=PriorityWeight)
    classes: dict[str, PriorityWeight] = field(default_factory=dict)
    endings: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    busy: list[float] = field(default_factory=list)  # of each worker, the fraction of its cores in use


class Tally:
    """Counts requests, attempts and work during a simulation."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.bins: list[Bin] = [Bin() for _ in range(int(-(-scenario.length // BIN)))]
        self.classes = {c.cls.name: PriorityWeight() for c in scenario.classes}
        self.tenants = {t.name: PriorityWeight() for t in scenario.tenants}  # of requests within the quota
        self.endings: dict[str, Counter[str]] = {c.cls.name: Counter() for c in scenario.classes}
        self.latencies = {
            c.cls.name: HdrHistogram(1, 3_600_000_000, 3) for c in scenario.classes
        }  # us, to 1 h
        self.requests = self.tries = self.retries = self.attempts = self.connections = self.probes = 0
        self.core_ms = self.useful_ms = 0.0
        # Standard work; priority weight of the requests that failed after their latency objective.
        self.work_requested = self.late_failure_weight = 0.0
        # Heap of the requests that were not served, limited to those with the most priority weight.
        self.unserved: list[tuple[float, int, str, str, float]] = []

    def bin_of(self, request: Request) -> Bin:
        """Return the bin in which a request arrived; the last one takes later requests too."""
        return self.bins[min(len(self.bins) - 1, int(request.arrived_at // BIN))]

    def count_request(self, request: Request) -> None:
        """Count a request that has arrived."""
        self.requests += 1
        self.work_requested += request.work * request.slots
        arrival_bin = self.bin_of(request)
        name = request.load.cls.name
        arrival_bin.requests += 1
        arrival_bin.priority_weight.requested += request.priority_weight
        arrival_bin.classes.setdefault(name, PriorityWeight()).requested += request.priority_weight
        self.classes[name].requested += request.priority_weight
        if request.tenant is not None and request.within_quota:
            self.tenants[request.tenant].requested += request.priority_weight

    def ended(self, request: Request, at: float) -> None:
        """Count how a request ended."""
        ending = request.ended or ""
        name = request.load.cls.name
        self.endings[name][ending] += 1
        arrival_bin = self.bin_of(request)
        arrival_bin.endings[ending] += 1
        if ending in ("served", "late"):
            self.latencies[name].record_value(max(1, round((at - request.arrived_at) * 1000)))
        elif ending != "left" and at > request.latency_objective_at:
            self.late_failure_weight += request.priority_weight
        if ending != "served":
            entry = (request.priority_weight, request.number, name, ending, request.arrived_at)
            (heappush if len(self.unserved) < MAX_UNSERVED_LISTED else heappushpop)(self.unserved, entry)
        if ending == "served":
            arrival_bin.priority_weight.earned += request.priority_weight
            arrival_bin.classes[name].earned += request.priority_weight
            self.classes[name].earned += request.priority_weight
            if request.tenant is not None and request.within_quota:
                self.tenants[request.tenant].earned += request.priority_weight

    def core_time(self, task: Task) -> None:
        """Add the core time of a finished task."""
        self.core_ms += task.core_time

    def useful(self, attempt: ServedAttempt) -> None:
        """Add the core time of the attempt that served its request."""
        if attempt.task is not None:
            self.useful_ms += attempt.task.core_time

    def sample(self, busy: list[float], at: float) -> None:
        """Record the load of the workers over the last second."""
        index = int(at // BIN) - 1
        if 0 <= index < len(self.bins):
            self.bins[index].busy = busy


def worst_window(bins: list[Bin], length: int = WORST_WINDOW_BINS) -> tuple[float | None, int]:
    """Return the lowest service over this many consecutive bins, and the index of the first of them."""
    worst = None
    start = 0
    for index in range(max(1, len(bins) - length + 1)):
        window_bins = bins[index : index + length]
        requested = sum(b.priority_weight.requested for b in window_bins)
        if requested > 0:
            service = sum(b.priority_weight.earned for b in window_bins) / requested
            if worst is None or service < worst:
                worst = service
                start = index
    return worst, start


def rounded(value: float | None, digits: int = 6) -> float | None:
    """Round for a file, as the last digits carry no information."""
    return None if value is None else round(value, digits)


class WorkerHostView(Protocol):
    """The attributes of a worker host that the figures read."""

    model: CardWorker
    kind: Kind


class FinishedSimulation(Protocol):
    """The attributes of a finished simulation that the figures read."""

    scenario: Scenario
    seed: int
    tally: Tally
    audit: Auditor
    log: CountingLog
    struck: dict[int, list[str]]

    @property
    def worker_hosts(self) -> Mapping[str, WorkerHostView]:
        """The worker hosts by name."""


def figures_of(world: FinishedSimulation) -> dict[str, Any]:
    """Return the figures as plain data, in a fixed order."""
    scenario = world.scenario
    tally = world.tally
    audit = world.audit
    requested = sum(w.requested for w in tally.classes.values())
    earned = sum(w.earned for w in tally.classes.values())
    whole = earned / requested if requested else None
    worst, worst_start = worst_window(tally.bins)
    by_class = [w.service for w in tally.classes.values() if w.service is not None]
    by_tenant = [w.service for w in tally.tenants.values() if w.service is not None]
    goal = scenario.goal
    wasted = max(0.0, tally.core_ms - tally.useful_ms)
    requests = max(1, tally.requests)
    # The mean speed converts core time to standard work, because ``work_requested`` is in standard work.
    speed = sum(host.model.speed * host.kind.cores for host in world.worker_hosts.values()) / sum(
        host.kind.cores for host in world.worker_hosts.values()
    )
    prices = {
        "waste": goal.price_waste * wasted * speed / max(1e-9, tally.work_requested),
        "connections": goal.price_connection * tally.connections / requests,
        "late failures": goal.price_late_failure * tally.late_failure_weight / max(1e-9, requested),
    }
    figure = None
    if whole is not None and worst is not None:
        figure = (
            goal.whole * whole
            + goal.worst_window * worst
            + goal.worst_class * min(by_class, default=whole)
            + goal.worst_tenant * min(by_tenant, default=whole)
            - sum(prices.values())
        )
    endings: Counter[str] = Counter()
    for counts in tally.endings.values():
        endings.update(counts)
    cores = sum(host.model.ledger.total for host in world.worker_hosts.values())
    core_time_by_use = {
        name: sum(getattr(host.model.ledger, name) for host in world.worker_hosts.values())
        for name in ("busy", "overhead", "idle", "paused", "down")
    }
    return {
        "night": scenario.name,
        "seed": world.seed,
        "length_s": scenario.length / 1000,
        "workers": len(scenario.workers),
        "dispatchers": len(scenario.dispatchers.weights),
        "figure": rounded(figure),
        "service": {
            "whole": rounded(whole),
            "worst_10_s": rounded(worst),
            "worst_10_s_from": worst_start,
            "worst_class": rounded(min(by_class, default=None)),
            "worst_tenant": rounded(min(by_tenant, default=None)),
        },
        "prices": {name: rounded(value) for name, value in prices.items()},
        "requests": tally.requests,
        "tries": tally.tries,
        "retries": tally.retries,
        "attempts": tally.attempts,
        "connections": tally.connections,
        "probes": tally.probes,
        "endings": {name: endings[name] for name in ENDINGS if endings[name]},
        "core_time": {
            name: rounded(value / cores if cores else 0.0) for name, value in core_time_by_use.items()
        },
        "work": {
            "core_s": rounded(tally.core_ms / 1000),
            "useful_s": rounded(tally.useful_ms / 1000),
            "wasted_s": rounded(wasted / 1000),
        },
        "classes": {
            name: {
                "service": rounded(priority_weight.service),
                "worth_asked": rounded(priority_weight.requested, 3),
                "endings": {e: tally.endings[name][e] for e in ENDINGS if tally.endings[name][e]},
                "latency_ms": {
                    f"p{q:g}": tally.latencies[name].get_value_at_percentile(q) / 1000 for q in QUANTILES
                }
                if tally.latencies[name].get_total_count()
                else {},
            }
            for name, priority_weight in tally.classes.items()
        },
        "tenants": {
            name: {
                "service": rounded(priority_weight.service),
                "worth_asked": rounded(priority_weight.requested, 3),
            }
            for name, priority_weight in tally.tenants.items()
        },
        "windows": [
            window(tally.bins[start : start + WINDOW_BINS], start, scenario.workers)
            for start in range(0, len(tally.bins), WINDOW_BINS)
        ],
        "most_lost": [
            {
                "request": number,
                "class": name,
                "ending": ending,
                "at_s": rounded(arrived_at / 1000, 3),
                "share_of_worth": rounded(priority_weight / requested),
            }
            for priority_weight, number, name, ending, arrived_at in sorted(
                tally.unserved, key=lambda row: (-row[0], row[1])
            )
        ],
        "troubles": [
            {
                "kind": fault.kind,
                "at_s": fault.at / 1000,
                "for_s": fault.length / 1000,
                "struck": world.struck.get(index, []),
            }
            for index, fault in enumerate(scenario.faults)
        ],
        "log": {code: world.log.codes[code] for code in sorted(world.log.codes)},
        "rules": {
            "broken": audit.count,
            "first": [
                {
                    "rule": breach.rule,
                    "at_s": rounded(breach.at / 1000),
                    "what": breach.what,
                    "request": breach.request,
                    "history": list(breach.history),
                }
                for breach in audit.broken[:20]
            ],
        },
    }


def window(bins: list[Bin], start: int, workers: tuple[Worker, ...]) -> dict[str, Any]:
    """Return the figures of the window of consecutive bins that starts at this second."""
    requested = sum(b.priority_weight.requested for b in bins)
    earned = sum(b.priority_weight.earned for b in bins)
    endings: Counter[str] = Counter()
    classes: dict[str, PriorityWeight] = {}
    for second in bins:
        endings.update(second.endings)
        for name, priority_weight in second.classes.items():
            total = classes.setdefault(name, PriorityWeight())
            total.requested += priority_weight.requested
            total.earned += priority_weight.earned
    busy = [b.busy for b in bins if b.busy]
    kinds: dict[str, list[float]] = {}
    for worker, row in zip(workers, zip(*busy, strict=True), strict=False):
        kinds.setdefault(worker.kind, []).append(sum(row) / len(row))
    return {
        "from_s": start,
        "requests": sum(b.requests for b in bins),
        "service": rounded(earned / requested) if requested else None,
        "classes": {name: rounded(classes[name].service) for name in sorted(classes)},
        "endings": {name: endings[name] for name in ENDINGS if endings[name]},
        "busy": {kind: rounded(sum(rows) / len(rows), 4) for kind, rows in sorted(kinds.items())},
    }
