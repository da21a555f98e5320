"""The listener put together: its connections, and what becomes of their requests."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine, RepeatedIdError, TooManyJobsError
from elderstall.log import Log
from elderstall.messages import Client, JobRequest
from elderstall.net import http
from elderstall.net.peer import unread, unwritten
from elderstall.net.server.admission import ConnectionTable
from elderstall.net.server.callbacks import CallbackReceiver, ReportParser, WorkerCallback
from elderstall.net.server.connection import ServerConnection
from elderstall.net.server.delegation import PartAttribute
from elderstall.net.server.handing_over import HandingOver
from elderstall.net.server.request_connection import RequestConnection
from elderstall.net.server.requests import BUSY_RETRY_AFTER, RequestError, parse_head, retry_after
from elderstall.net.server.state import CloseReason, KeptBytes, Timeouts
from elderstall.slots import Slots

KEPT_FACTOR = 2  # jobs are refused past so many times the limit for requests that are not whole


class Server(Factory):
    """The listener, and what its connections share."""

    noisy = False

    # Held by its parts.
    connections = PartAttribute[Slots[ServerConnection]]("table", "connections")
    max_connections = PartAttribute[int]("table", "max_connections")
    shedding_threshold = PartAttribute[int]("table", "shedding_threshold")
    peer_process_connections = PartAttribute[int]("table", "peer_process_connections")
    accept = PartAttribute[Callable[[bool], None]]("table", "accept")
    accepting = PartAttribute[bool]("table", "accepting")
    enforce_limits = PartAttribute[Callable[[], None]]("table", "enforce_limits")
    capacity_left = PartAttribute[int]("table", "capacity_left")
    kept_bytes = PartAttribute[int]("kept", "total")
    kept_bytes_limit = PartAttribute[int]("kept", "limit")
    can_hand_over = PartAttribute[Callable[[], bool]]("handing_over", "can_hand_over")
    send_connection = PartAttribute[Callable[..., bool]]("handing_over", "send_connection")
    take_back_connection = PartAttribute[Callable[[int, dict[str, Any]], None]](
        "handing_over", "take_back_connection"
    )
    ids_in_transfer = PartAttribute[set[str]]("handing_over", "ids_in_transfer")
    hand_over_all = PartAttribute[Callable[[], None]]("handing_over", "hand_over_all")
    adopt_connection = PartAttribute[Callable[[RequestConnection, dict[str, Any]], None]](
        "handing_over", "adopt_connection"
    )
    ask_others = PartAttribute[Callable[[Any], Deferred[bool] | None]]("callbacks", "ask_others")

    def __init__(
        self,
        engine: Engine,
        deadlines: Deadlines,
        log: Log,
        parse_report: ReportParser,
        max_connections: int = 600,
        shedding_threshold: int = 500,
        kept_limit: int = 8 * 1024 * 1024,
    ) -> None:
        self.engine, self.deadlines, self.log = engine, deadlines, log
        self.table: ConnectionTable[ServerConnection] = ConnectionTable(
            deadlines, max_connections, shedding_threshold
        )
        self.timeouts = Timeouts()
        self.kept = KeptBytes(kept_limit)
        self.callbacks = CallbackReceiver(engine, log, parse_report)
        self.handing_over = HandingOver(engine, deadlines, self.table)
        self.draining = False
        self.shortened, self.until = False, math.inf  # jobs are taken only for the time until then
        self.leaving = False  # clients are let go

    def buildProtocol(self, addr: object) -> Protocol | None:  # noqa: N802, D102
        return ServerConnection(self)

    # ---- requests ----

    def check_head(self, message: http.Message) -> JobRequest | None:
        """Check a head; a job's gives what it asks for."""
        return parse_head(message, self.engine)

    def handle(self, connection: RequestConnection, message: http.Message) -> None:
        """Answer a request."""
        if connection.job_request is not None:
            request, connection.job_request = connection.job_request, None
            self.handle_job(connection, message, request)
        elif message.method == "POST":
            self.handle_callback(connection, message)
        elif self.draining:
            connection.reply(503, b"draining\n")
        else:
            connection.reply(200, b"up\n")

    def recheck_heads(self) -> None:
        """Check the heads anew that were checked under other settings, and whose bodies still come."""
        for connection in self.table.connections:
            message = connection.message
            if connection.job_request is None or message is None or connection.closing:
                continue
            try:
                connection.job_request = self.check_head(message)
            except RequestError as denied:
                connection.refuse_request(denied)

    # ---- jobs ----

    def handle_job(self, connection: RequestConnection, message: http.Message, request: JobRequest) -> None:
        """Take a client's job."""
        connection.client = True
        request = replace(request, budget=max(0.0, request.budget - connection.time_since_first_byte()))
        if not self.handing_over.can_hand_over():  # else it moves on with the job
            request = self.bound_by_shutdown(request)
        if self.table.busy_count > self.table.soft_limit:
            # Guards the descriptors that workers' callbacks need.
            raise self.rejected(request, "too many connections")
        if self.kept.total > KEPT_FACTOR * self.kept.limit:
            raise self.rejected(request, "too much is kept")
        self.submit(connection, message, request)

    def bound_by_shutdown(self, request: JobRequest) -> JobRequest:
        """Cut a job's budget to the time that this process still has."""
        time_left = self.until - self.deadlines.now()
        if time_left <= 0:
            raise self.rejected(request, "shutting down")
        if not self.shortened:
            return request
        # Guards against a job that is lost with the process.
        return replace(request, budget=min(request.budget, time_left))

    def rejected(self, request: JobRequest, why: str) -> RequestError:
        """Reject a job that cannot be taken, and count it."""
        self.engine.count_rejected(request.job_class)
        return RequestError(503, why, retry_after(BUSY_RETRY_AFTER))

    def submit(self, connection: RequestConnection, message: http.Message, request: JobRequest) -> None:
        """Hand a job in for a plain answer."""
        self.submit_for(connection, connection, message, request)

    def submit_for(
        self, client: Client, connection: RequestConnection, message: http.Message, request: JobRequest
    ) -> None:
        """Hand a job to the engine, on behalf of a client on a connection."""
        try:
            number = self.engine.accept(request, client)
        except RepeatedIdError:
            raise RequestError(400, "a job with this X-Call-Id is live or was answered") from None
        except TooManyJobsError:
            raise self.rejected(request, "too many jobs") from None
        if connection.busy:  # else it has been answered already
            connection.job, connection.original = number, message

    # ---- callbacks ----

    def handle_callback(self, connection: RequestConnection, message: http.Message) -> None:
        """Take a worker's callback.

        A job that is not this process's may be that of the other one of an upgrade, which is then asked.
        """
        callback = WorkerCallback.from_body(message.body)
        forwarded = self.callbacks.forward(callback)
        if forwarded is not None:
            connection.worker = True
            forwarded.addCallback(self.callback_forwarded, connection, callback)
            return
        if self.callbacks.apply(callback):
            connection.worker = True
        connection.reply(204)

    def callback_forwarded(
        self,
        confirmed: bool,  # noqa: FBT001  the result of a Deferred
        connection: RequestConnection,
        callback: WorkerCallback,
    ) -> None:
        """Answer a callback that the other process was asked about; its job may have come over by now."""
        self.callbacks.apply(callback)
        # Without the other's word, or while its job is still on the way, the worker is to try again.
        connection.reply(
            204 if confirmed and callback.request_id not in self.handing_over.ids_in_transfer else 503
        )

    def called(self, call: Any) -> bool:
        """Act on a callback that the other process forwards; say whether its attempt is live."""
        return self.callbacks.apply(WorkerCallback.from_plain(call))

    # ---- an upgrade ----

    def streamed(self) -> list[str]:
        """Give the ids of jobs that must not run again for a reconnect; the listener of streams has such."""
        return []

    def inherit(self, streamed: list[str]) -> None:
        """Take those of the process that hands over."""

    def hand_over_idle(self, connection: RequestConnection) -> bool:
        """Leave a connection that is between requests to the other process, if there is one."""
        return self.handing_over.hand_over_idle(connection)

    def passed(self, connection: RequestConnection, *, whole: bool) -> None:
        """Give a connection that this process has let go of to the other one."""
        self.handing_over.passed(connection, whole=whole)

    # ---- the end ----

    def closes(self, connection: RequestConnection) -> bool:
        """Say whether a connection ends after its answer."""
        # Not yet while draining: clients that we send away may find no other dispatcher just then.
        # Nor where another process serves: it gets the connection.
        # Nor before what has come behind that request is answered too.
        leaves = (self.leaving or connection.rejected_in_shutdown) and connection.client
        return leaves and not self.handing_over.can_hand_over() and not connection.more_came

    def close_reason(self) -> CloseReason:
        """Name the reason of such an end."""
        return CloseReason.DRAIN if self.draining else CloseReason.CLOSED_AFTER

    def drain(self) -> None:
        """Say at ``/up`` that the program ends; clients are served on until ``close_idle_clients``."""
        self.draining = True

    def close_idle_clients(self) -> None:
        """End clients' connections between requests; the others end with their answer."""
        self.leaving = True
        for c in self.table.connections:
            idle = not (c.busy or c.closing or c.message) and c.parser.idle
            # What has come and is not read yet is answered first; its connection ends with that.
            if c.client and idle and not self.hand_over_idle(c) and not unread(c.transport):
                c.linger(CloseReason.DRAIN, discard=False)

    def close_if_drained(self) -> bool:
        """Close what is left between requests; say that nothing has come that is not read yet."""
        left = [connection for connection in self.table.connections if not connection.closing]
        for connection in [connection for connection in left if not unread(connection.transport)]:
            connection.linger(CloseReason.DRAIN, discard=False)
        return all(connection.closing for connection in left)

    @property
    def is_quiescent(self) -> bool:
        """Whether no request is in hand or still being written."""
        return not any(
            connection.in_hand or unwritten(connection.transport) for connection in self.table.connections
        )
