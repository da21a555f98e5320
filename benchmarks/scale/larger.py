"""Resource usage of one dispatcher process as the fleet grows: equal traffic over 200 and 3,200 workers.

    python -m benchmarks.scale.larger [--case "same dispatchers"] [--seconds 25] [--rate 40]

The real program runs as a separate process. Discovery, workers and clients are stubs in this process, which
use only addresses of 127.0.0.0/8. Each second one worker leaves and one joins. A worker accepts every job and
ends it after its work; the load of other dispatchers is a fraction of its slots that it reports as used. The
limits at the larger size follow from the usage at the baseline size.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from zlib import crc32

import click
from rich.console import Console
from rich.table import Table

from benchmarks.scale.fleets import name_of
from elderstall.net import http

ROOT = Path(__file__).resolve().parents[2]
BASELINE_WORKERS = 200
SIZE_FACTOR = 16  # workers of the larger fleet, as a multiple of the baseline
FEW_DISPATCHERS = 12
SLOTS_PER_WORKER = 2
OTHER_LOAD_INTERVAL_S = 0.5  # time between changes of the slots that other dispatchers use
HEARTBEAT_INTERVAL_S = 2.0  # time between empty lines of a watch
SAMPLE_INTERVAL_S = 0.25  # time between samples of the open descriptors
READY_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 20.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CLASSES = [
    {"name": "short", "points": 2, "aim": 400, "deadline": 5000, "effect": "safe"},
    {"name": "long", "points": 5, "aim": 900, "deadline": 15000, "effect": "unsafe"},
    {"name": "urgent", "points": 10, "aim": 500, "deadline": 4500, "effect": "unsafe"},
]
REPORT_FIELDS = ("qps", "util", "x0")  # x0: free slots
MEAN_WORK_MS = {"short": 80.0, "long": 200.0, "urgent": 50.0}
CLASS_WEIGHTS = {"short": 6, "long": 3, "urgent": 1}
RULES = {
    "answer_slack": 8,
    "stop_sending_within": 2000,
    "ask_within": 10_000,
    "cold_share": 0.42,
    "cold": 9000,
    "fall_multiple": 4,
    "overload_for": 2000,
}


@dataclass(frozen=True, slots=True)
class Run:
    """Parameters of one run of the program."""

    workers: int
    dispatchers: int
    seconds: float = 25.0
    rate: float = 40.0  # jobs a second
    polling_allowed: bool = True  # by the settings
    has_reports: bool = True  # workers report their free slots
    work_factor: float = 1.0  # multiplies the mean work of each class
    busy_fraction: float = 0.0  # of the workers' slots, used by other dispatchers
    seed: int = 5


@dataclass(slots=True)
class Usage:
    """Resources that the program used, and jobs that it served."""

    cpu: float = 0.0  # s
    memory: float = 0.0  # MB, peak
    descriptors: int = 0  # peak
    connections: int = 0  # made to workers
    list_bytes: int = 0
    questions: int = 0
    attempts: int = 0
    jobs: int = 0
    served: int = 0
    workers_reached: int = 0  # distinct workers that the program connected to

    @property
    def share(self) -> float:
        """Return the fraction of jobs that were served."""
        return self.served / max(1, self.jobs)


def limits_from(baseline: Usage, workers: int) -> dict[str, float]:
    """Return maximum usage with so many workers; for ``share``, the minimum."""
    thousands = workers / 1000
    return {
        "cpu": 1.4 * baseline.cpu + 0.02 + 0.12 * thousands,
        "memory": 1.5 * baseline.memory + 8 + 4 * thousands,
        "descriptors": 2 * baseline.descriptors + 40,
        "connections": 2.5 * baseline.connections + 40,
        "list_bytes": 2 * baseline.list_bytes + 64e3 + 500e3 * thousands,
        "share": 0.85 * baseline.share,
    }


class ServerConnection(asyncio.Protocol):
    """An accepted connection that passes each complete request to a handler."""

    def __init__(self, on_request: Callable[[ServerConnection, http.Message], None]) -> None:
        self.on_request = on_request
        self.parser = http.Parser(max_body=1 << 20)
        self.message = http.Message((0, 0), http.Headers())

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (event := self.parser.next()) is not None:
            if isinstance(event, http.Head):
                self.message = event.message
            elif isinstance(event, http.End):
                self.on_request(self, self.message)

    def answer(self, data: bytes) -> None:
        """Write bytes, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)


