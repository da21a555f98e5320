"""Cancels of jobs that a worker may have accepted: a DELETE, which is repeated if its connection fails."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.defer import Deferred

from elderstall.deadlines import Deadline, Deadlines
from elderstall.net.upstream.cancel_exchange import CancelExchange
from elderstall.net.upstream.handle import RequestHandle
from elderstall.net.upstream.pool import Pool
from elderstall.net.upstream.request import cancel_request

CANCEL_TIMEOUT_MS = 2_000.0  # a DELETE may stay unanswered: its worker may be gone
RETRY_INTERVAL_MS = 25.0  # from the failure of a DELETE's connection to the next DELETE
SHORT_CANCEL_TIMEOUT_FACTOR = 0.4  # of the connect timeout, where the job can go on without a confirmation


class CancelServices(Protocol):
    """The services that a cancel uses."""

    deadlines: Deadlines
    connect_timeout: float  # ms


class Cancel:
    """Cancels one job at one address; ``result`` fires with whether it cannot run there any more.

    With ``repeats`` a further DELETE follows one whose connection failed, as connections may come up late.
    """

    def __init__(self, services: CancelServices, pool: Pool, request_id: str, *, repeats: bool) -> None:
        self.deadlines = services.deadlines
        self.pool = pool
        self.request = cancel_request(request_id, pool.address)
        self.repeats = repeats
        short_timeout = services.connect_timeout * SHORT_CANCEL_TIMEOUT_FACTOR
        self.ends_at = self.deadlines.now() + (CANCEL_TIMEOUT_MS if repeats else short_timeout)
        self.result: Deferred[bool] = Deferred()
        self.timer: Deadline | None = None

    def send_delete(self) -> None:
        """Send a DELETE over an idle connection or a new one."""
        answered: Deferred[bool] = Deferred()
        exchange = CancelExchange(answered)
        handle = self.pool.start_request(self.request, exchange)
        self.timer = self.deadlines.at(self.ends_at, self._timed_out, handle, exchange)
        answered.addCallback(self._finished)

    def _timed_out(self, handle: RequestHandle, exchange: CancelExchange) -> None:
        """Abort a DELETE that was not answered in time."""
        handle.abort()
        exchange.finish(confirmed=False)

    def _finished(self, confirmed: bool) -> None:  # noqa: FBT001  the result of a Deferred
        """Report the result, or send the next DELETE if there is time left."""
        if self.timer is not None:
            self.timer.cancel()
        next_at = self.deadlines.now() + RETRY_INTERVAL_MS
        if confirmed or not self.repeats or next_at >= self.ends_at:
            self.result.callback(confirmed)
        else:
            self.deadlines.at(next_at, self.send_delete)
