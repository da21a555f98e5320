"""The interface through which a connection to a worker reports on a request and its answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from elderstall.interface import Ending
from elderstall.net import http


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

    def completed(self, *, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Handle the answer's end.

        ``maybe_accepted``: the answer may belong to an earlier request, so the worker may have accepted this
        one. ``answer_begun``: another answer has begun after this one; it may be the one to this request.
        """

    def failed(self, ending: Ending, *, answer_begun: bool = False, worker_unreachable: bool = False) -> None:
        """Handle a request that failed before the end of its answer.

        Its connection was not established or has ended (unreachable if the request's last byte was not
        written), the request timed out before its first byte (never sent, the connection is kept), or a poll
        was not answered in time (timed out). ``answer_begun``: the worker had begun to answer, whether or not
        the answer was valid. ``worker_unreachable``: see ``messages.Outcome``.
        """


@dataclass(slots=True, frozen=True)
class LastAnswer:
    """A complete answer that is reported once its connection has ended."""

    exchange: Exchange
    maybe_accepted: bool  # both fields as in ``Exchange.completed``
    answer_begun: bool

    def report(self) -> None:
        """Report the answer's end to its exchange."""
        self.exchange.completed(maybe_accepted=self.maybe_accepted, answer_begun=self.answer_begun)
