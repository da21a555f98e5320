"""The handle by which a request in progress can be aborted."""

from __future__ import annotations

from twisted.internet.defer import Deferred

from elderstall.interface import Ending
from elderstall.net.upstream.connection import WorkerConnection
from elderstall.net.upstream.exchange import Exchange


class RequestHandle:
    """A request in progress: on a connection, or waiting for one to be established."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.connection: WorkerConnection | None = None
        self.connecting: Deferred[WorkerConnection] | None = None

    @property
    def has_answer_begun(self) -> bool:
        """Whether the worker has begun to answer, as far as that is known without blocking."""
        return self.connection is not None and self.connection.has_begun_to_answer(self.exchange)

    def abort(self) -> Ending:
        """Close the connection if it still carries the request; return the request's ending.

        The reactor closes it in its next iteration, after anything written to other connections in this one.
        """
        if self.connection is not None:
            return self.connection.abort(self.exchange)
        if self.connecting is not None:
            self.connecting.cancel()
        return Ending.UNREACHABLE
