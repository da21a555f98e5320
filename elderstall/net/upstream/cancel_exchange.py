"""The exchange that cancels a job that a worker may have accepted."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from elderstall.messages import Acceptance
from elderstall.net import http
from elderstall.net.upstream.exchange import RequestFailure


class CancelExchange:
    """The exchange of a DELETE; any answer confirms the cancellation."""

    allows_retry = False
    counts_for_keep_alive = False
    allows_closed_pool = True  # the job was sent to this address, whatever is listed now

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

    def completed(self, acceptance: Acceptance = Acceptance.RULED_OUT) -> None:
        """Report the cancellation as confirmed."""
        self.finish(confirmed=True)

    def failed(self, failure: RequestFailure) -> None:
        """Report whether the failure shows that the job cannot run any more."""
        self.finish(confirmed=failure.connection_refused)

    def finish(self, *, confirmed: bool) -> None:
        """Fire the result with whether the job cannot run there any more, unless it has fired already."""
        if not self.result.called:
            self.result.callback(confirmed)
