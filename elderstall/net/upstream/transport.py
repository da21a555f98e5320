"""The transport of attempts to workers over HTTP, with one pool of connections a worker."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from elderstall.deadlines import Deadlines
from elderstall.interface import Ending
from elderstall.log import Log
from elderstall.messages import JobRequest, Outcome
from elderstall.net import http
from elderstall.net.upstream.cancel_exchange import CANCEL_WAIT, SHORT_CANCEL_WAIT, CancelExchange
from elderstall.net.upstream.connection import Services, WorkerConnection
from elderstall.net.upstream.handle import RequestHandle
from elderstall.net.upstream.job_exchange import ACCEPT_SOON, ACCEPT_WAIT, JobAttempt, JobExchange
from elderstall.net.upstream.keep_alive import KeepAlive
from elderstall.net.upstream.load_exchange import POLL_WAIT, LoadExchange
from elderstall.net.upstream.open_connections import OpenConnections
from elderstall.net.upstream.pool import Connect, Pool
from elderstall.net.upstream.request import cancel_request, job_request, load_request
from elderstall.net.upstream.responses import LoadReport, read_outcome, read_report

T = TypeVar("T")


class WorkerAddress(NamedTuple):
    """Where a worker's process listens, and when it started, Unix ms."""

    address: str
    started: float | None


class WorkerTransport:
    """Takes attempts to workers; see ``messages.AttemptTransport``."""

    def __init__(
        self,
        deadlines: Deadlines,
        connect: Connect,
        log: Log,
        report_fields: tuple[str, ...] = (),
        idle_limit: float = 8_000.0,
        connection_limit: int = 300,
        connect_timeout: float = 250.0,
    ) -> None:
        self.deadlines, self.connect, self.log = deadlines, connect, log
        self.report_fields, self.connect_timeout = report_fields, connect_timeout
        self.keep_alive = KeepAlive(idle_limit, deadlines.now, log)
        self.connections: OpenConnections[WorkerConnection] = OpenConnections(connection_limit)
        self.services = Services(deadlines, log, self.keep_alive, self.connections)
        self.on_written: Callable[[], None] = lambda: None  # called for each job whose last byte was written
        self.addresses: dict[str, WorkerAddress] = {}  # of all workers on the endpoint list
        self.pools: dict[str, Pool] = {}  # of those that were called, made at the first call

    # ---- the endpoint list ----

    def update_endpoint(self, name: str, address: str, started: float | None) -> None:
        """Take a worker's address; a changed one or a restart drops the pool."""
        place = WorkerAddress(address, started)
        if self.addresses.get(name) != place:
            self.remove_endpoint(name)
            self.addresses[name] = place

    def remove_endpoint(self, name: str) -> None:
        """Drop the pool of a worker that the list no longer names."""
        self.addresses.pop(name, None)
        self.drop_idle(name)

    def drop_idle(self, worker: str) -> None:
        """Drop the idle connections to a worker; see ``messages.AttemptTransport``."""
        if (pool := self.pools.pop(worker, None)) is not None:
            pool.close()

    def close(self) -> None:
        """Drop every pool."""
        for name in list(self.addresses):
            self.remove_endpoint(name)

    def _pool_of(self, worker: str) -> Pool | None:
        """Give a worker's pool, or None where it is not on the list."""
        pool = self.pools.get(worker)
        if pool is None and (place := self.addresses.get(worker)) is not None:
            pool = self.pools[worker] = Pool(self.services, worker, place.address, self._open_connection)
        return pool

    def _open_connection(self, address: str, factory: Factory) -> Deferred[WorkerConnection]:
        """Open a connection to an address, by what is set for that now."""
        return self.connect(address, factory)

    # ---- answers ----

    def read_report(self, load: object) -> LoadReport:
        """Read a load report in the order of the settings' fields; one that lacks any says nothing."""
        return read_report(load, self.report_fields)

    def read_outcome(self, message: http.Message) -> Outcome:
        """Read an answer that ends an attempt."""
        return read_outcome(message, self.report_fields)

    def path_silent(self, handle: RequestHandle) -> None:
        """Learn that a worker does not answer a request."""
        if (connection := handle.connection) is not None:
            self.log.write("silent", f"{connection.pool.name} does not answer a job")
            connection.pool.drop_idle()  # what is idle there may be as dead

    # ---- attempts, cancellations, polls ----

    def send(
        self,
        worker: str,
        request: JobRequest,
        ends_at: float,
        on_progress: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        """Start an attempt; see ``messages.AttemptTransport``."""
        handles: list[RequestHandle] = []

        def abort(_: object) -> None:
            for handle in handles:
                answer_begun = handle.answer_begun
                handle.abort()
                if answer_begun:
                    result.callback(None)  # it may be the 202 that has come: then the worker has the job

        result: Deferred[Outcome | None] = Deferred(abort)
        pool = self._pool_of(worker)
        if pool is None:
            result.callback(Outcome(Ending.UNREACHABLE))
            return result
        attempt = JobAttempt(request, ends_at, on_progress, forbidden_by, result)
        handles.append(self.start_attempt(pool, attempt))
        return result

    def start_attempt(self, pool: Pool, attempt: JobAttempt) -> RequestHandle:
        """Start the exchange of an attempt."""
        exchange = JobExchange(self, attempt)
        repeatable = attempt.request.repeatable
        within = self.connect_timeout * (ACCEPT_SOON if repeatable else ACCEPT_WAIT)
        request = job_request(attempt.request, pool.address, attempt.ends_at)
        handle = pool.begin(request, exchange, repeatable=repeatable)
        exchange.wait_for_answer(handle, within)
        return handle

    def cancel_job(self, worker: str, request_id: str, confirmation_required: bool = True) -> Deferred[bool]:
        """Have a worker give up a job that it may have accepted; see ``messages.AttemptTransport``."""
        result: Deferred[bool] = Deferred()
        pool = self._pool_of(worker)
        if pool is None:
            result.callback(False)
            return result
        exchange = CancelExchange(result)
        handle = pool.begin(cancel_request(request_id, pool.address), exchange)

        def overdue() -> None:
            handle.abort()
            exchange.finish(confirmed=False)

        timeout = CANCEL_WAIT if confirmation_required else self.connect_timeout * SHORT_CANCEL_WAIT
        return self._with_timeout(result, timeout, overdue)

    def probe(self, worker: str) -> Deferred[Outcome]:
        """Poll a worker for its load report; see ``messages.AttemptTransport``."""
        result: Deferred[Outcome] = Deferred()
        pool = self._pool_of(worker)
        if pool is None:
            result.callback(Outcome(Ending.UNREACHABLE))
            return result
        exchange = LoadExchange(self.read_report, self.log, result)
        handle = pool.begin(load_request(pool.address), exchange)

        def overdue() -> None:
            handle.abort()
            pool.drop_idle()  # what is idle there may be as dead
            exchange.failed(Ending.TIMED_OUT, worker_unreachable=True)

        return self._with_timeout(result, self.connect_timeout * POLL_WAIT, overdue)

    def _with_timeout(self, result: Deferred[T], timeout: float, overdue: Callable[[], None]) -> Deferred[T]:
        """Call ``overdue`` unless a result fires within so many ms."""
        timer = self.deadlines.after(timeout, overdue)

        def cancel_timer(value: T) -> T:
            timer.cancel()
            return value

        return result.addCallback(cancel_timer)