class ClientConnection(asyncio.Protocol):
    """A connection to the program with at most one request in progress."""

    def __init__(self) -> None:
        self.parser = http.Parser(responses=True, max_body=1 << 20)
        self.status = 0
        self.pending: asyncio.Future[int] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (event := self.parser.next()) is not None:
            if isinstance(event, http.Head):
                self.status = event.message.status
            elif isinstance(event, http.End):
                self.complete(self.status)

    def connection_lost(self, exc: Exception | None) -> None:
        self.complete(0)

    def complete(self, status: int) -> None:
        """Complete the request in progress with a status, 0 for no answer."""
        pending, self.pending = self.pending, None
        if pending is not None and not pending.done():
            pending.set_result(status)


class ConnectionPool:
    """Reusable connections to the program."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.free = list[ClientConnection]()

    async def call(self, request: bytes) -> int:
        """Send a request; return the status of the answer, 0 for none."""
        loop = asyncio.get_running_loop()
        while self.free and self.free[-1].transport.is_closing():
            self.free.pop()
        if self.free:
            connection = self.free.pop()
        else:
            _, connection = await loop.create_connection(ClientConnection, *self.address)
        connection.pending = pending = loop.create_future()
        connection.transport.write(request)
        status: int = await pending
        self.free.append(connection)
        return status

    def close(self) -> None:
        """Close the connections that are not in use."""
        for connection in self.free:
            connection.transport.abort()


@dataclass(slots=True)
class Worker:
    """A stub worker that accepts every job."""

    number: int
    address: str
    since_ms: float  # Unix time
    server: asyncio.Server
    running: int = 0
    reached: bool = False

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return name_of(self.number)

    def entry(self, status: str = "in_service") -> dict[str, Any]:
        """Return the worker's entry in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "z",
            "type": "box",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


