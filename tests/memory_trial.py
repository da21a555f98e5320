"""A real dispatcher process beside hostile clients: its memory, and what a steady client gets meanwhile.

By hand: python -m tests.memory_trial PICTURE MEMORY_MB [SECONDS [SOCKETS]]
"""

from __future__ import annotations

import asyncio
import json
import os
import select
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.scenario import entry, platform

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
WORKERS = 8
SLOTS = 2  # jobs that a worker runs at a time
RUN_S = 0.05  # of a job
MAX_CALLBACKS = 10  # until one is acknowledged
CALLBACK_TIMEOUT_S = 2.0
CALLBACK_PAUSE_S = 0.2  # between callbacks
JOB_INTERVAL_S = 0.1  # of the steady client
JOB_BUDGET_MS = 5_000
ANSWER_TIMEOUT_S = 6.0  # a job's time and a second
CROSSING_S = 0.02  # a kept connection that ends this soon after a request was closed before it was read
READY_TIMEOUT_S = 20.0
SAMPLE_INTERVAL_S = 0.02
BYTES_PER_MB = 1024 * 1024  # as limits.memory_mb counts


@dataclass
class Message:
    """An HTTP message; only what the stand-ins need."""

    first_line: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def closes(self) -> bool:
        """Whether the sender closes the connection."""
        return self.fields.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(head[0], fields, body)


def encode(first_line: str, body: bytes = b"", **fields: str) -> bytes:
    """Return a message with a length."""
    lines = [
        first_line,
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in fields.items()),
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Worker:
    """A stand-in for a worker: takes jobs, runs them on its slots and calls back."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs: Counter[str] = Counter()  # by id
        self.tasks: set[asyncio.Task[None]] = set()
        self.dispatcher_port = 0
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                message = await read_message(reader)
                if message.first_line.startswith("POST"):
                    writer.write(encode("HTTP/1.1 202 Accepted"))
                    task = asyncio.ensure_future(self.run(message.fields["x-call-id"]))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                else:
                    writer.write(encode("HTTP/1.1 200 OK", b"{}"))
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, request_id: str) -> None:
        """Run one job and call back."""
        async with self.slots:
            self.runs[request_id] += 1
            await asyncio.sleep(RUN_S)
        call = {"id": request_id, "from": self.name, "state": "done", "result": request_id}
        request = encode("POST /callback HTTP/1.1", json.dumps(call).encode(), Host="dispatcher")
        for _ in range(MAX_CALLBACKS):
            if await self.call_back(request):
                return
            await asyncio.sleep(CALLBACK_PAUSE_S)

    async def call_back(self, request: bytes) -> bool:
        """Make one callback; return whether it was acknowledged."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.dispatcher_port)
        except OSError:
            return False
        try:
            writer.write(request)
            answer = await asyncio.wait_for(read_message(reader), CALLBACK_TIMEOUT_S)
        except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            writer.close()
        return answer.status in (200, 204)


@dataclass
class Discovery:
    """A stand-in for discovery: a watch with the whole list, which never changes."""

    entries: list[dict[str, Any]] = field(default_factory=list)
    address: str = ""

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call or watch."""
        try:
            request = await read_message(reader)
            listing = json.dumps({"index": 41, "snapshot": True, "endpoints": self.entries}).encode()
            if "watch=1" not in request.first_line:
                writer.write(encode("HTTP/1.1 200 OK", listing))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = listing + b"\n"
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(2.0)
                line = b"\n"
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def has_peer_ended(writer: asyncio.StreamWriter) -> bool:
    """Return whether the other side has ended the connection, even if the loop has not read that yet."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


