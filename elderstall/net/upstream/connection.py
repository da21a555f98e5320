"""One connection to a worker, which carries one request at a time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any
from typing import Protocol as Interface

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from elderstall.deadlines import Deadline, Deadlines
from elderstall.interface import Ending
from elderstall.log import Log
from elderstall.messages import Acceptance
from elderstall.net import http
from elderstall.net.peer import has_unread_data
from elderstall.net.upstream.exchange import Exchange, LastAnswer, RequestFailure
from elderstall.net.upstream.keep_alive import STALE_CONNECTION_WINDOW_MS, KeepAlive
from elderstall.net.upstream.open_connections import OpenConnections
from elderstall.net.upstream.request import WorkerRequest
from elderstall.net.upstream.request_writer import RequestWriter

READ_BUFFER_BYTES = 16 * 1024  # per read: limits the work that an answer in small chunks causes in one turn


class CloseReason(Enum):
    """The reason why a connection ended; the value is its code in the log."""

    WORKER_CLOSED = "worker-closed"  # by the worker or the network, or it had unread data before a request
    LAST_ANSWER = "worker-close"  # closed here after an answer: the last, or perhaps an earlier request's
    BAD_ANSWER = "bad-answer"  # malformed, of an unexpected status, or without a request
    WRITE_FAILED = "write-failed"
    ABORTED = "given-up"  # the request was aborted: cancelled or timed out
    IDLE = "idle"  # closed here while idle
    POOL_CLOSED = "retired"  # its pool was closed while it was in use or opening


@dataclass(slots=True, frozen=True)
class Services:
    """The services shared by all connections to workers."""

    deadlines: Deadlines
    log: Log
    keep_alive: KeepAlive
    connections: OpenConnections[WorkerConnection]


class ConnectionPool(Interface):
    """The pool that a connection belongs to."""

    services: Services
    name: str  # the worker's

    def release(self, connection: WorkerConnection) -> None:
        """Accept a connection that is free for the next request."""

    def close_idle(self, connection: WorkerConnection) -> None:
        """Close a connection if it is idle."""

    def close_idle_connections(self, min_idle_ms: float = 0.0) -> None:
        """Close the connections that have been idle for at least ``min_idle_ms``."""

    def connection_lost(self, connection: WorkerConnection) -> None:
        """Remove a connection that has ended."""


class WorkerConnection(Protocol):
    """One connection to a worker, which carries one request at a time."""

    transport: Any  # an ITCPTransport; mypy does not understand zope interfaces

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.services = pool.services
        self.parser = http.Parser(responses=True)
        self.exchange: Exchange | None = None
        self.writer: RequestWriter | None = None  # of the current request
        self.is_reusable = False
        self.close_reason = CloseReason.WORKER_CLOSED
        self.number = 0
        self.idle_timer: Deadline | None = None
        self.started_at = 0.0  # clock reading at the start of its current request, ms
        self.idle_since: float | None = None  # when last released to its pool; None if it is not a reused one
        self.idle_before_ms = 0.0  # before the current request; 0 on a new connection
        self.last_answer: LastAnswer | None = None

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BUFFER_BYTES
        self.number = self.services.connections.add(self)

    # ---- the request ----

    def start(self, request: WorkerRequest, exchange: Exchange, max_body: int = http.MAX_BODY_BYTES) -> None:
        """Write a request and report its answer to ``exchange``."""
        self.stop_idle_timer()
        self.started_at = self.services.deadlines.now()
        self.idle_before_ms = 0.0 if self.idle_since is None else self.started_at - self.idle_since
        if exchange.counts_for_keep_alive:
            self.services.keep_alive.record_use(self.idle_before_ms)
        self.parser.max_body = max_body
        self.exchange = exchange
        self.writer = RequestWriter(self, self.transport, self.services.deadlines, request)
        self.writer.write()

    def stop_idle_timer(self) -> None:
        """Cancel the close that is scheduled for an idle connection."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    @property
    def is_written(self) -> bool:
        """Whether the current request was written to its last byte."""
        return self.writer is not None and self.writer.is_written

    def request_written(self) -> None:
        """Report to the exchange that the request's last byte was written."""
        if self.exchange is not None:
            self.exchange.request_written()

    def request_expired(self) -> None:
        """Fail the exchange and keep the connection: the attempt timed out before a byte was written."""
        exchange = self._end_exchange()
        self.services.log.write(
            "rule", f"request not sent to {self.pool.name}: it timed out before its first byte"
        )
        self._release()
        if exchange is not None:
            exchange.failed(RequestFailure(Ending.NEVER_SENT))

    def write_failed(self) -> None:
        """Close the connection; when it has ended, the exchange fails as unreachable."""
        self.drop(CloseReason.WRITE_FAILED)

    def _end_exchange(self) -> Exchange | None:
        """Detach the exchange from the connection and return it."""
        exchange = self.exchange
        self.exchange = None
        if self.writer is not None:
            self.writer.cancel()
        return exchange

    def _release(self) -> None:
        """Return the connection to its pool, for the next request."""
        self.writer = None
        self.pool.release(self)

    # ---- the answer ----

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.parser.feed(data)
        if self.exchange is None:
            self.drop(CloseReason.BAD_ANSWER, "received data without a request; closing the connection")
            return
        try:
            while self.exchange is not None and (event := self.parser.next()) is not None:
                self._handle_event(self.exchange, event)
        except http.MessageError as error:
            self.drop(CloseReason.BAD_ANSWER, str(error))

    def _handle_event(self, exchange: Exchange, event: http.Event) -> None:
        """Pass one event of the answer to the exchange; informational answers (1xx) are skipped."""
        if isinstance(event, http.Head):
            if 100 <= event.message.status < 200:
                self.parser.next()  # has no body, so its End is there at once; the final answer follows
                return
            self.is_reusable = event.message.keep_alive
            exchange.head_received(event.message)
        elif isinstance(event, http.Data):
            exchange.data_received(event.data)
        else:
            self._answer_complete(exchange)

    def _answer_complete(self, exchange: Exchange) -> None:
        """Report the answer's end, at once or when the connection has ended.

        On a reused connection the answer may be a second answer to an earlier request, and another attempt
        would then be a duplicate execution. Closing the connection makes the worker abandon the attempt, so
        it is reported as ended only after that, with whether its own answer, perhaps a 202, has begun.
        """
        self._end_exchange()
        maybe_earlier_answer = self.idle_since is not None and exchange.allows_retry
        if self.is_reusable and self.is_written and self.parser.idle and not maybe_earlier_answer:
            # Released first, so that a request which the exchange sends next can use this connection.
            self._release()
            exchange.completed()
        else:
            self.last_answer = LastAnswer(
                exchange, self._acceptance() if maybe_earlier_answer else Acceptance.RULED_OUT
            )
            self.drop(CloseReason.LAST_ANSWER)

    def _acceptance(self) -> Acceptance:
        """Return whether the worker may have accepted a request after an answer to an earlier one."""
        return Acceptance.LIKELY if self.has_unfinished_answer else Acceptance.POSSIBLE

    @property
    def has_unread_input(self) -> bool:
        """Whether data or the connection's end is waiting that the reactor has not read yet."""
        return has_unread_data(self.transport)

    @property
    def has_unfinished_answer(self) -> bool:
        """Whether an answer of the worker may have begun and was not read to its end.

        Also true if only the connection's end is waiting to be read, or if the check for it failed.
        """
        return not self.parser.idle or self.has_unread_input

    def has_begun_to_answer(self, exchange: Exchange) -> bool:
        """Return whether an exchange's answer has begun, as far as that is known without blocking."""
        if self.last_answer is not None and self.last_answer.exchange is exchange:
            return True
        return self.exchange is exchange and self.has_unfinished_answer

    # ---- its end ----

    @property
    def is_recently_started(self) -> bool:
        """Whether the request was started so recently that a break indicates a stale connection."""
        return self.services.deadlines.now() - self.started_at <= STALE_CONNECTION_WINDOW_MS

    def ending(self, *, assume_stale: bool) -> Ending:
        """Return the ending of the current request.

        ``assume_stale``: report a reused connection as ended before the request; no effect on a new one.
        """
        if not self.is_written:
            return Ending.UNREACHABLE
        return Ending.STALE_CONNECTION if assume_stale and self.idle_before_ms > 0 else Ending.BROKEN

    def close_idle(self) -> None:
        """Close the connection if it is idle."""
        self.pool.close_idle(self)

    def abort(self, exchange: Exchange) -> Ending:
        """Close the connection if it still carries the exchange; return the ending of the exchange.

        Nothing more is reported to it, except the end of an answer that is complete and is reported only when
        the connection has ended.
        """
        if self.exchange is not exchange:
            return Ending.BROKEN
        ending = self.ending(assume_stale=True)
        self._end_exchange()
        self.drop(CloseReason.ABORTED)
        return ending

    def drop(self, reason: CloseReason, detail: str = "") -> None:
        """Abort the connection, recording the reason; ``detail`` is logged."""
        self.close_reason = reason
        self.services.connections.closing.add(self)
        if detail:
            self.services.log.write("bad-answer", f"{self.pool.name}: {detail}")
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.stop_idle_timer()
        self.services.connections.closing.discard(self)
        self.pool.connection_lost(self)
        exchange = self._end_exchange()
        last_answer = self.last_answer
        self.last_answer = None
        self.services.log.ended("worker", self.number, self.close_reason.value, self.pool.name)
        if last_answer is not None:
            last_answer.report()
        if exchange is not None:
            self._report_loss(exchange)
        self.writer = None  # breaks a reference cycle, so that this connection is freed at once

    def _report_loss(self, exchange: Exchange) -> None:
        """Report the connection's end to its exchange; it may also be the end of the answer."""
        if self.parser.eof() is not None:
            exchange.completed()
            return
        if exchange.counts_for_keep_alive and self.is_recently_started:
            self.services.keep_alive.record_break(self.pool.name, self.idle_before_ms)
        answer_begun = self.close_reason is CloseReason.BAD_ANSWER or not self.parser.idle
        ending = self.ending(assume_stale=self.is_recently_started)
        exchange.failed(RequestFailure(ending, answer_begun=answer_begun))
