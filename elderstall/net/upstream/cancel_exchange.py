"""The exchange that has a worker give up a job that it may have accepted."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from elderstall.interface import Ending
from elderstall.net import http

CANCEL_WAIT = 2_000.0  # ms that a DELETE may take; its worker may have vanished
SHORT_CANCEL_WAIT = 0.4  # connect time-outs that it may take where the job can go on without its answer


class CancelExchange:
    """The exchange of a DELETE: any answer confirms it."""

    ends_attempt = counts_for_keep_alive = False

    def __init__(self, result: Deferred[bool]) -> None:
        self.result = result

    def forbidden_by(self) -> str | None:
        """Nothing forbids it: it is no attempt."""
        return None

    def request_written(self) -> None:
        """Count nothing: it is no attempt."""

    def head_received(self, message: http.Message) -> None:
        """Take the head: any status will do."""

    def data_received(self, data: bytes) -> None:
        """Ignore the body: it says nothing here."""

    def completed(self, *, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Take the answer's end: the worker knows."""
        self.finish(confirmed=True)

    def failed(self, ending: Ending, *, answer_begun: bool = False, worker_unreachable: bool = False) -> None:
        """Take the connection's end."""
        self.finish(confirmed=False)

    def finish(self, *, confirmed: bool) -> None:
        """Say whether the worker knows, once."""
        if not self.result.called:
            self.result.callback(confirmed)
