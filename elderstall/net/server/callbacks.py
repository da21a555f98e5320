"""What workers call back about their attempts."""

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
    """One call of a worker about an attempt."""

    request_id: str
    worker: str
    state: str
    plain: dict[str, Any]  # as it came: for the other process of an upgrade

    @classmethod
    def from_plain(cls, plain: Any) -> WorkerCallback:
        """Read a call that was JSON; raises RequestError."""
        if not isinstance(plain, dict):
            raise RequestError(400, "no JSON object")
        request_id, worker, state = plain.get("id"), plain.get("from"), plain.get("state")
        if not (isinstance(request_id, str) and isinstance(worker, str) and isinstance(state, str)):
            raise RequestError(400, "id, from and state are text")
        return cls(request_id, worker, state, plain)

    @classmethod
    def from_body(cls, body: bytes) -> WorkerCallback:
        """Read the body of a request; raises RequestError."""
        try:
            plain: Any = json.loads(body)
        except (ValueError, RecursionError):
            raise RequestError(400, "no JSON") from None
        return cls.from_plain(plain)

    @property
    def share_done(self) -> float:
        """The share of the work that is done; 0 where none is given."""
        share = self.plain.get("share")
        return float(share) if isinstance(share, int | float) and 0 <= share <= 1 else 0.0

    @property
    def result(self) -> bytes:
        """The result: text as it is, anything else as JSON."""
        result = self.plain.get("result", "")
        text = result if isinstance(result, str) else json.dumps(result)
        return text.encode("utf-8", "surrogatepass")

    @property
    def load(self) -> object:
        """The worker's load report, unread."""
        return self.plain.get("load")


class CallbackReceiver:
    """Takes callbacks to the engine; only a live attempt's own worker is heard."""

    def __init__(self, engine: Engine, log: Log, parse_report: ReportParser) -> None:
        self.engine, self.log, self.parse_report = engine, log, parse_report
        # Asks the other process of an upgrade about a callback, if there is one.
        self.ask_others: Callable[[Any], Deferred[bool] | None] = lambda call: None

    def forward(self, callback: WorkerCallback) -> Deferred[bool] | None:
        """Ask the other process where the job is not this one's; None where there is none to ask."""
        if self.engine.jobs.knows(callback.request_id):
            return None
        return self.ask_others(callback.plain)

    def apply(self, callback: WorkerCallback) -> bool:
        """Act on a callback about a job here; say whether its attempt is live."""
        attempt = self.engine.jobs.live_attempt(callback.request_id, callback.worker)
        if attempt is None:
            return False
        state = callback.state
        if state in PROGRESS_STATES:
            self.engine.attempts.worker_started(attempt, callback.share_done, started=state == STARTED)
        elif state in ENDINGS:
            outcome = Outcome(ENDINGS[state], callback.result, self.parse_report(callback.load))
            self.engine.attempts.worker_ended(attempt, outcome)
        else:
            self.log.write("callback", f"{callback.worker}: unknown state {state!r}")
        return True
