"""A stand-in of a client that sends many requests at once on one connection and reads answers in order."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque

from review.stand_ins_2.clients import Call, Clients, job_request
from review.stand_ins_2.http1 import Reader


class Pipeline:
    """One connection with several requests under way; the answers come in the order of the requests."""

    def __init__(self, clients: Clients, port: int) -> None:
        self.clients = clients
        self.record = clients.record
        self.port = port
        self.calls: list[Call] = []
        self.open: deque[Call] = deque()
        self.writer: asyncio.StreamWriter | None = None
        self.ended_at: float | None = None
        self.reading: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Open the connection."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.reading = asyncio.create_task(self._read(reader))

    def send(self, count: int, job_class: str, tenant: str, budget_ms: int, work_ms: float) -> list[Call]:
        """Write several requests at once."""
        assert self.writer is not None
        data = b""
        calls = []
        for _ in range(count):
            call = Call(self.clients.new_id(), job_class, self.record.now())
            data += job_request(call.request_id, job_class, tenant, budget_ms, work_ms)
            self.record.write("sent", id=call.request_id, cls=job_class, budget_ms=budget_ms)
            calls.append(call)
        self.calls += calls
        self.open.extend(calls)
        self.writer.write(data)
        return calls

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = Reader()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                for answer in parser.feed(data):
                    call = self.open.popleft()
                    call.status = answer.status
                    call.body = answer.body
                    call.answered_at = self.record.now()
                    self.record.write("answered", id=call.request_id, status=call.status)
        self.ended_at = self.record.now()
        self.record.write("connection-ended", unanswered=len(self.open))

    async def wait(self, timeout_s: float) -> None:
        """Wait until all requests are answered, the connection has ended, or the time is over."""
        end = self.record.now() + timeout_s
        while self.open and self.ended_at is None and self.record.now() < end:
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """Close the connection."""
        if self.reading is not None:
            self.reading.cancel()
        if self.writer is not None:
            self.writer.close()
