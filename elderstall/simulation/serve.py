"""A scenario on loopback sockets in real time: stand-in workers, the list, call-backs to real dispatchers."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

from twisted.internet.defer import Deferred, gatherResults, maybeDeferred

from elderstall.atomic_file import write_text_atomically
from elderstall.net import http
from elderstall.net.discovery import encode_list
from elderstall.simulation.draws import Draws
from elderstall.simulation.faults import Faults
from elderstall.simulation.listing import ListService
from elderstall.simulation.scenario import ClassLoad, Kind, Scenario, Worker
from elderstall.simulation.sockets import (
    Caller,
    Factories,
    ListLink,
    RealTime,
    SocketAttempt,
    SocketJob,
    WorkerLink,
)
from elderstall.simulation.worker import Task
from elderstall.simulation.worker_host import WorkerHost

HOST = "127.0.0.1"
ELSEWHERE = ("burst", "heavy-tail", "dispatcher-restart")  # faults of those who are real here
INFO_SLOTS = ("cores_needed", "slots")


class Books:
    """Counts what ran, for whoever wants to know after a trial: the auditor's and the tally's place."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()  # by client's id
        self.unsafe: set[str] = set()  # those of classes that must not repeat
        self.fallen: list[str] = []
        self.core_ms = 0.0

    def started(self, attempt: SocketAttempt) -> None:
        """Count a run."""
        self.runs[attempt.request_id] += 1
        if not attempt.job.safe:
            self.unsafe.add(attempt.request_id)

    def is_informed(self, process: object, worker_host: object) -> bool:
        """Who knew of a start is not known here."""
        return True

    def cold_worker_overloaded(self, worker_host: WorkerHost) -> None:
        """Note a worker that was pushed over."""
        self.fallen.append(worker_host.name)

    def core_time(self, task: Task) -> None:
        """Book core time."""
        self.core_ms += task.core_time


class SocketWorkerHost(WorkerHost):
    """A worker host whose process listens: one port for each dispatcher, all leading to one model."""

    def __init__(self, stage: Stage, spec: Worker, kind: Kind, speed: float) -> None:
        self.stage = stage
        self.attempts: dict[str, SocketAttempt] = {}
        self.ports: dict[Caller, Any] = {}
        self.numbers: dict[Caller, int] = {}
        self.closing: list[Deferred[object]] = []  # ports on their way out: the same can't be had before
        super().__init__(cast(Any, stage), spec, kind, speed)

    def listen(self) -> None:
        """Listen, at the same ports as before if there were any."""
        for caller in self.stage.callers:
            if caller in self.ports:
                continue  # a worker host that said nothing for a while went on listening
            factory = Factories(lambda caller=caller: WorkerLink(self, caller))  # type: ignore[misc]
            port = self.stage.reactor.listenTCP(self.numbers.get(caller, 0), factory, interface=HOST)
            self.ports[caller], self.numbers[caller] = port, port.getHost().port

    def hush(self) -> None:
        """Listen no more: connections are refused, as a process that is gone does."""
        self.closing += [maybeDeferred(port.stopListening) for port in self.ports.values()]
        self.ports.clear()

    def die(self) -> None:
        """Lose the process."""
        super().die()
        self.attempts.clear()
        if not self.silent_faults:
            self.hush()

    def crash_on_overload(self) -> None:
        """Stay down after a fall."""
        super().crash_on_overload()
        self.hush()

    def start(self, cold_share: float | None = None) -> None:
        """Start a new process."""
        closing, self.closing = self.closing, []
        gatherResults(closing).addCallback(lambda _: self.listen() if self.model.up else None)
        super().start(cold_share)

    def cancel(self, attempt: Any) -> None:
        """Hear that an attempt is given up; what runs on has nobody to report to, and is forgotten here."""
        super().cancel(attempt)
        request_id: str = attempt.request_id
        if self.attempts.get(request_id) is attempt:
            del self.attempts[request_id]

    def load_json(self, report: tuple[float, ...]) -> dict[str, float]:
        """Write a load report with its fields' names."""
        return dict(zip(self.world.scenario.reports.fields, report, strict=False))


