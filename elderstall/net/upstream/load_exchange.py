"""The exchange of a poll for a worker's load report."""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet.defer import Deferred

from elderstall.interface import Ending
from elderstall.log import Log
from elderstall.messages import Outcome
from elderstall.net import http
from elderstall.net.upstream.responses import LoadReport

POLL_WAIT = 1.0  # connect time-outs that the answer may take


class LoadExchange:
    """The exchange of one poll."""

    ends_attempt, counts_for_keep_alive = False, True

    def __init__(
        self, read_report: Callable[[object], LoadReport], log: Log, result: Deferred[Outcome]
    ) -> None:
        self.read_report, self.log, self.result = read_report, log, result
        self.status, self.body = 0, bytearray()

    def forbidden_by(self) -> str | None:
        """Nothing forbids it: it is no attempt."""
        return None

    def request_written(self) -> None:
        """Count nothing: it is no attempt."""

    def head_received(self, message: http.Message) -> None:
        """Take the head."""
        self.status = message.status

    def data_received(self, data: bytes) -> None:
        """Take bytes of the report; the parser bounds them."""
        self.body += data

    def completed(self, *, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Take the answer's end: a report, or that the worker answers no more polls now."""
        report: LoadReport = ()
        if self.status == 200:
            try:
                report = self.read_report(json.loads(self.body))
            except (ValueError, RecursionError):
                self.log.write("bad-answer", "a load report that cannot be read")
        self.finish(Outcome(Ending.SERVED if self.status == 200 else Ending.FULL, report=report))

    def failed(self, ending: Ending, *, answer_begun: bool = False, worker_unreachable: bool = False) -> None:
        """Take the connection's end."""
        self.finish(Outcome(ending, worker_unreachable=worker_unreachable))

    def finish(self, outcome: Outcome) -> None:
        """Give the outcome, once."""
        if not self.result.called:
            self.result.callback(outcome)
