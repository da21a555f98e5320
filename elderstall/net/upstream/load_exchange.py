"""The exchange of a poll for a worker's load report."""

from __future__ import annotations

import json
from collections.abc import Callable

from twisted.internet.defer import Deferred

from elderstall.interface import Ending
from elderstall.log import Log
from elderstall.messages import Acceptance, Outcome
from elderstall.net import http
from elderstall.net.upstream.exchange import RequestFailure
from elderstall.net.upstream.responses import LoadReport

POLL_TIMEOUT_FACTOR = 1.0  # of the connect timeout, for the answer


class PollExchange:
    """The exchange of one poll."""

    allows_retry = False
    counts_for_keep_alive = True
    allows_closed_pool = False

    def __init__(
        self, read_report: Callable[[object], LoadReport], log: Log, result: Deferred[Outcome]
    ) -> None:
        self.read_report = read_report
        self.log = log
        self.result = result
        self.status = 0
        self.body = bytearray()

    def forbidden_by(self) -> str | None:
        """Return None: the rules on sending apply to attempts only."""
        return None

    def request_written(self) -> None:
        """Do nothing: only attempts are counted."""

    def head_received(self, message: http.Message) -> None:
        """Record the answer's status."""
        self.status = message.status

    def data_received(self, data: bytes) -> None:
        """Collect the report's bytes; the parser limits their number."""
        self.body += data

    def completed(self, acceptance: Acceptance = Acceptance.RULED_OUT) -> None:
        """Report the load report, or a full worker for any status other than 200."""
        report: LoadReport = ()
        if self.status == 200:
            try:
                report = self.read_report(json.loads(self.body))
            except (ValueError, RecursionError):
                self.log.write("bad-answer", "load report cannot be parsed as JSON; ignoring it")
        self.finish(Outcome(Ending.SERVED if self.status == 200 else Ending.FULL, report=report))

    def failed(self, failure: RequestFailure) -> None:
        """Report the end of the connection as the poll's ending."""
        self.finish(Outcome(failure.ending, worker_unreachable=failure.worker_unreachable))

    def finish(self, outcome: Outcome) -> None:
        """Fire the result with the outcome, unless it has fired already."""
        if not self.result.called:
            self.result.callback(outcome)
