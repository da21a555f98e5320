"""The transport of attempts to workers over HTTP, with one connection pool per worker."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Factory

from elderstall.deadlines import Deadlines
from elderstall.interface import Ending
from elderstall.log import Log
from elderstall.messages import JobRequest, Outcome
from elderstall.net import http
from elderstall.net.upstream.connection import Services, WorkerConnection
from elderstall.net.upstream.exchange import RequestFailure
from elderstall.net.upstream.handle import RequestHandle
from elderstall.net.upstream.job_cancel import Cancel
from elderstall.net.upstream.job_exchange import (
    ACCEPT_TIMEOUT_FACTOR,
    REPEATABLE_ACCEPT_TIMEOUT_FACTOR,
    JobAttempt,
    JobExchange,
)
from elderstall.net.upstream.keep_alive import KeepAlive
from elderstall.net.upstream.load_exchange import POLL_TIMEOUT_FACTOR, PollExchange
from elderstall.net.upstream.open_connections import OpenConnections
from elderstall.net.upstream.pool import Connect, Pool
from elderstall.net.upstream.request import job_request, poll_request
from elderstall.net.upstream.responses import LoadReport, read_outcome, read_report

MAX_FORMER_ADDRESSES = 1_024  # of workers that are not listed any more, to which cancels may still be sent

T = TypeVar("T")


class WorkerAddress(NamedTuple):
    """The address of a worker's process, and when it started, Unix ms."""

    address: str
    started: float | None


