"""One connection to a worker, carrying one request at a time."""

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
from elderstall.net import http
from elderstall.net.peer import unread
from elderstall.net.upstream.exchange import Exchange, LastAnswer
from elderstall.net.upstream.keep_alive import STALE_WITHIN, KeepAlive
from elderstall.net.upstream.open_connections import OpenConnections
from elderstall.net.upstream.request import WorkerRequest
from elderstall.net.upstream.request_writer import RequestWriter


class CloseReason(Enum):
    """Why a connection ended; the value is its code in the log."""

    WORKER_CLOSED = "worker-closed"
    LAST_ANSWER = "worker-close"  # the worker's answer is the last on this connection, or may be another's
    BAD_ANSWER = "bad-answer"
    WRITE_FAILED = "write-failed"
    ABORTED = "given-up"
    IDLE = "idle"
    POOL_CLOSED = "retired"


@dataclass(slots=True, frozen=True)
class Services:
    """What all connections to workers share."""

    deadlines: Deadlines
    log: Log
    keep_alive: KeepAlive
    connections: OpenConnections[WorkerConnection]


class ConnectionPool(Interface):
    """What a connection belongs to."""

    services: Services
    name: str  # the worker's

    def release(self, connection: WorkerConnection) -> None:
        """Take a connection that is free for the next request."""

    def close_idle(self, connection: WorkerConnection) -> None:
        """Close a connection if it is idle."""

    def drop_idle(self, idle_for: float = 0.0) -> None:
        """Close the connections that have been idle for so long."""

    def connection_lost(self, connection: WorkerConnection) -> None:
        """Take off a connection that has ended."""


