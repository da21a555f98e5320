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
    def ends_attempt(self) -> bool:
        """Whether the answer allows another attempt of the job.

        If the answer belongs to an earlier request, another attempt would be a duplicate execution; a reused
        connection is therefore closed first.
        """

    def forbidden_by(self) -> str | None:
        """Return the name of a rule that now forbids the request, or None; checked once it is connected."""

    def request_written(self) -> None:
        """Handle the write of the request's last byte."""

    def head_received(self, message: http.Message) -> None:
        """Handle the answer's head."""

    def data_received(self, data: bytes) -> None:
        """Handle a piece of the answer's body."""

    def completed(self, *, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Handle the answer's end.

        ``maybe_accepted``: the answer may belong to an earlier request. ``answer_begun``: an answer to this
        request has begun after it.
        """

    def failed(self, ending: Ending, *, answer_begun: bool = False, worker_unreachable: bool = False) -> None:
        """Handle the end of the connection before the end of the answer.

        The ending is unreachable if the request's last byte was not written. ``answer_begun``: the worker
        had begun to answer. ``worker_unreachable``: see ``messages.Outcome``.
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
