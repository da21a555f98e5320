"""Requests to workers, and how much of a job's time each one states."""

from __future__ import annotations

import math
from dataclasses import dataclass
from urllib.parse import quote

from elderstall.messages import JobRequest
from elderstall.net import http

LOAD_PATH = "/metrics/load"
BUDGET_MARGIN = 20.0  # ms kept back from the time stated, for a process held up as it writes
BUDGET_MARGIN_PART = 0.05  # of the time left that the margin takes at most: little time is not made much less
# Fields of a client's request that are not passed on: of its connection alone, or written anew.
HOP_BY_HOP = frozenset(
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
    """A request to a worker, rendered in the step that writes it: not before its connection is up."""

    method: str
    target: str
    host: str
    fields: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    ends_at: float = math.inf  # reading of the clock at which an attempt's time is over; others have no end

    def render(self, now: float) -> bytes | None:
        """Give its bytes, an attempt's with the time that is left; None where no time is left."""
        fields = list(self.fields)
        if self.ends_at < math.inf:
            budget = budget_to_send(self.ends_at - now)
            if budget <= 0:
                return None
            fields.append(("X-Budget-Ms", str(budget)))
        return http.request(self.method, self.target, self.host, fields, self.body)


def budget_to_send(left: float) -> int:
    """Give the whole ms to state to a worker: at most what will be left once the bytes are written."""
    return int(left - min(BUDGET_MARGIN, left * BUDGET_MARGIN_PART))


def job_request(request: JobRequest, address: str, ends_at: float, accept: str = "") -> WorkerRequest:
    """Make an attempt's request: the client's as it came; ``accept`` replaces its Accept field if given."""
    original = request.original
    assert isinstance(original, http.Message)
    fields = [(name, value) for name, value in original.headers.fields if name.lower() not in HOP_BY_HOP]
    if accept:
        fields = [(name, value) for name, value in fields if name.lower() != "accept"]
        fields.append(("Accept", accept))
    return WorkerRequest(original.method, original.target, address, tuple(fields), original.body, ends_at)


def cancel_request(request_id: str, address: str) -> WorkerRequest:
    """Make the request that has a worker give up a job."""
    return WorkerRequest("DELETE", f"/jobs/{quote(request_id, safe='')}", address)


def load_request(address: str) -> WorkerRequest:
    """Make the request for a worker's load report."""
    return WorkerRequest("GET", LOAD_PATH, address)
