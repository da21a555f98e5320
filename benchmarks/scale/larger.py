"""What one dispatcher process needs as the fleet grows: the same traffic over 200 and over 3,200 workers.

    python -m benchmarks.scale.larger [--case "same dispatchers"] [--seconds 25] [--rate 40]

The real program runs as a process of its own. Discovery, workers and clients are hollow: they live in this
process, on 127.0.0.0/8 alone. Each second one worker leaves and one joins. Every worker takes each job and
ends it after its work; what other dispatchers do to it is a share of its slots that it reports as taken.
What is allowed at the larger size follows from what was needed at the usual one.
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
USUAL, TIMES = 200, 16  # workers, and how many times as many
FEW = 12  # dispatchers
SLOTS = 2  # of a worker
REPORT_EVERY = 0.5  # s for which a worker reports the same share of its slots as taken by others
BEAT_EVERY = 2.0  # s between empty lines of a watch
LOOK_EVERY = 0.25  # s between looks at the process
READY_WITHIN, ANSWERS_WITHIN = 60.0, 20.0  # s
TICKS = os.sysconf("SC_CLK_TCK")
CLASSES = [
    {"name": "short", "points": 2, "aim": 400, "deadline": 5000, "effect": "safe"},
    {"name": "long", "points": 5, "aim": 900, "deadline": 15000, "effect": "unsafe"},
    {"name": "urgent", "points": 10, "aim": 500, "deadline": 4500, "effect": "unsafe"},
]
REPORT = ("qps", "util", "x0")  # x0: free slots
WORK = {"short": 80.0, "long": 200.0, "urgent": 50.0}  # ms, mean
SHARES = {"short": 6, "long": 3, "urgent": 1}
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
class Play:
    """One run of the program."""

    workers: int
    dispatchers: int
    seconds: float = 25.0
    rate: float = 40.0  # jobs a second
    asks: bool = True  # whether the settings allow to ask workers how they stand
    reports: bool = True  # whether workers report their free slots
    work: float = 1.0  # times the mean work of each class
    busy: float = 0.0  # share of the workers' slots that other dispatchers use
    seed: int = 5


@dataclass(slots=True)
class Needs:
    """What the program needed, and what it served."""

    cpu: float = 0.0  # s
    memory: float = 0.0  # MB, peak
    descriptors: int = 0  # peak
    connections: int = 0  # made to workers
    list_bytes: int = 0
    questions: int = 0
    attempts: int = 0
    jobs: int = 0
    served: int = 0
    workers_reached: int = 0  # different ones to which a connection was made

    @property
    def share(self) -> float:
        """Give the share of jobs that was served."""
        return self.served / max(1, self.jobs)


def allowed(usual: Needs, workers: int) -> dict[str, float]:
    """Give what a dispatcher may need with so many workers; of the share served, the least."""
    thousands = workers / 1000
    return {
        "cpu": 1.4 * usual.cpu + 0.02 + 0.12 * thousands,
        "memory": 1.5 * usual.memory + 8 + 4 * thousands,
        "descriptors": 2 * usual.descriptors + 40,
        "connections": 2.5 * usual.connections + 40,
        "list_bytes": 2 * usual.list_bytes + 64e3 + 500e3 * thousands,
        "share": 0.85 * usual.share,
    }


class Served(asyncio.Protocol):
    """An accepted connection: each whole request is handed on, answers are written as they come."""

    def __init__(self, take: Callable[[Served, http.Message], None]) -> None:
        self.take, self.parser = take, http.Parser(max_body=1 << 20)
        self.message = http.Message((0, 0), http.Headers())

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (event := self.parser.next()) is not None:
            if isinstance(event, http.Head):
                self.message = event.message
            elif isinstance(event, http.End):
                self.take(self, self.message)

    def answer(self, data: bytes) -> None:
        """Write bytes, if the connection is still there."""
        if not self.transport.is_closing():
            self.transport.write(data)


class Caller(asyncio.Protocol):
    """A connection to the program that carries one request at a time."""

    def __init__(self) -> None:
        self.parser, self.status = http.Parser(responses=True, max_body=1 << 20), 0
        self.waiting: asyncio.Future[int] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (event := self.parser.next()) is not None:
            if isinstance(event, http.Head):
                self.status = event.message.status
            elif isinstance(event, http.End):
                self.end(self.status)

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(0)

    def end(self, status: int) -> None:
        """Give the answer's status, 0 for none."""
        waiting, self.waiting = self.waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result(status)