@dataclass(slots=True)
class Environment:
    """Discovery and the workers, with counts of what the program sends to them."""

    run: Run
    usage: Usage
    workers: list[Worker] = field(default_factory=list)
    watches: list[ServerConnection] = field(default_factory=list)
    index: int = 41
    workers_created: int = 0
    callback_connections: ConnectionPool | None = None
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    discovery: asyncio.Server | None = None
    address: str = ""

    async def open(self) -> None:
        """Start discovery and the workers."""
        self.discovery, self.address = await self.listen(self.start_watch, "127.0.0.1")
        for _ in range(self.run.workers):
            self.workers.append(await self.new_worker(0.0))

    async def listen(
        self, on_request: Callable[[ServerConnection, http.Message], None], host: str
    ) -> tuple[asyncio.Server, str]:
        """Listen on a port assigned by the system; return the server and its address."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ServerConnection(on_request), host, 0)
        return server, f"{host}:{server.sockets[0].getsockname()[1]}"

    async def new_worker(self, since_ms: float) -> Worker:
        """Start a worker on an address of its own."""
        number, self.workers_created = self.workers_created, self.workers_created + 1
        host = f"127.1.{number >> 7}.{number % 128 + 1}"
        created: list[Worker] = []

        class Connection(ServerConnection):
            def connection_made(connection, transport: Any) -> None:  # noqa: N805
                ServerConnection.connection_made(connection, transport)
                self.usage.connections += 1
                self.usage.workers_reached += not created[0].reached
                created[0].reached = True

        def on_request(connection: ServerConnection, message: http.Message) -> None:
            self.handle_worker_request(created[0], connection, message)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Connection(on_request), host, 0)
        created.append(Worker(number, f"{host}:{server.sockets[0].getsockname()[1]}", since_ms, server))
        return created[0]

    def close(self) -> None:
        """Stop listening and cancel the jobs in progress."""
        for server in [self.discovery, *(worker.server for worker in self.workers)]:
            if server is not None:
                server.close()
        for task in self.tasks:
            task.cancel()

    # ---- discovery ----

    def whole_list(self) -> dict[str, Any]:
        """Return the whole endpoint list."""
        return {"index": self.index, "snapshot": True, "endpoints": [w.entry() for w in self.workers]}

    def start_watch(self, connection: ServerConnection, _: http.Message) -> None:
        """Start a watch with the whole list."""
        connection.answer(http.encode_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
        self.send_line(connection, self.whole_list())
        self.watches.append(connection)

    def send_line(self, connection: ServerConnection, value: dict[str, Any]) -> None:
        """Write one line of a watch."""
        line = json.dumps(value, separators=(",", ":")).encode() + b"\n"
        self.usage.list_bytes += len(line)
        connection.answer(http.chunk(line))

    def send_heartbeats(self) -> None:
        """Write an empty line on all watches."""
        for watch in self.watches:
            watch.answer(http.chunk(b"\n"))

    async def replace_one(self, rng: random.Random) -> None:
        """Replace a random worker by a new one and update the watches."""
        leaving = self.workers.pop(rng.randrange(len(self.workers)))
        joining = await self.new_worker(time.time() * 1000)
        self.workers.append(joining)
        self.index += 1
        entries = [leaving.entry("terminated"), joining.entry()]
        for watch in self.watches:
            self.send_line(watch, {"index": self.index, "snapshot": False, "endpoints": entries})
        leaving.server.close()

    # ---- workers ----

    def load_report(self, worker: Worker) -> dict[str, float]:
        """Return a worker's load report, with the slots that other dispatchers use at the moment."""
        interval = int(time.monotonic() / OTHER_LOAD_INTERVAL_S)
        chances = (
            crc32(f"{worker.number} {interval} {slot}".encode()) / 2**32 for slot in range(SLOTS_PER_WORKER)
        )
        used_by_others = sum(chance < self.run.busy_fraction for chance in chances)
        free = max(0, SLOTS_PER_WORKER - used_by_others - worker.running)
        return dict(zip(REPORT_FIELDS, (0.0, 0.0, float(free)), strict=True))

    def handle_worker_request(
        self, worker: Worker, connection: ServerConnection, message: http.Message
    ) -> None:
        """Answer a poll, a cancellation or a job that is sent to a worker."""
        if message.method == "GET":
            self.usage.questions += 1
            connection.answer(http.response(200, json.dumps(self.load_report(worker)).encode()))
        elif message.method == "DELETE":
            connection.answer(http.response(204))
        else:
            self.usage.attempts += 1
            connection.answer(http.response(202))
            task = asyncio.get_running_loop().create_task(self.run_job(worker, message))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def run_job(self, worker: Worker, message: http.Message) -> None:
        """Run a job and report its result to the call-back address."""
        worker.running += 1
        await asyncio.sleep(float(message.headers.get("X-Call-Cost") or 0) / 1e6)
        worker.running -= 1
        result = {
            "id": message.headers.get("X-Call-Id"),
            "from": worker.name,
            "state": "done",
            "result": "x",
            "load": self.load_report(worker),
        }
        assert self.callback_connections is not None
        await self.callback_connections.call(
            http.request("POST", "/callback", "x", (), json.dumps(result).encode())
        )


def config_object(run: Run, environment: Environment) -> dict[str, Any]:
    """Return the program's configuration as parsed JSON."""
    settings: dict[str, Any] = {
        "classes": CLASSES,
        "balancers": run.dispatchers,
        "rank": 7 % run.dispatchers,
        "discovery": "subscribe",
        "rules": RULES,
        "tick": 2.0,
        "locality": "z",
        "projects": [],
        "counted_by": "work",
        "limits": {
            "conn_idle": 10_000,
            "connect_timeout": 250,
            "max_attempts": 5,
            "max_open": 500,
            "probes": run.polling_allowed,
        },
    }
    if run.has_reports:
        settings["load_report"] = {"fields": list(REPORT_FIELDS)}
        settings["specifics"] = {"report_x0": "free slots"}
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": environment.address,
        "seed": "5",
        "known": environment.whole_list(),
        "settings": settings,
        "limits": {"sockets": 1_024},
    }