class WorkerTransport:
    """Sends attempts, cancels and polls to workers over HTTP; see ``messages.AttemptTransport``."""

    def __init__(
        self,
        deadlines: Deadlines,
        connect: Connect,
        log: Log,
        report_fields: tuple[str, ...] = (),
        max_idle_timeout: float = 8_000.0,  # ms
        connection_limit: int = 300,  # of all workers together
        connect_timeout: float = 250.0,  # ms
    ) -> None:
        self.deadlines = deadlines
        self.connect = connect
        self.log = log
        self.report_fields = report_fields
        self.connect_timeout = connect_timeout  # ms
        self.keep_alive = KeepAlive(max_idle_timeout, deadlines.now, log)
        self.connections: OpenConnections[WorkerConnection] = OpenConnections(connection_limit)
        self.services = Services(deadlines, log, self.keep_alive, self.connections)
        self.on_written: Callable[[], None] = lambda: None  # called for each attempt written in full
        self.addresses: dict[str, WorkerAddress] = {}  # of all workers on the endpoint list, by name
        # Of workers that are not listed any more, the longest ago first.
        self.former_addresses: OrderedDict[str, WorkerAddress] = OrderedDict()
        self.pools: dict[str, Pool] = {}  # by worker; created at the first request to it

    # ---- the endpoint list ----

    def update_endpoint(self, name: str, address: str, started: float | None) -> None:
        """Set a worker's address; a changed address or a restart closes its pool."""
        worker_address = WorkerAddress(address, started)
        if self.addresses.get(name) != worker_address:
            self.remove_endpoint(name)
            self.addresses[name] = worker_address
            self.former_addresses.pop(name, None)

    def remove_endpoint(self, name: str) -> None:
        """Remove a worker's address and close its pool: delisted, changed address, restart or shutdown."""
        former = self.addresses.pop(name, None)
        if former is not None:
            self.former_addresses[name] = former
            if len(self.former_addresses) > MAX_FORMER_ADDRESSES:
                self.former_addresses.popitem(last=False)
        self.close_pool(name)

    def close_pool(self, worker: str) -> None:
        """Remove a worker's pool: its idle connections close now, those in use when their requests end.

        See ``messages.AttemptTransport``; the next request creates a new pool.
        """
        if (pool := self.pools.pop(worker, None)) is not None:
            pool.close()

    def close(self) -> None:
        """Close all pools."""
        for name in list(self.addresses):
            self.remove_endpoint(name)

    def _pool_for(self, worker: str) -> Pool | None:
        """Return a worker's pool, or None if it is not on the endpoint list."""
        pool = self.pools.get(worker)
        if pool is None and (worker_address := self.addresses.get(worker)) is not None:
            pool = self.pools[worker] = Pool(
                self.services, worker, worker_address.address, self._open_connection
            )
        return pool

    def _pool_for_cancel(self, worker: str) -> Pool | None:
        """Return a pool for the address at which a worker is or was listed, or None if that is forgotten."""
        pool = self._pool_for(worker)
        if pool is None and (former := self.former_addresses.get(worker)) is not None:
            pool = Pool(self.services, worker, former.address, self._open_connection)
            pool.close()  # keeps no connection afterwards
        return pool

    def _open_connection(self, address: str, factory: Factory) -> Deferred[WorkerConnection]:
        """Open a connection with the current ``connect``, which may be replaced after a pool was created."""
        return self.connect(address, factory)

    # ---- answers ----

    def read_report(self, load: object) -> LoadReport:
        """Return a load report's values as ``responses.read_report`` does, for the settings' fields."""
        return read_report(load, self.report_fields)

    def read_outcome(self, message: http.Message) -> Outcome:
        """Return the outcome that an answer which ends an attempt stands for."""
        return read_outcome(message, self.report_fields)

    def handle_silent_worker(self, handle: RequestHandle) -> None:
        """Log that a worker does not answer a job, and close the idle connections to it."""
        if (connection := handle.connection) is not None:
            self.log.write(
                "silent", f"{connection.pool.name} did not answer a job in time; closing idle connections"
            )
            connection.pool.close_idle_connections()  # they may no longer reach the worker either

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
        exchanges: list[JobExchange] = []
        result: Deferred[Outcome | None] = Deferred(lambda sending: self._abort_attempt(sending, exchanges))
        pool = self._pool_for(worker)
        if pool is None:
            result.callback(Outcome(Ending.UNREACHABLE))
            return result
        attempt = JobAttempt(request, ends_at, on_progress, forbidden_by, result)
        exchanges.append(self.start_attempt(pool, attempt))
        return result

    @staticmethod
    def _abort_attempt(result: Deferred[Outcome | None], exchanges: list[JobExchange]) -> None:
        """Abort the exchange of an attempt whose result was cancelled."""
        for exchange in exchanges:
            answer_begun = exchange.abort()
            exchange.detach()
            if answer_begun:
                # It may be a 202, after which the worker has the job: it is reported as accepted.
                result.callback(None)

    def start_attempt(self, pool: Pool, attempt: JobAttempt) -> JobExchange:
        """Start the exchange of an attempt."""
        exchange = JobExchange(self, attempt)
        repeatable = attempt.request.repeatable
        timeout_ms = self.connect_timeout * (
            REPEATABLE_ACCEPT_TIMEOUT_FACTOR if repeatable else ACCEPT_TIMEOUT_FACTOR
        )
        request = job_request(attempt.request, pool.address, attempt.ends_at)
        handle = pool.start_request(request, exchange, repeatable=repeatable)
        exchange.wait_for_answer(handle, timeout_ms)
        return exchange

    def cancel_job(self, worker: str, request_id: str, confirmation_required: bool = True) -> Deferred[bool]:
        """Cancel a job that a worker may have accepted; see ``messages.AttemptTransport``."""
        pool = self._pool_for_cancel(worker)
        if pool is None:
            return succeed(False)
        cancel = Cancel(self, pool, request_id, repeats=confirmation_required)
        cancel.send_delete()
        return cancel.result

    def poll_load(self, worker: str) -> Deferred[Outcome]:
        """Poll a worker for its load report; see ``messages.AttemptTransport``."""
        result: Deferred[Outcome] = Deferred()
        pool = self._pool_for(worker)
        if pool is None:
            result.callback(Outcome(Ending.UNREACHABLE))
            return result
        exchange = PollExchange(self.read_report, self.log, result)
        handle = pool.start_request(poll_request(pool.address), exchange)

        def on_timeout() -> None:
            handle.abort()
            pool.close_idle_connections()  # they may no longer reach the worker either
            exchange.failed(RequestFailure(Ending.TIMED_OUT, worker_unreachable=True))

        return self._with_timeout(result, self.connect_timeout * POLL_TIMEOUT_FACTOR, on_timeout)

    def _with_timeout(
        self, result: Deferred[T], timeout_ms: float, on_timeout: Callable[[], None]
    ) -> Deferred[T]:
        """Call ``on_timeout`` unless ``result`` fires within ``timeout_ms``; return ``result``."""
        timer = self.deadlines.after(timeout_ms, on_timeout)

        def cancel_timer(value: T) -> T:
            timer.cancel()
            return value

        return result.addCallback(cancel_timer)