class Callers:
    """Connections to the program that are kept and used again."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.free = address, list[Caller]()

    async def call(self, request: bytes) -> int:
        """Give the status of the answer, 0 for none."""
        loop = asyncio.get_running_loop()
        while self.free and self.free[-1].transport.is_closing():
            self.free.pop()
        if self.free:
            caller = self.free.pop()
        else:
            _, caller = await loop.create_connection(Caller, *self.address)
        caller.waiting = waiting = loop.create_future()
        caller.transport.write(request)
        status: int = await waiting
        self.free.append(caller)
        return status

    def close(self) -> None:
        """Close them."""
        for caller in self.free:
            caller.transport.abort()


@dataclass(slots=True)
class Worker:
    """A hollow worker: it takes all that comes."""

    number: int
    address: str
    since: float  # Unix ms
    server: asyncio.Server
    running: int = 0
    reached: bool = False

    @property
    def name(self) -> str:
        """Give its name."""
        return name_of(self.number)

    def entry(self, status: str = "in_service") -> dict[str, Any]:
        """Give its entry in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "z",
            "type": "box",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": self.since,
        }


@dataclass(slots=True)
class Surroundings:
    """Discovery and the workers, and what the program does to them."""

    play: Play
    needs: Needs
    workers: list[Worker] = field(default_factory=list)
    watches: list[Served] = field(default_factory=list)
    index: int = 41
    made: int = 0
    callers: Callers | None = None  # for call-backs
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    discovery: asyncio.Server | None = None
    address: str = ""

    async def open(self) -> None:
        """Listen."""
        self.discovery, self.address = await self.listen(self.watched, "127.0.0.1")
        for _ in range(self.play.workers):
            self.workers.append(await self.new_worker(0.0))

    async def listen(
        self, take: Callable[[Served, http.Message], None], host: str
    ) -> tuple[asyncio.Server, str]:
        """Listen at a port of the system's choice; gives the address."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Served(take), host, 0)
        return server, f"{host}:{server.sockets[0].getsockname()[1]}"

    async def new_worker(self, since: float) -> Worker:
        """Start a worker at an address of its own."""
        number, self.made = self.made, self.made + 1
        host = f"127.1.{number >> 7}.{number % 128 + 1}"
        known: list[Worker] = []

        class Connection(Served):
            def connection_made(connection, transport: Any) -> None:  # noqa: N805
                Served.connection_made(connection, transport)
                self.needs.connections += 1
                self.needs.workers_reached += not known[0].reached
                known[0].reached = True

        def take(connection: Served, message: http.Message) -> None:
            self.worked(known[0], connection, message)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Connection(take), host, 0)
        known.append(Worker(number, f"{host}:{server.sockets[0].getsockname()[1]}", since, server))
        return known[0]

    def close(self) -> None:
        """Stop to listen."""
        for server in [self.discovery, *(worker.server for worker in self.workers)]:
            if server is not None:
                server.close()
        for task in self.tasks:
            task.cancel()

    # ---- discovery ----

    def whole(self) -> dict[str, Any]:
        """Give the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": [w.entry() for w in self.workers]}

    def watched(self, connection: Served, _: http.Message) -> None:
        """Begin a watch with the whole list."""
        connection.answer(http.head_of("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
        self.tell(connection, self.whole())
        self.watches.append(connection)

    def tell(self, connection: Served, value: dict[str, Any]) -> None:
        """Write one line of a watch."""
        line = json.dumps(value, separators=(",", ":")).encode() + b"\n"
        self.needs.list_bytes += len(line)
        connection.answer(http.chunk(line))

    def beat(self) -> None:
        """Write an empty line on all watches."""
        for watch in self.watches:
            watch.answer(http.chunk(b"\n"))

    async def replace_one(self, rng: random.Random) -> None:
        """Have one worker leave and another one join."""
        leaving = self.workers.pop(rng.randrange(len(self.workers)))
        joining = await self.new_worker(time.time() * 1000)
        self.workers.append(joining)
        self.index += 1
        entries = [leaving.entry("terminated"), joining.entry()]
        for watch in self.watches:
            self.tell(watch, {"index": self.index, "snapshot": False, "endpoints": entries})
        leaving.server.close()

    # ---- workers ----

    def load_of(self, worker: Worker) -> dict[str, float]:
        """Give a worker's report; what others take of it changes from time to time."""
        span = int(time.monotonic() / REPORT_EVERY)
        chances = (crc32(f"{worker.number} {span} {slot}".encode()) / 2**32 for slot in range(SLOTS))
        taken = sum(chance < self.play.busy for chance in chances)
        free = max(0, SLOTS - taken - worker.running)
        return dict(zip(REPORT, (0.0, 0.0, float(free)), strict=True))

    def worked(self, worker: Worker, connection: Served, message: http.Message) -> None:
        """Answer a request to a worker."""
        if message.method == "GET":
            self.needs.questions += 1
            connection.answer(http.response(200, json.dumps(self.load_of(worker)).encode()))
        elif message.method == "DELETE":
            connection.answer(http.response(204))
        else:
            self.needs.attempts += 1
            connection.answer(http.response(202))
            task = asyncio.get_running_loop().create_task(self.run(worker, message))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def run(self, worker: Worker, message: http.Message) -> None:
        """Run a job and call back."""
        worker.running += 1
        await asyncio.sleep(float(message.headers.get("X-Call-Cost") or 0) / 1e6)
        worker.running -= 1
        told = {
            "id": message.headers.get("X-Call-Id"),
            "from": worker.name,
            "state": "done",
            "result": "x",
            "load": self.load_of(worker),
        }
        assert self.callers is not None
        await self.callers.call(http.request("POST", "/callback", "x", (), json.dumps(told).encode()))


def config_of(play: Play, surroundings: Surroundings) -> dict[str, Any]:
    """Write the program's configuration."""
    settings: dict[str, Any] = {
        "classes": CLASSES,
        "balancers": play.dispatchers,
        "rank": 7 % play.dispatchers,
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
            "probes": play.asks,
        },
    }
    if play.reports:
        settings["load_report"] = {"fields": list(REPORT)}
        settings["specifics"] = {"report_x0": "free slots"}
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": surroundings.address,
        "seed": "5",
        "known": surroundings.whole(),
        "settings": settings,
        "limits": {"sockets": 1_024},
    }


