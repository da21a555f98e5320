"""A scenario on loopback sockets in real time: simulated workers and list around real dispatchers."""

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
    DispatcherClient,
    ListConnection,
    ProtocolFactory,
    RealTime,
    SocketAttempt,
    SocketJob,
    WorkerConnection,
)
from elderstall.simulation.worker import Task
from elderstall.simulation.worker_host import WorkerHost

HOST = "127.0.0.1"
# These strike clients or dispatchers, which are real here.
UNSUPPORTED_FAULTS = ("burst", "heavy-tail", "dispatcher-restart")
INFO_SLOTS = (
    "cores_needed",
    "slots",
)  # keys of X-Call-Info with the slots of a job; the first present applies


class ExecutionCounts:
    """Counts the executions of each job; takes the place of the auditor and of the tally."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()  # by request id
        self.unsafe: set[str] = set()  # request ids of classes that are not idempotent
        self.fallen: list[str] = []
        self.core_ms = 0.0

    def started(self, attempt: SocketAttempt) -> None:
        """Count an execution."""
        self.runs[attempt.request_id] += 1
        if not attempt.job.safe:
            self.unsafe.add(attempt.request_id)

    def is_informed(self, process: object, worker_host: object) -> bool:
        """Return True: dispatchers run outside this process, so what they know of a worker is unknown."""
        return True

    def cold_worker_overloaded(self, worker_host: WorkerHost) -> None:
        """Record a worker that was brought down by overload."""
        self.fallen.append(worker_host.name)

    def core_time(self, task: Task) -> None:
        """Add the core time of a finished task."""
        self.core_ms += task.core_time


class SocketWorkerHost(WorkerHost):
    """A worker host that listens on one port for each dispatcher, all of them served by one worker model."""

    def __init__(self, platform: SimulatedPlatform, spec: Worker, kind: Kind, speed: float) -> None:
        self.platform = platform
        self.attempts: dict[str, SocketAttempt] = {}
        self.ports: dict[DispatcherClient, Any] = {}
        self.port_numbers: dict[DispatcherClient, int] = {}
        # Results of closing ports, which cannot be bound again before they are closed.
        self.closing_ports: list[Deferred[object]] = []
        super().__init__(cast(Any, platform), spec, kind, speed)

    def listen(self) -> None:
        """Listen, on the same ports as before if there were any."""
        for dispatcher in self.platform.dispatcher_clients:
            if dispatcher in self.ports:
                continue  # an unreachable worker host keeps its ports open and ignores what arrives
            factory = ProtocolFactory(lambda dispatcher=dispatcher: WorkerConnection(self, dispatcher))  # type: ignore[misc]
            port = self.platform.reactor.listenTCP(
                self.port_numbers.get(dispatcher, 0), factory, interface=HOST
            )
            self.ports[dispatcher] = port
            self.port_numbers[dispatcher] = port.getHost().port

    def stop_listening(self) -> None:
        """Stop listening, so that connections are refused as by a process that has ended."""
        self.closing_ports += [maybeDeferred(port.stopListening) for port in self.ports.values()]
        self.ports.clear()

    def die(self) -> None:
        """End the worker's process."""
        super().die()
        self.attempts.clear()
        if not self.silent_faults:
            self.stop_listening()

    def crash_on_overload(self) -> None:
        """Stop listening after the worker was brought down by overload."""
        super().crash_on_overload()
        self.stop_listening()

    def start(self, cold_share: float | None = None) -> None:
        """Start a new process, which listens once the former ports are closed."""
        closing_ports, self.closing_ports = self.closing_ports, []
        gatherResults(closing_ports).addCallback(lambda _: self.listen() if self.model.up else None)
        super().start(cold_share)

    def cancel(self, attempt: Any) -> None:
        """Cancel an attempt and forget it; a task that runs on has nobody to report to."""
        super().cancel(attempt)
        request_id: str = attempt.request_id
        if self.attempts.get(request_id) is attempt:
            del self.attempts[request_id]

    def load_json(self, report: tuple[float, ...]) -> dict[str, float]:
        """Return a load report by the names of its fields."""
        return dict(zip(self.world.scenario.reports.fields, report, strict=False))


