"""A request on its way, for whoever may have to abort it."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from elderstall.interface import Ending
from elderstall.net.upstream.connection import WorkerConnection
from elderstall.net.upstream.exchange import Exchange


class RequestHandle:
    """One request on its way: over a connection, or waiting for one to come up."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.connection: WorkerConnection | None = None
        self.connecting: Deferred[WorkerConnection] | None = None

    @property
    def answer_begun(self) -> bool:
        """Whether the worker has begun to answer, as far as that can be seen without waiting."""
        return self.connection is not None and self.connection.has_begun_to_answer(self.exchange)

    def abort(self) -> Ending:
        """Close the connection if it still carries the request; give the request's ending.

        The reactor closes it in its next turn: what is written to another one in this turn goes first.
        """
        if self.connection is not None:
            return self.connection.abort(self.exchange)
        if self.connecting is not None:
            self.connecting.cancel()
        return Ending.UNREACHABLE
