"""Parsing and checking of request heads; errors are raised as RequestError."""

from __future__ import annotations

import re
from collections.abc import Mapping
from urllib.parse import parse_qs

from elderstall.engine import Engine
from elderstall.interface import Effect
from elderstall.messages import JobRequest
from elderstall.net import http

BUSY_RETRY_AFTER_MS = 1_000.0  # after which a client retries when the dispatcher was busy
MAX_BUDGET_MS = 24 * 3_600_000.0
MAX_ID_LENGTH = 256
MAX_QUERY_FIELDS = 50
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?")
METHODS_BY_PATH = {"/up": "GET", "/callback": "POST"}  # the paths that are not jobs

HeaderFields = tuple[tuple[str, str], ...]


class RequestError(Exception):
    """A request that the listener answers with an error; it reaches neither the engine nor a worker."""

    def __init__(self, status: int, reason: str, headers: HeaderFields = ()) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = headers

    @property
    def body(self) -> bytes:
        """The text of the answer."""
        return f"{self}\n".encode()


def retry_after(ms: float) -> HeaderFields:
    """Return the header that tells a client when to retry; none for a delay of 0 ms."""
    return (("Retry-After", f"{ms / 1000:.3f}".rstrip("0").rstrip(".")),) if ms > 0 else ()


def parse_number(text: str | None, name: str) -> float | None:
    """Return a header's number, or None if the header is missing; raises RequestError."""
    if text is None:
        return None
    if not NUMBER_PATTERN.fullmatch(text):  # float() would accept "nan", "1_0" and more
        raise RequestError(400, f"{name} is no number")
    return float(text)


def parse_info(text: str | None) -> dict[str, str]:
    """Parse ``name=value,name=value``."""
    pairs = (part.partition("=") for part in (text or "").split(",") if part.strip())
    return {name.strip(): value.strip() for name, _, value in pairs}


def parse_head(message: http.Message, engine: Engine) -> JobRequest | None:
    """Check a head; return the request if it is a job's, else None."""
    path = message.target.split("?", 1)[0]
    method = METHODS_BY_PATH.get(path)
    if method is None:
        return parse_job_request(message, engine)
    if message.method != method:
        raise RequestError(405, f"{method} only", (("Allow", method),))
    return None


def parse_job_request(message: http.Message, engine: Engine) -> JobRequest:
    """Return the job that a client requests; raises RequestError."""
    headers = message.headers
    path_class, key = parse_target(message.target)
    job_class = parse_job_class(message, path_class, engine)
    request_id = headers.get("X-Call-Id")
    if not request_id or len(request_id) > MAX_ID_LENGTH:
        raise RequestError(400, "X-Call-Id is missing or too long")
    budget = parse_number(headers.get("X-Budget-Ms"), "X-Budget-Ms")
    if budget is None:
        raise RequestError(400, "X-Budget-Ms is missing")
    tenant = headers.get("X-Caller")
    if engine.tenants and tenant not in engine.tenants:
        raise RequestError(400, "X-Caller is missing or unknown")
    cost = parse_number(headers.get("X-Call-Cost"), "X-Call-Cost")
    slots = parse_slots(parse_info(headers.get("X-Call-Info")))
    return JobRequest(
        request_id=request_id,
        job_class=job_class,
        budget=min(budget, MAX_BUDGET_MS),
        original=message,
        tenant=tenant,
        key=key,
        work_hint=cost / 1000 if cost else None,
        slots=slots,
        repeatable=engine.classes[job_class].effect is Effect.IDEMPOTENT,
    )


def parse_target(target: str) -> tuple[str, str | None]:
    """Return the job class named by a request's path, and the job's key; raises RequestError."""
    try:
        path, query = http.split_target(target)
        keys = parse_qs(query, max_num_fields=MAX_QUERY_FIELDS).get("obj")
    except ValueError:
        raise RequestError(400, "bad target") from None
    return path.lstrip("/").split("/", 1)[0], keys[0] if keys else None


def parse_job_class(message: http.Message, path_class: str, engine: Engine) -> str:
    """Return a job's class, which the path and a header must both name; raises RequestError."""
    job_class = message.headers.get("X-Call-Class")
    if path_class not in engine.classes and job_class is None:
        raise RequestError(404, "no such path")
    if message.method != "POST":
        raise RequestError(405, "jobs come by POST", (("Allow", "POST"),))
    if job_class not in engine.classes or job_class != path_class:
        raise RequestError(400, "X-Call-Class is missing, unknown or not that of the path")
    return job_class


def parse_slots(info: Mapping[str, str]) -> int:
    """Return the number of a worker's slots that a job needs; raises RequestError."""
    slots = parse_number(info.get("cores_needed") or info.get("slots"), "X-Call-Info") or 1
    return max(1, int(slots))
