"""Workers' callbacks about their attempts."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from elderstall.engine import Engine
from elderstall.interface import Ending
from elderstall.log import Log
from elderstall.messages import Outcome
from elderstall.net.server.requests import RequestError

ENDINGS = {"done": Ending.SERVED, "failed": Ending.ERROR, "returned": Ending.FULL, "lost": Ending.BROKEN}
STARTED = "started"
PROGRESS_STATES = (STARTED, "running")

ReportParser = Callable[[object], tuple[float, ...]]


@dataclass(slots=True, frozen=True)
class WorkerCallback:
    """One callback of a worker about an attempt."""

    request_id: str
    worker: str
    state: str
    fields: dict[str, Any]  # as received, to forward to the peer process of an upgrade

    @classmethod
    def from_fields(cls, fields: Any) -> WorkerCallback:
        """Return the callback from decoded JSON; raises RequestError."""
        if not isinstance(fields, dict):
            raise RequestError(400, "no JSON object")
        request_id = fields.get("id")
        worker = fields.get("from")
        state = fields.get("state")
        if not (isinstance(request_id, str) and isinstance(worker, str) and isinstance(state, str)):
            raise RequestError(400, "id, from and state are text")
        return cls(request_id, worker, state, fields)

    @classmethod
    def from_body(cls, body: bytes) -> WorkerCallback:
        """Return the callback from a request's body; raises RequestError."""
        try:
            fields: Any = json.loads(body)
        except (ValueError, RecursionError):
            raise RequestError(400, "no JSON") from None
        return cls.from_fields(fields)

    @property
    def fraction_done(self) -> float:
        """The fraction of the work that is done; 0 if the callback states none."""
        fraction = self.fields.get("share")
        return float(fraction) if isinstance(fraction, int | float) and 0 <= fraction <= 1 else 0.0

    @property
    def result(self) -> bytes:
        """The result: text unchanged, anything else as JSON."""
        result = self.fields.get("result", "")
        text = result if isinstance(result, str) else json.dumps(result)
        return text.encode("utf-8", "surrogatepass")

    @property
    def load(self) -> object:
        """The worker's load report, not parsed yet."""
        return self.fields.get("load")


class CallbackReceiver:
    """Applies callbacks to the engine; only those from the worker of a live attempt have an effect."""

    def __init__(self, engine: Engine, log: Log, parse_report: ReportParser) -> None:
        self.engine = engine
        self.log = log
        self.parse_report = parse_report
        # Forwards a callback to the peer process of an upgrade, if there is one.
        self.ask_others: Callable[[Any], Deferred[bool] | None] = lambda call: None

    def forward(self, callback: WorkerCallback) -> Deferred[bool] | None:
        """Forward a callback to the peer process; None if the job is here or there is no peer process."""
        if self.engine.jobs.is_known(callback.request_id):
            return None
        return self.ask_others(callback.fields)

    def apply(self, callback: WorkerCallback) -> bool:
        """Apply a callback to its attempt; return whether this process has that attempt live."""
        attempt = self.engine.jobs.live_attempt(callback.request_id, callback.worker)
        if attempt is None:
            return False
        state = callback.state
        if state in PROGRESS_STATES:
            self.engine.attempts.worker_reported(attempt, callback.fraction_done, started=state == STARTED)
        elif state in ENDINGS:
            outcome = Outcome(ENDINGS[state], callback.result, self.parse_report(callback.load))
            self.engine.attempts.worker_ended(attempt, outcome)
        else:
            self.log.write("callback", f"{callback.worker}: unknown state {state!r}")
        return True
