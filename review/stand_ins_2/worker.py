"""A stand-in of a worker: takes jobs, runs them in order on its slots and calls back.

It follows the protocol page: a job is taken with its 202; closing the connection before that, or a DELETE,
gives an attempt up; waiting work that is given up is dropped, running work goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from review.stand_ins_2.exchange import Connections, NoAnswerError
from review.stand_ins_2.http1 import Message, Reader, encode
from review.stand_ins_2.record import Record

MAX_CALLS = 10
CALL_TIMEOUT_S = 2.0
CALL_PAUSE_S = 0.2


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at this worker."""

    request_id: str
    job_class: str
    run_s: float
    given_up: bool = False
    ended: bool = False


class Worker:
    """One worker on a port of its own."""

    def __init__(
        self, record: Record, name: str, callback_port: int, *, slots: int = 2, speed: float = 1.0
    ) -> None:
        self.record = record
        self.name = name
        self.slots = slots
        self.speed = speed
        self.callbacks = Connections("127.0.0.1", callback_port)
        self.server: asyncio.Server | None = None
        self.port = 0
        self.attempts: dict[str, Attempt] = {}
        self.waiting: deque[Attempt] = deque()
        self.running = 0
        self.max_waiting = 20
        self.runs: list[tuple[str, str]] = []  # id and class of each run that has begun
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: set[WorkerConnection] = set()
        # Called after a job's 202 was written, with the connection that carried it.
        self.after_accept: Callable[[WorkerConnection, Attempt], None] = lambda connection, attempt: None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: WorkerConnection(self), "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    # ---- requests ----

    def handle(self, connection: WorkerConnection, message: Message) -> None:
        """Answer one request."""
        if message.method == "POST":
            self._take(connection, message)
        elif message.method == "DELETE":
            self._give_up(message.target.rsplit("/", 1)[1])
            connection.write(encode("HTTP/1.1 200 OK"))
        elif message.target in ("/alive", "/metrics/load"):
            body = json.dumps(self.load()).encode()
            connection.write(encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
        else:
            connection.write(encode("HTTP/1.1 404 Not Found"))

    def load(self) -> dict[str, float]:
        """Return the load report."""
        return {
            "x0": max(0, self.slots - self.running - len(self.waiting)),
            "cpu_share": self.running / self.slots,
            "served_ps": 1.0,
        }

    def _take(self, connection: WorkerConnection, message: Message) -> None:
        request_id = message.headers.get("x-call-id", "")
        if not request_id:
            connection.write(encode("HTTP/1.1 404 Not Found"))
            return
        job_class = message.headers.get("x-call-class", "")
        run_s = float(message.headers.get("x-call-cost", "100000")) / 1e6 / self.speed
        self.record.write("arrived", id=request_id, cls=job_class, worker=self.name)
        if len(self.waiting) >= self.max_waiting:
            self.record.write("rejected", id=request_id, worker=self.name)
            connection.write(encode("HTTP/1.1 503 Service Unavailable", {"X-Rejected": "1"}))
            return
        attempt = Attempt(request_id, job_class, run_s)
        self.attempts[request_id] = attempt
        connection.write(encode("HTTP/1.1 202 Accepted"))
        self.record.write("taken", id=request_id, worker=self.name)
        self.after_accept(connection, attempt)
        self.waiting.append(attempt)
        self._start_waiting()

    def _give_up(self, request_id: str) -> None:
        attempt = self.attempts.get(request_id)
        self.record.write("delete", id=request_id, worker=self.name, known=attempt is not None)
        if attempt is None:
            return
        attempt.given_up = True
        if attempt in self.waiting:
            self.waiting.remove(attempt)

    # ---- runs ----

    def _start_waiting(self) -> None:
        while self.waiting and self.running < self.slots:
            attempt = self.waiting.popleft()
            self.running += 1
            task = asyncio.create_task(self._run(attempt))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _run(self, attempt: Attempt) -> None:
        self.runs.append((attempt.request_id, attempt.job_class))
        self.record.write("run", id=attempt.request_id, cls=attempt.job_class, worker=self.name)
        await asyncio.sleep(attempt.run_s)
        self.running -= 1
        attempt.ended = True
        self._start_waiting()
        self.record.write("ran", id=attempt.request_id, worker=self.name)
        if not attempt.given_up:
            await self.call_back(attempt, {"state": "done", "result": self.result(attempt)})

    def result(self, attempt: Attempt) -> str:
        """Return the result that this worker makes for a request."""
        return f"{attempt.request_id} by {self.name}"

    async def call_back(self, attempt: Attempt, fields: dict[str, Any]) -> None:
        """Tell what became of an attempt, ten times at most, until it is answered."""
        body = json.dumps(
            {"id": attempt.request_id, "from": self.name, **fields, "load": self.load()}
        ).encode()
        request = encode("POST /callback HTTP/1.1", {"Host": "dispatcher"}, body)
        for _ in range(MAX_CALLS):
            with contextlib.suppress(NoAnswerError):
                answer = await self.callbacks.ask(request, CALL_TIMEOUT_S)
                if answer.status in (200, 204):
                    return
            await asyncio.sleep(CALL_PAUSE_S)

    def stop(self) -> None:
        """Close everything."""
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()
        self.callbacks.close()


class WorkerConnection(asyncio.Protocol):
    """One connection to a worker."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.parser = Reader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the connection."""
        self.transport = cast("asyncio.Transport", transport)
        self.worker.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Answer the requests that are complete."""
        for message in self.parser.feed(data):
            self.worker.handle(self, message)

    def connection_lost(self, _: Exception | None) -> None:
        """Forget the connection."""
        self.transport = None
        self.worker.connections.discard(self)

    def write(self, data: bytes) -> None:
        """Write, unless the connection has ended."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()