class Process:
    """The program's process, and its resource usage as counted by the system."""

    def __init__(self, folder: Path, config: dict[str, Any], profile: Path | None = None) -> None:
        config_path = folder / "config.json"
        config_path.write_text(json.dumps(config))
        env = {**os.environ, "RELAY_CONFIG": str(config_path), "TMPDIR": str(folder)}
        profiler = [] if profile is None else ["-m", "cProfile", "-o", str(profile)]
        command = [sys.executable, *profiler, "-m", "elderstall"]
        self.log = folder / "log"
        with self.log.open("wb") as log:
            self.program = subprocess.Popen(command, cwd=ROOT, env=env, stderr=log)
        self.proc_folder = Path("/proc", str(self.program.pid))
        self.descriptors = 0

    async def ready(self) -> tuple[str, int]:
        """Wait until the program logs the address that it listens on; return the address."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline and self.program.poll() is None:
            for line in self.log.read_text().splitlines():
                if line.split()[1:2] == ["start"]:
                    host, _, port = line.split()[-1].rpartition(":")
                    return host, int(port)
            await asyncio.sleep(0.02)
        raise RuntimeError(f"the program did not become ready; end of its log: {self.log.read_text()[-500:]}")

    def sample_descriptors(self) -> None:
        """Update the peak number of open descriptors."""
        self.descriptors = max(self.descriptors, sum(1 for _ in (self.proc_folder / "fd").iterdir()))

    def read_usage(self, usage: Usage) -> None:
        """Store the resources that the process has used so far."""
        fields = (self.proc_folder / "stat").read_text().rpartition(")")[2].split()
        status = dict(line.split(":", 1) for line in (self.proc_folder / "status").read_text().splitlines())
        usage.cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        usage.memory = float(status["VmHWM"].split()[0]) / 1024
        usage.descriptors = self.descriptors

    def stop(self, graceful: bool = False) -> None:
        """Stop the process."""
        if graceful:  # the profiler writes its file at exit
            self.program.send_signal(signal.SIGTERM)
            self.program.wait(ANSWER_TIMEOUT_S)
        else:
            self.program.kill()
            self.program.wait()


async def repeat(interval_s: float, action: Callable[[], Any]) -> None:
    """Call an action at a fixed interval until cancelled."""
    while True:
        await asyncio.sleep(interval_s)
        result = action()
        if asyncio.iscoroutine(result):
            await result


async def send_jobs(run: Run, usage: Usage, clients: ConnectionPool, rng: random.Random) -> None:
    """Send the clients' jobs at random times, and wait for the answers."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    at = 0.0
    names = list(CLASS_WEIGHTS)
    jobs: list[asyncio.Task[int]] = []
    while (at := at + rng.expovariate(run.rate)) < run.seconds:
        name = rng.choices(names, list(CLASS_WEIGHTS.values()))[0]
        work = run.work_factor * rng.expovariate(1 / MEAN_WORK_MS[name])
        fields = [
            ("X-Call-Id", f"job-{len(jobs)}"),
            ("X-Call-Class", name),
            ("X-Budget-Ms", "4500"),
            ("X-Call-Cost", f"{work * 1000:.0f}"),
        ]
        await asyncio.sleep(max(0.0, started_at + at - loop.time()))
        jobs.append(loop.create_task(clients.call(http.request("POST", f"/{name}", "x", fields, b"body"))))
    statuses = await asyncio.wait_for(asyncio.gather(*jobs), ANSWER_TIMEOUT_S)
    usage.jobs = len(statuses)
    usage.served = statuses.count(200)