class Process:
    """The program, and what the system counts of it."""

    def __init__(self, folder: Path, config: dict[str, Any], profile: Path | None = None) -> None:
        file = folder / "config.json"
        file.write_text(json.dumps(config))
        env = {**os.environ, "RELAY_CONFIG": str(file), "TMPDIR": str(folder)}
        profiler = [] if profile is None else ["-m", "cProfile", "-o", str(profile)]
        command = [sys.executable, *profiler, "-m", "elderstall"]
        self.log = folder / "log"
        with self.log.open("wb") as log:
            self.program = subprocess.Popen(command, cwd=ROOT, env=env, stderr=log)
        self.at = Path("/proc", str(self.program.pid))
        self.descriptors = 0

    async def ready(self) -> tuple[str, int]:
        """Wait for the line that says where the program listens; gives it."""
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until and self.program.poll() is None:
            for line in self.log.read_text().splitlines():
                if line.split()[1:2] == ["start"]:
                    host, _, port = line.split()[-1].rpartition(":")
                    return host, int(port)
            await asyncio.sleep(0.02)
        raise RuntimeError(f"the program is not ready: {self.log.read_text()[-500:]}")

    def look(self) -> None:
        """Note how many descriptors are open."""
        self.descriptors = max(self.descriptors, sum(1 for _ in (self.at / "fd").iterdir()))

    def needs(self, needs: Needs) -> None:
        """Note what the process has needed so far."""
        fields = (self.at / "stat").read_text().rpartition(")")[2].split()
        status = dict(line.split(":", 1) for line in (self.at / "status").read_text().splitlines())
        needs.cpu = (int(fields[11]) + int(fields[12])) / TICKS
        needs.memory = float(status["VmHWM"].split()[0]) / 1024
        needs.descriptors = self.descriptors

    def end(self, gently: bool = False) -> None:
        """End it."""
        if gently:  # a profile is written at the end
            self.program.send_signal(signal.SIGTERM)
            self.program.wait(ANSWERS_WITHIN)
        else:
            self.program.kill()
            self.program.wait()


async def every(seconds: float, act: Callable[[], Any]) -> None:
    """Do something again and again."""
    while True:
        await asyncio.sleep(seconds)
        result = act()
        if asyncio.iscoroutine(result):
            await result


