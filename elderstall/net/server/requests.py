"""What a client asks for, read from the head of its request; what is wrong with a head is raised."""

from __future__ import annotations

import re
from collections.abc import Mapping
from urllib.parse import parse_qs, urlsplit

from elderstall.engine import Engine
from elderstall.interface import Effect
from elderstall.messages import JobRequest
from elderstall.net import http

BUSY_RETRY_AFTER = 1_000.0  # ms after which a client is to retry that met no room
MAX_BUDGET = 24 * 3_600_000.0  # ms
MAX_ID_LENGTH = 256
MAX_QUERY_FIELDS = 50
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?")
METHODS = {"/up": "GET", "/callback": "POST"}  # of the paths that are no jobs

HeaderFields = tuple[tuple[str, str], ...]


class RequestError(Exception):
    """A request that is answered by the listener itself and reaches neither the engine nor a worker."""

    def __init__(self, status: int, why: str, headers: HeaderFields = ()) -> None:
        super().__init__(why)
        self.status, self.headers = status, headers

    @property
    def body(self) -> bytes:
        """The text of the answer."""
        return f"{self}\n".encode()


def retry_after(ms: float) -> HeaderFields:
    """Write the header that tells a client when to retry."""
    return (("Retry-After", f"{ms / 1000:.3f}".rstrip("0").rstrip(".")),) if ms > 0 else ()


def parse_number(text: str | None, name: str) -> float | None:
    """Read a header that holds a number, if it is there."""
    if text is None:
        return None
    if not NUMBER.fullmatch(text):  # float() would take "nan", "1_0" and more
        raise RequestError(400, f"{name} is no number")
    return float(text)


def parse_info(text: str | None) -> dict[str, str]:
    """Read ``name=value,name=value``."""
    pairs = (part.partition("=") for part in (text or "").split(",") if part.strip())
    return {name.strip(): value.strip() for name, _, value in pairs}


def parse_head(message: http.Message, engine: Engine) -> JobRequest | None:
    """Check a head; a job's gives what it asks for, the others give None."""
    path = message.target.split("?", 1)[0]
    method = METHODS.get(path)
    if method is None:
        return parse_job_request(message, engine)
    if message.method != method:
        raise RequestError(405, f"{method} only", (("Allow", method),))
    return None


def parse_job_request(message: http.Message, engine: Engine) -> JobRequest:
    """Read a client's job, or raise what is wrong with it."""
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
        budget=min(budget, MAX_BUDGET),
        original=message,
        tenant=tenant,
        key=key,
        work_hint=cost / 1000 if cost else None,
        slots=slots,
        repeatable=engine.classes[job_class].effect is Effect.IDEMPOTENT,
    )


def parse_target(target: str) -> tuple[str, str | None]:
    """Read the class that a request's path names, and the key of its job."""
    try:
        url = urlsplit(target)
        keys = parse_qs(url.query, max_num_fields=MAX_QUERY_FIELDS).get("obj")
    except ValueError:
        raise RequestError(400, "bad target") from None
    return url.path.lstrip("/").split("/", 1)[0], keys[0] if keys else None


def parse_job_class(message: http.Message, path_class: str, engine: Engine) -> str:
    """Read a job's class, which the path and a header name alike."""
    job_class = message.headers.get("X-Call-Class")
    if path_class not in engine.classes and job_class is None:
        raise RequestError(404, "no such path")
    if message.method != "POST":
        raise RequestError(405, "jobs come by POST", (("Allow", "POST"),))
    if job_class not in engine.classes or job_class != path_class:
        raise RequestError(400, "X-Call-Class is missing, unknown or not that of the path")
    return job_class


def parse_slots(info: Mapping[str, str]) -> int:
    """Read how many slots of a worker a job takes."""
    slots = parse_number(info.get("cores_needed") or info.get("slots"), "X-Call-Info") or 1
    return max(1, int(slots))
