"""The interface of what takes the answer to one request on a worker's connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from elderstall.interface import Ending
from elderstall.net import http


class Exchange(Protocol):
    """One request and its answer, as the connection that carries it reports on them."""

    @property
    def counts_for_keep_alive(self) -> bool:
        """Whether its end shows how well connections hold; not so for what follows on a break."""

    @property
    def ends_attempt(self) -> bool:
        """Whether the answer frees the job to be sent elsewhere.

        If it is another request's, that would make a second copy: a reused connection is closed then.
        """

    def forbidden_by(self) -> str | None:
        """Name what forbids the request by now; asked once its connection has come up."""

    def request_written(self) -> None:
        """Learn that the request's last byte was written."""

    def head_received(self, message: http.Message) -> None:
        """Take the answer's head."""

    def data_received(self, data: bytes) -> None:
        """Take bytes of its body."""

    def completed(self, *, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Take the answer's end.

        ``maybe_accepted``: the answer may be another request's. ``answer_begun``: and this one's has begun
        behind it.
        """

    def failed(self, ending: Ending, *, answer_begun: bool = False, worker_unreachable: bool = False) -> None:
        """Take the connection's end before the answer's.

        The ending is unreachable if the request's last byte was not written. ``answer_begun``: the worker
        had begun to answer. ``worker_unreachable``: see ``messages.Outcome``.
        """


@dataclass(slots=True, frozen=True)
class LastAnswer:
    """An answer that is complete, and reported as such once its connection has ended."""

    exchange: Exchange
    maybe_accepted: bool  # both as in ``Exchange.completed``
    answer_begun: bool

    def report(self) -> None:
        """Report it."""
        self.exchange.completed(maybe_accepted=self.maybe_accepted, answer_begun=self.answer_begun)