@dataclass
class SteadyClient:
    """A sound client: a job at fixed intervals, each on a connection that is kept."""

    port: int
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)  # seconds, of whole answers
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Send jobs for a time, and wait for their answers."""
        calls = []
        for number in range(int(seconds / JOB_INTERVAL_S)):
            calls.append(asyncio.ensure_future(self.call(f"steady{number}")))
            await asyncio.sleep(JOB_INTERVAL_S)
        await asyncio.gather(*calls)
        for _, writer in self.idle:
            writer.close()

    async def call(self, request_id: str) -> None:
        """Send one job and count its outcome."""
        began = time.monotonic()
        try:
            answer = await asyncio.wait_for(self.ask(request_id), ANSWER_TIMEOUT_S)
        except TimeoutError:
            self.outcomes["no answer"] += 1
        except (OSError, EOFError, asyncio.IncompleteReadError):
            self.outcomes["closed"] += 1
        else:
            self.outcomes[str(answer.status)] += 1
            self.latencies.append(time.monotonic() - began)

    async def ask(self, request_id: str) -> Message:
        """Send a job, once more on a new connection if a kept one ended as it was sent."""
        request = encode(
            "POST /deck-fetch?obj=7f HTTP/1.1",
            b"card",
            **{
                "Host": "api.internal",
                "X-Call-Id": request_id,
                "X-Call-Class": "deck-fetch",
                "X-Caller": "norte",
                "X-Budget-Ms": str(JOB_BUDGET_MS),
            },
        )
        while self.idle:
            reader, writer = self.idle.pop()
            if reader.at_eof() or has_peer_ended(writer):
                writer.close()
                continue
            sent_at = time.monotonic()
            try:
                return await self.ask_on(reader, writer, request)
            except (OSError, EOFError, asyncio.IncompleteReadError):
                writer.close()
                if time.monotonic() - sent_at > CROSSING_S:
                    raise
                break
        reader, writer = await asyncio.open_connection(HOST, self.port)
        return await self.ask_on(reader, writer, request)

    async def ask_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes
    ) -> Message:
        """Send a request on a connection and read its answer; keep the connection if it stays open."""
        writer.write(request)
        answer = await read_message(reader)
        if answer.closes:
            writer.close()
        else:
            self.idle.append((reader, writer))
        return answer


@dataclass
class Result:
    """What was seen in one trial."""

    idle_mb: float
    peak_mb: float
    peak_own_mb: float  # without pages of files, such as libraries, which processes share
    end_mb: float
    has_ended: bool  # the process is gone
    outcomes: dict[str, int]  # of the steady client's jobs
    slowest_answer_s: float
    repeated_runs: int  # ids that more than one attempt ran

    def __str__(self) -> str:
        return (
            f"idle {self.idle_mb:.1f} MB, peak {self.peak_mb:.1f} (own {self.peak_own_mb:.1f}), "
            f"at the end {self.end_mb:.1f}; "
            f"steady jobs {self.outcomes}, slowest {self.slowest_answer_s:.2f} s; "
            f"ids run twice: {self.repeated_runs}; {'process ended' if self.has_ended else 'alive'}"
        )


def resident_mb(pid: int, name: str = "VmRSS") -> float:
    """Return a figure of the process's memory, MB."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * 1024 / BYTES_PER_MB
    return 0.0


class MemorySampler:
    """Samples the memory of a process that is not shared with others."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.peak_own_mb = 0.0

    async def run(self) -> None:
        """Sample until cancelled or until the process ends."""
        while own_mb := resident_mb(self.pid, "RssAnon"):
            self.peak_own_mb = max(self.peak_own_mb, own_mb)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def wait_ready(port: int) -> None:
    """Wait until the dispatcher answers at /up."""
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await read_message(reader)
            writer.close()
            if answer.status == 200:
                return
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)
    raise TimeoutError("the dispatcher is not ready")


async def close_stand_ins() -> None:
    """End the connections of the stand-ins, which close them as they are cancelled."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(0)


async def play(picture: str, memory_mb: int, seconds: float, sockets: int = 1024, log: str = "") -> Result:
    """Play one picture against a dispatcher that is told a memory limit."""
    discovery = Discovery()
    await discovery.start()
    workers = [Worker(f"w{number + 1}") for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
        discovery.entries.append(entry(worker.name, address=worker.address))
    raw = platform(sockets=sockets)
    raw["limits"]["memory_mb"] = memory_mb
    raw["known"]["endpoints"] = discovery.entries
    raw["discovery"] = discovery.address
    probe = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
    port = probe.sockets[0].getsockname()[1]
    probe.close()
    await probe.wait_closed()
    raw["listen"] = f"{HOST}:{port}"
    for worker in workers:
        worker.dispatcher_port = port
    with tempfile.TemporaryDirectory() as folder, Path(log or os.devnull).open("wb") as log_file:
        config = Path(folder, "config.json")
        config.write_text(json.dumps(raw), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {**os.environ, "RELAY_CONFIG": str(config), "TMPDIR": folder}
        process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stderr=log_file)
        hostile = None
        try:
            await wait_ready(port)
            idle_mb = resident_mb(process.pid)
            sampler = MemorySampler(process.pid)
            sampling = asyncio.ensure_future(sampler.run())
            steady = SteadyClient(port)
            if picture != "none":
                command = [sys.executable, "-m", "tests.hostile_clients", picture, str(port), str(seconds)]
                hostile = subprocess.Popen(command, cwd=ROOT)
            await steady.run(seconds)
            sampling.cancel()
            has_ended = process.poll() is not None
            peak_mb = 0.0 if has_ended else resident_mb(process.pid, "VmHWM")
            end_mb = 0.0 if has_ended else resident_mb(process.pid)
        finally:
            for started in (process, hostile):
                if started is not None:
                    started.kill()
                    started.wait()
            await close_stand_ins()
    runs: Counter[str] = Counter()
    for worker in workers:
        runs.update(worker.runs)
    repeated = sum(count > 1 for count in runs.values())
    slowest = max(steady.latencies, default=0.0)
    return Result(
        idle_mb, peak_mb, sampler.peak_own_mb, end_mb, has_ended, dict(steady.outcomes), slowest, repeated
    )


def main(arguments: list[str]) -> None:
    """Play the picture named by the arguments and print what was seen."""
    picture, memory_mb, *more = arguments
    seconds = float(more[0]) if more else 8.0
    sockets = int(more[1]) if len(more) > 1 else 1024
    result = asyncio.run(play(picture, int(memory_mb), seconds, sockets, os.environ.get("TRIAL_LOG", "")))
    print(f"{picture}, {memory_mb} MB told, {sockets} sockets: {result}")


if __name__ == "__main__":
    main(sys.argv[1:])
