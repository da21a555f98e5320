"""A stand-in for a client: one request at a time on a kept connection."""

from __future__ import annotations

import asyncio
import secrets
import time
from dataclasses import dataclass

from review.standins.record import Record
from review.standins.wire import encode, read_message

NO_ANSWER = "no answer, connection open"
GRACE_S = 0.5  # after a request's time, in which an answer still counts as one


@dataclass
class Request:
    """One request and what became of it."""

    request_id: str
    client: str
    job_class: str
    budget_ms: int
    sent_at: float = 0.0  # when its last byte was written, monotonic
    outcome: str = ""  # a status, or why there is none
    body: bytes = b""
    resent: bool = False

    @property
    def is_lost(self) -> bool:
        """Whether it got no answer over a connection that stayed open; closes and refusals do not count."""
        return self.outcome == NO_ANSWER


class Client:
    """One client; it opens a connection when it has none."""

    def __init__(self, name: str, record: Record, dispatcher_address: str) -> None:
        self.name = name
        self.record = record
        host, _, port = dispatcher_address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.requests: list[Request] = []

    async def connect(self) -> bool:
        """Open the connection if there is none; return whether it was there already."""
        if self.connection is not None and not self.connection[0].at_eof():
            return True
        self.close()
        self.connection = await asyncio.open_connection(self.host, self.port)
        return False

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None

    async def submit(self, job_class: str, budget_ms: int, work_us: int) -> Request:
        """Send a request and wait for its answer; one that crosses a close is sent once more."""
        request = Request(secrets.token_hex(8), self.name, job_class, budget_ms)
        self.requests.append(request)
        for again in (False, True):
            request.resent = again
            was_kept = await self._try(request, work_us)
            if request.outcome != "closed" or not was_kept:
                break
        self.record.write(self.name, f"{request.request_id} -> {request.outcome}")
        return request

    async def _try(self, request: Request, work_us: int) -> bool:
        """Send the request once; return whether that was over a kept connection."""
        try:
            was_kept = await self.connect()
        except OSError as error:
            request.outcome = type(error).__name__
            return False
        assert self.connection is not None
        reader, writer = self.connection
        headers = {
            "Host": "api.internal",
            "X-Call-Id": request.request_id,
            "X-Call-Class": request.job_class,
            "X-Caller": "red-valle",
            "X-Budget-Ms": str(request.budget_ms),
            "X-Call-Cost": str(work_us),
        }
        body = b"deck of " + request.request_id.encode()
        began = time.monotonic()
        writer.write(encode(f"POST /{request.job_class}?obj={request.request_id} HTTP/1.1", headers, body))
        request.sent_at = time.monotonic()
        kept = "kept" if was_kept else "new"
        self.record.write(
            self.name, f"sends {request.request_id} {request.job_class} over a {kept} connection"
        )
        wait = request.budget_ms / 1000 + GRACE_S - (time.monotonic() - began)
        try:
            message = await asyncio.wait_for(read_message(reader), wait)
        except TimeoutError:
            request.outcome = NO_ANSWER
            self.close()
            return was_kept
        if message is None:
            request.outcome = "closed"
            self.close()
            return was_kept
        request.outcome = message.line[1]
        request.body = message.body
        if not message.keeps_alive:
            self.close()
        return was_kept
