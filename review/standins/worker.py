"""A stand-in for a card worker: takes jobs, runs them in order, and reports by call-backs."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from dataclasses import dataclass, field

from review.standins.record import Record
from review.standins.wire import HttpMessage, encode, read_message, reply

MAX_CALLBACKS = 10  # tries of one call-back, as the protocol sets
CALLBACK_TIMEOUT_S = 1.0
CALLBACK_PAUSE_S = 0.2
PROGRESS_INTERVAL_S = 2.0


@dataclass
class Run:
    """One job that a worker has taken."""

    request_id: str
    work_s: float
    progress: list[float] = field(default_factory=list)
    cancelled: bool = False


class Worker:
    """One worker with a number of slots; waiting jobs start in order."""

    def __init__(self, name: str, record: Record, callback_address: str, slots: int = 2) -> None:
        self.name = name
        self.record = record
        host, _, port = callback_address.rpartition(":")
        self.callback_host = host
        self.callback_port = int(port)
        self.slots = slots
        self.running = 0
        self.waiting: deque[Run] = deque()
        self.runs: dict[str, Run] = {}
        self.taken: list[str] = []  # ids, one for each attempt that was taken
        self.started: list[str] = []
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.free_callbacks: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    @property
    def load(self) -> dict[str, float]:
        """The load report."""
        free = max(0, self.slots - self.running - len(self.waiting))
        return {"served_ps": 1.0, "cpu_share": min(1.0, self.running / self.slots), "x0": float(free)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self.answer(message))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # the peer has gone, or the case ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message: HttpMessage) -> bytes:
        """Return the answer to a request."""
        method, target = message.line[0], message.line[1]
        if method == "GET":
            return reply(200, json.dumps(self.load).encode())
        if method == "DELETE":
            run = self.runs.get(target.rpartition("/")[2])
            if run is not None:
                run.cancelled = True
                self.record.write(self.name, f"cancel {run.request_id}")
            return reply(200)
        request_id = message.headers.get("x-call-id", "")
        if not request_id:
            return reply(404)
        run = Run(request_id, float(message.headers.get("x-call-cost", "100000")) / 1e6)
        self.runs[request_id] = run
        self.taken.append(request_id)
        self.record.write(self.name, f"takes {request_id} budget {message.headers.get('x-budget-ms')}")
        self.waiting.append(run)
        self._start_waiting()
        return reply(202)

    def _spawn(self, run: Run) -> None:
        task = asyncio.ensure_future(self._run(run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _start_waiting(self) -> None:
        while self.waiting and self.running < self.slots:
            run = self.waiting.popleft()
            if not run.cancelled:  # waiting work is dropped after a cancel; running work goes on
                self.running += 1
                self._spawn(run)

    async def _run(self, run: Run) -> None:
        self.started.append(run.request_id)
        self.record.write(self.name, f"runs {run.request_id}")
        await asyncio.sleep(run.work_s)
        self.running -= 1
        self._start_waiting()
        if not run.cancelled:
            call = {"id": run.request_id, "from": self.name, "state": "done"}
            await self.call_back({**call, "result": f"result of {run.request_id}", "load": self.load})

    async def call_back(self, call: dict[str, object]) -> None:
        """Make a call-back until it is answered with 200 or 204, ten times at most."""
        body = json.dumps(call).encode()
        data = encode("POST /callback HTTP/1.1", {"Host": "dispatcher"}, body)
        for attempt in range(MAX_CALLBACKS):
            status = await self._call_once(data)
            if attempt or status not in ("200", "204"):
                self.record.write(self.name, f"call-back {call['id']} try {attempt + 1}: {status}")
            if status in ("200", "204"):
                return
            await asyncio.sleep(CALLBACK_PAUSE_S)

    async def _call_once(self, data: bytes) -> str:
        try:
            if self.free_callbacks:
                reader, writer = self.free_callbacks.pop()
            else:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.callback_host, self.callback_port), CALLBACK_TIMEOUT_S
                )
        except (OSError, TimeoutError) as error:
            return type(error).__name__
        try:
            writer.write(data)
            message = await asyncio.wait_for(read_message(reader), CALLBACK_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            writer.close()
            return type(error).__name__
        if message is None:
            writer.close()
            return "closed"
        if message.keeps_alive:
            self.free_callbacks.append((reader, writer))
        else:
            writer.close()
        return message.line[1]

    async def stop(self) -> None:
        """Stop the worker, with all that it runs."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in [*self.writers, *(writer for _, writer in self.free_callbacks)]:
            writer.close()