class Stage:
    """Everything but dispatchers and clients; what worker hosts, faults and the list ask of their world."""

    def __init__(
        self,
        scenario: Scenario,
        reactor: Any,
        seconds: Callable[[], float],
        unix_ms: float,
        dispatchers: list[tuple[str, int]],
        seed: int | None = None,
    ) -> None:
        self.scenario, self.reactor = scenario, reactor
        self.seed = scenario.seed if seed is None else seed
        self.loop, self.draws, self.epoch = RealTime(reactor, seconds), Draws(self.seed), unix_ms
        self.audit = self.tally = self.books = Books()
        self.cut: Counter[tuple[int, str]] = Counter()
        self.struck: dict[int, list[str]] = {}
        self.absent: set[str] = set()
        self.links = 0
        self.classes = {c.cls.name: c for c in scenario.classes}
        self.works = {
            c.cls.name: self.draws.work(c.distribution, c.work, c.spread, "work", c.cls.name)
            for c in scenario.classes
        }
        self.callers = [Caller(self, rank, host, port) for rank, (host, port) in enumerate(dispatchers)]
        self.dispatcher_hosts: list[Any] = []
        kinds = {kind.name: kind for kind in scenario.kinds}
        self.worker_hosts: dict[str, SocketWorkerHost] = {}
        for spec in scenario.workers:
            kind = kinds[spec.kind]
            drawn = next(self.draws.lognormal_factors(kind.speed_spread, "speed", spec.name)) * kind.speed
            self.worker_hosts[spec.name] = SocketWorkerHost(self, spec, kind, spec.speed or drawn)
        self.listing = ListService(cast(Any, self), scenario.listing, self.draws.uniform("list"))
        self.lists: dict[Caller, Any] = {}
        self.left_out = [t.kind for t in scenario.faults if t.kind in ELSEWHERE]

    def begin(self) -> None:
        """Listen everywhere, and plan the faults that strike what stands here."""
        faults = Faults(cast(Any, self))
        for n, fault in enumerate(self.scenario.faults):
            if fault.kind not in ELSEWHERE:
                faults.handlers[fault.kind](fault, n)
        for name, worker_host in self.worker_hosts.items():
            if name in self.absent:
                worker_host.listen()  # its ports are known from the first
                worker_host.hush()
                worker_host.model.die(self.loop.now)
            else:
                worker_host.listen()
        self.listing.begin(list(self.worker_hosts.values()))
        for caller in self.callers:
            factory = Factories(lambda caller=caller: ListLink(self, caller))  # type: ignore[misc]
            self.lists[caller] = self.reactor.listenTCP(0, factory, interface=HOST)

    def close(self) -> None:
        """Listen no more, and drop every connection."""
        for worker_host in self.worker_hosts.values():
            worker_host.hush()
            for link in list(worker_host.links):
                link.close()
        for port in self.lists.values():
            port.stopListening()
        for caller in self.callers:
            if caller.link is not None:
                caller.link.transport.abortConnection()

    # ---- what is asked of a world ----

    def reaches(self, caller: Caller, worker_host: WorkerHost) -> bool:
        """Say whether anything said between a dispatcher and a worker host arrives."""
        return not worker_host.silent_faults and self.cut[caller.rank, worker_host.name] <= 0

    def count(self) -> int:
        """Give a new connection its number."""
        self.links += 1
        return self.links

    def addresses(self, caller: Caller) -> dict[str, str]:
        """Give the workers' addresses as one dispatcher reaches them."""
        return {name: f"{HOST}:{host.numbers[caller]}" for name, host in self.worker_hosts.items()}

    def job(self, load: ClassLoad, message: http.Message) -> SocketJob:
        """Work out what a job costs: by its hint, or drawn. Raises ValueError where the hint is no number."""
        cost = message.headers.get("X-Call-Cost")
        work = float(cost) / 1000 if cost else next(self.works[load.cls.name])
        pairs = dict(
            part.strip().partition("=")[::2]
            for part in (message.headers.get("X-Call-Info") or "").split(",")
            if part.strip()
        )
        slots = next((int(float(pairs[name])) for name in INFO_SLOTS if name in pairs), 1)
        if not 0 <= work < 1e9 or not 1 <= slots < 1_000:
            raise ValueError("out of range")
        return SocketJob(load, min(work, load.longest), slots)

    def ends(self, message: http.Message) -> float:
        """Say when its sender stops waiting. Raises ValueError where the budget is no number."""
        budget = message.headers.get("X-Budget-Ms")
        return self.loop.now + float(budget) if budget else float("inf")

    # ---- for a dispatcher's start ----

    def platform(self, caller: Caller) -> dict[str, Any]:
        """Give the object that a dispatcher is started with, as the platform would."""
        scenario, rules, reports = self.scenario, self.scenario.rules, self.scenario.reports
        free = {f"report_{reports.free_slots}": "free slots"}
        settings = {
            "classes": [
                {
                    "name": c.cls.name,
                    "points": c.cls.priority_weight,
                    "aim": c.cls.latency_objective,
                    "deadline": c.cls.deadline,
                    "effect": c.cls.effect.value,
                }
                for c in scenario.classes
            ],
            "balancers": len(self.callers),
            "rank": caller.rank,
            "locality": scenario.workers[0].zone,
            "projects": [
                {"name": t.name, "portion": t.share, "quota_per_s": t.quota} for t in scenario.tenants
            ],
            "discovery": "subscribe" if scenario.listing.must_ask else "automatic",
            "counted_by": "work" if rules.worth_by_work else "request",
            "over_share_worth": rules.over_share_worth,
            "tick": rules.tick,
            "skus": [kind.name for kind in scenario.kinds],
            "load_report": {"fields": list(reports.fields), "source": "piggyback"},
            "specifics": {
                "class_stretch": [c.cls.stretch for c in scenario.classes],
                "tells_start": reports.starts_told,
                **free,
            },
            "rules": {
                "answer_slack": rules.slack,
                "stop_sending_within": rules.drain_grace,
                "ask_within": rules.ask_within,
                "cold_share": rules.cold_share,
                "cold": rules.cold_for,
                "fall_multiple": rules.push_multiple,
                "overload_for": rules.push_window,
            },
            "limits": {
                "conn_idle": scenario.network.idle_close,
                "max_attempts": rules.max_attempts,
                "connect_timeout": scenario.network.connect_timeout,
                "max_open": rules.max_open,
                "cpu_us_per_s": rules.cpu_per_second,
                "cpu_us_per_request": rules.cpu_per_job,
            },
        }
        entries = tuple(self.listing.entries.values())
        port = self.lists[caller].getHost().port
        return {
            "name": f"n{caller.rank + 1}",
            "listen": f"{caller.host}:{caller.port}",
            "discovery": f"{HOST}:{port}",
            "seed": f"{self.draws.number('module', str(caller.rank)):x}",
            "known": encode_list(self.listing.version, entries, self.addresses(caller)),
            "settings": settings,
        }

    def write(self, folder: Path) -> list[Path]:
        """Write a configuration for each dispatcher; gives the files."""
        folder.mkdir(parents=True, exist_ok=True)
        paths = []
        for caller in self.callers:
            path = folder / f"n{caller.rank + 1}.json"
            write_text_atomically(path, json.dumps(self.platform(caller), indent=1) + "\n")
            paths.append(path)
        return paths

    def figures(self) -> dict[str, Any]:
        """Say what ran."""
        runs, unsafe = self.books.runs, self.books.unsafe
        repeated = sorted(request_id for request_id, n in runs.items() if n > 1)
        return {
            "jobs": len(runs),
            "runs": sum(runs.values()),
            "repeated": len(repeated),
            "broken": [request_id for request_id in repeated if request_id in unsafe],
            "fallen": self.books.fallen,
            "core_s": round(self.books.core_ms / 1000, 3),
            "call_backs": {
                f"n{c.rank + 1}": {"delivered": c.delivered, "failed": c.failed, "dropped": c.dropped}
                for c in self.callers
            },
        }