async def run_once(run: Run, profile: Path | None = None) -> Usage:
    """Run the program under the load of a run; return its usage."""
    usage = Usage()
    rng = random.Random(run.seed)
    churn_rng = random.Random(run.seed + 1)
    environment = Environment(run, usage)
    await environment.open()
    tasks: list[asyncio.Task[None]] = []
    with TemporaryDirectory() as folder:
        process = Process(Path(folder), config_object(run, environment), profile)
        try:
            address = await process.ready()
            environment.callback_connections = ConnectionPool(address)
            clients = ConnectionPool(address)
            loop = asyncio.get_running_loop()
            tasks = [
                loop.create_task(repeat(SAMPLE_INTERVAL_S, process.sample_descriptors)),
                loop.create_task(repeat(HEARTBEAT_INTERVAL_S, environment.send_heartbeats)),
                loop.create_task(repeat(1.0, lambda: environment.replace_one(churn_rng))),
            ]
            await send_jobs(run, usage, clients, rng)
            process.sample_descriptors()
            process.read_usage(usage)
            clients.close()
            environment.callback_connections.close()
        finally:
            for task in tasks:
                task.cancel()
            process.stop(graceful=profile is not None)
            environment.close()
    return usage


def measure(run: Run, profile: Path | None = None) -> Usage:
    """Return the usage of one run."""
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))  # each worker has a listening socket
    try:
        return asyncio.run(run_once(run, profile))
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))


def cases(workers: int, size_factor: int) -> dict[str, tuple[int, int]]:
    """Return the number of dispatchers in the settings at the baseline and the larger size, by case."""
    return {
        "as many dispatchers as workers": (workers, workers * size_factor),
        "same dispatchers": (workers, workers),
        "few dispatchers": (FEW_DISPATCHERS, FEW_DISPATCHERS),
    }


COLUMNS = {
    "cpu": "CPU, s",
    "memory": "peak MB",
    "descriptors": "descriptors",
    "connections": "connections made",
    "list_bytes": "list bytes",
    "share": "served",
}


def exceeded(usage: Usage, limits: dict[str, float]) -> list[str]:
    """Return the names of the values that are beyond their limits."""
    return [
        name
        for name, limit in limits.items()
        if (getattr(usage, name) < limit if name == "share" else getattr(usage, name) > limit)
    ]


@click.command(help=__doc__)
@click.option(
    "--case", "selected", type=click.Choice(list(cases(1, 1))), multiple=True, help="All by default."
)
@click.option("--workers", default=BASELINE_WORKERS, show_default=True)
@click.option(
    "--times", default=SIZE_FACTOR, show_default=True, help="Workers at the larger size, as a multiple."
)
@click.option("--seconds", default=25.0, show_default=True)
@click.option("--rate", default=40.0, show_default=True, help="Jobs a second.")
@click.option(
    "--busy", default=0.0, show_default=True, help="Fraction of the slots used by other dispatchers."
)
@click.option("--asks/--no-asks", default=True, show_default=True, help="Whether workers may be polled.")
@click.option(
    "--reports/--no-reports", default=True, show_default=True, help="Whether workers report free slots."
)
@click.option("--work", default=1.0, show_default=True, help="Factor of the jobs' mean work.")
@click.option("--seed", default=5, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write the figures to a file.")
def main(
    selected: tuple[str, ...],
    workers: int,
    times: int,
    seconds: float,
    rate: float,
    busy: float,
    asks: bool,
    reports: bool,
    work: float,
    seed: int,
    json_path: Path | None,
) -> None:
    """Measure the cases and print a table of usage and limits."""
    table = Table("case", "workers", *COLUMNS.values())
    results = []
    for case in selected or cases(workers, times):
        sizes = zip((workers, workers * times), cases(workers, times)[case], strict=True)
        runs = [
            Run(size, dispatchers, seconds, rate, asks, reports, work, busy, seed)
            for size, dispatchers in sizes
        ]
        baseline, larger = (measure(run) for run in runs)
        limits = limits_from(baseline, workers * times)
        over_limit = exceeded(larger, limits)
        table.add_row(case, f"{workers}", *(f"{getattr(baseline, name):,.4g}" for name in COLUMNS))
        table.add_row(
            "",
            f"{workers * times}",
            *(
                f"{getattr(larger, name):,.4g} ({'OVER ' * (name in over_limit)}{limits[name]:,.4g})"
                for name in COLUMNS
            ),
        )
        results.append({"case": case, "usual": asdict(baseline), "larger": asdict(larger), "allowed": limits})
    Console(width=150).print(table)
    if json_path is not None:
        json_path.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
