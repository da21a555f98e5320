"""The connections to one worker: kept while idle, opened where none is."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from elderstall.interface import Ending
from elderstall.net import http
from elderstall.net.upstream.connect_errors import is_local
from elderstall.net.upstream.connection import CloseReason, Services, WorkerConnection
from elderstall.net.upstream.exchange import Exchange
from elderstall.net.upstream.handle import RequestHandle
from elderstall.net.upstream.request import WorkerRequest

Connect = Callable[[str, Factory], Deferred[WorkerConnection]]  # to an address, within the time allowed


class Pool(Factory):
    """The connections to one worker at one address."""

    noisy = False

    def __init__(self, services: Services, name: str, address: str, connect: Connect) -> None:
        self.services, self.name, self.address, self.connect = services, name, address, connect
        self.idle: list[WorkerConnection] = []  # the newest idle last
        self.closed = False

    def buildProtocol(self, addr: object) -> WorkerConnection:  # noqa: N802, D102
        return WorkerConnection(self)

    # ---- idle connections ----

    def release(self, connection: WorkerConnection) -> None:
        """Keep a connection that is free, until clearly before the worker's machine would close it."""
        if self.closed:
            connection.drop(CloseReason.POOL_CLOSED)
            return
        deadlines = self.services.deadlines
        self.idle.append(connection)
        self.services.connections.idle[connection] = None
        connection.idle_since = deadlines.now()
        connection.idle_timer = deadlines.after(
            self.services.keep_alive.keep_for, self.close_idle, connection
        )

    def close_idle(self, connection: WorkerConnection) -> None:
        """Close a connection if it is idle."""
        if connection in self.idle:
            self.idle.remove(connection)
            self.services.connections.idle.pop(connection, None)
            connection.drop(CloseReason.IDLE)

    def drop_idle(self, idle_for: float = 0.0) -> None:
        """Close the connections that have been idle for so long, ms."""
        since = self.services.deadlines.now() - idle_for
        for connection in self.idle[::-1]:
            if connection.idle_since is None or connection.idle_since <= since:
                self.close_idle(connection)

    def connection_lost(self, connection: WorkerConnection) -> None:
        """Take off a connection that has ended."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.services.connections.remove(connection.number, connection)

    def close(self) -> None:
        """Close the idle connections, and those in use once they are free."""
        self.closed = True
        self.drop_idle()

    def _take_idle(self, *, repeatable: bool) -> WorkerConnection | None:
        """Give the newest idle connection that may carry a request, if any."""
        keep_alive = self.services.keep_alive
        self.drop_idle(keep_alive.keep_for)  # something may have cut it since they became idle
        while self.idle and (repeatable or not keep_alive.new_safer):
            connection = self.idle.pop()
            self.services.connections.idle.pop(connection, None)
            if not connection.unread:
                return connection
            # Closed, or with bytes that nobody asked for, since the reactor last looked: nothing is written
            # to it, so nothing can have run there.
            connection.drop(CloseReason.WORKER_CLOSED)
        return None

    # ---- requests ----

    def begin(
        self,
        request: WorkerRequest,
        exchange: Exchange,
        *,
        max_body: int = http.MAX_BODY,
        repeatable: bool = True,
    ) -> RequestHandle:
        """Send a request over the newest idle connection, or a new one; give what aborts it.

        No request is ever written twice: the exchange hears of a connection that breaks, and that is all.
        """
        handle = RequestHandle(exchange)
        connection = self._take_idle(repeatable=repeatable)
        if connection is not None:
            handle.connection = connection
            connection.start(request, exchange, max_body)
        elif self.services.connections.make_room():
            self._open(handle, request, max_body)
        else:
            self.services.log.write("limit", f"no descriptor for a connection to {self.name}")
            exchange.failed(Ending.UNREACHABLE)
        return handle

    def _open(self, handle: RequestHandle, request: WorkerRequest, max_body: int) -> None:
        """Open a connection for a request."""
        self.services.connections.opening += 1
        handle.connecting = connecting = maybeDeferred(self.connect, self.address, self)
        connecting.addCallbacks(
            self._opened,
            self._open_failed,
            callbackArgs=(handle, request, max_body),
            errbackArgs=(handle,),
        )
        connecting.addErrback(self._log_error)

    def _opened(
        self, connection: WorkerConnection, handle: RequestHandle, request: WorkerRequest, max_body: int
    ) -> None:
        """Write a request to its new connection, unless the request may not be sent any more."""
        self.services.connections.opening -= 1
        handle.connection = connection
        exchange = handle.exchange
        if connection.unread:  # ended as it came up, see ``_take_idle``
            connection.drop(CloseReason.WORKER_CLOSED)
            exchange.failed(Ending.UNREACHABLE)
            return
        why = "it is gone, or another process now" if self.closed else exchange.forbidden_by()
        if why is not None:
            self.services.log.write("rule", f"nothing written to {self.name}, up late: {why}")
            self.release(connection)
            exchange.failed(Ending.UNREACHABLE)
            return
        connection.start(request, exchange, max_body)

    def _open_failed(self, failure: Failure, handle: RequestHandle) -> None:
        """Report that no connection came up, unless the request was aborted."""
        self.services.connections.opening -= 1
        if not isinstance(failure.value, CancelledError):
            self.services.log.write("connect", f"{self.name}: {type(failure.value).__name__}")
            handle.exchange.failed(Ending.UNREACHABLE, worker_unreachable=not is_local(failure.value))

    def _log_error(self, failure: Failure) -> None:
        """Log an error in the program; whoever waits has time-outs of its own."""
        self.services.log.failure("exchange", failure.value)