async def load(play: Play, needs: Needs, callers: Callers, rng: random.Random) -> None:
    """Send the clients' jobs at their times, and wait for the answers."""
    loop = asyncio.get_running_loop()
    began, at = loop.time(), 0.0
    names = list(SHARES)
    jobs: list[asyncio.Task[int]] = []
    while (at := at + rng.expovariate(play.rate)) < play.seconds:
        name = rng.choices(names, list(SHARES.values()))[0]
        work = play.work * rng.expovariate(1 / WORK[name])
        fields = [
            ("X-Call-Id", f"job-{len(jobs)}"),
            ("X-Call-Class", name),
            ("X-Budget-Ms", "4500"),
            ("X-Call-Cost", f"{work * 1000:.0f}"),
        ]
        await asyncio.sleep(max(0.0, began + at - loop.time()))
        jobs.append(loop.create_task(callers.call(http.request("POST", f"/{name}", "x", fields, b"body"))))
    statuses = await asyncio.wait_for(asyncio.gather(*jobs), ANSWERS_WITHIN)
    needs.jobs, needs.served = len(statuses), statuses.count(200)


async def play_once(play: Play, profile: Path | None = None) -> Needs:
    """Run the program under the play's load; gives what it needed."""
    needs, rng, churn = Needs(), random.Random(play.seed), random.Random(play.seed + 1)
    surroundings = Surroundings(play, needs)
    await surroundings.open()
    tasks: list[asyncio.Task[None]] = []
    with TemporaryDirectory() as folder:
        process = Process(Path(folder), config_of(play, surroundings), profile)
        try:
            address = await process.ready()
            surroundings.callers, clients = Callers(address), Callers(address)
            loop = asyncio.get_running_loop()
            tasks = [
                loop.create_task(every(LOOK_EVERY, process.look)),
                loop.create_task(every(BEAT_EVERY, surroundings.beat)),
                loop.create_task(every(1.0, lambda: surroundings.replace_one(churn))),
            ]
            await load(play, needs, clients, rng)
            process.look()
            process.needs(needs)
            clients.close()
            surroundings.callers.close()
        finally:
            for task in tasks:
                task.cancel()
            process.end(gently=profile is not None)
            surroundings.close()
    return needs


def measure(play: Play, profile: Path | None = None) -> Needs:
    """Measure one size."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))  # a listener a worker
    try:
        return asyncio.run(play_once(play, profile))
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def cases(workers: int, times: int) -> dict[str, tuple[int, int]]:
    """Give the dispatchers in the settings at the usual and at the larger size, by case."""
    return {
        "as many dispatchers as workers": (workers, workers * times),
        "same dispatchers": (workers, workers),
        "few dispatchers": (FEW, FEW),
    }


COLUMNS = {
    "cpu": "CPU, s",
    "memory": "peak MB",
    "descriptors": "descriptors",
    "connections": "connections made",
    "list_bytes": "list bytes",
    "share": "served",
}


def over(needs: Needs, most: dict[str, float]) -> list[str]:
    """Name what is over what is allowed."""
    return [
        name
        for name, limit in most.items()
        if (getattr(needs, name) < limit if name == "share" else getattr(needs, name) > limit)
    ]


@click.command(help=__doc__)
@click.option("--case", "chosen", type=click.Choice(list(cases(1, 1))), multiple=True, help="All by default.")
@click.option("--workers", default=USUAL, show_default=True)
@click.option("--times", default=TIMES, show_default=True, help="How many times as many at the larger size.")
@click.option("--seconds", default=25.0, show_default=True)
@click.option("--rate", default=40.0, show_default=True, help="Jobs a second.")
@click.option("--busy", default=0.0, show_default=True, help="Share of the slots that others use.")
@click.option("--asks/--no-asks", default=True, show_default=True, help="Whether workers may be asked.")
@click.option("--reports/--no-reports", default=True, show_default=True, help="Whether workers report slots.")
@click.option("--work", default=1.0, show_default=True, help="Times the jobs' mean work.")
@click.option("--seed", default=5, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write the figures to a file.")
def main(
    chosen: tuple[str, ...],
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
    """Measure the cases and print the table."""
    table = Table("case", "workers", *COLUMNS.values())
    results = []
    for case in chosen or cases(workers, times):
        sizes = zip((workers, workers * times), cases(workers, times)[case], strict=True)
        plays = [Play(size, each, seconds, rate, asks, reports, work, busy, seed) for size, each in sizes]
        usual, larger = (measure(play) for play in plays)
        most = allowed(usual, workers * times)
        bad = over(larger, most)
        table.add_row(case, f"{workers}", *(f"{getattr(usual, name):,.4g}" for name in COLUMNS))
        table.add_row(
            "",
            f"{workers * times}",
            *(
                f"{getattr(larger, name):,.4g} ({'OVER ' * (name in bad)}{most[name]:,.4g})"
                for name in COLUMNS
            ),
        )
        results.append({"case": case, "usual": asdict(usual), "larger": asdict(larger), "allowed": most})
    Console(width=150).print(table)
    if json_path is not None:
        json_path.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
