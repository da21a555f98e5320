"""Stand-ins of clients: each call has an id of its own and waits for its answer until its time is up."""

from __future__ import annotations

import random
from dataclasses import dataclass

from review.stand_ins_2.exchange import Connections, NoAnswerError
from review.stand_ins_2.http1 import encode
from review.stand_ins_2.record import Record

GRACE_S = 1.0  # for which a client still reads after its time, to see a late answer


@dataclass(slots=True)
class Call:
    """One call and what came of it; times are seconds of the record."""

    request_id: str
    job_class: str
    sent_at: float
    status: int | None = None  # None: no whole answer
    body: bytes = b""
    answered_at: float = 0.0
    error: str = ""


def job_request(
    request_id: str, job_class: str, tenant: str, budget_ms: int, work_ms: float, *, key: str = ""
) -> bytes:
    """Return the request of a job in the protocol's form."""
    headers = {
        "Host": "dispatcher",
        "X-Call-Id": request_id,
        "X-Call-Class": job_class,
        "X-Caller": tenant,
        "X-Budget-Ms": str(budget_ms),
        "X-Call-Cost": str(int(work_ms * 1000)),
    }
    if key:
        headers["Idempotency-Key"] = key
    return encode(f"POST /{job_class}?obj={request_id[:8]} HTTP/1.1", headers, b"card")


class Clients:
    """Clients of one dispatcher, which keep their connections."""

    def __init__(self, record: Record, port: int, seed: int) -> None:
        self.record = record
        self.random = random.Random(seed)
        self.connections = Connections("127.0.0.1", port)
        self.calls: list[Call] = []

    def new_id(self) -> str:
        """Return an id that no other request has."""
        return f"{self.random.getrandbits(64):016x}"

    async def call(self, job_class: str, tenant: str, budget_ms: int, work_ms: float) -> Call:
        """Send one job and wait for its answer."""
        request_id = self.new_id()
        key = f"{self.random.getrandbits(128):032x}"
        request = job_request(request_id, job_class, tenant, budget_ms, work_ms, key=key)
        call = Call(request_id, job_class, self.record.now())
        self.calls.append(call)
        self.record.write("sent", id=request_id, cls=job_class)
        try:
            answer = await self.connections.ask(request, budget_ms / 1000 + GRACE_S)
            call.status = answer.status
            call.body = answer.body
        except NoAnswerError as error:
            call.error = str(error)
        call.answered_at = self.record.now()
        self.record.write("answered", id=request_id, status=call.status, error=call.error or "-")
        return call