class WorkerConnection(Protocol):
    """One connection to a worker: one request at a time."""

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool, self.services = pool, pool.services
        self.parser = http.Parser(responses=True)
        self.exchange: Exchange | None = None
        self.writer: RequestWriter | None = None  # of the request under way
        self.reusable = False
        self.close_reason = CloseReason.WORKER_CLOSED
        self.number = 0
        self.idle_timer: Deadline | None = None
        self.started_at = 0.0  # when its request was handed over
        self.idle_since: float | None = None  # when it last became idle, if it was used before
        self.idle_for = 0.0  # ms that it was idle before this request
        self.last_answer: LastAnswer | None = None

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.transport.setTcpNoDelay(True)
        self.number = self.services.connections.add(self)

    # ---- the request ----

    def start(self, request: WorkerRequest, exchange: Exchange, max_body: int = http.MAX_BODY) -> None:
        """Write a request."""
        self.stop_idle_timer()
        self.started_at = self.services.deadlines.now()
        self.idle_for = 0.0 if self.idle_since is None else self.started_at - self.idle_since
        if exchange.counts_for_keep_alive:
            self.services.keep_alive.used(self.idle_for)
        self.parser.max_body = max_body
        self.exchange = exchange
        self.writer = RequestWriter(self, self.transport, self.services.deadlines, request)
        self.writer.write()

    def stop_idle_timer(self) -> None:
        """Let the connection live on."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    @property
    def written(self) -> bool:
        """Whether the request under way was written to its last byte."""
        return self.writer is not None and self.writer.written

    def request_written(self) -> None:
        """Note that the request's last byte was written."""
        if self.exchange is not None:
            self.exchange.request_written()

    def request_expired(self) -> None:
        """Keep the connection, as the time of its attempt was over before a byte was written."""
        exchange = self._end_exchange()
        self.services.log.write("rule", f"nothing written to {self.pool.name}: no time left")
        self._release()
        if exchange is not None:
            exchange.failed(Ending.NEVER_SENT)

    def write_failed(self) -> None:
        """Close the connection; once it has ended the exchange hears that nothing was written."""
        self.drop(CloseReason.WRITE_FAILED)

    def _end_exchange(self) -> Exchange | None:
        """Carry the exchange no more; give it."""
        exchange, self.exchange = self.exchange, None
        if self.writer is not None:
            self.writer.cancel()
        return exchange

    def _release(self) -> None:
        """Be free for the next request."""
        self.writer = None
        self.pool.release(self)

    # ---- the answer ----

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.parser.feed(data)
        if self.exchange is None:
            self.drop(CloseReason.BAD_ANSWER, "bytes without a request")
            return
        try:
            while self.exchange is not None and (event := self.parser.next()) is not None:
                self._take(self.exchange, event)
        except http.MessageError as error:
            self.drop(CloseReason.BAD_ANSWER, str(error))

    def _take(self, exchange: Exchange, event: http.Event) -> None:
        """Pass one event of the answer on."""
        if isinstance(event, http.Head):
            if 100 <= event.message.status < 200:
                self.parser.next()  # its End; the answer is still to come
                return
            self.reusable = event.message.keep_alive
            exchange.head_received(event.message)
        elif isinstance(event, http.Data):
            exchange.data_received(event.data)
        else:
            self._answer_complete(exchange)

    def _answer_complete(self, exchange: Exchange) -> None:
        """Report the answer's end, at once or when the connection has ended.

        Guards against two copies: on a reused connection the answer may be the second one to what it carried
        before. Once the connection is closed the attempt is given up in any case, and may be reported as
        ended; but not if this one's 202 has come behind it.
        """
        self._end_exchange()
        doubtful = self.idle_since is not None and exchange.ends_attempt
        if self.reusable and self.written and self.parser.idle and not doubtful:
            # Idle before the exchange hears of it, so that what it sends next finds this connection.
            self._release()
            exchange.completed()
        else:
            self.last_answer = LastAnswer(exchange, doubtful, doubtful and self.answer_begun)
            self.drop(CloseReason.LAST_ANSWER)

    @property
    def unread(self) -> bool:
        """Whether bytes or an end have come that the reactor has not read yet."""
        return unread(self.transport)

    @property
    def answer_begun(self) -> bool:
        """Whether the worker has begun to say something that is not read to its end."""
        return not self.parser.idle or self.unread

    def has_begun_to_answer(self, exchange: Exchange) -> bool:
        """Say whether an exchange's answer has begun, as far as that can be seen without waiting."""
        if self.last_answer is not None and self.last_answer.exchange is exchange:
            return True
        return self.exchange is exchange and self.answer_begun

    # ---- its end ----

    @property
    def started_just_now(self) -> bool:
        """Whether the request was handed over so recently that a break shows a stale connection."""
        return self.services.deadlines.now() - self.started_at <= STALE_WITHIN

    def ending(self, *, stale: bool) -> Ending:
        """Give the ending of what is under way; ``stale``: a kept connection counts as gone before it."""
        if not self.written:
            return Ending.UNREACHABLE
        return Ending.STALE_CONNECTION if stale and self.idle_for > 0 else Ending.BROKEN

    def close_idle(self) -> None:
        """Close the connection if it is idle."""
        self.pool.close_idle(self)

    def abort(self, exchange: Exchange) -> Ending:
        """Close the connection if it still carries the exchange, which hears no more; give its ending."""
        if self.exchange is not exchange:
            return Ending.BROKEN
        ending = self.ending(stale=True)
        self._end_exchange()
        self.drop(CloseReason.ABORTED)
        return ending

    def drop(self, reason: CloseReason, detail: str = "") -> None:
        """End the connection from here."""
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
        last_answer, self.last_answer = self.last_answer, None
        self.services.log.ended("worker", self.number, self.close_reason.value, self.pool.name)
        if last_answer is not None:
            last_answer.report()
        if exchange is not None:
            self._lost_with(exchange)
        self.writer = None  # it holds this connection, which is freed at once without it

    def _lost_with(self, exchange: Exchange) -> None:
        """Report the connection's end to the exchange that it carried; it may be the answer's."""
        if self.parser.eof() is not None:
            exchange.completed()
            return
        if exchange.counts_for_keep_alive and self.started_just_now:
            self.services.keep_alive.broke_off(self.pool.name, self.idle_for)
        answer_begun = self.close_reason is CloseReason.BAD_ANSWER or not self.parser.idle
        exchange.failed(self.ending(stale=self.started_just_now), answer_begun=answer_begun)
