"""The exchange that cancels a job that a worker may have accepted."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from elderstall.interface import Ending
from elderstall.net import http

CANCEL_TIMEOUT_MS = 2_000.0  # a DELETE may stay unanswered: its worker may be gone
SHORT_CANCEL_TIMEOUT_FACTOR = 0.4  # of the connect timeout, where the job can go on without a confirmation


class CancelExchange:
    """The exchange of a DELETE; any answer confirms the cancellation."""

    allows_retry = False
    counts_for_keep_alive = False

    def __init__(self, result: Deferred[bool]) -> None:
        self.result = result

    def forbidden_by(self) -> str | None:
        """Return None: the rules on sending apply to attempts only."""
        return None

    def request_written(self) -> None:
        """Do nothing: only attempts are counted."""

    def head_received(self, message: http.Message) -> None:
        """Accept any status."""

    def data_received(self, data: bytes) -> None:
        """Ignore the body, which has no meaning here."""

    def completed(self, *, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Report the cancellation as confirmed."""
        self.finish(confirmed=True)

    def failed(self, ending: Ending, *, answer_begun: bool = False, worker_unreachable: bool = False) -> None:
        """Report the cancellation as not confirmed."""
        self.finish(confirmed=False)

    def finish(self, *, confirmed: bool) -> None:
        """Fire the result with whether the worker confirmed, unless it has fired already."""
        if not self.result.called:
            self.result.callback(confirmed)
