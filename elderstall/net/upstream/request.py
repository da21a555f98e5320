"""Requests to workers, and the time budget that each one states."""

from __future__ import annotations

import math
from dataclasses import dataclass
from urllib.parse import quote

from elderstall.messages import JobRequest
from elderstall.net import http

LOAD_PATH = "/metrics/load"
BUDGET_MARGIN_MS = 20.0  # kept back from the stated time, for a process that is delayed while writing
MAX_BUDGET_MARGIN_FRACTION = 0.05  # of the time left, so that a short time is hardly reduced
# Fields of a client's request that are not forwarded: they concern its connection alone or are rewritten.
NOT_FORWARDED = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        "x-budget-ms",
    }
)


@dataclass(slots=True, frozen=True)
class WorkerRequest:
    """A request to a worker, rendered when it is written, so that it states the time left then."""

    method: str
    target: str
    host: str
    fields: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    ends_at: float = math.inf  # clock reading at which an attempt times out; other requests do not

    def render(self, now: float) -> bytes | None:
        """Return the request's bytes, an attempt's with its time left; None if no time is left."""
        fields = list(self.fields)
        if self.ends_at < math.inf:
            budget = budget_to_send(self.ends_at - now)
            if budget <= 0:
                return None
            fields.append(("X-Budget-Ms", str(budget)))
        return http.request(self.method, self.target, self.host, fields, self.body)


def budget_to_send(remaining_ms: float) -> int:
    """Return the whole ms to state to a worker: no more than is left once the request is written."""
    return int(remaining_ms - min(BUDGET_MARGIN_MS, remaining_ms * MAX_BUDGET_MARGIN_FRACTION))


def job_request(request: JobRequest, address: str, ends_at: float, accept: str = "") -> WorkerRequest:
    """Return an attempt's request: the client's, with its Accept field replaced if ``accept`` is given."""
    original = request.original
    assert isinstance(original, http.Message)
    fields = [(name, value) for name, value in original.headers.fields if name.lower() not in NOT_FORWARDED]
    if accept:
        fields = [(name, value) for name, value in fields if name.lower() != "accept"]
        fields.append(("Accept", accept))
    return WorkerRequest(original.method, original.target, address, tuple(fields), original.body, ends_at)


def cancel_request(request_id: str, address: str) -> WorkerRequest:
    """Return the request that cancels a job."""
    return WorkerRequest("DELETE", f"/jobs/{quote(request_id, safe='')}", address)


def poll_request(address: str) -> WorkerRequest:
    """Return the request for a worker's load report."""
    return WorkerRequest("GET", LOAD_PATH, address)
