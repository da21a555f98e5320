"""The pool of connections to one worker: idle ones are reused, new ones opened on demand."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.internet.error import ConnectionRefusedError as TcpConnectionRefusedError
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from elderstall.interface import Ending
from elderstall.net import http
from elderstall.net.upstream.connect_errors import is_local_error
from elderstall.net.upstream.connection import CloseReason, Services, WorkerConnection
from elderstall.net.upstream.exchange import Exchange, RequestFailure
from elderstall.net.upstream.handle import RequestHandle
from elderstall.net.upstream.request import WorkerRequest

# Connects to an address within the connect timeout.
Connect = Callable[[str, Factory], Deferred[WorkerConnection]]


class Pool(Factory):
    """The pool of connections to one worker at one address."""

    noisy = False

    def __init__(self, services: Services, name: str, address: str, connect: Connect) -> None:
        self.services = services
        self.name = name
        self.address = address
        self.connect = connect
        self.idle: list[WorkerConnection] = []  # the most recently used last
        self.is_closed = False

    def buildProtocol(self, addr: object) -> WorkerConnection:  # noqa: N802, D102
        return WorkerConnection(self)

    # ---- idle connections ----

    def release(self, connection: WorkerConnection) -> None:
        """Add an idle connection, to be closed after the idle timeout; close it if the pool is closed."""
        if self.is_closed:
            connection.drop(CloseReason.POOL_CLOSED)
            return
        deadlines = self.services.deadlines
        self.idle.append(connection)
        self.services.connections.idle[connection] = None
        connection.idle_since = deadlines.now()
        connection.idle_timer = deadlines.after(
            self.services.keep_alive.idle_timeout, self.close_idle, connection
        )

    def close_idle(self, connection: WorkerConnection) -> None:
        """Close a connection if it is idle."""
        if connection in self.idle:
            self.idle.remove(connection)
            self.services.connections.idle.pop(connection, None)
            connection.drop(CloseReason.IDLE)

    def close_idle_connections(self, min_idle_ms: float = 0.0) -> None:
        """Close the connections that have been idle for at least ``min_idle_ms``."""
        since = self.services.deadlines.now() - min_idle_ms
        for connection in self.idle[::-1]:
            if connection.idle_since is None or connection.idle_since <= since:
                self.close_idle(connection)

    def connection_lost(self, connection: WorkerConnection) -> None:
        """Remove a connection that has ended."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.services.connections.remove(connection.number, connection)

    def close(self) -> None:
        """Close the idle connections now, and those in use when their requests end."""
        self.is_closed = True
        self.close_idle_connections()

    def _take_idle(self, *, repeatable: bool) -> WorkerConnection | None:
        """Remove and return the most recently used idle connection that may carry a request, or None."""
        keep_alive = self.services.keep_alive
        self.close_idle_connections(keep_alive.idle_timeout)  # the idle timeout may have been reduced since
        while self.idle and (repeatable or not keep_alive.prefers_new_connections):
            connection = self.idle.pop()
            self.services.connections.idle.pop(connection, None)
            if not connection.has_unread_input:
                return connection
            # The worker closed it or sent unsolicited data, which the reactor has not read yet. The request
            # is not written to it, so it cannot have run.
            connection.drop(CloseReason.WORKER_CLOSED)
        return None

    # ---- requests ----

    def start_request(
        self,
        request: WorkerRequest,
        exchange: Exchange,
        *,
        max_body: int = http.MAX_BODY_BYTES,
        repeatable: bool = True,
    ) -> RequestHandle:
        """Send a request over an idle connection or a new one; return the handle that aborts it.

        A request is never written twice: if its connection breaks, the exchange fails.
        """
        handle = RequestHandle(exchange)
        connection = self._take_idle(repeatable=repeatable)
        if connection is not None:
            handle.connection = connection
            connection.start(request, exchange, max_body)
        elif self.services.connections.make_room():
            self._open(handle, request, max_body)
        else:
            self.services.log.write("limit", f"too many open connections; request to {self.name} not sent")
            exchange.failed(RequestFailure(Ending.UNREACHABLE))
        return handle

    def _open(self, handle: RequestHandle, request: WorkerRequest, max_body: int) -> None:
        """Open a connection and write a request to it once it is established."""
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
        """Write a request to its new connection, unless it must not be sent any more."""
        self.services.connections.opening -= 1
        handle.connection = connection
        exchange = handle.exchange
        if connection.has_unread_input:  # ended or unsolicited data, see ``_take_idle``
            connection.drop(CloseReason.WORKER_CLOSED)
            exchange.failed(RequestFailure(Ending.UNREACHABLE))
            return
        # A pool is closed if its worker is gone, has restarted or has a new address, and at shutdown.
        is_closed = self.is_closed and not exchange.allows_closed_pool
        reason = "the pool has been closed" if is_closed else exchange.forbidden_by()
        if reason is not None:
            self.services.log.write("rule", f"request not sent to {self.name} after connecting: {reason}")
            self.release(connection)
            exchange.failed(RequestFailure(Ending.UNREACHABLE))
            return
        connection.start(request, exchange, max_body)

    def _open_failed(self, failure: Failure, handle: RequestHandle) -> None:
        """Report that no connection was established, unless the request was aborted."""
        self.services.connections.opening -= 1
        if not isinstance(failure.value, CancelledError):
            self.services.log.write(
                "connect", f"connection to {self.name} failed: {type(failure.value).__name__}"
            )
            handle.exchange.failed(
                RequestFailure(
                    Ending.UNREACHABLE,
                    worker_unreachable=not is_local_error(failure.value),
                    connection_refused=isinstance(failure.value, TcpConnectionRefusedError),
                )
            )

    def _log_error(self, failure: Failure) -> None:
        """Log an error in the program; the callers that wait have timeouts of their own."""
        self.services.log.failure("exchange", failure.value)
