"""The figures of a scenario: service, refusals, attempts, wasted work, latency; alike for the same scenario.

Service is the priority weight answered in time over the priority weight requested. Nothing measured
on this machine is among them.
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

BIN = 1_000.0  # ms
WINDOW = 5  # bins shown together
WORST = 10  # bins of the worst stretch
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MOST_LOST = 10  # requests named
ENDINGS = ("served", "late", "refused", "failed", "timed out", "unreachable", "lost", "left")


@dataclass(slots=True)
class PriorityWeight:
    """Priority weight requested, and answered in time."""

    requested: float = 0.0
    earned: float = 0.0

    @property
    def service(self) -> float | None:
        """Give the one over the other; None where nothing was requested."""
        return self.earned / self.requested if self.requested > 0 else None


@dataclass(slots=True)
class Bin:
    """One second of arrivals, and of load."""

    priority_weight: PriorityWeight = field(default_factory=PriorityWeight)
    classes: dict[str, PriorityWeight] = field(default_factory=dict)
    endings: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    busy: list[float] = field(default_factory=list)  # of each worker, share of its cores


class Tally:
    """Counts as the scenario goes."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.bins: list[Bin] = [Bin() for _ in range(int(-(-scenario.length // BIN)))]
        self.classes = {c.cls.name: PriorityWeight() for c in scenario.classes}
        self.tenants = {t.name: PriorityWeight() for t in scenario.tenants}  # within its share
        self.endings: dict[str, Counter[str]] = {c.cls.name: Counter() for c in scenario.classes}
        self.latencies = {c.cls.name: HdrHistogram(1, 3_600_000_000, 3) for c in scenario.classes}  # us
        self.requests = self.tries = self.retries = self.attempts = self.connections = self.probes = 0
        self.core_ms = self.useful_ms = 0.0
        self.work_asked = self.late_weight = 0.0
        self.lost: list[
            tuple[float, int, str, str, float]
        ] = []  # a heap of those that lost most priority weight

    def bin(self, request: Request) -> Bin:
        """Find the second in which a request came."""
        return self.bins[min(len(self.bins) - 1, int(request.arrived_at // BIN))]

    def count_request(self, request: Request) -> None:
        """Count a request."""
        self.requests += 1
        self.work_asked += request.work * request.slots
        at, name = self.bin(request), request.load.cls.name
        at.requests += 1
        at.priority_weight.requested += request.priority_weight
        at.classes.setdefault(name, PriorityWeight()).requested += request.priority_weight
        self.classes[name].requested += request.priority_weight
        if request.tenant is not None and request.within_quota:
            self.tenants[request.tenant].requested += request.priority_weight

    def ended(self, request: Request, at: float) -> None:
        """Count how a request ended."""
        ending, name = request.ended or "", request.load.cls.name
        self.endings[name][ending] += 1
        here = self.bin(request)
        here.endings[ending] += 1
        if ending in ("served", "late"):
            self.latencies[name].record_value(max(1, round((at - request.arrived_at) * 1000)))
        elif ending != "left" and at > request.latency_objective_at:
            self.late_weight += request.priority_weight
        if ending != "served":
            entry = (request.priority_weight, request.number, name, ending, request.arrived_at)
            (heappush if len(self.lost) < MOST_LOST else heappushpop)(self.lost, entry)
        if ending == "served":
            here.priority_weight.earned += request.priority_weight
            here.classes[name].earned += request.priority_weight
            self.classes[name].earned += request.priority_weight
            if request.tenant is not None and request.within_quota:
                self.tenants[request.tenant].earned += request.priority_weight

    def core_time(self, task: Task) -> None:
        """Book the core time of a task that is over."""
        self.core_ms += task.core_time

    def useful(self, attempt: ServedAttempt) -> None:
        """Book the core time of the attempt that served."""
        if attempt.task is not None:
            self.useful_ms += attempt.task.core_time

    def sample(self, busy: list[float], at: float) -> None:
        """Note the load of the workers over the last second."""
        n = int(at // BIN) - 1
        if 0 <= n < len(self.bins):
            self.bins[n].busy = busy


def worst_stretch(bins: list[Bin], length: int = WORST) -> tuple[float | None, int]:
    """Find the worst service of so many seconds together, and where it begins."""
    worst, at = None, 0
    for n in range(max(1, len(bins) - length + 1)):
        part = bins[n : n + length]
        requested = sum(b.priority_weight.requested for b in part)
        if requested > 0:
            service = sum(b.priority_weight.earned for b in part) / requested
            if worst is None or service < worst:
                worst, at = service, n
    return worst, at


def rounded(value: float | None, digits: int = 6) -> float | None:
    """Round for a file: the last bits say nothing."""
    return None if value is None else round(value, digits)


class HostFigures(Protocol):
    """What the figures read of a worker host."""

    model: CardWorker
    kind: Kind


class PlayedScenario(Protocol):
    """What the figures read of a scenario that has been played."""

    scenario: Scenario
    seed: int
    tally: Tally
    audit: Auditor
    log: CountingLog
    struck: dict[int, list[str]]

    @property
    def worker_hosts(self) -> Mapping[str, HostFigures]:
        """The worker hosts by name."""


def figures_of(world: PlayedScenario) -> dict[str, Any]:
    """Give the figures as plain data, in a fixed order."""
    scenario, tally, audit = world.scenario, world.tally, world.audit
    requested = sum(w.requested for w in tally.classes.values())
    earned = sum(w.earned for w in tally.classes.values())
    whole = earned / requested if requested else None
    worst, worst_at = worst_stretch(tally.bins)
    by_class = [w.service for w in tally.classes.values() if w.service is not None]
    by_tenant = [w.service for w in tally.tenants.values() if w.service is not None]
    goal = scenario.goal
    wasted = max(0.0, tally.core_ms - tally.useful_ms)
    first_tries = max(1, tally.requests)
    # Work at the fleet's mean speed, so that it compares with the work asked for.
    speed = sum(m.model.speed * m.kind.cores for m in world.worker_hosts.values()) / sum(
        m.kind.cores for m in world.worker_hosts.values()
    )
    prices = {
        "waste": goal.price_waste * wasted * speed / max(1e-9, tally.work_asked),
        "connections": goal.price_connection * tally.connections / first_tries,
        "late failures": goal.price_late_failure * tally.late_weight / max(1e-9, requested),
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
    cores = sum(m.model.ledger.total for m in world.worker_hosts.values())
    book = {
        name: sum(getattr(m.model.ledger, name) for m in world.worker_hosts.values())
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
            "worst_10_s_from": worst_at,
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
        "core_time": {name: rounded(value / cores if cores else 0.0) for name, value in book.items()},
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
            window(tally.bins[n : n + WINDOW], n, scenario.workers) for n in range(0, len(tally.bins), WINDOW)
        ],
        "most_lost": [
            {
                "request": number,
                "class": name,
                "ending": ending,
                "at_s": rounded(at / 1000, 3),
                "share_of_worth": rounded(priority_weight / requested),
            }
            for priority_weight, number, name, ending, at in sorted(
                tally.lost, key=lambda row: (-row[0], row[1])
            )
        ],
        "troubles": [
            {"kind": t.kind, "at_s": t.at / 1000, "for_s": t.length / 1000, "struck": world.struck.get(n, [])}
            for n, t in enumerate(scenario.faults)
        ],
        "log": {code: world.log.codes[code] for code in sorted(world.log.codes)},
        "rules": {
            "broken": audit.count,
            "first": [
                {
                    "rule": b.rule,
                    "at_s": rounded(b.at / 1000),
                    "what": b.what,
                    "request": b.request,
                    "history": list(b.history),
                }
                for b in audit.broken[:20]
            ],
        },
    }


def window(bins: list[Bin], at: int, workers: tuple[Worker, ...]) -> dict[str, Any]:
    """Give one window of a few seconds."""
    requested, earned = (
        sum(b.priority_weight.requested for b in bins),
        sum(b.priority_weight.earned for b in bins),
    )
    endings: Counter[str] = Counter()
    classes: dict[str, PriorityWeight] = {}
    for b in bins:
        endings.update(b.endings)
        for name, priority_weight in b.classes.items():
            there = classes.setdefault(name, PriorityWeight())
            there.requested += priority_weight.requested
            there.earned += priority_weight.earned
    busy = [b.busy for b in bins if b.busy]
    kinds: dict[str, list[float]] = {}
    for w, row in zip(workers, zip(*busy, strict=True), strict=False):
        kinds.setdefault(w.kind, []).append(sum(row) / len(row))
    return {
        "from_s": at,
        "requests": sum(b.requests for b in bins),
        "service": rounded(earned / requested) if requested else None,
        "classes": {name: rounded(classes[name].service) for name in sorted(classes)},
        "endings": {name: endings[name] for name in ENDINGS if endings[name]},
        "busy": {kind: rounded(sum(rows) / len(rows), 4) for kind, rows in sorted(kinds.items())},
    }
