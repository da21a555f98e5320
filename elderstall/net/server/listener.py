"""The listener: its connections, and the handling of their requests."""

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
from elderstall.net.peer import has_unread_data, has_unwritten_data
from elderstall.net.server.admission import ConnectionTable
from elderstall.net.server.callbacks import CallbackReceiver, ReportParser, WorkerCallback
from elderstall.net.server.connection import ServerConnection
from elderstall.net.server.delegation import DelegatedAttribute
from elderstall.net.server.handing_over import ConnectionHandover
from elderstall.net.server.memory import MemoryBudget
from elderstall.net.server.request_connection import RequestConnection
from elderstall.net.server.requests import BUSY_RETRY_AFTER_MS, RequestError, parse_head, retry_after
from elderstall.net.server.state import CloseReason, Timeouts
from elderstall.net.server.work_queue import WorkQueue
from elderstall.net.turns import TurnMeter
from elderstall.slots import Slots


class Server(Factory):
    """The listener, with the state that its connections share."""

    noisy = False

    # Attributes and methods of components; ``enforce_limits``, ``capacity_left``, ``hand_over_all`` and
    # ``adopt_connection`` are only read.
    connections = DelegatedAttribute[Slots[ServerConnection]]("table", "connections")
    max_connections = DelegatedAttribute[int]("table", "max_connections")
    shedding_threshold = DelegatedAttribute[int]("table", "shedding_threshold")
    peer_process_connections = DelegatedAttribute[int]("table", "peer_process_connections")
    accept = DelegatedAttribute[Callable[[bool], None]]("table", "accept")
    accepting = DelegatedAttribute[bool]("table", "accepting")
    enforce_limits = DelegatedAttribute[Callable[[], None]]("table", "enforce_limits")
    capacity_left = DelegatedAttribute[int]("table", "capacity_left")
    kept_bytes = DelegatedAttribute[int]("kept", "total")
    kept_bytes_limit = DelegatedAttribute[int]("kept", "limit")
    can_hand_over = DelegatedAttribute[Callable[[], bool]]("handing_over", "can_hand_over")
    send_connection = DelegatedAttribute[Callable[..., bool]]("handing_over", "send_connection")
    take_back_connection = DelegatedAttribute[Callable[[int, dict[str, Any]], None]](
        "handing_over", "take_back_connection"
    )
    ids_in_transfer = DelegatedAttribute[set[str]]("handing_over", "ids_in_transfer")
    hand_over_all = DelegatedAttribute[Callable[[], None]]("handing_over", "hand_over_all")
    adopt_connection = DelegatedAttribute[Callable[[RequestConnection, dict[str, Any]], None]](
        "handing_over", "adopt_connection"
    )
    ask_others = DelegatedAttribute[Callable[[Any], Deferred[bool] | None]]("callbacks", "ask_others")

    def __init__(
        self,
        engine: Engine,
        deadlines: Deadlines,
        log: Log,
        parse_report: ReportParser,
        max_connections: int = 600,
        shedding_threshold: int = 500,
        kept_limit: int = 8 * 1024 * 1024,
        turns: TurnMeter | None = None,
    ) -> None:
        self.engine = engine
        self.deadlines = deadlines
        self.log = log
        self.kept = MemoryBudget(kept_limit)
        self.table: ConnectionTable[ServerConnection] = ConnectionTable(
            deadlines, max_connections, shedding_threshold, self.kept
        )
        self.timeouts = Timeouts()
        self.turns = turns or TurnMeter()
        self.work = WorkQueue(deadlines.reactor, self.turns)
        self.callbacks = CallbackReceiver(engine, log, parse_report)
        self.handing_over = ConnectionHandover(engine, deadlines, self.table)
        self.draining = False
        # Clock readings, ms. No job is accepted after the shutdown deadline; the budgets of jobs that are
        # read from ``limit_budgets_from`` on end with it.
        self.limit_budgets_from = math.inf
        self.shutdown_deadline = math.inf
        self.closing_clients = False  # clients' connections end with their answer

    def buildProtocol(self, addr: object) -> Protocol | None:  # noqa: N802, D102
        return ServerConnection(self)

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self.table.connections)

    def apply_memory_fraction(self, fraction: float) -> None:
        """Set the fraction of the limits that applies now, and shed connections above the new ones."""
        has_fallen = fraction < self.kept.fraction
        self.kept.fraction = fraction
        if has_fallen:
            self.table.enforce_limits()

    # ---- requests ----

    def check_head(self, message: http.Message) -> JobRequest | None:
        """Check a head; return the request if it is a job's, else None."""
        return parse_head(message, self.engine)

    def handle(self, connection: RequestConnection, message: http.Message) -> None:
        """Answer a request."""
        if connection.job_request is not None:
            request = connection.job_request
            connection.job_request = None
            self.handle_job(connection, message, request)
        elif message.method == "POST":
            self.handle_callback(connection, message)
        elif self.draining:
            connection.reply(503, b"draining\n")
        else:
            connection.reply(200, b"up\n")

    def recheck_heads(self) -> None:
        """Check heads again after a change of settings, where the body is still being received."""
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
        """Accept a client's job, or reject it where limits forbid it."""
        connection.is_client = True
        request = replace(request, budget=max(0.0, request.budget - connection.time_since_first_byte()))
        if not self.handing_over.can_hand_over():  # else the connection is handed over with the job
            request = self.limit_by_shutdown(request)
        if self.table.busy_count > self.table.local_shedding_threshold:
            # Keeps descriptors free for workers' callbacks.
            raise self.reject_error(request, "too many connections")
        if not self.kept.accepts_jobs:
            raise self.reject_error(request, "too much is kept")
        self.submit(connection, message, request)

    def limit_by_shutdown(self, request: JobRequest) -> JobRequest:
        """Limit a job's budget to the time left until the shutdown deadline."""
        time_left = self.shutdown_deadline - self.deadlines.now()
        if time_left <= 0:
            raise self.reject_error(request, "shutting down")
        if not self.limits_budgets:
            return request
        # A job that outlasts the process would be lost.
        return replace(request, budget=min(request.budget, time_left))

    def reject_error(self, request: JobRequest, reason: str) -> RequestError:
        """Count a job as rejected, and return the error to raise."""
        self.engine.count_rejected(request.job_class)
        return RequestError(503, reason, retry_after(BUSY_RETRY_AFTER_MS))

    def submit(self, connection: RequestConnection, message: http.Message, request: JobRequest) -> None:
        """Submit a job whose client expects a plain answer."""
        self.submit_for(connection, connection, message, request)

    def submit_for(
        self, client: Client, connection: RequestConnection, message: http.Message, request: JobRequest
    ) -> None:
        """Submit a job to the engine for a client on a connection."""
        try:
            number = self.engine.accept(request, client)
        except RepeatedIdError:
            raise RequestError(400, "a job with this X-Call-Id is live or was answered") from None
        except TooManyJobsError:
            raise self.reject_error(request, "too many jobs") from None
        if connection.busy:  # else it has been answered already
            connection.job = number
            connection.original = message

    # ---- callbacks ----

    def handle_callback(self, connection: RequestConnection, message: http.Message) -> None:
        """Handle a worker's callback.

        The job may belong to the peer process of an upgrade; the callback is then forwarded to it.
        """
        callback = WorkerCallback.from_body(message.body)
        forwarded = self.callbacks.forward(callback)
        if forwarded is not None:
            connection.is_worker = True
            forwarded.addCallback(self.callback_forwarded, connection, callback)
            return
        if self.callbacks.apply(callback):
            connection.is_worker = True
        connection.reply(204)

    def callback_forwarded(
        self,
        confirmed: bool,  # noqa: FBT001  the result of a Deferred
        connection: RequestConnection,
        callback: WorkerCallback,
    ) -> None:
        """Answer a callback that was forwarded; its job may have been handed over to this process by now."""
        self.callbacks.apply(callback)
        # Without the peer process's confirmation, or while the job is in transfer, the worker has to retry.
        connection.reply(
            204 if confirmed and callback.request_id not in self.handing_over.ids_in_transfer else 503
        )

    def apply_forwarded_callback(self, call: Any) -> bool:
        """Apply a callback that the peer process forwarded; return whether its attempt is live here."""
        return self.callbacks.apply(WorkerCallback.from_fields(call))

    # ---- an upgrade ----

    def streamed_ids(self) -> list[str]:
        """Return the ids of jobs that must not run again on a reconnect; only streamed jobs have them."""
        return []

    def inherit_streamed_ids(self, streamed_ids: list[str]) -> None:
        """Add the ids of streamed jobs from the predecessor."""

    def hand_over_idle(self, connection: RequestConnection) -> bool:
        """Hand over a connection that is between requests; return whether it was released."""
        return self.handing_over.hand_over_idle(connection)

    def complete_hand_over(self, connection: RequestConnection, *, closed_cleanly: bool) -> None:
        """Send a released connection to the peer process, or end its job if the connection broke."""
        self.handing_over.complete_hand_over(connection, closed_cleanly=closed_cleanly)

    # ---- the end ----

    def closes_after_answer(self, connection: RequestConnection) -> bool:
        """Return whether a connection ends after its answer."""
        # Not when draining begins: disconnected clients may find no other dispatcher at that moment.
        # Not where a successor serves: the connection is handed over to it.
        # Not before the requests received after this one are answered too.
        leaves = (self.closing_clients or connection.rejected_in_shutdown) and connection.is_client
        return leaves and not self.handing_over.can_hand_over() and not connection.has_pending_input

    def close_reason(self) -> CloseReason:
        """Return the reason for closing a connection after its answer."""
        return CloseReason.DRAIN if self.draining else CloseReason.CLOSED_AFTER

    @property
    def limits_budgets(self) -> bool:
        """Whether the budgets of jobs that are read now end at the shutdown deadline.

        Compared with the clock at each use: a timer that sets a flag may run only after a request has been
        read that came later than the time of the timer.
        """
        return self.deadlines.now() >= self.limit_budgets_from

    def drain(self, *, limit_budgets_from: float, shutdown_deadline: float) -> None:
        """Report draining at ``/up``; clients are still served until ``close_idle_clients``.

        The times are clock readings, ms.
        """
        self.draining = True
        self.limit_budgets_from = limit_budgets_from
        self.shutdown_deadline = shutdown_deadline

    def close_idle_clients(self) -> None:
        """Close clients' connections between requests; the others close after their answer."""
        self.closing_clients = True
        for connection in self.table.connections:
            idle = (
                not (connection.busy or connection.closing or connection.message) and connection.parser.idle
            )
            # Requests that are still unread are answered first; the connection ends with that answer.
            if (
                connection.is_client
                and idle
                and not self.hand_over_idle(connection)
                and not has_unread_data(connection.transport)
            ):
                connection.linger(CloseReason.DRAIN, discard=False)

    def close_if_drained(self) -> bool:
        """Close connections with no unread data; return whether no open connection is left."""
        open_connections = [connection for connection in self.table.connections if not connection.closing]
        for connection in [
            connection for connection in open_connections if not has_unread_data(connection.transport)
        ]:
            connection.linger(CloseReason.DRAIN, discard=False)
        return all(connection.closing for connection in open_connections)

    @property
    def is_quiescent(self) -> bool:
        """Whether no request is being handled and no answer is still being written."""
        return not any(
            connection.has_active_request or has_unwritten_data(connection.transport)
            for connection in self.table.connections
        )
