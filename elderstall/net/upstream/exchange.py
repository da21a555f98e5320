"""The interface through which a connection to a worker reports on a request and its answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from elderstall.interface import Ending
from elderstall.messages import Acceptance
from elderstall.net import http


@dataclass(slots=True, frozen=True)
class RequestFailure:
    """The failure of a request before the end of its answer."""

    # Unreachable: the connection was not established, or ended before the request's last byte was written.
    # Never sent: the request timed out before its first byte, and the connection is kept. Timed out: a poll
    # was not answered in time. Otherwise the connection has ended under the request.
    ending: Ending
    answer_begun: bool = False  # the worker had begun to answer, whether or not the answer was valid
    worker_unreachable: bool = False  # see ``messages.Outcome``
    # The connection was refused: the worker's process has ended, and every attempt at it with it.
    connection_refused: bool = False


class Exchange(Protocol):
    """Handles the events of one request and its answer, reported by the connection that carries them."""

    @property
    def counts_for_keep_alive(self) -> bool:
        """Whether it counts in the statistics of broken connections; cancels, which follow breaks, do not."""

    @property
    def allows_retry(self) -> bool:
        """Whether the job may be attempted again after this answer.

        False after a 202 or a streamed result, and for polls and cancels. Where it is true, the answer may
        belong to an earlier request, and another attempt would be a duplicate execution; a reused connection
        is therefore closed first.
        """

    @property
    def allows_closed_pool(self) -> bool:
        """Whether it may still be sent after its worker was removed from the list, or has restarted."""

    def forbidden_by(self) -> str | None:
        """Return the name of a rule that now forbids the request, or None.

        Checked when a new connection is established; on a reused one the request is written at once.
        """

    def request_written(self) -> None:
        """Handle the write of the request's last byte."""

    def head_received(self, message: http.Message) -> None:
        """Handle the answer's head."""

    def data_received(self, data: bytes) -> None:
        """Handle a piece of the answer's body."""

    def completed(self, acceptance: Acceptance = Acceptance.RULED_OUT) -> None:
        """Handle the answer's end.

        ``acceptance`` of a job's request is possible if the answer may belong to an earlier request, and
        likely if another answer has begun after it.
        """

    def failed(self, failure: RequestFailure) -> None:
        """Handle a request that failed before the end of its answer."""


@dataclass(slots=True, frozen=True)
class LastAnswer:
    """A complete answer that is reported once its connection has ended."""

    exchange: Exchange
    acceptance: Acceptance  # as in ``Exchange.completed``

    def report(self) -> None:
        """Report the answer's end to its exchange."""
        self.exchange.completed(self.acceptance)