class SimulatedPlatform:
    """Everything except dispatchers and clients; the world of the worker hosts, the faults and the list."""

    def __init__(
        self,
        scenario: Scenario,
        reactor: Any,
        seconds: Callable[[], float],
        unix_ms: float,
        dispatchers: list[tuple[str, int]],
        seed: int | None = None,
    ) -> None:
        self.scenario = scenario
        self.reactor = reactor
        self.seed = scenario.seed if seed is None else seed
        self.loop = RealTime(reactor, seconds)
        self.draws = Draws(self.seed)
        self.epoch = unix_ms
        self.audit = self.tally = self.execution_counts = ExecutionCounts()
        self.cut: Counter[tuple[int, str]] = Counter()
        self.struck: dict[int, list[str]] = {}
        self.absent: set[str] = set()
        self.connection_count = 0
        self.classes = {c.cls.name: c for c in scenario.classes}
        self.work_draws = {
            c.cls.name: self.draws.work(c.distribution, c.work, c.spread, "work", c.cls.name)
            for c in scenario.classes
        }
        self.dispatcher_clients = [
            DispatcherClient(self, rank, host, port) for rank, (host, port) in enumerate(dispatchers)
        ]
        self.dispatcher_hosts: list[Any] = []
        kinds = {kind.name: kind for kind in scenario.kinds}
        self.worker_hosts: dict[str, SocketWorkerHost] = {}
        for spec in scenario.workers:
            kind = kinds[spec.kind]
            drawn = next(self.draws.lognormal_factors(kind.speed_spread, "speed", spec.name)) * kind.speed
            self.worker_hosts[spec.name] = SocketWorkerHost(self, spec, kind, spec.speed or drawn)
        self.listing = ListService(cast(Any, self), scenario.listing, self.draws.uniform("list"))
        self.list_ports: dict[DispatcherClient, Any] = {}
        self.unsupported_faults = [
            fault.kind for fault in scenario.faults if fault.kind in UNSUPPORTED_FAULTS
        ]

    def begin(self) -> None:
        """Make the workers and the list listen, and schedule the faults that can be simulated here."""
        faults = Faults(cast(Any, self))
        for number, fault in enumerate(self.scenario.faults):
            if fault.kind not in UNSUPPORTED_FAULTS:
                faults.handlers[fault.kind](fault, number)
        for name, worker_host in self.worker_hosts.items():
            if name in self.absent:
                worker_host.listen()  # so that its ports are known from the start
                worker_host.stop_listening()
                worker_host.model.die(self.loop.now)
            else:
                worker_host.listen()
        self.listing.begin(list(self.worker_hosts.values()))
        for dispatcher in self.dispatcher_clients:
            factory = ProtocolFactory(lambda dispatcher=dispatcher: ListConnection(self, dispatcher))  # type: ignore[misc]
            self.list_ports[dispatcher] = self.reactor.listenTCP(0, factory, interface=HOST)

    def close(self) -> None:
        """Stop listening, and drop every connection."""
        for worker_host in self.worker_hosts.values():
            worker_host.stop_listening()
            for link in list(worker_host.links):
                link.close()
        for port in self.list_ports.values():
            port.stopListening()
        for dispatcher in self.dispatcher_clients:
            if dispatcher.link is not None:
                dispatcher.link.transport.abortConnection()

    # ---- the world of worker hosts, faults and list ----

    def reaches(self, dispatcher: DispatcherClient, worker_host: WorkerHost) -> bool:
        """Return whether a dispatcher and a worker host reach each other."""
        return not worker_host.silent_faults and self.cut[dispatcher.rank, worker_host.name] <= 0

    def next_connection_number(self) -> int:
        """Return the number of a new connection."""
        self.connection_count += 1
        return self.connection_count

    def addresses(self, dispatcher: DispatcherClient) -> dict[str, str]:
        """Return the workers' addresses for one dispatcher, by name."""
        return {name: f"{HOST}:{host.port_numbers[dispatcher]}" for name, host in self.worker_hosts.items()}

    def job_from_request(self, class_load: ClassLoad, message: http.Message) -> SocketJob:
        """Return a job, its work given by the hint or drawn. Raises ValueError for a malformed hint."""
        cost = message.headers.get("X-Call-Cost")
        work = float(cost) / 1000 if cost else next(self.work_draws[class_load.cls.name])
        info = dict(
            field.strip().partition("=")[::2]
            for field in (message.headers.get("X-Call-Info") or "").split(",")
            if field.strip()
        )
        slots = next((int(float(info[name])) for name in INFO_SLOTS if name in info), 1)
        if not 0 <= work < 1e9 or not 1 <= slots < 1_000:
            raise ValueError("work or slots out of range")
        return SocketJob(class_load, min(work, class_load.longest), slots)

    def expiry_of(self, message: http.Message) -> float:
        """Return when the sender stops waiting (ms). Raises ValueError where the budget is not a number."""
        budget = message.headers.get("X-Budget-Ms")
        return self.loop.now + float(budget) if budget else float("inf")

    # ---- configuration of dispatchers ----

    def dispatcher_config(self, dispatcher: DispatcherClient) -> dict[str, Any]:
        """Return the configuration that a dispatcher is started with."""
        scenario = self.scenario
        rules = self.scenario.rules
        reports = self.scenario.reports
        free_slots_field = {f"report_{reports.free_slots}": "free slots"}
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
            "balancers": len(self.dispatcher_clients),
            "rank": dispatcher.rank,
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
                **free_slots_field,
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
        port = self.list_ports[dispatcher].getHost().port
        return {
            "name": f"n{dispatcher.rank + 1}",
            "listen": f"{dispatcher.host}:{dispatcher.port}",
            "discovery": f"{HOST}:{port}",
            "seed": f"{self.draws.number('module', str(dispatcher.rank)):x}",
            "known": encode_list(self.listing.version, entries, self.addresses(dispatcher)),
            "settings": settings,
        }

    def write(self, folder: Path) -> list[Path]:
        """Write a configuration for each dispatcher, and return the files."""
        folder.mkdir(parents=True, exist_ok=True)
        paths = []
        for dispatcher in self.dispatcher_clients:
            path = folder / f"n{dispatcher.rank + 1}.json"
            write_text_atomically(path, json.dumps(self.dispatcher_config(dispatcher), indent=1) + "\n")
            paths.append(path)
        return paths

    def figures(self) -> dict[str, Any]:
        """Return the numbers of executions and call-backs."""
        runs = self.execution_counts.runs
        unsafe = self.execution_counts.unsafe
        repeated = sorted(request_id for request_id, executions in runs.items() if executions > 1)
        return {
            "jobs": len(runs),
            "runs": sum(runs.values()),
            "repeated": len(repeated),
            "broken": [request_id for request_id in repeated if request_id in unsafe],
            "fallen": self.execution_counts.fallen,
            "core_s": round(self.execution_counts.core_ms / 1000, 3),
            "call_backs": {
                f"n{dispatcher.rank + 1}": {
                    "delivered": dispatcher.delivered,
                    "failed": dispatcher.failed,
                    "dropped": dispatcher.dropped,
                }
                for dispatcher in self.dispatcher_clients
            },
        }
